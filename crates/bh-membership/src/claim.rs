//! What an entry tells the leader when it renews its targets.

use bh_protocol::target::Announcement;
use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;

/// One target that an entry owns.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The target as the entry knows it. A new leader learns of targets from their owners before they announce
    /// themselves again, so that a change of leader interrupts nothing.
    pub target: Announcement,
    /// Time left of the target's own lease, in milliseconds.
    pub remaining_ms: u64,
    /// Requests in progress on it, from this entry.
    pub in_flight: u32,
}

/// An entry's renewal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    /// Name of the entry.
    pub entry: Arc<str>,
    /// Changes when the entry's process restarts.
    pub incarnation: u64,
    /// Whether it is shutting down and gives its targets away.
    pub draining: bool,
    /// What it owns.
    pub claims: Vec<Claim>,
}
