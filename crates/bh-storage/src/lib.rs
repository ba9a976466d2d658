//! The data folder of a VM: the identity of its replicas, and one journal with checksums for each replication group.
//!
//! A write survives a crash only once it is synced, so every function here says whether it syncs.

mod folder;
mod journal;
mod operation;
mod record;
mod recovered_state;
mod reserve;

pub use folder::Folder;
pub use folder::random_replica_id;
pub use journal::Journal;
pub use operation::BeforeOperation;
pub use operation::Operation;
pub use record::Record;
pub use record::RecordError;
pub use record::Snapshot;
pub use record::Vote;
pub use record::decode_all;
pub use record::encode;
pub use recovered_state::RecoveredState;
pub use reserve::Reserve;
