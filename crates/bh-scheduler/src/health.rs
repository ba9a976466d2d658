//! Which workers fail everything they start.

use std::collections::BTreeSet;

/// Distinct jobs that must fail on a worker, with no success between, before it is set aside.
const JOBS_TO_SET_ASIDE: usize = 3;
/// First time aside, in milliseconds; doubles each time.
const FIRST_ASIDE_MS: u64 = 30_000;
/// Longest time aside, in milliseconds.
const LONGEST_ASIDE_MS: u64 = 3_600_000;

/// How one worker's starts have ended.
///
/// A worker that fails everything it starts is always free, so it would attract every job. It is judged by outcomes: a
/// job that fails elsewhere too counts against the job, not against the worker.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failed_jobs: BTreeSet<u64>,
    aside_until_ms: Option<u64>,
    times_aside: u32,
}

impl Health {
    /// Notes that `job` failed here; returns whether the worker is set aside now.
    pub fn failed(&mut self, now_ms: u64, job: u64) -> bool {
        self.failed_jobs.insert(job);
        // Back from being set aside, one more failure is enough.
        let needed = if self.times_aside > 0 {
            1
        } else {
            JOBS_TO_SET_ASIDE
        };
        if self.failed_jobs.len() < needed {
            return false;
        }
        let wait_ms = (FIRST_ASIDE_MS << self.times_aside.min(16)).min(LONGEST_ASIDE_MS);
        self.times_aside += 1;
        self.aside_until_ms = Some(now_ms + wait_ms);
        self.failed_jobs.clear();
        true
    }

    /// Notes that a job ran to its end here.
    pub fn succeeded(&mut self) {
        *self = Self::default();
    }

    /// Takes back the failures of a job that turned out to fail everywhere.
    pub fn forgive(&mut self, job: u64) {
        self.failed_jobs.remove(&job);
    }

    /// Whether the worker gets no job at `now_ms`.
    pub fn is_aside(&self, now_ms: u64) -> bool {
        self.aside_until_ms.is_some_and(|until| now_ms < until)
    }

    /// Whether the worker has been set aside and has not succeeded since.
    pub fn is_suspect(&self) -> bool {
        self.times_aside > 0
    }
}
