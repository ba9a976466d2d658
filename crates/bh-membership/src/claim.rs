//! An entry's renewal of its targets.

use bh_protocol::target::Announcement;
use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;

/// One target that an entry owns.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The target as the entry knows it. A new leader learns about targets from their owners before the targets announce
    /// themselves again, so that a change of leader doesn't interrupt requests.
    pub target: Announcement,
    /// Remaining time of the entry's lease on the target, in milliseconds.
    pub remaining_ms: u64,
    /// Slots that requests of the previous owner may still use.
    pub withheld: u32,
}

/// An entry's renewal. Usually it lists no targets, so that its size doesn't grow with their number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    /// Name of the entry.
    pub entry: Arc<str>,
    /// Changes when the entry's process restarts.
    pub incarnation: u64,
    /// Whether the entry is shutting down and gives up its targets.
    pub draining: bool,
    /// Id of the registry whose grant the entry holds. A leader with another registry asks for `claims`.
    pub registry: u64,
    /// Version of that grant. The leader sends the targets only if they have changed since then.
    pub version: u64,
    /// Targets that the entry was asked to release and on which it has no requests in progress.
    pub released: Vec<Arc<str>>,
    /// All targets that the entry owns, if a new leader has asked for them.
    pub claims: Option<Vec<Claim>>,
}
