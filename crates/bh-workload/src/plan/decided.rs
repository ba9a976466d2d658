//! What a pass decides.

use crate::dispatch::Question;
use crate::job::RunId;
use crate::job::StepId;
use crate::state::Start;
use bh_protocol::Incarnation;

/// What shall happen now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Runs to record and order.
    pub starts: Vec<Start>,
    /// Runs to stop so that others fit, with their workers.
    pub evictions: Vec<(Incarnation, RunId)>,
    /// What to ask an outside adviser, the most urgent first.
    pub questions: Vec<Question>,
    /// Steps for which room is being made from now on, with the number of workers.
    pub reserved: Vec<(StepId, usize)>,
    /// Steps for which room was being made in vain.
    pub released: Vec<(StepId, ReleaseReason)>,
}

/// Why room is no longer being made on the workers that were chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseReason {
    /// The work no longer waits.
    NotWaiting,
    /// It did not become free in time.
    TooSlow,
    /// A worker can no longer be used.
    WorkerUnusable,
}
