//! Identifiers of steps, tasks and runs.

use super::JobId;
use serde::Deserialize;
use serde::Serialize;
use std::fmt;

/// One step of one occurrence of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StepId {
    /// The job.
    pub job: JobId,
    /// Occurrence, from 0. It is always 0 for a job without a schedule.
    pub occurrence: u32,
    /// Position of the step in the job, from 0.
    pub step: u32,
}

impl fmt::Display for StepId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// One task of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskId {
    /// The step.
    pub step: StepId,
    /// Position in the step, from 0.
    pub index: u32,
}

impl TaskId {
    /// Parses `JOB.OCCURRENCE.STEP.INDEX`.
    pub fn parse(text: &str) -> Option<TaskId> {
        let mut parts = text.split('.');
        let job = JobId::parse(parts.next()?)?;
        let occurrence = parts.next()?.parse().ok()?;
        let step = parts.next()?.parse().ok()?;
        let index = parts.next()?.parse().ok()?;
        parts.next().is_none().then_some(TaskId {
            step: StepId {
                job,
                occurrence,
                step,
            },
            index,
        })
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}

/// One run of a task on one worker.
///
/// Serialized as a list of numbers: the replicated record holds so many runs that field names would make up most of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "Numbers", into = "Numbers")]
pub struct RunId {
    /// The task.
    pub task: TaskId,
    /// Number of the run, from 1.
    pub attempt: u32,
}

/// Serialized form: job, occurrence, step, index, attempt.
type Numbers = (JobId, u32, u32, u32, u32);

impl From<Numbers> for RunId {
    fn from((job, occurrence, step, index, attempt): Numbers) -> Self {
        let step = StepId {
            job,
            occurrence,
            step,
        };
        Self {
            task: TaskId { step, index },
            attempt,
        }
    }
}

impl From<RunId> for Numbers {
    fn from(run: RunId) -> Self {
        let TaskId { step, index } = run.task;
        (step.job, step.occurrence, step.step, index, run.attempt)
    }
}

impl fmt::Display for RunId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.attempt)
    }
}
