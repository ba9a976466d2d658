//! Test support: a stand-in worker with fault injection, entries as real processes, a link that can be cut, and checkers
//! of histories.
//!
//! An *entry* is the process of a VM that takes callers' requests.

pub mod cluster;
pub mod crowd;
pub mod history;
pub mod http_raw;
pub mod link;
pub mod model_worker;
pub mod ports;
pub mod process;
pub mod random;
pub mod worker;

pub use cluster::Cluster;
pub use cluster::EntryOptions;
pub use crowd::Crowd;
pub use crowd::Script;
pub use link::Link;
pub use random::Random;
pub use worker::Faults;
pub use worker::Worker;
