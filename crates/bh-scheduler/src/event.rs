//! Inputs of the scheduler.

use crate::limits::Limits;
use bh_protocol::job::Phase;
use bh_protocol::job::Placement;
use bh_protocol::job::Spec;
use bh_protocol::target::TaskReport;
use std::collections::BTreeSet;
use std::sync::Arc;

/// A job as the replicated table holds it.
#[derive(Clone, Debug)]
pub struct RecordedJob {
    /// Job number.
    pub job: u64,
    /// What the job asks for.
    pub spec: Spec,
    /// When the job was submitted, on the scheduler's clock.
    pub submitted_ms: u64,
    /// Phase. A new leader also receives the jobs that an earlier leader started.
    pub phase: Phase,
    /// Epoch of a started job's attempt.
    pub epoch: u64,
    /// Placement of a started job.
    pub placement: Placement,
}

/// One input of [`crate::Scheduler::step`].
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// Settings changed.
    LimitsChanged(Limits),
    /// A worker announced itself.
    WorkerAnnounced {
        /// Name of the worker.
        name: Arc<str>,
        /// Changes when the worker's process restarts, which loses its earlier tasks.
        incarnation: u64,
        /// Rack of the worker.
        rack: Arc<str>,
        /// Number of accelerators.
        accelerators: u32,
        /// Whether the worker takes no new work.
        leaving: bool,
        /// Tasks that the worker reports.
        tasks: Vec<TaskReport>,
    },
    /// A worker's lease expired. Its tasks have ended, because their own leases expired as well.
    WorkerLost {
        /// Name of the worker.
        name: Arc<str>,
    },
    /// A job was recorded.
    JobRecorded(RecordedJob),
    /// Jobs were cancelled together.
    JobsCancelled {
        /// Job numbers.
        jobs: Vec<u64>,
    },
    /// The prepare orders of an attempt were answered or timed out.
    Prepared {
        /// Job number.
        job: u64,
        /// Epoch of the attempt.
        epoch: u64,
        /// Workers that refused or did not answer.
        refused: BTreeSet<Arc<str>>,
    },
    /// The decision to start is recorded, or cannot be.
    StartRecorded {
        /// Job number.
        job: u64,
        /// Epoch of the attempt.
        epoch: u64,
        /// Whether the decision is recorded.
        accepted: bool,
    },
    /// The start orders of an attempt were answered or timed out.
    StartSent {
        /// Job number.
        job: u64,
        /// Epoch of the attempt.
        epoch: u64,
        /// Workers that refused.
        refused: BTreeSet<Arc<str>>,
    },
    /// A stop order was sent to a worker.
    StopSent {
        /// Job number.
        job: u64,
        /// Epoch of the attempt.
        epoch: u64,
        /// Name of the worker.
        worker: Arc<str>,
        /// Whether the worker confirmed that its tasks have stopped.
        confirmed: bool,
    },
    /// The requeue of a stopped job is recorded.
    Requeued {
        /// Job number.
        job: u64,
        /// Epoch of the stopped attempt.
        epoch: u64,
    },
}
