//! A heartbeat, but for what is recorded of it.

use crate::calls::WorkerHeartbeat;

/// A heartbeat that the leader has not heard of yet.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedHeartbeat {
    /// The worker's clock in milliseconds.
    pub clock_ms: Option<u64>,
    /// Number of the heartbeat.
    pub sequence: u64,
    /// When it came, on this core's clock in milliseconds.
    pub received_ms: u64,
    /// How much longer the worker was slow then, in milliseconds.
    pub cold_ms: u64,
    /// Shortest time for which it still ran then, in milliseconds, if it is leaving.
    pub leaves_in_ms: Option<u64>,
}

impl ReceivedHeartbeat {
    /// What a heartbeat that came at `received_ms` says beside what is recorded.
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
