//! A job as the leader's scheduler sees it.

use crate::inventory::WorkerId;
use bh_protocol::job::Phase;
use bh_protocol::job::Placement;
use bh_protocol::job::Spec;
use bh_protocol::job::TaskPlace;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

/// What happens to a job when all tasks of its attempt have stopped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum AfterStop {
    /// Record that the attempt has ended, and return the job to the queue.
    Requeue { reason: String },
    /// End the job. A cancellation is in the table already; any other phase is recorded then.
    End { phase: Phase, reason: String },
    /// Return the job to the queue without a record, since none was made for this attempt, and place it no earlier than `not_before_ms`.
    Retry { not_before_ms: u64 },
}

/// State of a job and its current attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    /// The job waits for a placement.
    Queued,
    /// The job has a placement and waits until the borrowers on it have stopped.
    Reclaiming {
        /// Jobs that have to stop first.
        victims: BTreeSet<u64>,
    },
    /// The workers have been asked to reserve the accelerators.
    Preparing,
    /// The decision to start is being recorded.
    RecordingStart,
    /// The attempt is started. Some tasks may not have reported yet.
    Running {
        /// Tasks reported as running.
        running: BTreeSet<u32>,
        /// Tasks that ended successfully.
        done: BTreeSet<u32>,
        /// Deadline for the first report of every task.
        report_by_ms: u64,
    },
    /// The tasks are being stopped.
    Stopping {
        /// Workers that have not confirmed the stop.
        pending: BTreeSet<Arc<str>>,
        /// When the stop began.
        since_ms: u64,
        /// When the checkpoint wait ends; `None` once the stop order is sent.
        checkpoint_until_ms: Option<u64>,
        /// When an unconfirmed stop order is repeated.
        retry_ms: u64,
    },
    /// All tasks have stopped and the requeue is being recorded.
    RecordingRequeue,
}

/// A job and its current attempt.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub spec: Spec,
    pub submitted_ms: u64,
    pub state: State,
    /// Number of the current attempt, which the workers' answers repeat.
    pub epoch: u64,
    /// Worker of each task in the current attempt.
    pub places: Vec<WorkerId>,
    /// Index of the guaranteed cell the attempt runs in.
    pub cell: Option<usize>,
    /// Workers on which the job failed.
    pub failed_on: BTreeSet<WorkerId>,
    /// Attempts that failed or were refused by a worker.
    pub failures: u32,
    /// Times a worker's process restarted soon after the job had started on it.
    pub crashes: u32,
    /// Times the job was stopped for another job.
    pub preemptions: u32,
    pub not_before_ms: u64,
    pub started_ms: u64,
    pub after_stop: Option<AfterStop>,
    /// Why the job does not run yet, as shown to its caller; empty once all its tasks run.
    pub reason: String,
}

impl Job {
    pub fn new(spec: Spec, submitted_ms: u64) -> Self {
        Self {
            spec,
            submitted_ms,
            state: State::Queued,
            epoch: 0,
            places: Vec::new(),
            cell: None,
            failed_on: BTreeSet::new(),
            failures: 0,
            crashes: 0,
            preemptions: 0,
            not_before_ms: 0,
            started_ms: 0,
            after_stop: None,
            reason: String::new(),
        }
    }

    /// Accelerators that the attempt holds on each worker.
    pub fn held(&self) -> BTreeMap<WorkerId, u32> {
        let mut held = BTreeMap::new();
        for id in &self.places {
            *held.entry(*id).or_insert(0) += self.spec.shape.accelerators_per_task;
        }
        held
    }

    pub fn placement(&self, name_of: impl Fn(WorkerId) -> Arc<str>) -> Placement {
        let tasks = self
            .places
            .iter()
            .enumerate()
            .map(|(task, id)| TaskPlace {
                task: u32::try_from(task).unwrap_or(u32::MAX),
                worker: name_of(*id),
            })
            .collect();
        Placement { tasks }
    }

    /// Whether the job runs outside of a guaranteed cell and may be stopped for another job.
    pub fn is_preemptible(&self) -> bool {
        self.cell.is_none() && matches!(self.state, State::Running { .. })
    }
}
