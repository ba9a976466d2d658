//! Decoder of chunked bodies that holds no bytes itself.

use bh_protocol::Code;

/// Maximum number of digits of a chunk's size.
const MAX_SIZE_DIGITS: u32 = 16;

/// What the decoder found in its input.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Piece {
    /// This many bytes of the body follow.
    Payload(usize),
    /// The input is used up.
    NeedMore,
    /// The body ended.
    End,
}

#[derive(Clone, Copy, Debug)]
enum State {
    Size { value: u64, digits: u32 },
    Extension { size: u64 },
    SizeNewline { size: u64 },
    Payload { left: u64 },
    PayloadReturn,
    PayloadNewline,
    TrailerStart,
    Trailer,
    TrailerNewline,
    EndNewline,
    Ended,
}

/// Finds the payload in a chunked body. Sizes, extensions and trailers are skipped, and bounded as a whole like the payload.
#[derive(Debug)]
pub(super) struct ChunkedDecoder {
    state: State,
    payload_left: u64,
    framing_left: u64,
}

impl ChunkedDecoder {
    /// Creates a decoder for a body of at most `max_body_bytes`.
    pub fn new(max_body_bytes: u64) -> Self {
        Self {
            state: State::Size {
                value: 0,
                digits: 0,
            },
            payload_left: max_body_bytes,
            framing_left: max_body_bytes,
        }
    }

    /// Reads `input` from `at` on, up to the next payload; moves `at` behind what was read. The caller takes the payload and moves `at` behind it.
    ///
    /// # Errors
    ///
    /// [`Code::BodyTooLarge`] as soon as the size of a chunk shows it, [`Code::MalformedBody`].
    pub fn next(&mut self, input: &[u8], at: &mut usize) -> Result<Piece, Code> {
        while let Some(byte) = input.get(*at) {
            if let State::Payload { left } = self.state {
                return Ok(Piece::Payload(self.take_payload(left, input.len() - *at)));
            }
            *at += 1;
            self.framing_left = self.framing_left.checked_sub(1).ok_or(Code::BodyTooLarge)?;
            self.state = self.after(*byte)?;
            if matches!(self.state, State::Ended) {
                return Ok(Piece::End);
            }
        }
        Ok(Piece::NeedMore)
    }

    fn take_payload(&mut self, left: u64, available: usize) -> usize {
        let count = usize::try_from(left).map_or(available, |left| left.min(available));
        // At most `left`, so this cannot underflow.
        let left = left - u64::try_from(count).unwrap_or(left);
        self.state = if left == 0 {
            State::PayloadReturn
        } else {
            State::Payload { left }
        };
        count
    }

    /// The state after one byte outside the payload.
    fn after(&mut self, byte: u8) -> Result<State, Code> {
        match (self.state, byte) {
            (State::Size { value, digits }, b'0'..=b'9' | b'a'..=b'f' | b'A'..=b'F')
                if digits < MAX_SIZE_DIGITS =>
            {
                let digit = char::from(byte).to_digit(16).unwrap_or(0);
                Ok(State::Size {
                    value: value << 4 | u64::from(digit),
                    digits: digits + 1,
                })
            }
            (State::Size { value, digits }, b'\r') if digits > 0 => {
                Ok(State::SizeNewline { size: value })
            }
            (State::Size { value, digits }, b';') if digits > 0 => {
                Ok(State::Extension { size: value })
            }
            (State::Extension { size }, b'\r') => Ok(State::SizeNewline { size }),
            (State::Extension { size }, b'\t' | b' '..=b'~' | 0x80..) => {
                Ok(State::Extension { size })
            }
            (State::SizeNewline { size: 0 }, b'\n') => Ok(State::TrailerStart),
            (State::SizeNewline { size }, b'\n') => {
                self.payload_left = self
                    .payload_left
                    .checked_sub(size)
                    .ok_or(Code::BodyTooLarge)?;
                Ok(State::Payload { left: size })
            }
            (State::PayloadReturn, b'\r') => Ok(State::PayloadNewline),
            (State::PayloadNewline, b'\n') => Ok(State::Size {
                value: 0,
                digits: 0,
            }),
            (State::TrailerStart, b'\r') => Ok(State::EndNewline),
            (State::Trailer, b'\r') => Ok(State::TrailerNewline),
            (State::TrailerStart | State::Trailer, b'\t' | b' '..=b'~' | 0x80..) => {
                Ok(State::Trailer)
            }
            (State::TrailerNewline, b'\n') => Ok(State::TrailerStart),
            (State::EndNewline, b'\n') => Ok(State::Ended),
            _ => Err(Code::MalformedBody),
        }
    }
}
