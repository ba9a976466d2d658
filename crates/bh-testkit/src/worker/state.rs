//! State and statistics of a stand-in worker.

use super::faults::Faults;
use super::options::WorkerOptions;
use super::tasks::Tasks;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;

/// Counts of what a worker has done, for the checks of a test.
#[derive(Clone, Debug, Default)]
pub struct WorkerStats {
    /// How often each idempotency key was run.
    pub runs_by_key: BTreeMap<String, u64>,
    /// How often each body of a short request was run; only the first characters of a body count.
    pub runs_by_body: BTreeMap<String, u64>,
    /// Number of short requests that were run.
    pub runs: u64,
    /// Number of short requests in progress.
    pub in_progress: u32,
    /// Largest number of short requests that were in progress at the same time.
    pub most_in_progress: u32,
    /// Number of orders refused because the worker knows a newer attempt of the job.
    pub stale_orders: u64,
}

/// State shared between the worker's event loop and the test.
pub(super) struct State {
    pub options: WorkerOptions,
    pub faults: Mutex<Faults>,
    pub stats: Mutex<WorkerStats>,
    pub tasks: Mutex<Tasks>,
    pub stop: AtomicBool,
    pub incarnation: u64,
}
