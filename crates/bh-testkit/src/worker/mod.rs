//! A stand-in for a worker: speaks the target protocol over HTTP, and takes faults to order.

mod announce;
mod faults;
mod options;
mod serve;
mod state;
mod tasks;

pub use faults::Faults;
pub use options::WorkerOptions;
pub use serve::Worker;
pub use state::WorkerStats;
