//! The receiving side of a link.

use super::codec::RawCodec;
use super::key::LinkKey;
use super::key::MAC_BYTES;
use bh_protocol::wire::Frame;
use monoio::io::AsyncReadRent;
use monoio::io::stream::Stream;
use monoio_codec::FramedRead;
use prost::Message;
use std::io;

/// Reads frames and checks their codes. It has a task of its own: a half-read frame must not be dropped.
pub struct Reader<R> {
    framed: FramedRead<R, RawCodec>,
    key: LinkKey,
    sequence: u64,
}

impl<R: AsyncReadRent> Reader<R> {
    /// A reader that expects frames under `key`, numbered from 0.
    pub fn new(source: R, key: LinkKey) -> Self {
        Self {
            framed: FramedRead::new(source, RawCodec::new()),
            key,
            sequence: 0,
        }
    }

    /// Goes on with another key, after the handshake.
    pub fn set_key(&mut self, key: LinkKey) {
        self.key = key;
        self.sequence = 0;
    }

    /// The next frame, or `None` at the end.
    ///
    /// # Errors
    ///
    /// `InvalidData` for a frame with a wrong code, a repeated or reordered one, or one that cannot be decoded.
    pub async fn next(&mut self) -> io::Result<Option<Frame>> {
        let Some(frame) = self.framed.next().await else {
            return Ok(None);
        };
        let bytes = frame?;
        let invalid = |what: &str| io::Error::new(io::ErrorKind::InvalidData, what);
        if bytes.len() < MAC_BYTES {
            return Err(invalid("a frame without a code"));
        }
        let (code, content) = bytes.split_at(MAC_BYTES);
        if !self.key.verify(self.sequence, content, code) {
            return Err(invalid("a frame with a wrong code"));
        }
        self.sequence += 1;
        Frame::decode(content)
            .map(Some)
            .map_err(|_| invalid("a frame that cannot be decoded"))
    }
}
