//! Simulates a site, which is the cores and all workers that they control, where records, orders and answers take time: workers in memory, a
//! log that commits late, and leaders that stall or are replaced. A core is a process that keeps the replicated record and may lead; a carrier
//! is the core that passes the leader's orders to a worker.
//!
//! *Stall* has two meanings: a leader stalls while it gets no processor time, and a job is stalled while nothing of it runs although there is
//! capacity for it.

mod coverage;
mod event;
pub mod faults;
pub mod fleet;
mod gangs;
pub mod history;
mod job_draft;
mod leader;
pub mod load;
mod log;
mod network;
mod site;
mod stalls;
mod summary;

pub use coverage::Coverage;
pub use site::coverage;
pub use site::findings;
pub use site::stall_durations;
pub use site::trace;
pub use stalls::StallDuration;

/// Number of failures after which a task must not start again, as in the rules of `support`.
pub const MAX_ATTEMPTS: usize = 2;
