//! The leader's answer to a renewal.

use bh_protocol::target::Announcement;
use serde::Deserialize;
use serde::Serialize;

/// One target granted to an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantedTarget {
    /// The target's last announcement, without its tasks and load.
    pub target: Announcement,
    /// Slots that requests of the previous owner may still use. They must stay free.
    pub withheld: u32,
    /// Whether the entry has to stop using the target, and report it as released when its requests there have ended.
    pub release: bool,
}

/// The leader's answer to a renewal.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Duration of the grant in milliseconds, counted from the time at which the renewal was sent.
    pub lease_ms: u64,
    /// Id of the leader's registry.
    pub registry: u64,
    /// Version of the granted targets.
    pub version: u64,
    /// All granted targets; the entry must not use any other. `None` if they are unchanged since the version that the renewal
    /// named.
    pub targets: Option<Vec<GrantedTarget>>,
    /// Whether the leader is new and needs all claims first. Such an answer extends no lease.
    pub wants_claims: bool,
}
