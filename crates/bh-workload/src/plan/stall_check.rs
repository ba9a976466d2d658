//! When work stands still though it could run.

use crate::job::Resources;

/// One piece of work whose turn has come, and the capacity of those that may run it. The figures may be the leader's or the workers' own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StallCheck {
    /// Runs of the whole job that are at work.
    pub runs: u64,
    /// Tasks that could run.
    pub tasks: u64,
    /// Places for such tasks that no run at work takes.
    pub places: u64,
    /// What runs at work take of the pool.
    pub in_use: Resources,
    /// What the pool has.
    pub capacity: Resources,
}

impl StallCheck {
    /// Times the places that the tasks take which must be there.
    pub const TIMES_PLACES: u64 = 2;

    /// Whether nothing of the job runs while there is room for the work twice over and under half of the pool is in use, its cores and
    /// accelerators weighed as the users value them.
    pub fn is_stalled(&self) -> bool {
        self.runs == 0
            && self.tasks > 0
            && self.places >= self.tasks.saturating_mul(Self::TIMES_PLACES)
            && self.in_use.weight().saturating_mul(2) < self.capacity.weight()
    }
}
