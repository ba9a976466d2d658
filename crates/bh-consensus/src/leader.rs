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
use crate::voters::Voters;
use bh_protocol::wire::LogEntry;
use bh_protocol::wire::Member;
use bh_protocol::wire::RaftBody;
use bh_protocol::wire::RaftKind;
use std::sync::Arc;

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

    fn append_own(&mut self, command: Vec<u8>, voters: Vec<Member>) -> u64 {
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
        let Some(leadership) = self.leadership() else {
            return;
        };
        leadership.round += 1;
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
        let since = now_ms.saturating_sub(self.config.election_ms);
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
        let Some(leadership) = self.leadership() else {
            return;
        };
        let name = Arc::from(body.name.as_str());
        let progress = leadership
            .progress
            .entry(from)
            .or_insert_with(|| Progress::new(name, body.durable, next, now_ms));
        progress.durable = body.durable;
        progress.heard_ms = now_ms;
        self.replicate(now_ms, from, true);
    }

    fn replicate_all(&mut self, now_ms: u64) {
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
        let Some(progress) = leadership.progress.get_mut(&id) else {
            return;
        };
        let before = progress.next - 1;
        let Some(index_term) = self.log.term_at(before) else {
            self.send_snapshot(now_ms, id);
            return;
        };
        let entries = self.log.batch(progress.next, MAX_ENTRIES, MAX_BATCH_BYTES);
        if entries.is_empty() && !always {
            return;
        }
        // The next batch follows without waiting for an answer; a loss shows as a mismatch and resets this.
        if let Some(last) = entries.last() {
            progress.next = last.index + 1;
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
        let wait_ms = self.config.election_ms;
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
        let Some(leadership) = self.leadership() else {
            return;
        };
        let Some(progress) = leadership.progress.get_mut(&from) else {
            return;
        };
        progress.heard_ms = now_ms;
        progress.round = progress.round.max(body.round);
        if body.granted {
            progress.matched = progress.matched.max(body.index);
            progress.next = progress.next.max(progress.matched + 1);
            progress.snapshot_ms = None;
        } else {
            progress.next = (body.index + 1).max(progress.matched + 1).min(last + 1);
        }
        let lacks = progress.next <= last || !body.granted;
        self.count_matches();
        self.confirm_reads();
        if lacks {
            self.replicate(now_ms, from, !body.granted);
        }
    }

    /// Commits what a majority holds, but only entries of the own term.
    fn count_matches(&mut self) {
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
            // Followers and observers learn of the commit with the next flush, not only with the next heartbeat.
            if let Some(leadership) = self.leadership() {
                leadership.unsent = true;
            }
        }
    }

    /// Moves the voters one step towards the wanted set.
    ///
    /// A VM that came back without its data has a new identity under its old name. Its old identity is removed
    /// first and the new one added once it has caught up: it must not count as the voter it was, since it has
    /// forgotten what that one acknowledged. One change at a time keeps any two majorities overlapping.
    fn change_membership(&mut self, now_ms: u64) {
        let Role::Leader(leadership) = &self.role else {
            return;
        };
        let ready = self.commit >= leadership.first_index && self.log.last_change() <= self.commit;
        if !ready {
            return;
        }
        if let Some(next) = self.next_voters(now_ms, leadership) {
            for (id, name) in next.iter() {
                let start = self.log.last_index() + 1;
                if let Role::Leader(leadership) = &mut self.role
                    && id != self.config.id
                {
                    leadership
                        .progress
                        .entry(id)
                        .or_insert_with(|| Progress::new(name.clone(), true, start, now_ms));
                }
            }
            self.append_own(Vec::new(), next.to_members());
            self.replicate_all(now_ms);
            self.count_matches();
        }
    }

    fn next_voters(&self, now_ms: u64, leadership: &Leadership) -> Option<Voters> {
        let recent_ms = now_ms.saturating_sub(self.config.election_ms * 2);
        let caught_up =
            |p: &Progress| p.durable && p.heard_ms >= recent_ms && p.matched >= self.commit;
        let newcomer = leadership.progress.iter().find(|(id, p)| {
            !self.voters.contains(**id)
                && self.config.wanted_voters.contains(&p.name)
                && caught_up(p)
        });
        if let Some((id, p)) = newcomer {
            let replaced = self
                .voters
                .iter()
                .find(|(_, name)| **name == p.name)
                .map(|(old, _)| old);
            return Some(match replaced {
                Some(old) => self.without(old),
                None => self.with(*id, &p.name),
            });
        }
        // A voter that is no longer wanted leaves once the wanted ones are all there; the leader itself last.
        let present = self
            .voters
            .iter()
            .filter(|(_, name)| self.config.wanted_voters.contains(*name))
            .count();
        if present < self.config.wanted_voters.len() {
            return None;
        }
        let unwanted = self
            .voters
            .iter()
            .find(|(id, name)| *id != self.config.id && !self.config.wanted_voters.contains(*name));
        unwanted
            .filter(|_| self.voters.len() > 1)
            .map(|(id, _)| self.without(id))
    }

    fn without(&self, id: u64) -> Voters {
        let members: Vec<Member> = self
            .voters
            .to_members()
            .into_iter()
            .filter(|member| member.id != id)
            .collect();
        Voters::new(&members)
    }

    fn with(&self, id: u64, name: &Arc<str>) -> Voters {
        let mut members = self.voters.to_members();
        members.push(Member {
            id,
            name: name.to_string(),
        });
        Voters::new(&members)
    }
}
