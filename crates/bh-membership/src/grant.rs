//! What the leader answers to a renewal.

use bh_protocol::target::Announcement;
use serde::Deserialize;
use serde::Serialize;

/// One target granted to an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantedTarget {
    /// The target as it last announced itself, without its tasks and load.
    pub target: Announcement,
    /// Slots that may still be taken by requests of the owner before; they must stay free.
    pub withheld: u32,
    /// Whether the entry shall stop using it, and say so once its requests there are done.
    pub release: bool,
}

/// Answer to a renewal.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The grant counts for this long from the moment the renewal was sent, in milliseconds.
    pub lease_ms: u64,
    /// The leader's registry.
    pub registry: u64,
    /// Version of the targets.
    pub version: u64,
    /// The targets; what is not among them must not be used any more. `None` when they are as in the version the
    /// renewal named.
    pub targets: Option<Vec<GrantedTarget>>,
    /// Whether the leader is new and asks for all claims first. Such an answer extends no lease.
    pub wants_claims: bool,
}
