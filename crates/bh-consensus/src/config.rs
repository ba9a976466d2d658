//! Configuration of a replica.

use std::collections::BTreeSet;
use std::sync::Arc;

/// Which replicas are to be voters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VoterPolicy {
    /// The replicas on the VMs with these names.
    Names(BTreeSet<Arc<str>>),
    /// Any replicas that keep their log on a disk, up to a number. A replica that is up replaces a voter that has been silent.
    Count {
        /// Number of voters, which is odd.
        count: usize,
        /// How long a voter must be silent before the leader replaces it, if another replica can take its place, in milliseconds.
        replace_after_ms: u64,
    },
}

impl VoterPolicy {
    /// Whether the replica on the VM `name` may become a voter.
    pub(crate) fn allows(&self, name: &str) -> bool {
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
    /// Identity of this replica: the random number kept in its data folder, or drawn when the replica starts if it has no data folder.
    pub id: u64,
    /// Name of the replica's VM.
    pub name: Arc<str>,
    /// Whether the replica keeps its log on a disk. Without a disk it is an observer and never votes.
    pub durable: bool,
    /// Which replicas are to vote. The leader changes the voters to this, one at a time.
    pub voter_policy: VoterPolicy,
    /// Time between heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// Shortest election timeout, in milliseconds. Each replica adds a random part that is shorter than this.
    pub election_timeout_ms: u64,
    /// Shortest election timeout before a pre-vote of a replica that has heard from no leader since it started, in milliseconds.
    pub first_election_timeout_ms: u64,
    /// Added to every election timeout, in milliseconds, so that a replica that is to lead only when no other can waits longer.
    pub election_delay_ms: u64,
    /// Seed of the random part of the election timeouts.
    pub seed: u64,
}

/// Limit of entries in one message.
pub(crate) const MAX_BATCH_ENTRIES: usize = 512;
/// Bytes of commands in one message above which no further entry is added.
pub(crate) const MAX_BATCH_BYTES: usize = 512 << 10;
/// Bytes of commands before a snapshot that are kept in memory for followers that are a little behind.
pub(crate) const MAX_KEPT_BYTES: u64 = 2 << 20;
/// Heartbeat intervals without a message from an observer after which the leader forgets it.
pub(crate) const OBSERVER_TIMEOUT_HEARTBEATS: u64 = 50;
/// Heartbeat intervals between two announcements of an observer.
pub(crate) const ANNOUNCE_INTERVAL_HEARTBEATS: u64 = 5;
