//! What a caller asks for.

use super::StepSpec;
use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;

/// Steps in one job at most: an unbounded number would let one caller fill the replicated state.
pub const MAX_STEPS: usize = 64;
/// Tasks in one occurrence of a job at most: the largest gang the system is designed for, in several steps.
pub const MAX_TASKS: u64 = 8_192;
/// Occurrences of one job at most.
pub const MAX_OCCURRENCES: u32 = 1_024;

/// A job as its caller describes it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Handed to every task, not interpreted.
    pub text: Arc<str>,
    /// The steps, in order.
    pub steps: Vec<StepSpec>,
    /// When the steps run, if not at once.
    pub schedule: Option<Schedule>,
}

/// Repetition by time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// When the first occurrence is due, in milliseconds since 1970.
    pub first_due_ms: u64,
    /// Time between occurrences in milliseconds.
    pub interval_ms: u64,
    /// Number of occurrences, at least 1.
    pub times: u32,
}

impl JobSpec {
    /// Number of occurrences.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.times)
    }

    /// When an occurrence is due, in milliseconds since 1970; `None` for at once.
    pub fn due_ms(&self, occurrence: u32) -> Option<u64> {
        self.schedule
            .map(|schedule| schedule.first_due_ms + u64::from(occurrence) * schedule.interval_ms)
    }

    /// What is wrong with the job, if anything.
    pub fn problem(&self) -> Option<&'static str> {
        if self.steps.is_empty() {
            return Some("the job has no step");
        }
        if self.steps.len() > MAX_STEPS {
            return Some("the job has too many steps");
        }
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        if tasks > MAX_TASKS {
            return Some("the job has too many tasks");
        }
        if self.steps.iter().any(|step| step.count == 0) {
            return Some("a step has no task");
        }
        let later = |(at, step): (usize, &StepSpec)| {
            step.after
                .iter()
                .any(|before| usize::try_from(*before).is_ok_and(|before| before >= at))
        };
        if self.steps.iter().enumerate().any(later) {
            return Some("a step waits for itself or a later one");
        }
        if self.occurrences() > MAX_OCCURRENCES {
            return Some("the job has too many occurrences");
        }
        None
    }
}
