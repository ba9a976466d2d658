//! Specification of a job.

use super::StepSpec;
use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;

/// Maximum number of steps in a job. Without a limit, one caller could fill the replicated state.
pub const MAX_STEPS: usize = 64;
/// Maximum size of a job's text in bytes. It is recorded, and sent to a worker with each start.
pub const MAX_TEXT_BYTES: usize = 64 << 10;
/// Maximum size of the name of a label, a rack, an image, a pool or a VM in bytes.
pub const MAX_LABEL_BYTES: usize = 1 << 10;
/// Maximum number of labels of a worker. They are recorded with it.
pub const MAX_LABELS: usize = 64;
/// Maximum number of tasks in one occurrence of a job, over all its steps. It allows several steps that are each as large as the largest gang
/// that the system is designed for.
pub const MAX_TASKS: u64 = 8_192;
/// Maximum number of tasks in all occurrences of a job. All of them are recorded from the acceptance of the job on.
pub const MAX_ALL_TASKS: u64 = 65_536;
/// Maximum number of occurrences of a job.
pub const MAX_OCCURRENCES: u32 = 1_024;

/// A job as its caller specifies it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Opaque text that is passed to every task.
    pub text: Arc<str>,
    /// Steps in order.
    pub steps: Vec<StepSpec>,
    /// When the steps run; `None` to run them once, at once.
    pub schedule: Option<Schedule>,
}

/// Schedule of a repeated job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// When the first occurrence is due, in milliseconds since 1970.
    pub first_due_ms: u64,
    /// Time between occurrences, in milliseconds.
    pub interval_ms: u64,
    /// Number of occurrences, at least 1.
    pub times: u32,
}

impl JobSpec {
    /// Returns the number of occurrences.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.times)
    }

    /// Returns when an occurrence is due, in milliseconds since 1970, or `None` if it may start at once.
    pub fn due_ms(&self, occurrence: u32) -> Option<u64> {
        self.schedule
            .map(|schedule| schedule.first_due_ms + u64::from(occurrence) * schedule.interval_ms)
    }

    /// Returns the first reason why the job is invalid, or `None` if it is valid.
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
        let waits_for_later = |(at, step): (usize, &StepSpec)| {
            step.after
                .iter()
                .any(|before| usize::try_from(*before).is_ok_and(|before| before >= at))
        };
        if self.steps.iter().enumerate().any(waits_for_later) {
            return Some("a step waits for itself or a later one");
        }
        if self.occurrences() > MAX_OCCURRENCES {
            return Some("the job has too many occurrences");
        }
        if tasks * u64::from(self.occurrences()) > MAX_ALL_TASKS {
            return Some("the job has too many tasks in all its occurrences");
        }
        None
    }
}
