//! What a leader does: appends entries, replicates them and confirms reads.

use crate::config::MAX_BATCH_BYTES;
use crate::config::MAX_BATCH_ENTRIES;
use crate::config::OBSERVER_TIMEOUT_HEARTBEATS;
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

/// How long a leader remembers when a round started, in shortest election timeouts. An answer that comes later confirms nothing.
const ROUND_RETENTION_ELECTION_TIMEOUTS: u64 = 4;

impl Replica {
    pub(crate) fn become_leader(&mut self, now_ms: u64) {
        let next = self.log.last_index() + 1;
        let mut leadership = Leadership {
            next_heartbeat_ms: now_ms,
            elected_ms: now_ms,
            term_start_index: next,
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
        // An empty entry of the new term: entries of earlier terms are committed only by committing an entry of this term after them.
        self.append_as_leader(Vec::new(), Vec::new());
        self.replicate_all(now_ms);
        self.update_commit_index();
    }

    fn leadership(&mut self) -> Option<&mut Leadership> {
        match &mut self.role {
            Role::Leader(leadership) => Some(leadership),
            _ => None,
        }
    }

    pub(crate) fn append_as_leader(&mut self, command: Vec<u8>, voters: Vec<Member>) -> u64 {
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

    pub(crate) fn propose(&mut self, request_id: u64, command: Vec<u8>) {
        if !self.is_leader() {
            self.outputs.push(Output::Refused { request_id });
            return;
        }
        let index = self.append_as_leader(command, Vec::new());
        if let Some(leadership) = self.leadership() {
            leadership.unsent = true;
        }
        self.outputs.push(Output::Appended {
            request_id,
            index,
            term: self.term,
        });
    }

    pub(crate) fn read(&mut self, request_id: u64) {
        let commit = self.commit;
        let Some(leadership) = self.leadership() else {
            self.outputs.push(Output::Refused { request_id });
            return;
        };
        // A leader doesn't know what earlier leaders committed until an entry of its own term is committed.
        let index = commit.max(leadership.term_start_index);
        // Only answers to a round that starts after the read arrived show that no other leader was elected before the read.
        let round = leadership.round + 1;
        leadership.unsent = true;
        leadership.pending_reads.push(PendingRead {
            request_id,
            index,
            round,
        });
    }

    /// Sends the entries of new proposals and the round that new reads need, or nothing if there are none. A leader that sent something
    /// after every message would be answered each time, so an idle group would exchange messages without end.
    pub(crate) fn flush(&mut self, now_ms: u64) {
        let has_unsent = self
            .leadership()
            .is_some_and(|leadership| leadership.unsent);
        if has_unsent {
            let includes_observers = !self.has_many_observers();
            self.start_round(now_ms, includes_observers);
        }
    }

    /// Whether there are more observers than voters. New entries then reach the observers with the next heartbeat only: nothing waits for
    /// their answers, and a message to each of them for each commit and each read would cost the leader more than the voters do.
    pub(crate) fn has_many_observers(&self) -> bool {
        let Role::Leader(leadership) = &self.role else {
            return false;
        };
        let replicas = leadership.progress.keys();
        let observers = replicas.filter(|id| !self.voters.contains(**id)).count();
        observers > self.voters.len()
    }

    /// Starts a round: sends the voters the entries that they lack, or a heartbeat, and the observers too if `includes_observers`.
    fn start_round(&mut self, now_ms: u64, includes_observers: bool) {
        let retention_ms = self.config.election_timeout_ms * ROUND_RETENTION_ELECTION_TIMEOUTS;
        let Some(leadership) = self.leadership() else {
            return;
        };
        leadership.advance_round(now_ms, retention_ms);
        leadership.unsent = false;
        if includes_observers {
            self.replicate_all(now_ms);
        } else {
            let voters: Vec<u64> = self.voters.iter().map(|(id, _)| id).collect();
            for id in voters {
                self.replicate(now_ms, id, true);
            }
        }
        self.update_commit_index();
        self.release_confirmed_reads();
    }

    /// Releases the reads whose round a majority has answered, which shows that no other leader was elected before them.
    fn release_confirmed_reads(&mut self) {
        let own = self.config.id;
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let progress = &leadership.progress;
        let confirmed_round = self.voters.quorum_value(|id| {
            if id == own {
                u64::MAX
            } else {
                progress.get(&id).map_or(0, |p| p.round)
            }
        });
        let (ready, waiting) = leadership
            .pending_reads
            .iter()
            .partition(|read| read.round <= confirmed_round);
        leadership.pending_reads = waiting;
        let ready: Vec<PendingRead> = ready;
        for read in ready {
            self.outputs.push(Output::ReadIndex {
                request_id: read.request_id,
                index: read.index,
            });
        }
    }

    pub(crate) fn tick_leader(&mut self, now_ms: u64) {
        if !self.has_active_quorum(now_ms) {
            let term = self.term;
            self.become_follower(now_ms, term, None);
            return;
        }
        if self.low_on_space
            && let Some(successor) = self.successor(now_ms)
        {
            self.transfer(now_ms, successor);
            return;
        }
        self.remove_silent_observers(now_ms);
        self.change_membership(now_ms);
        let heartbeat_ms = self.config.heartbeat_ms;
        let commit = self.commit;
        let Some(leadership) = self.leadership() else {
            return;
        };
        if now_ms >= leadership.next_heartbeat_ms {
            leadership.next_heartbeat_ms = now_ms + heartbeat_ms;
            leadership.heartbeat_commit = commit;
            self.start_round(now_ms, true);
        }
    }

    /// Whether a majority of the voters has disk space for large entries, as far as this leader knows.
    pub fn has_space(&self) -> bool {
        let Role::Leader(leadership) = &self.role else {
            return !self.low_on_space;
        };
        self.voters.is_majority(|id| {
            if id == self.config.id {
                return !self.low_on_space;
            }
            let progress = leadership.progress.get(&id);
            progress.is_none_or(|progress| !progress.low_on_space)
        })
    }

    /// A voter that has disk space and all that is committed, and answered lately.
    fn successor(&self, now_ms: u64) -> Option<u64> {
        let Role::Leader(leadership) = &self.role else {
            return None;
        };
        let since_ms = now_ms.saturating_sub(self.config.election_timeout_ms);
        let voters = leadership.progress.iter().filter(|(id, p)| {
            self.voters.contains(**id) && !p.low_on_space && p.last_contact_ms >= since_ms
        });
        let caught_up = voters.filter(|(_, p)| p.matched >= self.commit && p.matched > 0);
        caught_up.max_by_key(|(_, p)| p.matched).map(|(id, _)| *id)
    }

    /// Steps down and asks `successor` to stand for election. This replica leads no more from then on: the others may elect a leader that it does
    /// not hear of, although they heard from it lately.
    fn transfer(&mut self, now_ms: u64, successor: u64) {
        let term = self.term;
        self.become_follower(now_ms, term, None);
        let body = self.body(RaftKind::Transfer);
        self.send(successor, body);
    }

    /// Whether a majority answered within the shortest election timeout. Without this check an isolated leader would go on accepting proposals
    /// that it can never commit, while the others have elected a new leader.
    fn has_active_quorum(&self, now_ms: u64) -> bool {
        let Role::Leader(leadership) = &self.role else {
            return false;
        };
        let since_ms = now_ms.saturating_sub(self.config.election_timeout_ms);
        if leadership.elected_ms > since_ms {
            return true;
        }
        self.voters.is_majority(|id| {
            id == self.config.id
                || leadership
                    .progress
                    .get(&id)
                    .is_some_and(|p| p.last_contact_ms >= since_ms)
        })
    }

    fn remove_silent_observers(&mut self, now_ms: u64) {
        let timeout_ms = self.config.heartbeat_ms * OBSERVER_TIMEOUT_HEARTBEATS;
        let voters = self.voters.clone();
        if let Some(leadership) = self.leadership() {
            leadership
                .progress
                .retain(|id, p| voters.contains(*id) || now_ms < p.last_contact_ms + timeout_ms);
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
        progress.heard_ms = now_ms;
        // A voter's announcement doesn't say which leader it follows. If it counted as contact, a deposed leader could believe that it
        // still has a quorum.
        if !is_voter {
            progress.durable = body.durable;
            progress.last_contact_ms = now_ms;
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

    /// Sends the entries that replica `id` lacks. If there are none to send, sends an empty append when `send_empty` is set.
    fn replicate(&mut self, now_ms: u64, id: u64, send_empty: bool) {
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let round = leadership.round;
        let retry_ms = self.config.election_timeout_ms;
        let Some(progress) = leadership.progress.get_mut(&id) else {
            return;
        };
        let prev_index = progress.next - 1;
        let Some(index_term) = self.log.term_at(prev_index) else {
            self.send_snapshot(now_ms, id);
            return;
        };
        let in_flight = (progress.in_flight_after(), prev_index);
        let bytes_in_flight = self.log.bytes_between(in_flight.0, in_flight.1);
        let entries = if progress.may_send_entries(now_ms, retry_ms, bytes_in_flight) {
            self.log
                .batch(progress.next, MAX_BATCH_ENTRIES, MAX_BATCH_BYTES)
        } else {
            Vec::new()
        };
        if entries.is_empty() && !send_empty {
            return;
        }
        if let Some(last) = entries.last() {
            progress.note_sent(now_ms, last.index);
        }
        let commit = self.commit;
        let body = RaftBody {
            index: prev_index,
            index_term,
            commit,
            entries,
            round,
            ..self.body(RaftKind::Append)
        };
        self.send(id, body);
    }

    fn send_snapshot(&mut self, now_ms: u64, id: u64) {
        let retry_ms = self.config.election_timeout_ms;
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let round = leadership.round;
        let Some(progress) = leadership.progress.get_mut(&id) else {
            return;
        };
        if !progress.may_send_snapshot(now_ms, retry_ms) {
            return;
        }
        progress.snapshot_sent_ms = Some(now_ms);
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
        // An observer that only lacks the newest entries gets them with the next heartbeat.
        let waits_for_heartbeat = !self.voters.contains(from) && self.has_many_observers();
        let retention_ms = self.config.election_timeout_ms * ROUND_RETENTION_ELECTION_TIMEOUTS;
        let Some(leadership) = self.leadership() else {
            return;
        };
        let sent_ms = leadership.round_started_ms.get(&body.round).copied();
        let next_round = leadership.round + 1;
        let Some(progress) = leadership.progress.get_mut(&from) else {
            return;
        };
        progress.last_contact_ms = now_ms;
        progress.heard_ms = now_ms;
        progress.low_on_space = body.low_on_space;
        progress.supported_ms = progress.supported_ms.max(sent_ms.unwrap_or(0));
        progress.round = progress.round.max(body.round);
        let restarts_probe = !body.granted && progress.is_current(body.round);
        if body.granted {
            progress.note_match(body.index, body.round);
        } else if restarts_probe {
            progress.restart_probe((body.index + 1).min(last + 1), next_round);
        }
        let max_lag = if waits_for_heartbeat {
            u64::try_from(MAX_BATCH_ENTRIES).unwrap_or(u64::MAX)
        } else {
            0
        };
        let is_behind = body.granted && progress.next + max_lag <= last;
        if restarts_probe {
            leadership.advance_round(now_ms, retention_ms);
        }
        self.update_commit_index();
        self.release_confirmed_reads();
        if is_behind || restarts_probe {
            self.replicate(now_ms, from, restarts_probe);
        }
    }

    /// Commits the entries that a majority holds, up to an entry of the leader's own term.
    pub(crate) fn update_commit_index(&mut self) {
        let own = self.config.id;
        let last = self.log.last_index();
        let Role::Leader(leadership) = &self.role else {
            return;
        };
        let quorum_index = self.voters.quorum_value(|id| {
            if id == own {
                last
            } else {
                leadership.progress.get(&id).map_or(0, |p| p.matched)
            }
        });
        if quorum_index > self.commit && self.log.term_at(quorum_index) == Some(self.term) {
            self.advance_commit(quorum_index);
            self.caught_up = true;
            // The next flush tells followers and observers of the commit, so that they don't wait for the next heartbeat.
            if let Some(leadership) = self.leadership() {
                leadership.unsent = true;
            }
        }
    }
}
