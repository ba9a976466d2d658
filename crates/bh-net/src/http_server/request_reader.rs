//! Reads the requests of one connection.
//!
//! `monoio-http` parses the heads. Its decoders of bodies keep what they have read for as long as it takes, with a buffer for each chunk, so
//! bodies are read here, into one buffer whose memory is accounted for.

use super::Framing;
use super::Limits;
use super::body_buffer::BodyBuffer;
use super::chunked_decoder::ChunkedDecoder;
use super::chunked_decoder::Piece;
use super::framing::check_head;
use super::read_error::ReadError;
use crate::connections::Slot;
use crate::runtime::rest;
use bh_protocol::Code;
use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use http::request::Parts;
use monoio::io::AsyncReadRent;
use monoio_codec::Decoded;
use monoio_codec::Decoder;
use monoio_http::h1::codec::decoder::RequestHeadDecoder;

/// Bytes per read during a request.
const READ_BYTES: usize = 8 << 10;
/// Bytes of the first read of a request. An idle connection holds a buffer of this size. Most heads and complete heartbeats fit.
const FIRST_READ_BYTES: usize = 1 << 10;
/// Number of bytes after which other tasks get their turn, though there may be more to read.
const REST_BYTES: usize = 64 << 10;
/// Bytes for which a request counts that was read together with the one before. It takes time, however small it is.
const PIPELINED_BYTES: usize = 2 << 10;
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Reads requests from `source`.
pub(super) struct RequestReader<R> {
    source: R,
    limits: Limits,
    /// What has been read and belongs to no request yet.
    buffer: BytesMut,
    /// Number of bytes at the begin of the buffer in which the end of the head is not.
    searched: usize,
    /// Number of bytes read since other tasks had their turn.
    since_rest: usize,
}

impl<R: AsyncReadRent> RequestReader<R> {
    /// Creates a reader that has read nothing.
    pub fn new(source: R, limits: Limits) -> Self {
        Self {
            source,
            limits,
            buffer: BytesMut::new(),
            searched: 0,
            since_rest: 0,
        }
    }

    /// Waits for the first bytes of a request.
    ///
    /// # Errors
    ///
    /// [`ReadError::Closed`] at the end of the connection.
    pub async fn wait(&mut self) -> Result<(), ReadError> {
        if self.buffer.is_empty() {
            // Requests before may have left an allocation.
            self.buffer = BytesMut::new();
            return self.read_more(FIRST_READ_BYTES).await;
        }
        self.note_read(PIPELINED_BYTES).await;
        Ok(())
    }

    /// Reads a head; returns it with how its body is framed.
    ///
    /// # Errors
    ///
    /// [`ReadError::Closed`], or the code with which the request is refused.
    pub async fn head(&mut self) -> Result<(Parts, Framing), ReadError> {
        let end = loop {
            if let Some(end) = self.find_head_end()? {
                break end;
            }
            self.read_more(READ_BYTES).await?;
        };
        self.searched = 0;
        let framing = check_head(&self.buffer[..end], &self.limits)?;
        match RequestHeadDecoder.decode(&mut self.buffer) {
            Ok(Decoded::Some(parts)) => Ok((parts, framing)),
            _ => Err(Code::MalformedHead.into()),
        }
    }

    fn find_head_end(&mut self) -> Result<Option<usize>, Code> {
        let max = self.buffer.len().min(self.limits.max_head_bytes);
        let from = self.searched.saturating_sub(HEAD_END.len() - 1);
        let window = &self.buffer[from..max];
        let found = window
            .windows(HEAD_END.len())
            .position(|bytes| bytes == HEAD_END);
        if let Some(at) = found {
            return Ok(Some(from + at + HEAD_END.len()));
        }
        self.searched = max;
        if self.buffer.len() >= self.limits.max_head_bytes {
            return Err(Code::HeadTooLarge);
        }
        Ok(None)
    }

    /// Reads a body of at most `max_body_bytes`; an announced length must not be over it.
    ///
    /// # Errors
    ///
    /// [`ReadError::Closed`], or the code with which the request is refused.
    pub async fn body(
        &mut self,
        framing: Framing,
        max_body_bytes: u64,
        slot: &Slot,
    ) -> Result<Bytes, ReadError> {
        match framing {
            Framing::Length(length) => {
                let length = usize::try_from(length).map_err(|_| Code::BodyTooLarge)?;
                self.announced_body(length, slot).await
            }
            Framing::Chunked => self.chunked_body(max_body_bytes, slot).await,
        }
    }

    async fn announced_body(&mut self, length: usize, slot: &Slot) -> Result<Bytes, ReadError> {
        let mut body = BodyBuffer::new(slot, length);
        let mut left = length;
        loop {
            let count = left.min(self.buffer.len());
            body.extend(&self.buffer[..count]).await?;
            self.buffer.advance(count);
            left -= count;
            if left == 0 {
                return Ok(body.into_bytes());
            }
            self.read_more(left.min(READ_BYTES)).await?;
        }
    }

    async fn chunked_body(&mut self, max_bytes: u64, slot: &Slot) -> Result<Bytes, ReadError> {
        let capacity = usize::try_from(max_bytes).unwrap_or(usize::MAX);
        let mut body = BodyBuffer::new(slot, capacity);
        let mut decoder = ChunkedDecoder::new(max_bytes);
        loop {
            let (payload, end) = compact(&mut decoder, &mut self.buffer)?;
            body.extend(&self.buffer[..payload]).await?;
            if let Some(end) = end {
                self.buffer.advance(end);
                return Ok(body.into_bytes());
            }
            self.buffer.clear();
            self.read_more(READ_BYTES).await?;
        }
    }

    async fn read_more(&mut self, max_bytes: usize) -> Result<(), ReadError> {
        let (result, chunk) = self.source.read(Vec::with_capacity(max_bytes)).await;
        match result {
            Ok(count) if count > 0 => {
                self.buffer.extend_from_slice(&chunk);
                self.note_read(count).await;
                Ok(())
            }
            _ => Err(ReadError::Closed),
        }
    }

    async fn note_read(&mut self, bytes: usize) {
        self.since_rest += bytes;
        if self.since_rest >= REST_BYTES {
            self.since_rest = 0;
            rest().await;
        }
    }

    /// Reads and discards up to `max_bytes`, until the end of the connection.
    pub async fn discard(&mut self, max_bytes: usize) {
        let mut total = 0;
        while total < max_bytes {
            self.buffer = BytesMut::new();
            if self.read_more(READ_BYTES).await.is_err() {
                return;
            }
            total += self.buffer.len();
        }
    }
}

/// Moves the payload in `bytes` to the begin; returns its length, and where the body ends if it ends there.
fn compact(decoder: &mut ChunkedDecoder, bytes: &mut [u8]) -> Result<(usize, Option<usize>), Code> {
    let (mut at, mut payload) = (0, 0);
    loop {
        match decoder.next(bytes, &mut at)? {
            Piece::Payload(count) => {
                bytes.copy_within(at..at + count, payload);
                at += count;
                payload += count;
            }
            Piece::NeedMore => return Ok((payload, None)),
            Piece::End => return Ok((payload, Some(at))),
        }
    }
}
