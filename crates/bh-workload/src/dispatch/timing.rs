//! Time bounds that workers and callers were promised.

use serde::Deserialize;
use serde::Serialize;

/// Bounds of a deployment, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timing {
    /// Time for which a worker keeps what it runs without hearing from the leader. Long enough to outlast a change of leader, short
    /// enough that a lost worker's tasks begin again soon.
    pub lease_ms: u64,
    /// Longest time a worker takes to stop a run.
    pub stop_timeout_ms: u64,
    /// How many times as long tasks take away from their data, or when a rack-local gang is spread; in percent.
    pub remote_percent: u64,
    /// Time between a worker's heartbeats.
    pub heartbeat_ms: u64,
    /// How long the state of an ended job can be asked for.
    pub retention_ms: u64,
    /// Time that the upkeep of a VM takes.
    pub upkeep_ms: u64,
    /// Time for which a core that gives orders on VMs may believe that it still leads.
    pub vm_lease_ms: u64,
    /// Time that a task takes to go on from its checkpoint.
    pub restore_ms: u64,
}

impl Timing {
    /// The defaults, for workers of which nothing else is known.
    pub const DEFAULT: Timing = Timing {
        lease_ms: 9_000,
        stop_timeout_ms: 1_000,
        remote_percent: 300,
        heartbeat_ms: 1_500,
        retention_ms: 120_000,
        upkeep_ms: 2_000,
        vm_lease_ms: 3_000,
        restore_ms: 250,
    };

    /// Longest time since a worker's last heartbeat for which it is given work, by what it said of itself, in milliseconds. One may be
    /// late, two in a row hardly are; by the third a worker may have shrunk for longer than it bears being filled by what it had.
    pub fn current_ms(&self) -> u64 {
        const HEARTBEATS_PERCENT: u64 = 295;
        self.heartbeat_ms * HEARTBEATS_PERCENT / 100
    }

    /// Longest time after a grant that anything under it may run, given that the worker's clock was read `age_ms` ago. A worker's
    /// clock may be two percent slow, and so is what it shows now behind what was reckoned from the last reading.
    pub fn lapse_after_ms(&self, age_ms: u64) -> u64 {
        const SLOW_CLOCK_PERCENT: u64 = 2;
        /// Rounding of the two clocks to whole milliseconds.
        const ROUNDING_MS: u64 = 20;
        let behind_ms = age_ms * SLOW_CLOCK_PERCENT / 100;
        (self.lease_ms + behind_ms) * 100 / (100 - SLOW_CLOCK_PERCENT) + ROUNDING_MS
    }
}
