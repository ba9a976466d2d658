//! Jobs: submission, record and status.

use crate::shape::Shape;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A job as a caller submits it, the body of `POST /v1/customers/{customer}/jobs`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Submission {
    /// Idempotency key: a resend with the same key returns the same job.
    pub key: Arc<str>,
    /// Name of a shape in the settings of the customer's team.
    pub shape: Arc<str>,
    /// Name of a request type, which decides the priority.
    pub request_type: Arc<str>,
    /// Run time as declared by the caller, in milliseconds; an estimate that is often wrong.
    pub declared_ms: u64,
    /// Passed to every task unchanged.
    #[serde(default)]
    pub payload: String,
}

/// A submission whose shape and request type have been resolved, as recorded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spec {
    /// Team that owns the customer.
    pub team: Arc<str>,
    /// Customer whose quota and guarantees apply to the job.
    pub customer: Arc<str>,
    /// The caller's idempotency key.
    pub key: Arc<str>,
    /// Name of the shape; guarantees refer to it.
    pub shape_name: Arc<str>,
    /// Tasks and accelerators that the job needs.
    pub shape: Shape,
    /// Priority from the request type; jobs with a higher priority are served first.
    pub priority: u8,
    /// Declared run time in milliseconds.
    pub declared_ms: u64,
    /// Passed to every task unchanged.
    pub payload: String,
}

/// Phase of a job's life cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Waiting for a placement.
    Queued,
    /// The decision to start is recorded; tasks are starting or running.
    Started,
    /// All tasks ended with success.
    Done,
    /// Given up; the reason is recorded.
    Failed,
    /// Cancelled by the caller.
    Cancelled,
}

impl Phase {
    /// Whether the job stays in this phase.
    pub fn is_final(self) -> bool {
        matches!(self, Phase::Done | Phase::Failed | Phase::Cancelled)
    }
}

/// Worker that one task is placed on.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskPlace {
    /// Index of the task in its gang, from 0.
    pub task: u32,
    /// Worker that runs it.
    pub worker: Arc<str>,
}

/// Placement of all tasks of a gang.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// The worker of each task.
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

/// Status of a job as callers read it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// Id of the job, unique in its data centre.
    pub job: u64,
    /// Data centre that runs the job.
    pub data_centre: Arc<str>,
    /// Customer that owns the job.
    pub customer: Arc<str>,
    /// Name of its shape.
    pub shape: Arc<str>,
    /// Phase of its life cycle.
    pub phase: Phase,
    /// Whether every task of the gang is reported as running.
    pub running: bool,
    /// Number of start attempts so far; each has its own epoch.
    pub attempt: u64,
    /// Placement of the current attempt.
    pub placement: Placement,
    /// Why the job waits, failed or was stopped.
    pub reason: String,
    /// Time since the submission in milliseconds.
    pub age_ms: u64,
}
