//! Log of the record: proposals that wait to be committed.

use bh_protocol::Incarnation;
use bh_workload::state::Command;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

/// A proposal whose proposer does not know the outcome yet.
#[derive(Clone, Debug)]
pub struct PendingResult {
    /// Core that made the proposal.
    pub core: usize,
    /// Term in which the core made the proposal.
    pub term: u64,
    /// Workers whose runs' ends the proposal holds.
    pub workers: BTreeSet<Incarnation>,
    /// Number of the last end in the worker's report that led to the proposal, if a report did.
    pub listed_to: Option<u64>,
    /// Whether the proposal holds starts.
    pub has_starts: bool,
}

/// A proposal that is not committed yet.
pub struct Proposal {
    pub id: u64,
    pub commit_ms: u64,
    pub command: Command,
}

/// Proposals in their order, and the proposers that wait for their outcomes.
#[derive(Default)]
pub struct Log {
    pub pending: VecDeque<Proposal>,
    /// Proposals whose proposers have no outcome yet. After a timeout the proposer has one, though the command may still be pending.
    pub unresolved: BTreeMap<u64, PendingResult>,
    next_id: u64,
}

impl Log {
    /// Registers the proposer of a new proposal; returns the proposal's number.
    pub fn register(&mut self, pending: PendingResult) -> u64 {
        self.next_id += 1;
        self.unresolved.insert(self.next_id, pending);
        self.next_id
    }

    /// Appends a command that is committed at `commit_ms` at the earliest, and not before those ahead of it; returns the time of the
    /// commit.
    pub fn append(&mut self, id: u64, commit_ms: u64, command: Command) -> u64 {
        let ahead_ms = self.pending.back().map_or(0, |last| last.commit_ms);
        let commit_ms = commit_ms.max(ahead_ms);
        self.pending.push_back(Proposal {
            id,
            commit_ms,
            command,
        });
        commit_ms
    }

    /// Returns whether ends wait to be committed.
    pub fn holds_ends(&self) -> bool {
        let mut pending = self.pending.iter();
        pending.any(|proposal| matches!(proposal.command, Command::Ends { .. }))
    }

    /// Takes the oldest proposal, if it is committed by `now_ms`.
    pub fn take_committed(&mut self, now_ms: u64) -> Option<Proposal> {
        let is_due = self
            .pending
            .front()
            .is_some_and(|first| first.commit_ms <= now_ms);
        is_due.then(|| self.pending.pop_front()).flatten()
    }
}
