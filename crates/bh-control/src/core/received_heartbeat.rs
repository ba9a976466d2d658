//! The part of a heartbeat that is not recorded.

use crate::calls::WorkerHeartbeat;

/// A heartbeat of a worker and when it was received, without the worker info that is in the replicated state.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedHeartbeat {
    /// The worker's clock in milliseconds.
    pub clock_ms: Option<u64>,
    /// Sequence number of the heartbeat.
    pub sequence: u64,
    /// When it was received, on this core's clock in milliseconds.
    pub received_ms: u64,
    /// How much longer the worker was slow after its start at that time, in milliseconds.
    pub cold_ms: u64,
    /// Minimum time for which the worker would still run at that time, in milliseconds, if it is leaving.
    pub leaves_in_ms: Option<u64>,
}

impl ReceivedHeartbeat {
    /// The unrecorded part of `heartbeat`, received at `received_ms`.
    pub fn new(heartbeat: &WorkerHeartbeat, received_ms: u64) -> Self {
        Self {
            clock_ms: heartbeat.clock_ms,
            sequence: heartbeat.sequence,
            received_ms,
            cold_ms: heartbeat.cold_ms,
            leaves_in_ms: heartbeat.leaves_in_ms,
        }
    }
}
