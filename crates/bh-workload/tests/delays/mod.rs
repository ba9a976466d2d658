//! Simulates a site where records, orders and answers take time: workers in memory, a log that commits late, and leaders that stall or are
//! replaced.

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
