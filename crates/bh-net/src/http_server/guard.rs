//! A reader that passes only checked heads and bodies within the limits to the decoder of `monoio-http`.

use super::Framing;
use super::Limits;
use super::framing::check_head;
use bh_protocol::Code;
use bytes::Buf;
use bytes::BytesMut;
use monoio::BufResult;
use monoio::buf::IoBufMut;
use monoio::buf::IoVecBufMut;
use monoio::buf::IoVecWrapperMut;
use monoio::io::AsyncReadRent;
use std::cell::Cell;
use std::io;
use std::rc::Rc;

/// Bytes per read during a request.
const READ_BYTES: usize = 8 << 10;
/// Bytes of the first read of a request. An idle connection holds a buffer of this size. Most heads and complete heartbeats fit.
const FIRST_READ_BYTES: usize = 1 << 10;
const HEAD_END: &[u8] = b"\r\n\r\n";

/// What the guard reports to the connection in addition to the bytes.
#[derive(Clone, Debug, Default)]
pub(super) struct GuardStatus {
    /// Result code with which the last head or body was refused.
    pub rejection: Rc<Cell<Option<Code>>>,
    /// Whether the connection must close after the answer.
    pub close: Rc<Cell<bool>>,
}

/// Part of the request that is read next.
#[derive(Clone, Copy, Debug)]
enum Phase {
    Head,
    Body { remaining: u64 },
    Chunked { budget: u64 },
}

/// Reads from `inner`, checking each head before the decoder sees it.
pub(super) struct Guard<R> {
    inner: R,
    buffer: BytesMut,
    released: usize,
    phase: Phase,
    limits: Limits,
    status: GuardStatus,
}

impl<R: AsyncReadRent> Guard<R> {
    pub fn new(inner: R, limits: Limits, status: GuardStatus) -> Self {
        Self {
            inner,
            buffer: BytesMut::new(),
            released: 0,
            phase: Phase::Head,
            limits,
            status,
        }
    }

    /// Waits until there are bytes to check; returns `false` at the end of the connection.
    pub async fn fill(&mut self) -> bool {
        self.released > 0
            || !self.buffer.is_empty()
            || self
                .read_more(FIRST_READ_BYTES)
                .await
                .is_ok_and(|count| count > 0)
    }

    async fn read_more(&mut self, max_bytes: usize) -> io::Result<usize> {
        let (result, chunk) = self.inner.read(Vec::with_capacity(max_bytes)).await;
        self.buffer.extend_from_slice(&chunk);
        result
    }

    fn reject(&self, code: Code) -> io::Error {
        self.status.rejection.set(Some(code));
        io::Error::new(io::ErrorKind::InvalidData, code.title())
    }

    /// Passes on as many buffered bytes as are allowed; returns `false` if more must be read first.
    fn release(&mut self) -> io::Result<bool> {
        let available = u64::try_from(self.buffer.len()).unwrap_or(u64::MAX);
        if available == 0 {
            return Ok(false);
        }
        match self.phase {
            Phase::Head => self.release_head(),
            Phase::Body { remaining } => {
                let count = remaining.min(available);
                self.released = usize::try_from(count).unwrap_or(usize::MAX);
                self.phase = if count == remaining {
                    Phase::Head
                } else {
                    Phase::Body {
                        remaining: remaining - count,
                    }
                };
                Ok(true)
            }
            Phase::Chunked { budget } => {
                if available > budget {
                    return Err(self.reject(Code::BodyTooLarge));
                }
                self.released = self.buffer.len();
                self.phase = Phase::Chunked {
                    budget: budget - available,
                };
                Ok(true)
            }
        }
    }

    fn release_head(&mut self) -> io::Result<bool> {
        let window = &self.buffer[..self.buffer.len().min(self.limits.max_head_bytes)];
        let Some(at) = window
            .windows(HEAD_END.len())
            .position(|bytes| bytes == HEAD_END)
        else {
            if self.buffer.len() >= self.limits.max_head_bytes {
                return Err(self.reject(Code::HeadTooLarge));
            }
            return Ok(false);
        };
        let end = at + HEAD_END.len();
        let framing =
            check_head(&self.buffer[..end], &self.limits).map_err(|code| self.reject(code))?;
        self.released = end;
        self.phase = match framing {
            Framing::Length(0) => Phase::Head,
            Framing::Length(remaining) => Phase::Body { remaining },
            Framing::Chunked => {
                // The end of the last chunk is not tracked here, so bytes after it must not be read as a request.
                self.status.close.set(true);
                Phase::Chunked {
                    budget: self.limits.max_body_bytes,
                }
            }
        };
        Ok(true)
    }
}

impl<R: AsyncReadRent> AsyncReadRent for Guard<R> {
    async fn read<T: IoBufMut>(&mut self, mut buf: T) -> BufResult<usize, T> {
        while self.released == 0 {
            match self.release() {
                Ok(true) => break,
                Ok(false) => {}
                Err(error) => return (Err(error), buf),
            }
            match self.read_more(READ_BYTES).await {
                Ok(0) => return (Ok(0), buf),
                Ok(_) => {}
                Err(error) => return (Err(error), buf),
            }
        }
        let mut released = &self.buffer[..self.released];
        let (result, returned) = released.read(buf).await;
        buf = returned;
        if let Ok(count) = result {
            self.buffer.advance(count);
            self.released -= count;
        }
        (result, buf)
    }

    async fn readv<T: IoVecBufMut>(&mut self, buf: T) -> BufResult<usize, T> {
        match IoVecWrapperMut::new(buf) {
            Ok(wrapper) => {
                let (result, wrapper) = self.read(wrapper).await;
                (result, wrapper.into_inner())
            }
            Err(buf) => (Ok(0), buf),
        }
    }
}
