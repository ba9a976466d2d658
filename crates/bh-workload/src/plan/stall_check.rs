//! Rule for jobs that are stalled although there is capacity for them.

use crate::job::Resources;

/// A runnable step and the capacity of the workers that may run it. The figures may come from the leader or from the workers themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StallCheck {
    /// Number of running tasks of the whole job.
    pub runs: u64,
    /// Number of runnable tasks of the step.
    pub tasks: u64,
    /// Number of slots for such tasks that no running task takes.
    pub places: u64,
    /// Resources that running tasks take in the pool.
    pub in_use: Resources,
    /// Total resources of the pool.
    pub capacity: Resources,
}

impl StallCheck {
    /// Minimum number of slots for a stall, as a multiple of the number of tasks.
    pub const TIMES_PLACES: u64 = 2;

    /// Returns whether the job is stalled: nothing of it runs, there is capacity for the tasks twice over, and less than half of the pool
    /// is in use. Cores and accelerators are weighted as in [`Resources::weight`].
    pub fn is_stalled(&self) -> bool {
        self.runs == 0
            && self.tasks > 0
            && self.places >= self.tasks.saturating_mul(Self::TIMES_PLACES)
            && self.in_use.weight().saturating_mul(2) < self.capacity.weight()
    }
}
