//! What a replica is told at its start.

use std::collections::BTreeSet;
use std::sync::Arc;

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
    /// Names of the VMs that shall vote. The leader moves the group towards this set, one change at a time.
    pub wanted_voters: BTreeSet<Arc<str>>,
    /// Time between heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// Least silence before an election, in milliseconds; each replica adds up to as much again.
    pub election_ms: u64,
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
