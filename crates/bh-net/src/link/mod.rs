//! The link between two entries: authenticated frames and calls.

mod bind;
mod call_error;
mod channel;
mod codec;
mod handshake;
mod key;
mod reader;
mod write_frames;
mod writer;

pub use bind::bind;
pub use call_error::CallError;
pub use channel::Channel;
pub use codec::MAX_FRAME_BYTES;
pub use codec::RawCodec;
pub use handshake::OpenedLink;
pub use handshake::handshake;
pub use key::LinkKey;
pub use key::MAC_BYTES;
pub use reader::Reader;
pub use write_frames::write_frames;
pub use writer::Writer;
