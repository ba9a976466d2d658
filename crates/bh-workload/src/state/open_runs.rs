//! Index of the recorded runs, by task.

use super::Worker;
use crate::job::JobId;
use crate::job::RunId;
use crate::job::StepId;
use crate::job::TaskId;
use bh_protocol::Incarnation;
use std::collections::BTreeMap;

/// Which worker holds each recorded run.
///
/// The runs of a job can be found without it only by a scan of all workers. Jobs and gangs end more often the larger the fleet is, so the
/// time for these scans would grow with the square of the fleet.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct OpenRuns {
    holders: BTreeMap<RunId, Incarnation>,
}

/// The run with this number of the task `index` of `step`.
fn run(step: StepId, index: u32, attempt: u32) -> RunId {
    RunId {
        task: TaskId { step, index },
        attempt,
    }
}

impl OpenRuns {
    /// Creates the index of the runs of `workers`.
    pub fn new<'a>(workers: impl Iterator<Item = &'a Worker>) -> Self {
        let of_worker = |worker: &'a Worker| {
            let runs = worker.runs.keys();
            runs.map(|run| (*run, worker.info.id.clone()))
        };
        Self {
            holders: workers.flat_map(of_worker).collect(),
        }
    }

    /// Adds a run on `worker`.
    pub fn insert(&mut self, run: RunId, worker: &Incarnation) {
        self.holders.insert(run, worker.clone());
    }

    /// Removes a run.
    pub fn remove(&mut self, run: RunId) {
        self.holders.remove(&run);
    }

    /// The worker that holds a run.
    pub fn holder(&self, run: RunId) -> Option<&Incarnation> {
        self.holders.get(&run)
    }

    /// The runs of a task, with their workers.
    pub fn of_task(&self, task: TaskId) -> impl Iterator<Item = (RunId, &Incarnation)> {
        let TaskId { step, index } = task;
        self.between(run(step, index, 0), run(step, index, u32::MAX))
    }

    /// The runs of a step, with their workers.
    pub fn of_step(&self, step: StepId) -> impl Iterator<Item = (RunId, &Incarnation)> {
        self.between(run(step, 0, 0), run(step, u32::MAX, u32::MAX))
    }

    /// The runs of a job, with their workers.
    pub fn of_job(&self, job: JobId) -> impl Iterator<Item = (RunId, &Incarnation)> {
        let step = |occurrence, step| StepId {
            job,
            occurrence,
            step,
        };
        let last = run(step(u32::MAX, u32::MAX), u32::MAX, u32::MAX);
        self.between(run(step(0, 0), 0, 0), last)
    }

    fn between(&self, first: RunId, last: RunId) -> impl Iterator<Item = (RunId, &Incarnation)> {
        let runs = self.holders.range(first..=last);
        runs.map(|(run, worker)| (*run, worker))
    }
}
