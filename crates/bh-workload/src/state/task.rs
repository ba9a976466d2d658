//! Progress of tasks and of the step they belong to.

use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Where a task stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// Nothing of it runs.
    #[default]
    Waiting,
    /// The run with this number is recorded and not known to be over.
    Open(u32),
    /// Done for good.
    Done,
}

/// Whether a count need not be written.
#[expect(clippy::trivially_copy_pass_by_ref, reason = "what serde asks for")]
fn is_zero(count: &u32) -> bool {
    *count == 0
}

/// One task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// Where it stands.
    pub state: TaskState,
    /// Number of its last run; 0 before the first.
    pub attempt: u32,
    /// Runs that failed.
    pub failures: u32,
    /// Workers that crashed while a run of it was there and had not been at work for long. Hardly any task has one, and the record holds
    /// very many tasks.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub crashes: u32,
    /// Those of them that crashed when the run had just begun.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub crashes_at_start: u32,
    /// Workers that crashed when a run of it had been ordered and may have begun.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub possible_crashes: u32,
    /// Saved progress.
    pub checkpoint: Option<Arc<str>>,
}

/// One step of one occurrence.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Its tasks by index.
    pub tasks: Vec<Task>,
    /// Tasks that are done.
    pub done: u32,
    /// Recorded runs not known to be over, those of done tasks included.
    pub open_runs: u32,
    /// Attempts of the gang that failed.
    pub failures: u32,
    /// The last attempt of the gang that failed; several members of one attempt may fail.
    pub failed_attempt: u32,
    /// The last attempt of the gang whose failure was heard after it had been recorded as lost.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub late_failed_attempt: u32,
    /// Members of the gang's last attempt that ended because another one did, while others of them are open. A leader that comes later does not hear of
    /// them any more. Not those on workers that may begin a run again after a restart.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub broken: BTreeSet<u32>,
}

impl Step {
    /// A step of `count` waiting tasks.
    pub fn new(count: u32) -> Self {
        Self {
            tasks: (0..count).map(|_| Task::default()).collect(),
            ..Self::default()
        }
    }

    pub(super) fn count_done(&mut self) {
        let done = self
            .tasks
            .iter()
            .filter(|task| task.state == TaskState::Done)
            .count();
        self.done = u32::try_from(done).unwrap_or(u32::MAX);
    }

    /// Whether all tasks are done.
    pub fn is_done(&self) -> bool {
        usize::try_from(self.done).is_ok_and(|done| done == self.tasks.len())
    }

    /// Whether the whole gang waits and nothing of an earlier attempt can still run.
    pub fn gang_waits(&self) -> bool {
        self.open_runs == 0
            && self
                .tasks
                .iter()
                .all(|task| task.state == TaskState::Waiting)
    }

    /// Whether a task, or the gang, waits though it has failed `most` times.
    pub fn has_used_up(&self, most: u32, gang: bool) -> bool {
        if gang {
            return self.failures >= most && self.gang_waits();
        }
        let waits = |task: &&Task| task.state == TaskState::Waiting;
        self.tasks
            .iter()
            .filter(waits)
            .any(|task| task.failures >= most)
    }

    /// Whether every task of the gang has the run `attempt` open: one member that ended ends the others.
    pub fn gang_is_whole(&self, attempt: u32) -> bool {
        self.tasks
            .iter()
            .all(|task| task.state == TaskState::Open(attempt))
    }

    /// The number that the next run of the whole gang takes.
    pub fn next_gang_attempt(&self) -> u32 {
        1 + self
            .tasks
            .iter()
            .map(|task| task.attempt)
            .max()
            .unwrap_or(0)
    }
}
