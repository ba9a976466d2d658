//! Waiting work of one pool.

use crate::plan::WaitingStep;

/// Waiting work of one pool, and its capacity.
#[derive(Clone, Debug, Default)]
pub struct PoolBacklog {
    /// Value density of the waiting steps in descending order, each with the work up to and including it, in accelerator-milliseconds.
    work: Vec<(f64, u64)>,
    /// Accelerators of the workers that take work; 0 if the capacity is not known.
    accelerators: u64,
}

impl PoolBacklog {
    /// Creates the backlog of a pool whose workers have `accelerators` accelerators.
    pub fn new<'a>(accelerators: u64, steps: impl Iterator<Item = &'a WaitingStep>) -> Self {
        let mut work: Vec<(f64, u64)> = steps
            .map(|step| (step.value_density, step.accelerator_ms))
            .collect();
        work.sort_by(|a, b| b.0.total_cmp(&a.0));
        let mut sum = 0_u64;
        for (_, up_to) in &mut work {
            sum = up_to.saturating_add(sum);
            *up_to = sum;
        }
        Self { work, accelerators }
    }

    /// Returns the expected wait of work with this value density, in milliseconds: the work of the same or higher precedence, divided by
    /// what the pool does in a millisecond. Running work is left out. Returns 0 if the capacity is not known.
    pub fn expected_wait_ms(&self, value_density: f64) -> u64 {
        let ahead = self
            .work
            .partition_point(|(density, _)| *density >= value_density);
        let work = ahead.checked_sub(1).and_then(|last| self.work.get(last));
        work.map_or(0, |(_, accelerator_ms)| {
            accelerator_ms.checked_div(self.accelerators).unwrap_or(0)
        })
    }
}
