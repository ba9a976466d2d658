//! Elections, with a pre-vote before a replica raises its term.

use crate::output::Output;
use crate::replica::Replica;
use crate::role::Role;
use bh_protocol::wire::RaftBody;
use bh_protocol::wire::RaftKind;
use std::collections::BTreeSet;

impl Replica {
    /// Asks the voters whether an election would succeed. A partitioned VM repeats this without raising its term, so that it doesn't
    /// depose a working leader when the partition heals.
    pub(crate) fn start_pre_vote(&mut self, now_ms: u64) {
        self.restart_pre_vote_timer(now_ms);
        self.leader = None;
        self.role = Role::PreCandidate {
            granted: BTreeSet::from([self.config.id]),
        };
        self.outputs.push(Output::RoleChanged);
        self.request_votes(RaftKind::PreVote, self.term + 1, false);
        self.count_pre_votes(now_ms);
    }

    /// Stands for election at once, as the last leader asks.
    pub(crate) fn receive_transfer(&mut self, now_ms: u64, from: u64) {
        if self.leader == Some(from) && self.is_voter() {
            self.leader = None;
            self.outputs.push(Output::RoleChanged);
            self.start_election(now_ms, true);
        }
    }

    fn start_election(&mut self, now_ms: u64, transferred: bool) {
        self.restart_election_timer(now_ms);
        self.term += 1;
        self.voted_for = self.config.id;
        self.save_vote();
        self.role = Role::Candidate {
            granted: BTreeSet::from([self.config.id]),
        };
        self.request_votes(RaftKind::Vote, self.term, transferred);
        self.count_votes(now_ms);
    }

    fn request_votes(&mut self, kind: RaftKind, term: u64, transferred: bool) {
        let body = RaftBody {
            term,
            transferred,
            index: self.log.last_index(),
            index_term: self.log.last_term(),
            ..self.body(kind)
        };
        let others: Vec<u64> = self
            .voters
            .iter()
            .map(|(id, _)| id)
            .filter(|id| *id != self.config.id)
            .collect();
        for id in others {
            self.send(id, body.clone());
        }
    }

    fn is_up_to_date(&self, body: &RaftBody) -> bool {
        (body.index_term, body.index) >= (self.log.last_term(), self.log.last_index())
    }

    pub(crate) fn receive_pre_vote(&mut self, now_ms: u64, from: u64, body: &RaftBody) {
        let granted =
            body.term > self.term && self.is_up_to_date(body) && !self.has_live_leader(now_ms);
        // A grant carries the term that was asked for, so that a late answer to an earlier pre-vote doesn't count.
        let term = if granted { body.term } else { self.term };
        let reply = RaftBody {
            term,
            granted,
            ..self.body(RaftKind::PreVoteReply)
        };
        self.send(from, reply);
    }

    pub(crate) fn receive_pre_vote_reply(&mut self, now_ms: u64, from: u64, body: &RaftBody) {
        let Role::PreCandidate { granted } = &mut self.role else {
            return;
        };
        if body.granted && body.term == self.term + 1 {
            granted.insert(from);
            self.count_pre_votes(now_ms);
        }
    }

    fn count_pre_votes(&mut self, now_ms: u64) {
        let Role::PreCandidate { granted } = &self.role else {
            return;
        };
        if self.voters.is_majority(|id| granted.contains(&id)) {
            self.start_election(now_ms, false);
        }
    }

    pub(crate) fn receive_vote(&mut self, now_ms: u64, from: u64, body: &RaftBody) {
        let free = self.voted_for == 0 || self.voted_for == from;
        // An observer never votes: without a disk it would forget the vote over a restart and could vote twice in a term.
        let granted = self.is_voter() && free && self.is_up_to_date(body) && self.leader.is_none();
        if granted {
            if self.voted_for != from {
                self.voted_for = from;
                self.save_vote();
            }
            self.restart_election_timer(now_ms);
        }
        let reply = RaftBody {
            granted,
            ..self.body(RaftKind::VoteReply)
        };
        self.send(from, reply);
    }

    pub(crate) fn receive_vote_reply(&mut self, now_ms: u64, from: u64, body: &RaftBody) {
        let Role::Candidate { granted } = &mut self.role else {
            return;
        };
        if body.granted {
            granted.insert(from);
            self.count_votes(now_ms);
        }
    }

    fn count_votes(&mut self, now_ms: u64) {
        let Role::Candidate { granted } = &self.role else {
            return;
        };
        if self.voters.is_majority(|id| granted.contains(&id)) {
            self.become_leader(now_ms);
        }
    }
}
