//! Outcome of a planning pass.

use crate::dispatch::Question;
use crate::job::RunId;
use crate::job::StepId;
use crate::state::Start;
use bh_protocol::Incarnation;

/// Decisions of a planning pass, to be carried out now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Runs to record and start.
    pub starts: Vec<Start>,
    /// Runs to stop so that other work fits, with their workers.
    pub evictions: Vec<(Incarnation, RunId)>,
    /// Questions for external advisers, the most urgent first.
    pub questions: Vec<Question>,
    /// Steps that now have a reservation, with the number of workers in it.
    pub reserved: Vec<(StepId, usize)>,
    /// Steps whose reservation was dropped.
    pub released: Vec<(StepId, ReleaseReason)>,
}

/// Why a reservation was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseReason {
    /// The step no longer waits.
    NotWaiting,
    /// The capacity did not become free in time.
    TooSlow,
    /// A worker of the reservation is no longer usable.
    WorkerUnusable,
}
