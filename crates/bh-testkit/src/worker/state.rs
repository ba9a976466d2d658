//! What a stand-in worker holds and has stats.

use super::faults::Faults;
use super::options::WorkerOptions;
use super::tasks::Tasks;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;

/// What a worker has seen, for the checks of a test.
#[derive(Clone, Debug, Default)]
pub struct WorkerStats {
    /// Times each idempotency key was run.
    pub runs_by_key: BTreeMap<String, u64>,
    /// Bodies of short requests that were run.
    pub runs_by_body: BTreeMap<String, u64>,
    /// Short requests that were run.
    pub runs: u64,
    /// Short requests in progress.
    pub in_progress: u32,
    /// Most short requests in progress at a time.
    pub most_in_progress: u32,
    /// Orders that were refused because a newer attempt is known.
    pub stale_orders: u64,
}

/// State shared between the worker's loop and the test.
pub(super) struct State {
    pub options: WorkerOptions,
    pub faults: Mutex<Faults>,
    pub stats: Mutex<WorkerStats>,
    pub tasks: Mutex<Tasks>,
    pub stop: AtomicBool,
    pub incarnation: u64,
}
