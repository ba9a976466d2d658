//! One replica of a group: its state, timers and messages.

use crate::config::ANNOUNCE_INTERVAL_HEARTBEATS;
use crate::config::Config;
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

/// State of a replica as its data folder holds it when the replica starts.
#[derive(Clone, Debug, Default)]
pub struct PersistedState {
    /// Current term.
    pub term: u64,
    /// Replica voted for in that term; 0 for none.
    pub voted_for: u64,
    /// Last snapshot: index, term, voters and state machine.
    pub snapshot: Option<(u64, u64, Vec<Member>, Vec<u8>)>,
    /// Entries after the snapshot.
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
    pub(crate) election_deadline_ms: u64,
    /// Whether the disk has little space left.
    pub(crate) low_on_space: bool,
    pub(crate) outputs: Vec<Output>,
    rng_state: u64,
    next_announce_ms: u64,
}

impl Replica {
    /// A replica that continues from its persisted state, at time `now_ms`.
    pub fn new(config: Config, persisted: PersistedState, now_ms: u64) -> Self {
        let mut log = Log::default();
        if let Some((index, term, voters, state)) = persisted.snapshot {
            log.reset(index, term, voters, state);
        }
        for entry in persisted.entries {
            if entry.index == log.last_index() + 1 {
                log.append(entry);
            }
        }
        let commit = log.snapshot_index;
        // The voters as of the end of the log.
        let voters = Voters::new(log.voters_at(u64::MAX));
        let rng_state = config.seed ^ config.id.rotate_left(17) | 1;
        let mut replica = Self {
            config,
            term: persisted.term,
            voted_for: persisted.voted_for,
            log,
            voters,
            commit,
            role: Role::Follower,
            leader: None,
            last_leader_contact_ms: None,
            caught_up: false,
            election_deadline_ms: 0,
            low_on_space: false,
            outputs: Vec::new(),
            rng_state,
            next_announce_ms: now_ms,
        };
        replica.restart_pre_vote_timer(now_ms);
        replica
    }

    /// Forms the group with its first voters. Every first voter calls this once, with the same members, before any step.
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

    /// Handles `event` at `now_ms`, a monotonic time in milliseconds.
    pub fn step(&mut self, now_ms: u64, event: Event) -> Vec<Output> {
        match event {
            Event::Tick => self.tick(now_ms),
            Event::Receive(message) => self.receive(now_ms, message),
            Event::Propose {
                request_id,
                command,
            } => self.propose(request_id, command),
            Event::Read { request_id } => self.read(request_id),
            Event::Flush => self.flush(now_ms),
            Event::LowOnSpace(low_on_space) => self.low_on_space = low_on_space,
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

    /// Last index that the snapshot covers.
    pub fn snapshot_index(&self) -> u64 {
        self.log.snapshot_index
    }

    /// Size of the commands in the log after `index`, in bytes.
    pub fn bytes_after(&self, index: u64) -> u64 {
        self.log.bytes_after(index)
    }

    /// Whether this replica, at some time since its start, has known of every entry that was committed at that time. The log alone doesn't
    /// show which of its entries are committed: the replica learns that from a leader that has committed an entry of its own term.
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

    /// Identity of the leader that this replica follows, if it knows one.
    pub fn leader(&self) -> Option<u64> {
        self.leader
    }

    /// Identities and VM names of the voters.
    pub fn members(&self) -> Vec<Member> {
        self.voters.to_members()
    }

    /// Milliseconds since this replica last heard from a leader: 0 while it leads, `None` if it has heard from none since it started.
    pub fn leader_contact_age_ms(&self, now_ms: u64) -> Option<u64> {
        if self.is_leader() {
            return Some(0);
        }
        self.last_leader_contact_ms
            .map(|contact_ms| now_ms.saturating_sub(contact_ms))
    }

    /// Latest time at which it is certain that a majority of the voters, this one included, knew of no later leader; `None` unless it leads.
    ///
    /// An answer counts from the time at which the message that it answers was sent. After a pause of this VM the replica may read an answer
    /// long after it was given, and another leader may have been elected in between.
    pub fn quorum_confirmed_ms(&self, now_ms: u64) -> Option<u64> {
        let Role::Leader(leadership) = &self.role else {
            return None;
        };
        let supported_ms = |id: u64| leadership.progress.get(&id).map_or(0, |p| p.supported_ms);
        Some(self.voters.quorum_value(|id| {
            if id == self.config.id {
                now_ms
            } else {
                supported_ms(id)
            }
        }))
    }

    fn tick(&mut self, now_ms: u64) {
        if self.is_leader() {
            self.tick_leader(now_ms);
            return;
        }
        if self.is_voter() && now_ms >= self.election_deadline_ms {
            self.start_pre_vote(now_ms);
        }
        if now_ms >= self.next_announce_ms && !self.is_voter_with_leader() {
            self.announce(now_ms);
        }
    }

    /// Whether this replica is a voter with a leader, so that the leader knows of it. A voter without a leader may have been removed by an
    /// entry that it never received: it still believes that it is a voter, and no leader sends it anything until it announces itself.
    fn is_voter_with_leader(&self) -> bool {
        self.is_voter() && self.leader.is_some()
    }

    /// Announces this replica to every VM by an `Observe` message, so that the leader sends it the log. Only a leader reacts.
    fn announce(&mut self, now_ms: u64) {
        self.next_announce_ms = now_ms + self.config.heartbeat_ms * ANNOUNCE_INTERVAL_HEARTBEATS;
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
        // The message is for an earlier replica of this VM, which had another id. This replica has none of that replica's votes and
        // acknowledgements, so it must not answer in its place.
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
        if !self.check_term(now_ms, message.from, kind, &body) {
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
            RaftKind::Transfer => self.receive_transfer(now_ms, message.from),
            RaftKind::Observe => {}
        }
    }

    /// Compares the message's term with the current one, and follows a higher term. Returns whether the message is to be handled.
    fn check_term(&mut self, now_ms: u64, from: u64, kind: RaftKind, body: &RaftBody) -> bool {
        if body.term > self.term {
            // A pre-vote carries the term that its sender would have after an election, so it raises nobody's term.
            let hypothetical =
                kind == RaftKind::PreVote || (kind == RaftKind::PreVoteReply && body.granted);
            // A voter that hears from a live leader ignores elections, so that a VM that returns from a partition with a higher term can't
            // depose the leader. If the leader asked for the election, it has stepped down before.
            if kind == RaftKind::Vote && !body.transferred && self.has_live_leader(now_ms) {
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

    /// Whether this replica leads or heard from its leader within the shortest election timeout.
    pub(crate) fn has_live_leader(&self, now_ms: u64) -> bool {
        if self.is_leader() {
            return true;
        }
        self.leader.is_some()
            && self
                .last_leader_contact_ms
                .is_some_and(|contact_ms| now_ms < contact_ms + self.config.election_timeout_ms)
    }

    pub(crate) fn become_follower(&mut self, now_ms: u64, term: u64, leader: Option<u64>) {
        let changed = self.leader != leader || !matches!(self.role, Role::Follower);
        if let Role::Leader(leadership) = &mut self.role {
            for read in std::mem::take(&mut leadership.pending_reads) {
                self.outputs.push(Output::Refused {
                    request_id: read.request_id,
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

    /// Appends one entry. A membership change takes effect when it is appended, not when it is committed.
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
        self.set_election_deadline(now_ms, self.config.election_timeout_ms);
    }

    /// Restarts the election timer before a pre-vote, with a shorter timeout if this replica has heard from no leader since it started.
    ///
    /// Such a replica need not wait for a full election timeout: a live leader contacts it within a heartbeat or two, and replicas that hear
    /// from a leader refuse the pre-vote. After a loss of all replicas there is no leader, and the full election timeout would be most of the
    /// time until the group serves again.
    pub(crate) fn restart_pre_vote_timer(&mut self, now_ms: u64) {
        let min_wait_ms = if self.last_leader_contact_ms.is_none() {
            self.config.first_election_timeout_ms
        } else {
            self.config.election_timeout_ms
        };
        self.set_election_deadline(now_ms, min_wait_ms);
    }

    fn set_election_deadline(&mut self, now_ms: u64, min_wait_ms: u64) {
        let jitter_ms = self.next_random() % min_wait_ms.max(1);
        // A replica that can hardly store anything is to lead only when no other can.
        let space_delay_ms = if self.low_on_space {
            2 * self.config.election_timeout_ms
        } else {
            0
        };
        let delay_ms = self.config.election_delay_ms + space_delay_ms;
        self.election_deadline_ms = now_ms + min_wait_ms + delay_ms + jitter_ms;
    }

    /// Xorshift generator for the random part of the election timeouts; nothing depends on its quality.
    fn next_random(&mut self) -> u64 {
        self.rng_state ^= self.rng_state << 13;
        self.rng_state ^= self.rng_state >> 7;
        self.rng_state ^= self.rng_state << 17;
        self.rng_state
    }
}
