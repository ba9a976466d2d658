//! Links to the other entries: one that this entry opens to each of them, and one that each of them opens to this entry.

mod accept;
mod dial;
mod peer;
mod table;

pub use accept::accept;
pub use dial::dial;
pub use peer::Peer;
pub use table::Peers;
