//! The data folder of one entry VM: its identity, and one checksummed log for each replication group.
//!
//! Files last only once they are synced, so every function here says when it syncs.

mod folder;
mod journal;
mod record;
mod recovered;

pub use folder::Folder;
pub use folder::random_replica_id;
pub use journal::Journal;
pub use record::Record;
pub use record::RecordError;
pub use record::Snapshot;
pub use record::Vote;
pub use record::decode_all;
pub use record::encode;
pub use recovered::Recovered;
