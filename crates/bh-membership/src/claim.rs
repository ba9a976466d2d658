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
    /// Time left of the entry's lease on it, in milliseconds.
    pub remaining_ms: u64,
    /// Slots that requests of the owner before this one may still take.
    pub withheld: u32,
}

/// An entry's renewal. In the steady state it names no target: its size does not grow with them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    /// Name of the entry.
    pub entry: Arc<str>,
    /// Changes when the entry's process restarts.
    pub incarnation: u64,
    /// Whether it is shutting down and gives its targets away.
    pub draining: bool,
    /// Registry whose grant the entry holds; another one asks for `claims`.
    pub registry: u64,
    /// Version of that grant; the leader repeats the targets only when they have changed since.
    pub version: u64,
    /// Targets that were to be released and have no request of this entry any more.
    pub released: Vec<Arc<str>>,
    /// All that the entry owns, when a new leader has asked.
    pub claims: Option<Vec<Claim>>,
}
