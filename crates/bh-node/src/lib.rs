//! The entry process: replication groups, links to the other entries, the leader's work and the HTTP API.
//!
//! An *entry* is the process of a VM that takes callers' requests. Entries also replicate the settings and the jobs of each data centre; one of
//! them leads each replication group. A *target* is a worker that announces itself to the entries and runs requests and tasks.
//!
//! The other crates make the decisions without input or output of their own; this crate executes them on one event loop.

mod background;
pub mod group;
pub mod http_api;
pub mod jobs_machine;
pub mod leader;
pub mod logging;
pub mod metrics;
pub mod node;
pub mod peers;
pub mod requests;
pub mod start;

pub use start::run;
