//! Counts of jobs, tasks and runs, as reported by customer and by queue.

use serde::Deserialize;
use serde::Serialize;

/// Load of a customer or of a queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadCounts {
    /// Number of jobs that have not ended.
    pub active_jobs: u64,
    /// Number of jobs that have waiting tasks and no recorded run.
    pub waiting_jobs: u64,
    /// Number of tasks without a run that could start now: their occurrence is due and the steps before them are done.
    pub waiting_tasks: u64,
    /// Number of recorded runs, including runs of ended jobs that are being stopped.
    pub runs: u64,
    /// Number of accelerators that these runs use.
    pub accelerators: u64,
}

impl LoadCounts {
    /// Adds `other`.
    pub fn add(&mut self, other: &LoadCounts) {
        self.active_jobs += other.active_jobs;
        self.waiting_jobs += other.waiting_jobs;
        self.waiting_tasks += other.waiting_tasks;
        self.runs += other.runs;
        self.accelerators += other.accelerators;
    }
}
