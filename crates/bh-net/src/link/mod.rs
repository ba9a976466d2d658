//! The keyed, framed link between two entries.

mod codec;
mod handshake;
mod key;
mod reader;
mod writer;

pub use codec::MAX_FRAME_BYTES;
pub use codec::RawCodec;
pub use handshake::Opened;
pub use handshake::handshake;
pub use key::LinkKey;
pub use key::MAC_BYTES;
pub use reader::Reader;
pub use writer::Writer;
