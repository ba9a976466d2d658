//! State of a replica as its journal held it when it was opened.

use crate::record::Record;
use crate::record::Snapshot;
use crate::record::Vote;
use bh_protocol::wire::LogEntry;

/// A replica's state as of the last synced record.
#[derive(Clone, Debug, Default)]
pub struct RecoveredState {
    /// Term and vote.
    pub vote: Vote,
    /// Last snapshot, if there is one.
    pub snapshot: Option<Snapshot>,
    /// Log entries after the snapshot, in order of index.
    pub entries: Vec<LogEntry>,
}

impl RecoveredState {
    /// Whether the journal held nothing.
    pub fn is_empty(&self) -> bool {
        self.vote == Vote::default() && self.snapshot.is_none() && self.entries.is_empty()
    }

    /// Updates the state by the next record of the journal.
    pub fn add(&mut self, record: Record) {
        if let Some(vote) = record.vote {
            self.vote = vote;
        }
        if let Some(snapshot) = record.snapshot {
            self.entries.retain(|entry| entry.index > snapshot.index);
            self.snapshot = Some(snapshot);
        }
        if let Some(first) = record.entries.first() {
            let from = first.index;
            self.entries.retain(|entry| entry.index < from);
        }
        self.entries.extend(record.entries);
    }
}
