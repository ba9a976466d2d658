//! What a task takes and what a worker has.

use serde::Deserialize;
use serde::Serialize;

/// Processors, memory and accelerators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Thousandths of a processor core.
    pub cpu_millis: u64,
    /// Memory in MiB.
    pub memory_mb: u64,
    /// Accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// Whether all of this fits into `room`.
    pub fn fits_in(&self, room: &Resources) -> bool {
        self.cpu_millis <= room.cpu_millis
            && self.memory_mb <= room.memory_mb
            && self.accelerators <= room.accelerators
    }

    /// How many of this fit into `room` side by side, at most `most`.
    pub fn count_in(&self, room: &Resources, most: u64) -> u64 {
        let times = |need: u64, have: u64| have.checked_div(need).unwrap_or(most);
        times(self.cpu_millis, room.cpu_millis)
            .min(times(self.memory_mb, room.memory_mb))
            .min(times(self.accelerators, room.accelerators))
            .min(most)
    }

    /// Takes `other` away, down to nothing.
    pub fn subtract(&mut self, other: &Resources) {
        self.cpu_millis = self.cpu_millis.saturating_sub(other.cpu_millis);
        self.memory_mb = self.memory_mb.saturating_sub(other.memory_mb);
        self.accelerators = self.accelerators.saturating_sub(other.accelerators);
    }

    /// Adds `other`.
    pub fn add(&mut self, other: &Resources) {
        self.cpu_millis += other.cpu_millis;
        self.memory_mb += other.memory_mb;
        self.accelerators += other.accelerators;
    }

    /// The whole as one figure in thousandths of a core, an accelerator counted as [`CORES_PER_ACCELERATOR`] cores.
    pub fn weight(&self) -> u64 {
        self.cpu_millis + self.accelerators * CORES_PER_ACCELERATOR * 1_000
    }
}

/// Cores that one accelerator counts for when work is compared; the users value them so.
pub const CORES_PER_ACCELERATOR: u64 = 8;
