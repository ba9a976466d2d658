//! Length-delimited frames: `LengthDelimitedCodec`, adapted to the encoder trait of `tokio-util` and the decoder trait of `monoio`.

use bytes::Bytes;
use bytes::BytesMut;
use monoio_codec::Decoded;
use std::io;
use tokio_util::codec::LengthDelimitedCodec;

/// Maximum size of a frame in bytes; a snapshot is sent in one frame.
pub const MAX_FRAME_BYTES: usize = 64 << 20;

/// Codec of byte frames, each with its length in front.
pub struct RawCodec {
    inner: LengthDelimitedCodec,
}

impl RawCodec {
    /// Creates a codec that refuses frames over [`MAX_FRAME_BYTES`].
    pub fn new() -> Self {
        let inner = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        Self { inner }
    }

    /// Sets the maximum size of a frame in bytes.
    pub fn with_max_frame_bytes(mut self, max_frame_bytes: usize) -> Self {
        self.set_max_frame_bytes(max_frame_bytes);
        self
    }

    /// Changes the maximum size of a frame in bytes.
    pub fn set_max_frame_bytes(&mut self, max_frame_bytes: usize) {
        self.inner.set_max_frame_length(max_frame_bytes);
    }
}

impl Default for RawCodec {
    fn default() -> Self {
        Self::new()
    }
}

impl tokio_util::codec::Encoder<Bytes> for RawCodec {
    type Error = io::Error;

    fn encode(&mut self, item: Bytes, buffer: &mut BytesMut) -> io::Result<()> {
        tokio_util::codec::Encoder::encode(&mut self.inner, item, buffer)
    }
}

impl monoio_codec::Decoder for RawCodec {
    type Item = BytesMut;
    type Error = io::Error;

    fn decode(&mut self, buffer: &mut BytesMut) -> io::Result<Decoded<BytesMut>> {
        let frame = tokio_util::codec::Decoder::decode(&mut self.inner, buffer)?;
        Ok(frame.map_or(Decoded::Insufficient, Decoded::Some))
    }
}
