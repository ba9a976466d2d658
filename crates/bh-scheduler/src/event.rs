//! What the scheduler reacts to.

use crate::limits::Limits;
use bh_protocol::job::Phase;
use bh_protocol::job::Placement;
use bh_protocol::job::Spec;
use bh_protocol::target::TaskReport;
use std::collections::BTreeSet;
use std::sync::Arc;

/// A job as the record has it.
#[derive(Clone, Debug)]
pub struct RecordedJob {
    /// Identity.
    pub job: u64,
    /// What it asks for.
    pub spec: Spec,
    /// When it was submitted, on the scheduler's clock.
    pub submitted_ms: u64,
    /// Phase; a new leader also hears of jobs that were started.
    pub phase: Phase,
    /// Attempt of a started job.
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
        /// Name.
        name: Arc<str>,
        /// Changes when its process restarts; its earlier tasks are lost then.
        incarnation: u64,
        /// Rack it stands in.
        rack: Arc<str>,
        /// Accelerators.
        accelerators: u32,
        /// Whether it takes no new work.
        leaving: bool,
        /// Its tasks, as it reports them.
        tasks: Vec<TaskReport>,
    },
    /// A worker's lease lapsed: its tasks have ended, by their own leases.
    WorkerLost {
        /// Name.
        name: Arc<str>,
    },
    /// A job was recorded.
    JobRecorded(RecordedJob),
    /// Jobs were cancelled, as one wave.
    JobsCancelled {
        /// Identities.
        jobs: Vec<u64>,
    },
    /// Every worker has answered a prepare order.
    Prepared {
        /// Job.
        job: u64,
        /// Attempt.
        epoch: u64,
        /// Workers that refused or did not answer.
        refused: BTreeSet<Arc<str>>,
    },
    /// The decision to start is recorded, or cannot be.
    StartRecorded {
        /// Job.
        job: u64,
        /// Attempt.
        epoch: u64,
        /// Whether it is recorded.
        accepted: bool,
    },
    /// Every worker has answered a start order.
    StartSent {
        /// Job.
        job: u64,
        /// Attempt.
        epoch: u64,
        /// Workers that refused.
        refused: BTreeSet<Arc<str>>,
    },
    /// A worker has carried out a stop order.
    StopSent {
        /// Job.
        job: u64,
        /// Attempt.
        epoch: u64,
        /// Worker.
        worker: Arc<str>,
        /// Whether the worker confirmed it.
        confirmed: bool,
    },
    /// The requeue of a stopped job is recorded.
    Requeued {
        /// Job.
        job: u64,
        /// Attempt that was stopped.
        epoch: u64,
    },
}
