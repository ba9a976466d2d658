//! A stand-in worker: it speaks the target protocol over HTTP, and tests can inject faults into it.

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
