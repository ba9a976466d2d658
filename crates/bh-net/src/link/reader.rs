//! The receiving side of a link.

use super::codec::MAX_FRAME_BYTES;
use super::codec::RawCodec;
use super::key::LinkKey;
use super::key::MAC_BYTES;
use bh_protocol::wire::Frame;
use monoio::io::AsyncReadRent;
use monoio::io::stream::Stream;
use monoio_codec::FramedRead;
use prost::Message;
use std::io;

/// Maximum size of the first frame in bytes: it comes from an unknown sender, and holds names and addresses only.
const MAX_HELLO_BYTES: usize = 16 << 10;

/// Reads frames and checks their MACs. Run it in its own task: cancelling a read would lose a partly read frame.
pub struct Reader<R> {
    framed: FramedRead<R, RawCodec>,
    key: LinkKey,
    sequence: u64,
}

impl<R: AsyncReadRent> Reader<R> {
    /// Creates a reader of small frames that are authenticated with `key` and numbered from 0.
    pub fn new(source: R, key: LinkKey) -> Self {
        Self {
            framed: FramedRead::new(
                source,
                RawCodec::new().with_max_frame_bytes(MAX_HELLO_BYTES),
            ),
            key,
            sequence: 0,
        }
    }

    /// Switches to another key after the handshake, numbers frames from 0 again, and reads frames up to [`MAX_FRAME_BYTES`].
    pub fn set_key(&mut self, key: LinkKey) {
        self.framed
            .decoder_mut()
            .set_max_frame_bytes(MAX_FRAME_BYTES);
        self.key = key;
        self.sequence = 0;
    }

    /// Reads the next frame, or `None` at the end of the connection.
    ///
    /// # Errors
    ///
    /// `InvalidData` for a frame with a wrong MAC, also if it was repeated or reordered, or for one that cannot be decoded.
    pub async fn next(&mut self) -> io::Result<Option<Frame>> {
        let Some(frame) = self.framed.next().await else {
            return Ok(None);
        };
        let bytes = frame?;
        let invalid = |what: &str| io::Error::new(io::ErrorKind::InvalidData, what);
        if bytes.len() < MAC_BYTES {
            return Err(invalid("a frame is too short for its authentication code"));
        }
        let (mac, content) = bytes.split_at(MAC_BYTES);
        if !self.key.verify(self.sequence, content, mac) {
            return Err(invalid("the authentication code of a frame is wrong"));
        }
        self.sequence += 1;
        Frame::decode(content)
            .map(Some)
            .map_err(|_| invalid("a frame cannot be decoded"))
    }
}
