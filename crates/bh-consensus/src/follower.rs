//! How a follower handles entries and snapshots from its leader.

use crate::config::MAX_KEPT_BYTES;
use crate::output::Output;
use crate::replica::Replica;
use crate::role::Role;
use crate::voters::Voters;
use bh_protocol::wire::RaftBody;
use bh_protocol::wire::RaftKind;

impl Replica {
    pub(crate) fn receive_append(&mut self, now_ms: u64, from: u64, body: RaftBody) {
        if self.leader != Some(from) || !matches!(self.role, Role::Follower) {
            self.become_follower(now_ms, body.term, Some(from));
        }
        self.last_leader_contact_ms = Some(now_ms);
        self.restart_election_timer(now_ms);
        let Some(matched) = self.accept_entries(&body) else {
            let hint = body.index.saturating_sub(1).min(self.log.last_index());
            let reply = RaftBody {
                index: hint,
                round: body.round,
                low_on_space: self.low_on_space,
                ..self.body(RaftKind::AppendReply)
            };
            self.send(from, reply);
            return;
        };
        self.advance_commit(body.commit.min(matched));
        let committed_this_term = self.log.term_at(self.commit) == Some(self.term);
        self.caught_up |= committed_this_term && self.commit >= body.commit;
        let reply = RaftBody {
            index: matched,
            granted: true,
            round: body.round,
            low_on_space: self.low_on_space,
            ..self.body(RaftKind::AppendReply)
        };
        self.send(from, reply);
    }

    /// Appends the new entries. Returns the highest index up to which the log now matches the leader's, or `None` if the logs differ
    /// at the entry before the message's first one.
    pub(crate) fn accept_entries(&mut self, body: &RaftBody) -> Option<u64> {
        let before_snapshot =
            body.index < self.log.snapshot_index && self.log.get(body.index).is_none();
        if !before_snapshot && self.log.term_at(body.index) != Some(body.index_term) {
            return None;
        }
        let mut new = Vec::new();
        for entry in &body.entries {
            if entry.index <= self.log.snapshot_index || entry.index <= self.commit {
                continue;
            }
            if new.is_empty() && self.log.term_at(entry.index) == Some(entry.term) {
                continue;
            }
            if new.is_empty() {
                self.truncate_from(entry.index);
            }
            self.append_entry(entry.clone());
            new.push(entry.clone());
        }
        if !new.is_empty() {
            self.outputs.push(Output::SaveEntries(new));
        }
        let last = body.entries.last().map_or(body.index, |entry| entry.index);
        Some(last.max(if before_snapshot {
            self.log.snapshot_index
        } else {
            0
        }))
    }

    pub(crate) fn truncate_from(&mut self, index: u64) {
        if self.log.last_index() >= index {
            self.log.truncate_from(index);
            self.voters = Voters::new(self.log.voters_at(u64::MAX));
        }
    }

    pub(crate) fn receive_snapshot(&mut self, now_ms: u64, from: u64, body: RaftBody) {
        if self.leader != Some(from) || !matches!(self.role, Role::Follower) {
            self.become_follower(now_ms, body.term, Some(from));
        }
        self.last_leader_contact_ms = Some(now_ms);
        self.restart_election_timer(now_ms);
        if body.index > self.commit {
            self.log.reset(
                body.index,
                body.index_term,
                body.voters.clone(),
                body.snapshot.clone(),
            );
            self.voters = Voters::new(&body.voters);
            self.commit = body.index;
            self.save_snapshot();
            self.outputs.push(Output::Restore {
                index: body.index,
                state: body.snapshot,
            });
        }
        let reply = RaftBody {
            index: self.commit,
            granted: true,
            round: body.round,
            low_on_space: self.low_on_space,
            ..self.body(RaftKind::AppendReply)
        };
        self.send(from, reply);
    }

    pub(crate) fn advance_commit(&mut self, commit: u64) {
        let commit = commit.min(self.log.last_index());
        if commit <= self.commit {
            return;
        }
        let entries = self.log.range(self.commit + 1, commit);
        self.commit = commit;
        self.outputs.push(Output::Apply(entries));
    }

    pub(crate) fn compact(&mut self, index: u64, state: Vec<u8>) {
        if index <= self.log.snapshot_index || index > self.commit {
            return;
        }
        let Some(term) = self.log.term_at(index) else {
            return;
        };
        let voters = self.log.voters_at(index).to_vec();
        // Keeps the newest quarter of the entries, so that a follower that is a little behind needs no snapshot. Large ones are not worth
        // their memory.
        let newest_quarter = index - (index - self.log.first_index().min(index)) / 4;
        let small = self.log.index_before_bytes(index, MAX_KEPT_BYTES);
        let keep_after = newest_quarter.max(small);
        self.log.compact(index, term, voters, state, keep_after);
        self.save_snapshot();
    }

    pub(crate) fn save_snapshot(&mut self) {
        let output = Output::SaveSnapshot {
            index: self.log.snapshot_index,
            term: self.log.snapshot_term,
            voters: self.log.snapshot_voters.clone(),
            state: self.log.snapshot_state.clone(),
            vote: (self.term, self.voted_for),
            entries: self.log.range(self.log.snapshot_index + 1, u64::MAX),
        };
        self.outputs.push(output);
    }
}
