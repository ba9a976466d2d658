//! What a leader does: append, replicate, confirm reads, change the membership.

use crate::config::MAX_BATCH_BYTES;
use crate::config::MAX_ENTRIES;
use crate::config::OBSERVER_HEARTBEATS;
use crate::output::Output;
use crate::progress::Progress;
use crate::replica::Replica;
use crate::role::Leadership;
use crate::role::PendingRead;
use crate::role::Role;
use bh_protocol::wire::LogEntry;
use bh_protocol::wire::Member;
use bh_protocol::wire::RaftBody;
use bh_protocol::wire::RaftKind;
use std::sync::Arc;

/// Time for which it is remembered when a round was begun, in least election times. An answer that comes later confirms nothing any more.
const ROUNDS_KEPT_ELECTIONS: u64 = 4;

impl Replica {
    pub(crate) fn become_leader(&mut self, now_ms: u64) {
        let next = self.log.last_index() + 1;
        let mut leadership = Leadership {
            next_heartbeat_ms: now_ms,
            elected_ms: now_ms,
            first_index: next,
            ..Leadership::default()
        };
        for (id, name) in self.voters.iter().filter(|(id, _)| *id != self.config.id) {
            leadership
                .progress
                .insert(id, Progress::new(name.clone(), true, next, now_ms));
        }
        self.role = Role::Leader(leadership);
        self.leader = Some(self.config.id);
        self.outputs.push(Output::RoleChanged);
        // An empty entry of the new term: entries of earlier terms count as committed only below one of this term.
        self.append_own(Vec::new(), Vec::new());
        self.replicate_all(now_ms);
        self.count_matches();
    }

    fn leadership(&mut self) -> Option<&mut Leadership> {
        match &mut self.role {
            Role::Leader(leadership) => Some(leadership),
            _ => None,
        }
    }

    pub(crate) fn append_own(&mut self, command: Vec<u8>, voters: Vec<Member>) -> u64 {
        let entry = LogEntry {
            index: self.log.last_index() + 1,
            term: self.term,
            command,
            voters,
        };
        let index = entry.index;
        self.outputs.push(Output::SaveEntries(vec![entry.clone()]));
        self.append_entry(entry);
        index
    }

    pub(crate) fn propose(&mut self, ticket: u64, command: Vec<u8>) {
        if !self.is_leader() {
            self.outputs.push(Output::Refused { ticket });
            return;
        }
        let index = self.append_own(command, Vec::new());
        if let Some(leadership) = self.leadership() {
            leadership.unsent = true;
        }
        self.outputs.push(Output::Appended {
            ticket,
            index,
            term: self.term,
        });
    }

    pub(crate) fn read(&mut self, ticket: u64) {
        let commit = self.commit;
        let Some(leadership) = self.leadership() else {
            self.outputs.push(Output::Refused { ticket });
            return;
        };
        // Before its own first entry is committed a leader does not know what earlier leaders committed.
        let index = commit.max(leadership.first_index);
        // Only answers to a round that starts after the read show that no other leader was elected before it.
        let round = leadership.round + 1;
        leadership.unsent = true;
        leadership.reads.push(PendingRead {
            ticket,
            index,
            round,
        });
    }

    /// Sends what the last proposals and reads need; nothing when there were none. A leader that sent something after
    /// every message would be answered each time, and the group would never come to rest.
    pub(crate) fn flush(&mut self, now_ms: u64) {
        let has_unsent = self
            .leadership()
            .is_some_and(|leadership| leadership.unsent);
        if has_unsent {
            self.start_round(now_ms);
        }
    }

    /// Sends every replica what it lacks, or a heartbeat.
    fn start_round(&mut self, now_ms: u64) {
        let kept_ms = self.config.election_timeout_ms * ROUNDS_KEPT_ELECTIONS;
        let Some(leadership) = self.leadership() else {
            return;
        };
        leadership.begin_round(now_ms, kept_ms);
        leadership.unsent = false;
        self.replicate_all(now_ms);
        self.count_matches();
        self.confirm_reads();
    }

    /// Releases the reads whose heartbeat round a majority has answered: no other leader was elected before them.
    fn confirm_reads(&mut self) {
        let own = self.config.id;
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let progress = &leadership.progress;
        let confirmed = self.voters.reached_by_majority(|id| {
            if id == own {
                u64::MAX
            } else {
                progress.get(&id).map_or(0, |p| p.round)
            }
        });
        let (ready, waiting) = leadership
            .reads
            .iter()
            .partition(|read| read.round <= confirmed);
        leadership.reads = waiting;
        let ready: Vec<PendingRead> = ready;
        for read in ready {
            self.outputs.push(Output::ReadAt {
                ticket: read.ticket,
                index: read.index,
            });
        }
    }

    pub(crate) fn tick_leader(&mut self, now_ms: u64) {
        if !self.keeps_quorum(now_ms) {
            let term = self.term;
            self.become_follower(now_ms, term, None);
            return;
        }
        self.forget_silent_observers(now_ms);
        self.change_membership(now_ms);
        let heartbeat_ms = self.config.heartbeat_ms;
        let Some(leadership) = self.leadership() else {
            return;
        };
        if now_ms >= leadership.next_heartbeat_ms {
            leadership.next_heartbeat_ms = now_ms + heartbeat_ms;
            self.start_round(now_ms);
        }
    }

    /// Whether a majority answered within the election time. A leader that is isolated silently would otherwise go
    /// on taking proposals that it can never commit while the others have elected a new one.
    fn keeps_quorum(&self, now_ms: u64) -> bool {
        let Role::Leader(leadership) = &self.role else {
            return false;
        };
        let since = now_ms.saturating_sub(self.config.election_timeout_ms);
        if leadership.elected_ms > since {
            return true;
        }
        self.voters.majority(|id| {
            id == self.config.id
                || leadership
                    .progress
                    .get(&id)
                    .is_some_and(|p| p.heard_ms >= since)
        })
    }

    fn forget_silent_observers(&mut self, now_ms: u64) {
        let limit_ms = self.config.heartbeat_ms * OBSERVER_HEARTBEATS;
        let voters = self.voters.clone();
        if let Some(leadership) = self.leadership() {
            leadership
                .progress
                .retain(|id, p| voters.contains(*id) || now_ms < p.heard_ms + limit_ms);
        }
    }

    pub(crate) fn receive_observe(&mut self, now_ms: u64, from: u64, body: &RaftBody) {
        let next = self.log.last_index() + 1;
        let is_voter = self.voters.contains(from);
        let Some(leadership) = self.leadership() else {
            return;
        };
        let name = Arc::from(body.name.as_str());
        let progress = leadership
            .progress
            .entry(from)
            .or_insert_with(|| Progress::new(name, body.durable, next, now_ms));
        // A voter's announcement says nothing of whom it supports: counted as heard it would let a deposed leader take itself for one.
        if !is_voter {
            progress.durable = body.durable;
            progress.heard_ms = now_ms;
        }
        self.replicate(now_ms, from, true);
    }

    pub(crate) fn replicate_all(&mut self, now_ms: u64) {
        let ids: Vec<u64> = self
            .leadership()
            .map(|l| l.progress.keys().copied().collect())
            .unwrap_or_default();
        for id in ids {
            self.replicate(now_ms, id, true);
        }
    }

    /// Sends `id` what it lacks; with `always` also when it lacks nothing.
    fn replicate(&mut self, now_ms: u64, id: u64, always: bool) {
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let round = leadership.round;
        let patience_ms = self.config.election_timeout_ms;
        let Some(progress) = leadership.progress.get_mut(&id) else {
            return;
        };
        let before = progress.next - 1;
        let Some(index_term) = self.log.term_at(before) else {
            self.send_snapshot(now_ms, id);
            return;
        };
        let entries = if progress.may_send_entries(now_ms, patience_ms) {
            self.log.batch(progress.next, MAX_ENTRIES, MAX_BATCH_BYTES)
        } else {
            Vec::new()
        };
        if entries.is_empty() && !always {
            return;
        }
        if let Some(last) = entries.last() {
            progress.note_sent(now_ms, last.index);
        }
        let commit = self.commit;
        let body = RaftBody {
            index: before,
            index_term,
            commit,
            entries,
            round,
            ..self.body(RaftKind::Append)
        };
        self.send(id, body);
    }

    fn send_snapshot(&mut self, now_ms: u64, id: u64) {
        let wait_ms = self.config.election_timeout_ms;
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let round = leadership.round;
        let Some(progress) = leadership.progress.get_mut(&id) else {
            return;
        };
        if progress
            .snapshot_ms
            .is_some_and(|sent| now_ms < sent + wait_ms)
        {
            return;
        }
        progress.snapshot_ms = Some(now_ms);
        let body = RaftBody {
            index: self.log.snapshot_index,
            index_term: self.log.snapshot_term,
            voters: self.log.snapshot_voters.clone(),
            snapshot: self.log.snapshot_state.clone(),
            commit: self.commit,
            round,
            ..self.body(RaftKind::Snapshot)
        };
        self.send(id, body);
    }

    pub(crate) fn receive_append_reply(&mut self, now_ms: u64, from: u64, body: &RaftBody) {
        let last = self.log.last_index();
        let kept_ms = self.config.election_timeout_ms * ROUNDS_KEPT_ELECTIONS;
        let Some(leadership) = self.leadership() else {
            return;
        };
        let begun_ms = leadership.begun_ms.get(&body.round).copied();
        let next_round = leadership.round + 1;
        let Some(progress) = leadership.progress.get_mut(&from) else {
            return;
        };
        progress.heard_ms = now_ms;
        progress.supported_ms = progress.supported_ms.max(begun_ms.unwrap_or(0));
        progress.round = progress.round.max(body.round);
        let starts_over = !body.granted && progress.is_news(body.round);
        if body.granted {
            progress.note_match(body.index, body.round);
        } else if starts_over {
            progress.start_over((body.index + 1).min(last + 1), next_round);
        }
        let lacks = body.granted && progress.next <= last;
        if starts_over {
            leadership.begin_round(now_ms, kept_ms);
        }
        self.count_matches();
        self.confirm_reads();
        if lacks || starts_over {
            self.replicate(now_ms, from, starts_over);
        }
    }

    /// Commits what a majority holds, but only entries of the own term.
    pub(crate) fn count_matches(&mut self) {
        let own = self.config.id;
        let last = self.log.last_index();
        let Role::Leader(leadership) = &self.role else {
            return;
        };
        let reached = self.voters.reached_by_majority(|id| {
            if id == own {
                last
            } else {
                leadership.progress.get(&id).map_or(0, |p| p.matched)
            }
        });
        if reached > self.commit && self.log.term_at(reached) == Some(self.term) {
            self.advance_commit(reached);
            self.caught_up = true;
            // Followers and observers learn of the commit with the next flush, not only with the next heartbeat.
            if let Some(leadership) = self.leadership() {
                leadership.unsent = true;
            }
        }
    }
}
