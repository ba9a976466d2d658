//! How far one follower or observer has come, as its leader knows.

use std::sync::Arc;

/// The leader's view of one other replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Name of its VM.
    pub name: Arc<str>,
    /// Whether it keeps its log on a disk.
    pub durable: bool,
    /// Highest index known to match the leader's log.
    pub matched: u64,
    /// Next index to send.
    pub next: u64,
    /// When it last answered.
    pub heard_ms: u64,
    /// Highest heartbeat round it has answered.
    pub round: u64,
    /// When a snapshot was last sent; it is not sent again at once.
    pub snapshot_ms: Option<u64>,
}

impl Progress {
    /// A replica of which nothing is known but that it may lack everything from `next` on.
    pub fn new(name: Arc<str>, durable: bool, next: u64, now_ms: u64) -> Self {
        Self {
            name,
            durable,
            matched: 0,
            next,
            heard_ms: now_ms,
            round: 0,
            snapshot_ms: None,
        }
    }
}
