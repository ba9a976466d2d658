//! What the scheduler asks its driver to do.

use bh_protocol::job::Phase;
use bh_protocol::job::Placement;
use std::collections::BTreeSet;
use std::sync::Arc;

/// One output of [`crate::Scheduler::step`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Ask every worker of the placement to hold its accelerators; answer with [`crate::Event::Prepared`].
    Prepare {
        /// Job.
        job: u64,
        /// Attempt.
        epoch: u64,
        /// Where.
        placement: Placement,
    },
    /// Record the decision to start; answer with [`crate::Event::StartRecorded`].
    RecordStart {
        /// Job.
        job: u64,
        /// Attempt.
        epoch: u64,
        /// Where.
        placement: Placement,
    },
    /// Start what was prepared; answer with [`crate::Event::StartSent`].
    Start {
        /// Job.
        job: u64,
        /// Attempt.
        epoch: u64,
        /// Where.
        placement: Placement,
    },
    /// Ask for a checkpoint, after which the worker stops the tasks.
    Checkpoint {
        /// Job.
        job: u64,
        /// Attempt.
        epoch: u64,
        /// Workers to ask.
        workers: BTreeSet<Arc<str>>,
    },
    /// Stop the tasks at once; answer with [`crate::Event::StopSent`] for each worker.
    Stop {
        /// Job.
        job: u64,
        /// Attempt.
        epoch: u64,
        /// Workers to ask.
        workers: BTreeSet<Arc<str>>,
    },
    /// Record that a stopped job waits again; answer with [`crate::Event::Requeued`].
    RecordRequeue {
        /// Job.
        job: u64,
        /// Attempt that was stopped.
        epoch: u64,
        /// Why.
        reason: String,
    },
    /// Record the end of a job.
    RecordEnd {
        /// Job.
        job: u64,
        /// Last attempt.
        epoch: u64,
        /// Final phase.
        phase: Phase,
        /// Why.
        reason: String,
    },
}
