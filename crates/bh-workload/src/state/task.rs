//! Progress of tasks and of the step to which they belong.

use super::job::is_false;
use crate::job::RunId;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeSet;
use std::sync::Arc;

/// State of a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// No run of it is recorded as in progress.
    #[default]
    Waiting,
    /// The run with this number is recorded and not known to have ended. It may not have started yet.
    Open(u32),
    /// Done.
    Done,
}

/// Whether a count can be left out of the serialized form.
#[expect(clippy::trivially_copy_pass_by_ref, reason = "what serde asks for")]
fn is_zero(count: &u32) -> bool {
    *count == 0
}

/// A task of a step.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// Its state.
    pub state: TaskState,
    /// Number of its last run; 0 before the first.
    pub attempt: u32,
    /// Number of runs that failed.
    pub failures: u32,
    /// Number of workers that crashed while a run of the task was in progress there, counting only runs that had not been running for long.
    /// Left out if zero: few tasks have any, and the record holds very many tasks.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub crashes: u32,
    /// Number of those crashes that happened just after the start of the run.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub crashes_at_start: u32,
    /// Number of workers that crashed after a run of the task had been ordered there, where it is unknown whether the run had started.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub possible_crashes: u32,
    /// Whether a crash under the task was once taken back, because many workers were lost at once. That happens once only, since several tasks
    /// that crash their workers some time after their starts look like such a loss.
    #[serde(default, skip_serializing_if = "is_false")]
    pub exonerated: bool,
    /// Number of runs that were stopped to make room for other work although the job went on. For a gang, the attempts that were stopped, the
    /// same number for every member.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub displacements: u32,
    /// The last run of a service's task that is not started any more, because workers crashed under it. The other tasks of the service go on.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub given_up: Option<RunId>,
    /// Its last checkpoint.
    pub checkpoint: Option<Arc<str>>,
}

impl Task {
    /// Whether it waits to be started.
    pub fn is_waiting(&self) -> bool {
        self.state == TaskState::Waiting && self.given_up.is_none()
    }
}

/// One step of one occurrence of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Its tasks by index.
    pub tasks: Vec<Task>,
    /// Number of tasks that are done.
    pub done: u32,
    /// Number of recorded runs that are not known to have ended, including those of done tasks.
    pub open_runs: u32,
    /// Number of attempts of the gang that failed.
    pub failures: u32,
    /// The last attempt of the gang that failed; several members of one attempt may fail.
    pub failed_attempt: u32,
    /// The last attempt of the gang whose failure was reported after it had been recorded as lost.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub late_failed_attempt: u32,
    /// The last attempt of the gang of which a member ended for a cause of its own. It counts as displaced at most once, and not at all if
    /// that cause was another one.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub ended_attempt: u32,
    /// Members of the gang's last attempt that ended because another member had ended, while the runs of further members are still open.
    /// Kept for later leaders, to which these ends are not reported again. Members on workers that may start a run again after a restart
    /// are left out.
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

    pub(super) fn update_done(&mut self) {
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

    /// Whether the whole gang waits and no run of an earlier attempt can still be in progress.
    pub fn is_gang_waiting(&self) -> bool {
        self.open_runs == 0
            && self
                .tasks
                .iter()
                .all(|task| task.state == TaskState::Waiting)
    }

    /// Whether a task, or the gang, waits although it has failed `max_attempts` times.
    pub fn has_exhausted_attempts(&self, max_attempts: u32, gang: bool) -> bool {
        if gang {
            return self.failures >= max_attempts && self.is_gang_waiting();
        }
        let is_waiting = |task: &&Task| task.state == TaskState::Waiting;
        self.tasks
            .iter()
            .filter(is_waiting)
            .any(|task| task.failures >= max_attempts)
    }

    /// Whether the run `attempt` of every task of the gang is open. When one member ends, the others are stopped.
    pub fn gang_is_whole(&self, attempt: u32) -> bool {
        self.tasks
            .iter()
            .all(|task| task.state == TaskState::Open(attempt))
    }

    /// Number of the next attempt of the whole gang.
    pub fn next_gang_attempt(&self) -> u32 {
        1 + self
            .tasks
            .iter()
            .map(|task| task.attempt)
            .max()
            .unwrap_or(0)
    }
}
