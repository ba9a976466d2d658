//! Resources of tasks and workers.

use serde::Deserialize;
use serde::Serialize;

/// An amount of cores, memory and accelerators: what a task needs, or what a worker has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Processor cores, in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory in MiB (not in MB, despite the name), as callers and workers state it.
    pub memory_mb: u64,
    /// Number of accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// Returns whether this amount fits into `room`.
    pub fn fits_in(&self, room: &Resources) -> bool {
        self.cpu_millis <= room.cpu_millis
            && self.memory_mb <= room.memory_mb
            && self.accelerators <= room.accelerators
    }

    /// Returns how many times this amount fits into `room`, at most `limit`.
    pub fn count_in(&self, room: &Resources, limit: u64) -> u64 {
        let count = |need: u64, have: u64| have.checked_div(need).unwrap_or(limit);
        count(self.cpu_millis, room.cpu_millis)
            .min(count(self.memory_mb, room.memory_mb))
            .min(count(self.accelerators, room.accelerators))
            .min(limit)
    }

    /// Subtracts `other`. Amounts that would become negative become zero.
    pub fn subtract(&mut self, other: &Resources) {
        self.cpu_millis = self.cpu_millis.saturating_sub(other.cpu_millis);
        self.memory_mb = self.memory_mb.saturating_sub(other.memory_mb);
        self.accelerators = self.accelerators.saturating_sub(other.accelerators);
    }

    /// Adds `other`. Amounts that would exceed the maximum become the maximum: workers report any capacity, and the sum of all must not
    /// overflow.
    pub fn add(&mut self, other: &Resources) {
        self.cpu_millis = self.cpu_millis.saturating_add(other.cpu_millis);
        self.memory_mb = self.memory_mb.saturating_add(other.memory_mb);
        self.accelerators = self.accelerators.saturating_add(other.accelerators);
    }

    /// Returns one figure for the whole amount, in thousandths of a core. An accelerator counts as [`CORES_PER_ACCELERATOR`] cores; memory
    /// does not count.
    pub fn weight(&self) -> u64 {
        self.cpu_millis + self.accelerators * CORES_PER_ACCELERATOR * 1_000
    }
}

/// Number of cores that one accelerator is worth when amounts of work are compared: the rate at which the users of the system
/// value accelerators.
pub const CORES_PER_ACCELERATOR: u64 = 8;
