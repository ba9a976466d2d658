//! Links to the other entries: one that this entry dials to each, and one that each dials here.

mod accept;
mod dial;
mod peer;
mod table;

pub use accept::accept;
pub use dial::dial;
pub use peer::Peer;
pub use table::Peers;
