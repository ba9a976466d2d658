//! Long jobs: what a caller submits and what it reads back.

use crate::shape::Shape;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A caller's submission, the body of `POST /v1/customers/{customer}/jobs`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Submission {
    /// Idempotency key: a resend with the same key returns the same job.
    pub key: Arc<str>,
    /// Name of a shape in the settings of the customer's team.
    pub shape: Arc<str>,
    /// Name of a request type, which decides the priority.
    pub request_type: Arc<str>,
    /// Run time the caller declares, in milliseconds; often far off.
    pub declared_ms: u64,
    /// Handed to every task unchanged.
    #[serde(default)]
    pub payload: String,
}

/// A job as recorded: the submission with its names resolved.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spec {
    /// Team that owns the customer.
    pub team: Arc<str>,
    /// Customer the job is charged to.
    pub customer: Arc<str>,
    /// The caller's idempotency key.
    pub key: Arc<str>,
    /// Name of the shape; guarantees are matched by it.
    pub shape_name: Arc<str>,
    /// The demand.
    pub shape: Shape,
    /// Priority from the request type; higher is sooner.
    pub priority: u8,
    /// Declared run time in milliseconds.
    pub declared_ms: u64,
    /// Handed to every task.
    pub payload: String,
}

/// Where a job is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Waiting for a placement.
    Queued,
    /// The decision to start is recorded; tasks are starting or running.
    Started,
    /// All tasks finished.
    Done,
    /// Given up, with a reason.
    Failed,
    /// Cancelled by the caller.
    Cancelled,
}

impl Phase {
    /// Whether the job will not change any more.
    pub fn is_final(self) -> bool {
        matches!(self, Phase::Done | Phase::Failed | Phase::Cancelled)
    }
}

/// One task's place: a worker and how many accelerators it gives.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskPlace {
    /// Index of the task in its gang, from 0.
    pub task: u32,
    /// Worker that runs it.
    pub worker: Arc<str>,
}

/// A whole gang's placement.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// One place for each task.
    pub tasks: Vec<TaskPlace>,
}

impl Placement {
    /// Indices of the tasks on each worker, in order of worker name.
    pub fn tasks_by_worker(&self) -> BTreeMap<Arc<str>, Vec<u32>> {
        let mut tasks: BTreeMap<Arc<str>, Vec<u32>> = BTreeMap::new();
        for place in &self.tasks {
            tasks
                .entry(place.worker.clone())
                .or_default()
                .push(place.task);
        }
        tasks
    }

    /// Number of tasks on each worker, in order of worker name.
    pub fn per_worker(&self) -> BTreeMap<Arc<str>, u32> {
        let mut counts = BTreeMap::new();
        for place in &self.tasks {
            *counts.entry(place.worker.clone()).or_insert(0) += 1;
        }
        counts
    }
}

/// A job as read back.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// Identity of the job in its data centre.
    pub job: u64,
    /// Data centre that holds it.
    pub data_centre: Arc<str>,
    /// Customer it belongs to.
    pub customer: Arc<str>,
    /// Name of its shape.
    pub shape: Arc<str>,
    /// Where it is in its life.
    pub phase: Phase,
    /// Whether every task of the gang has reported itself running.
    pub running: bool,
    /// Start attempts so far; each has an epoch of its own.
    pub attempt: u64,
    /// Placement of the current attempt.
    pub placement: Placement,
    /// Why it waits, failed or was stopped.
    pub reason: String,
    /// Milliseconds since it was submitted.
    pub age_ms: u64,
}
