//! The role of a replica in its group.

use crate::progress::Progress;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// Role of a replica in the current term.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows the current leader, or waits for one.
    Follower,
    /// Asks whether an election would succeed, without raising the term.
    PreCandidate {
        /// Replicas that would grant their vote.
        granted: BTreeSet<u64>,
    },
    /// Asks for votes in the current term.
    Candidate {
        /// Replicas that granted their vote.
        granted: BTreeSet<u64>,
    },
    /// Appends entries to the log and replicates them.
    Leader(Leadership),
}

/// State that only a leader has.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Leadership {
    pub(crate) progress: BTreeMap<u64, Progress>,
    /// Number of the last round of messages. The messages of a round carry its number, and so do their answers.
    pub(crate) round: u64,
    /// Start times of recent rounds by round number, in milliseconds.
    pub(crate) round_started_ms: BTreeMap<u64, u64>,
    pub(crate) next_heartbeat_ms: u64,
    /// Index that was committed when the last heartbeat was sent.
    pub(crate) heartbeat_commit: u64,
    pub(crate) elected_ms: u64,
    /// Index of the first entry of the leader's own term.
    pub(crate) term_start_index: u64,
    /// Reads that wait for a majority to confirm the leader.
    pub(crate) pending_reads: Vec<PendingRead>,
    /// Whether proposals, reads or commits since the last round are still to be sent to the others.
    pub(crate) unsent: bool,
}

impl Leadership {
    /// Starts the next round at `now_ms`, and forgets the start times that are older than `retention_ms`.
    pub(crate) fn advance_round(&mut self, now_ms: u64, retention_ms: u64) {
        self.round += 1;
        self.round_started_ms.insert(self.round, now_ms);
        while let Some(oldest) = self.round_started_ms.first_entry()
            && *oldest.get() + retention_ms < now_ms
        {
            oldest.remove();
        }
    }
}

/// A read at log index `index` that is confirmed once a majority has answered `round`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PendingRead {
    pub request_id: u64,
    pub index: u64,
    pub round: u64,
}
