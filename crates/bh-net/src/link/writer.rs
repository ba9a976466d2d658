//! The sending side of a link.

use super::codec::RawCodec;
use super::key::LinkKey;
use super::key::MAC_BYTES;
use bh_protocol::wire::Frame;
use bytes::BufMut;
use bytes::BytesMut;
use monoio::io::AsyncWriteRent;
use monoio::io::sink::Sink;
use monoio_codec::FramedWrite;
use prost::Message;
use std::io;

/// Writes frames, each with its MAC.
pub struct Writer<W> {
    framed: FramedWrite<W, RawCodec>,
    key: LinkKey,
    sequence: u64,
}

impl<W: AsyncWriteRent> Writer<W> {
    /// Creates a writer of frames that are authenticated with `key` and numbered from 0.
    pub fn new(sink: W, key: LinkKey) -> Self {
        Self {
            framed: FramedWrite::new(sink, RawCodec::new()),
            key,
            sequence: 0,
        }
    }

    /// Switches to another key after the handshake and numbers frames from 0 again.
    pub fn set_key(&mut self, key: LinkKey) {
        self.key = key;
        self.sequence = 0;
    }

    /// Queues `frame` and returns its size on the wire in bytes; [`Writer::flush`] sends it.
    ///
    /// # Errors
    ///
    /// When the connection is broken or the frame is too large.
    pub async fn feed(&mut self, frame: &Frame) -> io::Result<usize> {
        let content = frame.encode_to_vec();
        let mut bytes = BytesMut::with_capacity(MAC_BYTES + content.len());
        bytes.put_slice(&self.key.mac(self.sequence, &content));
        bytes.put_slice(&content);
        self.sequence += 1;
        let size = bytes.len();
        self.framed.send(bytes.freeze()).await?;
        Ok(size)
    }

    /// Sends the queued frames.
    ///
    /// # Errors
    ///
    /// When the connection is broken.
    pub async fn flush(&mut self) -> io::Result<()> {
        Sink::<bytes::Bytes>::flush(&mut self.framed).await
    }
}
