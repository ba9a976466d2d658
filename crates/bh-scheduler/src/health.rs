//! Detects workers on which every job fails.

use std::collections::BTreeSet;

/// Different jobs that must fail on a worker, with no success in between, before the worker is set aside.
const FAILED_JOBS_TO_SET_ASIDE: usize = 3;
/// How long a worker is set aside the first time. The time doubles with each further failure.
const FIRST_SET_ASIDE_MS: u64 = 30_000;
/// Upper limit of the time a worker is set aside.
const MAX_SET_ASIDE_MS: u64 = 3_600_000;

/// Failures of jobs on one worker.
///
/// A worker on which every job fails at once is always free, so it would attract every job. After failures of several
/// different jobs, the worker is set aside, which means that it gets no new jobs for a while. A job that fails on other
/// workers too doesn't count against the worker.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failed_jobs: BTreeSet<u64>,
    set_aside_until_ms: Option<u64>,
    set_aside_count: u32,
}

impl Health {
    /// Counts a failure of `job` on this worker. Returns whether the worker is set aside now.
    pub fn record_failure(&mut self, now_ms: u64, job: u64) -> bool {
        self.failed_jobs.insert(job);
        // A worker that was set aside before is set aside again after a single failure.
        let needed = if self.set_aside_count > 0 {
            1
        } else {
            FAILED_JOBS_TO_SET_ASIDE
        };
        if self.failed_jobs.len() < needed {
            return false;
        }
        let set_aside_ms =
            (FIRST_SET_ASIDE_MS << self.set_aside_count.min(16)).min(MAX_SET_ASIDE_MS);
        self.set_aside_count += 1;
        self.set_aside_until_ms = Some(now_ms + set_aside_ms);
        self.failed_jobs.clear();
        true
    }

    /// Clears all failures after a job has succeeded on this worker.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Removes the failure of a job that turned out to fail on other workers as well.
    pub fn clear_failure(&mut self, job: u64) {
        self.failed_jobs.remove(&job);
    }

    /// Whether the worker gets no new jobs at `now_ms`.
    pub fn is_set_aside(&self, now_ms: u64) -> bool {
        self.set_aside_until_ms.is_some_and(|until| now_ms < until)
    }

    /// Whether the worker has been set aside and no job has succeeded on it since.
    pub fn is_suspect(&self) -> bool {
        self.set_aside_count > 0
    }
}
