//! Links to the other entries: one that this entry dials to each, and one that each dials here.

mod accept;
mod call_error;
mod dial;
mod peer;
mod table;
mod write_frames;

pub use accept::accept;
pub use call_error::CallError;
pub use dial::dial;
pub use peer::Peer;
pub use table::Peers;
