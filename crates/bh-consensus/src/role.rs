//! The part a replica plays in its group.

use crate::progress::Progress;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// Part of a replica in the current term.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows the leader it last heard of, or waits for one.
    Follower,
    /// Asks whether an election would succeed, without disturbing the term.
    PreCandidate {
        /// Replicas that would grant their vote.
        granted: BTreeSet<u64>,
    },
    /// Asks for votes.
    Candidate {
        /// Replicas that granted their vote.
        granted: BTreeSet<u64>,
    },
    /// Appends to the log and replicates it.
    Leader(Leadership),
}

/// A leader's own state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Leadership {
    pub(crate) progress: BTreeMap<u64, Progress>,
    pub(crate) round: u64,
    /// When the rounds of late were begun, by round, in milliseconds.
    pub(crate) begun_ms: BTreeMap<u64, u64>,
    pub(crate) next_heartbeat_ms: u64,
    pub(crate) elected_ms: u64,
    pub(crate) first_index: u64,
    pub(crate) reads: Vec<PendingRead>,
    /// Whether proposals or reads have come in since entries were last sent.
    pub(crate) unsent: bool,
}

impl Leadership {
    /// Begins the next round at `now_ms`, and forgets when those were begun that are more than `kept_ms` ago.
    pub(crate) fn begin_round(&mut self, now_ms: u64, kept_ms: u64) {
        self.round += 1;
        self.begun_ms.insert(self.round, now_ms);
        while let Some(oldest) = self.begun_ms.first_entry()
            && *oldest.get() + kept_ms < now_ms
        {
            oldest.remove();
        }
    }
}

/// A read that waits for a majority to confirm the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PendingRead {
    pub ticket: u64,
    pub index: u64,
    pub round: u64,
}
