//! The entry process: replication groups, links to the other entries, the leader's duties and the HTTP surface.
//!
//! Decisions are made by the pure crates; this one carries them out on one loop.

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
