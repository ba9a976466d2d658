//! The log in memory: the last snapshot and the entries that were not dropped.

use bh_protocol::wire::LogEntry;
use bh_protocol::wire::Member;
use std::collections::VecDeque;

/// The last snapshot, the entries after it, and some entries before it that were not dropped.
#[derive(Clone, Debug, Default)]
pub(crate) struct Log {
    pub snapshot_index: u64,
    pub snapshot_term: u64,
    pub snapshot_voters: Vec<Member>,
    pub snapshot_state: Vec<u8>,
    entries: VecDeque<LogEntry>,
}

/// Size of an entry's command, in bytes.
fn entry_bytes(entry: &LogEntry) -> u64 {
    u64::try_from(entry.command.len()).unwrap_or(u64::MAX)
}

impl Log {
    pub fn last_index(&self) -> u64 {
        self.entries
            .back()
            .map_or(self.snapshot_index, |entry| entry.index)
    }

    pub fn last_term(&self) -> u64 {
        self.entries
            .back()
            .map_or(self.snapshot_term, |entry| entry.term)
    }

    /// Index of the oldest entry in memory, or of the next entry after the snapshot if there is none.
    pub fn first_index(&self) -> u64 {
        self.entries
            .front()
            .map_or(self.snapshot_index + 1, |entry| entry.index)
    }

    fn position(&self, index: u64) -> Option<usize> {
        let first = self.entries.front()?.index;
        usize::try_from(index.checked_sub(first)?).ok()
    }

    pub fn get(&self, index: u64) -> Option<&LogEntry> {
        self.entries.get(self.position(index)?)
    }

    /// Term of the entry at `index`, or `None` if it is unknown. Index 0 stands before the first entry.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        // Once the first entries are dropped, a follower with an empty log needs the snapshot: an empty append after index 0 would match its
        // log, and the leader would never send it anything else.
        if index == 0 {
            return (self.first_index() == 1).then_some(0);
        }
        if index == self.snapshot_index {
            return Some(self.snapshot_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub fn append(&mut self, entry: LogEntry) {
        self.entries.push_back(entry);
    }

    /// Size of the commands of the entries after `index`, in bytes.
    pub fn bytes_after(&self, index: u64) -> u64 {
        let entries = self.entries.iter().rev();
        let later = entries.take_while(|entry| entry.index > index);
        later.map(entry_bytes).sum()
    }

    /// Size of the commands of the entries in memory with indices `after < index <= to`, in bytes.
    pub fn bytes_between(&self, after: u64, to: u64) -> u64 {
        let start = self.position(after + 1).unwrap_or(0);
        let entries = self.entries.iter().skip(start);
        let entries = entries.take_while(|entry| entry.index <= to);
        entries.map(entry_bytes).sum()
    }

    /// The highest index after which the entries up to `index` take more than `max_bytes`; 0 if all in memory take less.
    pub fn index_before_bytes(&self, index: u64, max_bytes: u64) -> u64 {
        let mut bytes = 0;
        let entries = self.entries.iter().rev();
        let earlier = entries.skip_while(|entry| entry.index > index);
        for entry in earlier {
            bytes += entry_bytes(entry);
            if bytes > max_bytes {
                return entry.index;
            }
        }
        0
    }

    /// Drops the entries from `index` on.
    pub fn truncate_from(&mut self, index: u64) {
        while self
            .entries
            .back()
            .is_some_and(|entry| entry.index >= index)
        {
            self.entries.pop_back();
        }
    }

    /// Entries from index `from` on: at most `max_entries`, ending with the entry that takes the batch above `max_bytes`.
    pub fn batch(&self, from: u64, max_entries: usize, max_bytes: usize) -> Vec<LogEntry> {
        let Some(start) = self.position(from) else {
            return Vec::new();
        };
        let mut bytes = 0;
        let mut batch = Vec::new();
        for entry in self.entries.iter().skip(start).take(max_entries) {
            bytes += entry.command.len();
            batch.push(entry.clone());
            if bytes > max_bytes {
                break;
            }
        }
        batch
    }

    /// Entries with indices `from..=to`.
    pub fn range(&self, from: u64, to: u64) -> Vec<LogEntry> {
        let Some(start) = self.position(from) else {
            return Vec::new();
        };
        self.entries
            .iter()
            .skip(start)
            .take_while(|entry| entry.index <= to)
            .cloned()
            .collect()
    }

    /// Stores a snapshot as of `index` and drops the entries up to `keep_after`.
    pub fn compact(
        &mut self,
        index: u64,
        term: u64,
        voters: Vec<Member>,
        state: Vec<u8>,
        keep_after: u64,
    ) {
        self.snapshot_index = index;
        self.snapshot_term = term;
        self.snapshot_voters = voters;
        self.snapshot_state = state;
        while self
            .entries
            .front()
            .is_some_and(|entry| entry.index <= keep_after.min(index))
        {
            self.entries.pop_front();
        }
    }

    /// Replaces the snapshot and all entries by this snapshot.
    pub fn reset(&mut self, index: u64, term: u64, voters: Vec<Member>, state: Vec<u8>) {
        self.entries.clear();
        self.compact(index, term, voters, state, index);
    }

    /// Voters as of `index`: those that the last membership change up to there set.
    pub fn voters_at(&self, index: u64) -> &[Member] {
        self.entries
            .iter()
            .rev()
            .find(|entry| entry.index <= index && !entry.voters.is_empty())
            .map_or(&self.snapshot_voters, |entry| &entry.voters)
    }

    /// Index of the last membership change, or of the snapshot if no entry in memory is one.
    pub fn last_membership_change(&self) -> u64 {
        self.entries
            .iter()
            .rev()
            .find(|entry| !entry.voters.is_empty())
            .map_or(self.snapshot_index, |entry| entry.index)
    }
}
