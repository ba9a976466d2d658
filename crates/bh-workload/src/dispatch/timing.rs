//! Time bounds on which workers and callers rely.

use serde::Deserialize;
use serde::Serialize;

/// Bounds of a deployment, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timing {
    /// Time for which a worker continues its runs without hearing from the leader. It is long enough to outlast a change of leader, and
    /// short enough that the tasks of a lost worker start again soon.
    pub lease_ms: u64,
    /// Longest time that a worker takes to stop a run.
    pub stop_timeout_ms: u64,
    /// Run time of tasks that run away from their data, or of a rack-local gang that is spread over racks, in percent of the normal run
    /// time.
    pub remote_percent: u64,
    /// Interval between the heartbeats of a worker.
    pub heartbeat_ms: u64,
    /// Time for which the state of an ended job can be queried.
    pub retention_ms: u64,
    /// Time that the upkeep of a VM takes.
    pub upkeep_ms: u64,
    /// Lease of the core that sends VM orders: the time for which it may believe that it still leads.
    pub vm_lease_ms: u64,
    /// Time that a task takes to resume from its checkpoint.
    pub restore_ms: u64,
}

impl Timing {
    /// The defaults, for workers without known bounds.
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

    /// Longest time after a worker's last heartbeat during which it is given work, in milliseconds. One heartbeat may be late, but hardly
    /// two in a row. By the third missed one the worker may have lost capacity for longer than it can bear being filled according to its
    /// old capacity.
    pub fn current_ms(&self) -> u64 {
        const HEARTBEATS_PERCENT: u64 = 295;
        self.heartbeat_ms * HEARTBEATS_PERCENT / 100
    }

    /// Longest time after a grant for which a run under the lease may go on, given that the worker's clock was read `age_ms` ago.
    ///
    /// The worker's clock may be up to two percent slow, which has two effects. The lease lasts longer by that share on the leader's clock
    /// than on the worker's clock. And the leader's estimate of the worker's clock, based on the last reading, may be too high by the same
    /// share of `age_ms`, which makes the granted lease longer.
    pub fn lease_expiry_after_ms(&self, age_ms: u64) -> u64 {
        const SLOW_CLOCK_PERCENT: u64 = 2;
        /// Rounding of the two clocks to whole milliseconds.
        const ROUNDING_MS: u64 = 20;
        let behind_ms = age_ms * SLOW_CLOCK_PERCENT / 100;
        (self.lease_ms + behind_ms) * 100 / (100 - SLOW_CLOCK_PERCENT) + ROUNDING_MS
    }
}
