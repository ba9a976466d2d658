//! What the leader answers to a renewal.

use bh_protocol::target::Announcement;
use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;

/// One target granted to an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantedTarget {
    /// The target as it last announced itself.
    pub target: Announcement,
    /// Time left of the target's own lease, in milliseconds.
    pub remaining_ms: u64,
    /// Slots that may still be taken by requests of the owner before; they must stay free.
    pub withheld: u32,
    /// Whether the entry shall stop using it and no longer claim it once its requests there are done.
    pub release: bool,
}

/// Answer to a renewal.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The grant counts for this long from the moment the renewal was sent, in milliseconds.
    pub lease_ms: u64,
    /// The targets; what is not among them must not be used any more.
    pub targets: Vec<GrantedTarget>,
    /// Names of the other entries of the data centre that renew.
    pub entries: Vec<Arc<str>>,
}
