//! The replicated log: elections, replication, snapshots, membership changes and confirmed reads.
//!
//! [`Replica`] is a pure state machine: it takes the time and an [`Event`] and returns [`Output`]s. It owns no socket, file or clock, so
//! the daemon, the fuzzer and the checker run the same code. The algorithm is Raft (Ongaro and Ousterhout, 2014) with pre-vote,
//! check-quorum and single-server membership changes.

mod config;
mod election;
mod event;
mod follower;
mod leader;
mod log;
mod membership;
mod output;
mod progress;
mod replica;
mod role;
mod voters;

pub use config::Config;
pub use config::VoterPolicy;
pub use event::Event;
pub use output::Output;
pub use replica::PersistedState;
pub use replica::Replica;
pub use role::Role;
