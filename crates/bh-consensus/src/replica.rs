//! One replica of a group: state, time and messages.

use crate::config::Config;
use crate::config::OBSERVE_HEARTBEATS;
use crate::event::Event;
use crate::log::Log;
use crate::output::Output;
use crate::role::Role;
use crate::voters::Voters;
use bh_protocol::wire::LogEntry;
use bh_protocol::wire::Member;
use bh_protocol::wire::RaftBody;
use bh_protocol::wire::RaftKind;
use bh_protocol::wire::RaftMessage;

/// What a replica found in its data folder.
#[derive(Clone, Debug, Default)]
pub struct Restored {
    /// Current term.
    pub term: u64,
    /// Replica voted for in that term; 0 for none.
    pub voted_for: u64,
    /// Last snapshot: index, term, voters and state machine.
    pub snapshot: Option<(u64, u64, Vec<Member>, Vec<u8>)>,
    /// Entries after it.
    pub entries: Vec<LogEntry>,
}

/// One replica of a replication group.
#[derive(Clone, Debug)]
pub struct Replica {
    pub(crate) config: Config,
    pub(crate) term: u64,
    pub(crate) voted_for: u64,
    pub(crate) log: Log,
    pub(crate) voters: Voters,
    pub(crate) commit: u64,
    pub(crate) role: Role,
    pub(crate) leader: Option<u64>,
    pub(crate) last_leader_contact_ms: Option<u64>,
    pub(crate) caught_up: bool,
    pub(crate) election_at_ms: u64,
    pub(crate) outputs: Vec<Output>,
    random: u64,
    next_observe_ms: u64,
}

impl Replica {
    /// A replica that continues from what its data folder held, at time `now_ms`.
    pub fn new(config: Config, restored: Restored, now_ms: u64) -> Self {
        let mut log = Log::default();
        if let Some((index, term, voters, state)) = restored.snapshot {
            log.reset(index, term, voters, state);
        }
        for entry in restored.entries {
            if entry.index == log.last_index() + 1 {
                log.append(entry);
            }
        }
        let commit = log.snapshot_index;
        let voters = Voters::new(log.voters_at(u64::MAX));
        let random = config.seed ^ config.id.rotate_left(17) | 1;
        let mut replica = Self {
            config,
            term: restored.term,
            voted_for: restored.voted_for,
            log,
            voters,
            commit,
            role: Role::Follower,
            leader: None,
            last_leader_contact_ms: None,
            caught_up: false,
            election_at_ms: 0,
            outputs: Vec::new(),
            random,
            next_observe_ms: now_ms,
        };
        replica.restart_pre_vote_timer(now_ms);
        replica
    }

    /// Forms the group with its first voters. Every first voter calls this with the same members before any step.
    pub fn form(&mut self, members: Vec<Member>) -> Vec<Output> {
        debug_assert_eq!(self.log.last_index(), 0, "a group is formed once");
        self.term = self.term.max(1);
        let entry = LogEntry {
            index: 1,
            term: 1,
            command: Vec::new(),
            voters: members,
        };
        self.save_vote();
        self.append_entry(entry.clone());
        self.outputs.push(Output::SaveEntries(vec![entry]));
        std::mem::take(&mut self.outputs)
    }

    /// Reacts to `event` at `now_ms`, a monotonic time in milliseconds.
    pub fn step(&mut self, now_ms: u64, event: Event) -> Vec<Output> {
        match event {
            Event::Tick => self.tick(now_ms),
            Event::Receive(message) => self.receive(now_ms, message),
            Event::Propose { ticket, command } => self.propose(ticket, command),
            Event::Read { ticket } => self.read(ticket),
            Event::Flush => self.flush(now_ms),
            Event::Compact { index, state } => self.compact(index, state),
        }
        std::mem::take(&mut self.outputs)
    }

    /// Identity of this replica.
    pub fn id(&self) -> u64 {
        self.config.id
    }

    /// Current term.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Highest index known to be committed.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// Index of the last entry in the log.
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }

    /// Last index the snapshot covers.
    pub fn snapshot_index(&self) -> u64 {
        self.log.snapshot_index
    }

    /// Whether this replica has held, at some time since it started, all that was committed by then. Its log does not say how
    /// much of it is committed; a leader that has committed an entry of its own term does.
    pub fn has_caught_up(&self) -> bool {
        self.caught_up
    }

    /// Role in the current term.
    pub fn role(&self) -> &Role {
        &self.role
    }

    /// Whether this replica leads its group.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Whether this replica votes.
    pub fn is_voter(&self) -> bool {
        self.voters.contains(self.config.id)
    }

    /// The leader this replica follows: identity, and VM name when it votes.
    pub fn leader(&self) -> Option<u64> {
        self.leader
    }

    /// The voters: identity and VM name.
    pub fn members(&self) -> Vec<Member> {
        self.voters.to_members()
    }

    /// Milliseconds since this replica last heard from a leader, or since it led itself; `None` before that.
    pub fn leader_contact_age_ms(&self, now_ms: u64) -> Option<u64> {
        if self.is_leader() {
            return Some(0);
        }
        self.last_leader_contact_ms
            .map(|heard| now_ms.saturating_sub(heard))
    }

    /// Time until which a majority of the voters, this one among them, surely knew of no later leader; `None` when it does not lead. Answers
    /// count from when the message was sent that they answer: after a pause of this VM they are read long after they were given, and another leader
    /// may have been elected in between.
    pub fn quorum_confirmed_ms(&self, now_ms: u64) -> Option<u64> {
        let Role::Leader(leadership) = &self.role else {
            return None;
        };
        let supported = |id: u64| leadership.progress.get(&id).map_or(0, |p| p.supported_ms);
        Some(self.voters.reached_by_majority(|id| {
            if id == self.config.id {
                now_ms
            } else {
                supported(id)
            }
        }))
    }

    fn tick(&mut self, now_ms: u64) {
        if self.is_leader() {
            self.tick_leader(now_ms);
            return;
        }
        if self.is_voter() && now_ms >= self.election_at_ms {
            self.start_pre_vote(now_ms);
        }
        if now_ms >= self.next_observe_ms && !self.is_voter_with_leader() {
            self.observe(now_ms);
        }
    }

    /// Whether this replica votes and follows a leader, which then knows of it. A voter without a leader may have been removed by an entry
    /// that it never received: it still takes itself for a voter, and no leader sends it anything until it announces itself.
    fn is_voter_with_leader(&self) -> bool {
        self.is_voter() && self.leader.is_some()
    }

    /// Tells every VM that this replica wants the log; only a leader reacts.
    fn observe(&mut self, now_ms: u64) {
        self.next_observe_ms = now_ms + self.config.heartbeat_ms * OBSERVE_HEARTBEATS;
        let body = RaftBody {
            index: self.log.last_index(),
            name: self.config.name.to_string(),
            durable: self.config.durable,
            ..self.body(RaftKind::Observe)
        };
        let message = self.message(0, body);
        self.outputs.push(Output::Broadcast(message));
    }

    fn receive(&mut self, now_ms: u64, message: RaftMessage) {
        // A message for an earlier incarnation of this VM: that replica's promises are not ours to keep.
        if message.to != 0 && message.to != self.config.id {
            return;
        }
        let Some(body) = message.body else {
            return;
        };
        let Ok(kind) = RaftKind::try_from(body.kind) else {
            return;
        };
        if kind == RaftKind::Observe {
            self.receive_observe(now_ms, message.from, &body);
            return;
        }
        if !self.settle_term(now_ms, message.from, kind, &body) {
            return;
        }
        match kind {
            RaftKind::PreVote => self.receive_pre_vote(now_ms, message.from, &body),
            RaftKind::PreVoteReply => self.receive_pre_vote_reply(now_ms, message.from, &body),
            RaftKind::Vote => self.receive_vote(now_ms, message.from, &body),
            RaftKind::VoteReply => self.receive_vote_reply(now_ms, message.from, &body),
            RaftKind::Append => self.receive_append(now_ms, message.from, body),
            RaftKind::AppendReply => self.receive_append_reply(now_ms, message.from, &body),
            RaftKind::Snapshot => self.receive_snapshot(now_ms, message.from, body),
            RaftKind::Observe => {}
        }
    }

    /// Compares terms; returns whether the message still counts.
    fn settle_term(&mut self, now_ms: u64, from: u64, kind: RaftKind, body: &RaftBody) -> bool {
        if body.term > self.term {
            // A pre-vote carries the term its sender would have; it must not raise anyone's.
            let hypothetical =
                kind == RaftKind::PreVote || (kind == RaftKind::PreVoteReply && body.granted);
            // A voter that hears from a live leader ignores elections, so that a VM which comes back from a
            // partition with a higher term cannot depose it.
            if kind == RaftKind::Vote && self.hears_leader(now_ms) {
                return false;
            }
            if !hypothetical {
                self.become_follower(now_ms, body.term, None);
            }
            return true;
        }
        if body.term < self.term {
            match kind {
                RaftKind::Append | RaftKind::Snapshot => {
                    let reply = RaftBody {
                        index: self.log.last_index(),
                        ..self.body(RaftKind::AppendReply)
                    };
                    self.send(from, reply);
                }
                RaftKind::PreVote => {
                    let reply = self.body(RaftKind::PreVoteReply);
                    self.send(from, reply);
                }
                _ => {}
            }
            return false;
        }
        true
    }

    /// Whether a leader was heard within the least election time.
    pub(crate) fn hears_leader(&self, now_ms: u64) -> bool {
        if self.is_leader() {
            return true;
        }
        self.leader.is_some()
            && self
                .last_leader_contact_ms
                .is_some_and(|heard| now_ms < heard + self.config.election_timeout_ms)
    }

    pub(crate) fn become_follower(&mut self, now_ms: u64, term: u64, leader: Option<u64>) {
        let changed = self.leader != leader || !matches!(self.role, Role::Follower);
        if let Role::Leader(leadership) = &mut self.role {
            for read in std::mem::take(&mut leadership.reads) {
                self.outputs.push(Output::Refused {
                    ticket: read.ticket,
                });
            }
        }
        if term > self.term {
            self.term = term;
            self.voted_for = 0;
            self.save_vote();
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.restart_election_timer(now_ms);
        if changed {
            self.outputs.push(Output::RoleChanged);
        }
    }

    /// Appends one entry. A membership change counts from the moment it is in the log, not from its commit.
    pub(crate) fn append_entry(&mut self, entry: LogEntry) {
        if !entry.voters.is_empty() {
            self.voters = Voters::new(&entry.voters);
        }
        self.log.append(entry);
    }

    pub(crate) fn save_vote(&mut self) {
        self.outputs.push(Output::SaveVote {
            term: self.term,
            voted_for: self.voted_for,
        });
    }

    pub(crate) fn body(&self, kind: RaftKind) -> RaftBody {
        RaftBody {
            kind: kind.into(),
            term: self.term,
            ..RaftBody::default()
        }
    }

    fn message(&self, to: u64, body: RaftBody) -> RaftMessage {
        RaftMessage {
            group: self.config.group.to_string(),
            from: self.config.id,
            to,
            body: Some(body),
        }
    }

    pub(crate) fn send(&mut self, to: u64, body: RaftBody) {
        let message = self.message(to, body);
        self.outputs.push(Output::Send(message));
    }

    pub(crate) fn restart_election_timer(&mut self, now_ms: u64) {
        self.call_election_after(now_ms, self.config.election_timeout_ms);
    }

    /// The same before the others are asked whether an election would succeed.
    ///
    /// A replica that has heard no leader since it started need not wait for a silence: a leader shows itself within a heartbeat or two, and those
    /// who hear one refuse. After a loss of all replicas nobody hears one, and the longer wait is most of the time until the group serves again.
    pub(crate) fn restart_pre_vote_timer(&mut self, now_ms: u64) {
        let least_ms = if self.last_leader_contact_ms.is_none() {
            self.config.first_election_timeout_ms
        } else {
            self.config.election_timeout_ms
        };
        self.call_election_after(now_ms, least_ms);
    }

    fn call_election_after(&mut self, now_ms: u64, least_ms: u64) {
        let spread_ms = self.next_random() % least_ms.max(1);
        self.election_at_ms = now_ms + least_ms + self.config.election_delay_ms + spread_ms;
    }

    /// Xorshift: spreads the elections of replicas; nothing depends on its quality.
    fn next_random(&mut self) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random
    }
}
