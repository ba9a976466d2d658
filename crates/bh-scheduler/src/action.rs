//! What the scheduler asks its driver to do.

use bh_protocol::job::Phase;
use bh_protocol::job::Placement;
use std::collections::BTreeSet;
use std::sync::Arc;

/// One output of [`crate::Scheduler::step`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Ask every worker of the placement to reserve the accelerators; answer with [`crate::Event::Prepared`].
    Prepare {
        /// Job number.
        job: u64,
        /// Epoch of the attempt.
        epoch: u64,
        /// Worker of each task.
        placement: Placement,
    },
    /// Record the decision to start; answer with [`crate::Event::StartRecorded`].
    RecordStart {
        /// Job number.
        job: u64,
        /// Epoch of the attempt.
        epoch: u64,
        /// Worker of each task.
        placement: Placement,
    },
    /// Start the prepared tasks; answer with [`crate::Event::StartSent`].
    Start {
        /// Job number.
        job: u64,
        /// Epoch of the attempt.
        epoch: u64,
        /// Worker of each task.
        placement: Placement,
    },
    /// Ask the workers to checkpoint the tasks and then stop them.
    Checkpoint {
        /// Job number.
        job: u64,
        /// Epoch of the attempt.
        epoch: u64,
        /// Workers to ask.
        workers: BTreeSet<Arc<str>>,
    },
    /// Stop the tasks at once; answer with [`crate::Event::StopSent`] for each worker.
    Stop {
        /// Job number.
        job: u64,
        /// Epoch of the attempt.
        epoch: u64,
        /// Workers to ask.
        workers: BTreeSet<Arc<str>>,
    },
    /// Record that a stopped job is back in the queue; answer with [`crate::Event::Requeued`].
    RecordRequeue {
        /// Job number.
        job: u64,
        /// Epoch of the stopped attempt.
        epoch: u64,
        /// Reason, shown to the caller.
        reason: String,
    },
    /// Record the end of a job.
    RecordEnd {
        /// Job number.
        job: u64,
        /// Epoch of the last attempt.
        epoch: u64,
        /// Final phase.
        phase: Phase,
        /// Reason, shown to the caller.
        reason: String,
    },
}
