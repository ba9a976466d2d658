//! An accepted job and its progress.

use super::EndKind;
use super::GiveUp;
use super::Step;
use super::TaskState;
use crate::job::JobId;
use crate::job::JobSpec;
use crate::job::RunId;
use crate::job::StepId;
use crate::job::StepSpec;
use crate::rules::Queue;
use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;

/// How a job ended. For a job that was given up, [`GiveUp`] says why.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// All tasks are done.
    Completed,
    /// A task or gang failed too often, or too many workers crashed under a task.
    Failed,
    /// Its caller cancelled it.
    Cancelled,
}

/// The state of a job as reported to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// No task has started yet.
    Queued,
    /// Some task has started.
    Running,
    /// It has ended.
    Ended(Outcome),
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "signature required by skip_serializing_if"
)]
pub(super) fn is_false(value: &bool) -> bool {
    !value
}

/// An accepted job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// What was asked for.
    pub spec: Arc<JobSpec>,
    /// Queue through which it was submitted, as the last rules that had it defined it. The queue may be removed from the rules, but an
    /// accepted job must still be carried out.
    pub queue: Arc<Queue>,
    /// Customer to whom it belongs, if the caller was identified.
    pub customer: Option<Arc<str>>,
    /// When it was accepted, in milliseconds since 1970.
    pub accepted_ms: u64,
    /// How it ended; `None` while it has not ended.
    pub outcome: Option<Outcome>,
    /// Why it was given up, if it was.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub given_up: Option<GiveUp>,
    /// When it ended, in milliseconds since 1970 by the record's own time; 0 while it has not ended.
    pub ended_ms: u64,
    /// Whether a task has started, as far as known: a run is recorded that may have started, or one has ended otherwise than by never having
    /// started.
    pub started: bool,
    /// Whether a run has ended otherwise than by never having started.
    #[serde(default, skip_serializing_if = "is_false")]
    pub has_run: bool,
    /// Its steps, ordered by occurrence (repetition of a scheduled job) and then by position.
    pub steps: Vec<Step>,
}

impl Job {
    /// A job without started tasks.
    pub fn new(
        spec: JobSpec,
        queue: Arc<Queue>,
        customer: Option<Arc<str>>,
        accepted_ms: u64,
    ) -> Self {
        let steps = (0..spec.occurrences())
            .flat_map(|_| spec.steps.iter().map(|step| Step::new(step.count)))
            .collect();
        Self {
            spec: Arc::new(spec),
            queue,
            customer,
            accepted_ms,
            outcome: None,
            given_up: None,
            ended_ms: 0,
            started: false,
            has_run: false,
            steps,
        }
    }

    /// Notes that a recorded run has ended.
    pub(super) fn note_run_ended(&mut self, kind: EndKind) {
        self.has_run |= kind != EndKind::NotStarted;
        if !self.has_run {
            self.started = self.has_open_runs();
        }
    }

    /// The state reported to the caller.
    pub fn state(&self) -> JobState {
        match self.outcome {
            Some(outcome) => JobState::Ended(outcome),
            None if self.started => JobState::Running,
            None => JobState::Queued,
        }
    }

    /// Whether it ended before `before_ms`, in milliseconds since 1970.
    pub fn ended_before(&self, before_ms: u64) -> bool {
        self.outcome.is_some() && self.ended_ms < before_ms
    }

    /// Index of a step in `steps`.
    fn position(&self, id: StepId) -> Option<usize> {
        let step = usize::try_from(id.step).ok()?;
        let occurrence = usize::try_from(id.occurrence).ok()?;
        (step < self.spec.steps.len()).then(|| occurrence * self.spec.steps.len() + step)
    }

    /// The progress of a step.
    pub fn step(&self, id: StepId) -> Option<&Step> {
        self.steps.get(self.position(id)?)
    }

    pub(super) fn step_mut(&mut self, id: StepId) -> Option<&mut Step> {
        let position = self.position(id)?;
        self.steps.get_mut(position)
    }

    /// The specification of a step.
    pub fn step_spec(&self, id: StepId) -> Option<&StepSpec> {
        self.spec.steps.get(usize::try_from(id.step).ok()?)
    }

    /// Whether all steps of the same occurrence for which the step `id` waits are done.
    pub fn is_unblocked(&self, id: StepId) -> bool {
        self.step_spec(id).is_some_and(|spec| {
            spec.after.iter().all(|before| {
                self.step(StepId {
                    step: *before,
                    ..id
                })
                .is_some_and(Step::is_done)
            })
        })
    }

    /// Whether a recorded run should go on: the job has not ended, the run is the newest of its task, and its gang is complete.
    pub fn should_run(&self, run: RunId) -> bool {
        if self.outcome.is_some() {
            return false;
        }
        let (Some(step), Some(spec)) = (self.step(run.task.step), self.step_spec(run.task.step))
        else {
            return false;
        };
        if spec.gang {
            return step.gang_is_whole(run.attempt);
        }
        usize::try_from(run.task.index)
            .ok()
            .and_then(|index| step.tasks.get(index))
            .is_some_and(|task| {
                task.state == TaskState::Open(run.attempt) && task.given_up.is_none()
            })
    }

    /// Whether a service of the job has a task that is not given up.
    pub(super) fn has_service_tasks(&self) -> bool {
        let specs = self.spec.steps.iter().cycle();
        let services = specs.zip(&self.steps).filter(|(spec, _)| spec.long_running);
        let mut tasks = services.flat_map(|(_, step)| &step.tasks);
        tasks.any(|task| task.given_up.is_none())
    }

    /// Whether a step is a gang with recorded runs of some members but not of all. Such a gang waits until all of them have ended.
    pub fn is_broken_gang(&self, id: StepId) -> bool {
        let (Some(step), Some(spec)) = (self.step(id), self.step_spec(id)) else {
            return false;
        };
        let is_whole = step
            .tasks
            .first()
            .is_some_and(|task| step.gang_is_whole(task.attempt));
        spec.gang && step.open_runs > 0 && !step.is_done() && !is_whole
    }

    /// Number of broken gangs; see [`Job::is_broken_gang`].
    pub fn broken_gangs(&self, id: JobId) -> usize {
        let steps = (0..self.spec.occurrences()).flat_map(|occurrence| {
            let steps = (0u32..).zip(&self.spec.steps);
            steps.map(move |(step, _)| StepId {
                job: id,
                occurrence,
                step,
            })
        });
        steps.filter(|step| self.is_broken_gang(*step)).count()
    }

    /// Whether a recorded run of the job is not known to have ended.
    pub fn has_open_runs(&self) -> bool {
        self.steps.iter().any(|step| step.open_runs > 0)
    }

    /// Whether all steps are done.
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(Step::is_done)
    }
}
