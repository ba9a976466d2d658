//! What a replica is told at its start.

use std::collections::BTreeSet;
use std::sync::Arc;

/// Which replicas shall vote.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VoterPolicy {
    /// Those on the VMs with these names.
    Names(BTreeSet<Arc<str>>),
    /// Any that keep their log on a disk, up to a number. A voter that has been silent makes room for one that is there.
    Count {
        /// Number of voters; odd.
        count: usize,
        /// Silence after which a voter is replaced when another replica can take its place, in milliseconds.
        replace_after_ms: u64,
    },
}

impl VoterPolicy {
    /// Whether the VM `name` may vote at all.
    pub(crate) fn admits(&self, name: &str) -> bool {
        match self {
            VoterPolicy::Names(names) => names.contains(name),
            VoterPolicy::Count { .. } => true,
        }
    }
}

/// Identity and timing of one replica.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the group.
    pub group: Arc<str>,
    /// Identity of this replica: the random number kept in its data folder, or drawn at its start when it has none.
    pub id: u64,
    /// Name of its VM.
    pub name: Arc<str>,
    /// Whether it keeps its log on a disk. Without one it observes and never votes.
    pub durable: bool,
    /// Who shall vote. The leader moves the group there, one change at a time.
    pub voter_policy: VoterPolicy,
    /// Time between heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// Least silence before an election, in milliseconds; each replica adds up to as much again.
    pub election_timeout_ms: u64,
    /// The same for a replica that has heard no leader since it started, before it asks whether an election would succeed.
    pub first_election_timeout_ms: u64,
    /// Added to that, in milliseconds: a replica that shall lead only when no other can waits longer.
    pub election_delay_ms: u64,
    /// Seed of the election spread.
    pub seed: u64,
}

/// Entries in one message at most.
pub(crate) const MAX_ENTRIES: usize = 512;
/// Bytes of commands in one message, after which no further entry is added.
pub(crate) const MAX_BATCH_BYTES: usize = 512 << 10;
/// Heartbeats without a sign of life after which an observer is forgotten.
pub(crate) const OBSERVER_HEARTBEATS: u64 = 50;
/// Heartbeats between an observer's announcements of itself.
pub(crate) const OBSERVE_HEARTBEATS: u64 = 5;
