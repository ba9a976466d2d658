//! A group of replicas in memory: a network that loses, delays, repeats and reorders, and disks that last what was
//! synced.
#![allow(dead_code, reason = "each test file uses a part")]

pub mod runner;

use bh_consensus::Config;
use bh_consensus::Event;
use bh_consensus::Output;
use bh_consensus::PersistedState;
use bh_consensus::Replica;
use bh_consensus::VoterPolicy;
use bh_protocol::wire::LogEntry;
use bh_protocol::wire::Member;
use bh_protocol::wire::RaftMessage;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

pub const ELECTION_MS: u64 = 100;
pub const HEARTBEAT_MS: u64 = 20;
const SEED: u64 = 7;

/// A fault planted in the driver or the disk, to see the checks catch it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Planted {
    /// Votes are not kept over a restart.
    pub forgets_votes: bool,
    /// Entries are acknowledged before they are kept.
    pub forgets_entries: bool,
    /// A VM whose disk was emptied comes back under its old identity.
    pub keeps_identity: bool,
    /// A replica that takes itself for the leader answers reads at once.
    pub reads_at_once: bool,
}

/// What a data folder holds.
#[derive(Clone, Debug, Default)]
struct Disk {
    term: u64,
    voted_for: u64,
    snapshot: Option<(u64, u64, Vec<Member>, Vec<u8>)>,
    entries: Vec<LogEntry>,
}

/// One VM.
struct Vm {
    name: Arc<str>,
    id: u64,
    disk: Disk,
    replica: Option<Replica>,
    /// The state machine: all commands applied, in order.
    applied: Vec<u64>,
    applied_index: u64,
}

/// A whole group.
pub struct Group {
    vms: Vec<Vm>,
    pub now_ms: u64,
    next_id: u64,
    next_command: u64,
    network: Vec<(usize, usize, RaftMessage)>,
    cut: BTreeSet<usize>,
    /// VMs that are suspended: they do nothing, and what is sent to them waits.
    frozen: BTreeSet<usize>,
    /// Reads in progress: by request_id the highest index that anybody had applied when the read was asked for.
    reads: BTreeMap<u64, u64>,
    /// Reads that were answered.
    pub reads_answered: usize,
    planted: Planted,
    /// Number of voters to keep; all VMs vote without one.
    voters: Option<usize>,
    /// The command that was first applied at each index, by any replica.
    chosen: BTreeMap<u64, (u64, u64)>,
    /// Commands whose proposer was told that they are committed.
    pub acknowledged: BTreeSet<u64>,
    waiting: BTreeMap<(usize, u64), (u64, u64)>,
    leaders: BTreeMap<u64, u64>,
    /// When the leader of each term was elected, in milliseconds.
    elected_ms: BTreeMap<u64, u64>,
    pub problems: Vec<String>,
    /// Messages sent so far.
    pub sent: usize,
    /// Log entries in them.
    pub sent_entries: usize,
}

impl Group {
    pub fn new(count: usize, planted: Planted) -> Self {
        Self::build(count, None, planted)
    }

    /// A group that keeps `voters` voters out of `count` VMs; the first of them form it.
    pub fn with_voters(count: usize, voters: usize) -> Self {
        Self::build(count, Some(voters), Planted::default())
    }

    fn build(count: usize, voters: Option<usize>, planted: Planted) -> Self {
        let vms = (0..count)
            .map(|index| Vm {
                name: Arc::from(format!("vm{index}")),
                id: 100 + index as u64,
                disk: Disk::default(),
                replica: None,
                applied: Vec::new(),
                applied_index: 0,
            })
            .collect();
        let mut group = Self {
            vms,
            now_ms: 1,
            next_id: 1_000,
            next_command: 1,
            network: Vec::new(),
            cut: BTreeSet::new(),
            frozen: BTreeSet::new(),
            reads: BTreeMap::new(),
            reads_answered: 0,
            planted,
            voters,
            chosen: BTreeMap::new(),
            acknowledged: BTreeSet::new(),
            waiting: BTreeMap::new(),
            leaders: BTreeMap::new(),
            elected_ms: BTreeMap::new(),
            problems: Vec::new(),
            sent: 0,
            sent_entries: 0,
        };
        let first = voters.unwrap_or(count);
        let members: Vec<Member> = group
            .vms
            .iter()
            .take(first)
            .map(|vm| Member {
                id: vm.id,
                name: vm.name.to_string(),
            })
            .collect();
        for index in 0..count {
            group.start(index);
            if index >= first {
                continue;
            }
            let outputs = group.vms[index]
                .replica
                .as_mut()
                .map(|replica| replica.form(members.clone()))
                .unwrap_or_default();
            group.carry_out(index, outputs);
        }
        group
    }

    fn wanted(&self) -> VoterPolicy {
        match self.voters {
            Some(count) => VoterPolicy::Count {
                count,
                replace_after_ms: 3 * ELECTION_MS,
            },
            None => VoterPolicy::Names(self.vms.iter().map(|vm| vm.name.clone()).collect()),
        }
    }

    /// Names of the voters as the leader sees them.
    pub fn voter_names(&self) -> BTreeSet<String> {
        let leader = self
            .leader()
            .and_then(|index| self.vms[index].replica.as_ref());
        let members = leader.map(Replica::members).unwrap_or_default();
        members.into_iter().map(|member| member.name).collect()
    }

    /// Starts a VM from what its disk holds.
    pub fn start(&mut self, index: usize) {
        if self.vms[index].replica.is_some() {
            return;
        }
        let config = Config {
            group: Arc::from("g"),
            id: self.vms[index].id,
            name: self.vms[index].name.clone(),
            durable: true,
            voter_policy: self.wanted(),
            heartbeat_ms: HEARTBEAT_MS,
            election_timeout_ms: ELECTION_MS,
            first_election_timeout_ms: 2 * HEARTBEAT_MS,
            election_delay_ms: 0,
            seed: SEED + index as u64,
        };
        let now_ms = self.now_ms;
        let vm = &mut self.vms[index];
        let disk = vm.disk.clone();
        vm.applied = disk
            .snapshot
            .as_ref()
            .map(|(_, _, _, state)| decode(state))
            .unwrap_or_default();
        vm.applied_index = disk.snapshot.as_ref().map_or(0, |(index, ..)| *index);
        let restored = PersistedState {
            term: disk.term,
            voted_for: disk.voted_for,
            snapshot: disk.snapshot,
            entries: disk.entries,
        };
        vm.replica = Some(Replica::new(config, restored, now_ms));
    }

    /// Kills a VM; only what was synced stays.
    pub fn kill(&mut self, index: usize) {
        self.vms[index].replica = None;
        self.network.retain(|(_, to, _)| *to != index);
        self.waiting.retain(|(vm, _), _| *vm != index);
    }

    /// Kills a VM and starts it again at once; messages on their way to it still arrive.
    pub fn restart(&mut self, index: usize) {
        if self.vms[index].replica.is_some() {
            self.vms[index].replica = None;
            self.waiting.retain(|(vm, _), _| *vm != index);
            self.start(index);
        }
    }

    /// Kills a VM and empties its disk: it comes back with a new identity.
    pub fn lose_disk(&mut self, index: usize) {
        self.kill(index);
        self.vms[index].disk = Disk::default();
        if !self.planted.keeps_identity {
            self.vms[index].id = self.next_id;
            self.next_id += 1;
        }
    }

    pub fn set_cut(&mut self, index: usize, cut: bool) {
        if cut {
            self.cut.insert(index);
        } else {
            self.cut.remove(&index);
        }
    }

    /// Suspends a VM, or lets it go on.
    pub fn set_frozen(&mut self, index: usize, frozen: bool) {
        if frozen {
            self.frozen.insert(index);
        } else {
            self.frozen.remove(&index);
        }
    }

    /// VMs that take themselves for the leader, suspended and cut off ones among them.
    pub fn would_be_leaders(&self) -> Vec<usize> {
        let leads = |vm: &Vm| vm.replica.as_ref().is_some_and(Replica::is_leader);
        (0..self.vms.len())
            .filter(|index| leads(&self.vms[*index]))
            .collect()
    }

    /// Asks a VM for a read. Its answer must hold all that anybody had applied by now. A frozen VM takes it up later: that is for whoever
    /// calls this to do then.
    pub fn read(&mut self, index: usize) {
        let request_id = self.next_command;
        self.next_command += 1;
        let applied = self.chosen.keys().next_back().copied().unwrap_or(0);
        self.reads.insert(request_id, applied);
        if self.planted.reads_at_once {
            let replica = self.vms[index].replica.as_ref();
            if let Some(replica) = replica.filter(|replica| replica.is_leader()) {
                let commit = replica.commit();
                self.note_read(request_id, commit);
            }
            return;
        }
        self.step(index, Event::Read { request_id });
        self.step(index, Event::Flush);
    }

    fn note_read(&mut self, request_id: u64, index: u64) {
        let Some(applied) = self.reads.remove(&request_id) else {
            return;
        };
        self.reads_answered += 1;
        if index < applied {
            self.problems.push(format!(
                "a read is answered as of {index}, though {applied} was applied before it was asked for"
            ));
        }
    }

    pub fn is_running(&self, index: usize) -> bool {
        self.vms[index].replica.is_some()
    }

    pub fn running(&self) -> usize {
        self.vms.iter().filter(|vm| vm.replica.is_some()).count()
    }

    /// Voters as the leader with the newest term sees them, and which VMs of them run and hold that identity.
    pub fn live_voters(&self) -> (usize, usize) {
        let newest = self
            .vms
            .iter()
            .filter_map(|vm| vm.replica.as_ref())
            .max_by_key(|replica| (replica.term(), replica.commit()));
        let members = newest.map(Replica::members).unwrap_or_default();
        let live = members
            .iter()
            .filter(|member| {
                self.vms
                    .iter()
                    .any(|vm| vm.replica.is_some() && vm.id == member.id)
            })
            .count();
        (members.len(), live)
    }

    pub fn leader(&self) -> Option<usize> {
        (0..self.vms.len())
            .filter(|index| !self.cut.contains(index))
            .filter(|index| {
                self.vms[*index]
                    .replica
                    .as_ref()
                    .is_some_and(Replica::is_leader)
            })
            .max_by_key(|index| self.vms[*index].replica.as_ref().map_or(0, Replica::term))
    }

    /// Lets time pass and every VM tick.
    pub fn advance(&mut self, by_ms: u64) {
        self.now_ms += by_ms;
        for index in 0..self.vms.len() {
            self.step(index, Event::Tick);
        }
    }

    /// Proposes a new command to a VM.
    pub fn propose(&mut self, index: usize) {
        let number = self.next_command;
        self.next_command += 1;
        self.step(
            index,
            Event::Propose {
                request_id: number,
                command: number.to_le_bytes().to_vec(),
            },
        );
        self.step(index, Event::Flush);
    }

    /// Delivers the message at a place in the network; `repeat` leaves a copy there.
    pub fn deliver(&mut self, place: usize, repeat: bool) {
        if self.network.is_empty() {
            return;
        }
        let place = place % self.network.len();
        let (from, to, message) = if repeat {
            self.network[place].clone()
        } else {
            self.network.swap_remove(place)
        };
        if self.cut.contains(&from) || self.cut.contains(&to) {
            return;
        }
        if self.frozen.contains(&to) {
            self.network.push((from, to, message));
            return;
        }
        self.step(to, Event::Receive(message));
        self.step(to, Event::Flush);
    }

    pub fn drop_message(&mut self, place: usize) {
        if !self.network.is_empty() {
            let place = place % self.network.len();
            self.network.swap_remove(place);
        }
    }

    /// Delivers everything in order until nothing is on its way but to VMs that are suspended.
    pub fn settle(&mut self) {
        const MOST: usize = 20_000;
        let mut held = Vec::new();
        for _ in 0..MOST {
            if self.network.is_empty() {
                self.network = held;
                return;
            }
            let (from, to, message) = self.network.remove(0);
            if self.frozen.contains(&to) {
                held.push((from, to, message));
                continue;
            }
            if !self.cut.contains(&from) && !self.cut.contains(&to) {
                self.step(to, Event::Receive(message));
            }
        }
        self.problems.push("messages without end".to_owned());
    }

    /// Runs without faults for a while.
    pub fn calm(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.advance(HEARTBEAT_MS / 2);
            self.settle();
        }
    }

    /// Saves the state machine of a VM and compacts its log.
    pub fn snapshot(&mut self, index: usize) {
        let vm = &self.vms[index];
        let (at, state) = (vm.applied_index, encode(&vm.applied));
        self.step(index, Event::Compact { index: at, state });
    }

    fn step(&mut self, index: usize, event: Event) {
        if self.frozen.contains(&index) {
            return;
        }
        let now_ms = self.now_ms;
        let Some(replica) = self.vms[index].replica.as_mut() else {
            return;
        };
        let was_leader = replica.is_leader();
        let outputs = replica.step(now_ms, event);
        let is_leader = replica.is_leader();
        let (term, id) = (replica.term(), replica.id());
        let confirmed_ms = replica.quorum_confirmed_ms(now_ms);
        if is_leader && !was_leader {
            self.elected_ms.insert(term, now_ms);
            // Election safety: one leader a term.
            if let Some(other) = self.leaders.insert(term, id)
                && other != id
            {
                self.problems
                    .push(format!("two leaders in term {term}: {other} and {id}"));
            }
        }
        self.check_confirmed(term, confirmed_ms);
        self.carry_out(index, outputs);
    }

    /// A leader takes itself for the only one up to the time at which it says a majority supported it: no later one was elected before that.
    fn check_confirmed(&mut self, term: u64, confirmed_ms: Option<u64>) {
        let later = self.elected_ms.range(term + 1..).next();
        if let (Some(confirmed_ms), Some((next, elected_ms))) = (confirmed_ms, later)
            && *elected_ms < confirmed_ms
        {
            let problem = format!(
                "term {term} was confirmed for {confirmed_ms} ms, but term {next} began at {elected_ms} ms"
            );
            self.problems.push(problem);
        }
    }

    fn carry_out(&mut self, index: usize, outputs: Vec<Output>) {
        for output in &outputs {
            self.save(index, output);
        }
        for output in outputs {
            self.release(index, output);
        }
    }

    fn save(&mut self, index: usize, output: &Output) {
        let planted = self.planted;
        let disk = &mut self.vms[index].disk;
        match output {
            Output::SaveVote { term, voted_for } => {
                disk.term = *term;
                disk.voted_for = if planted.forgets_votes { 0 } else { *voted_for };
            }
            Output::SaveEntries(entries) if !planted.forgets_entries => {
                if let Some(first) = entries.first() {
                    disk.entries.retain(|entry| entry.index < first.index);
                }
                disk.entries.extend(entries.iter().cloned());
            }
            Output::SaveSnapshot {
                index,
                term,
                voters,
                state,
                vote,
                entries,
            } => {
                disk.snapshot = Some((*index, *term, voters.clone(), state.clone()));
                disk.term = vote.0;
                disk.voted_for = vote.1;
                disk.entries = entries.clone();
            }
            _ => {}
        }
    }

    fn release(&mut self, index: usize, output: Output) {
        match output {
            Output::Send(message) => {
                self.sent += 1;
                self.sent_entries += message.body.as_ref().map_or(0, |body| body.entries.len());
                if let Some(to) = self.vms.iter().position(|vm| vm.id == message.to) {
                    self.network.push((index, to, message));
                }
            }
            Output::Broadcast(message) => {
                for to in (0..self.vms.len()).filter(|to| *to != index) {
                    self.network.push((index, to, message.clone()));
                }
            }
            Output::Apply(entries) => {
                for entry in entries {
                    self.apply(index, &entry);
                }
            }
            Output::Restore { index: at, state } => {
                let vm = &mut self.vms[index];
                vm.applied = decode(&state);
                vm.applied_index = at;
                self.waiting
                    .retain(|(vm, waiting), _| *vm != index || *waiting > at);
            }
            Output::Appended {
                request_id,
                index: at,
                term,
            } => {
                self.waiting.insert((index, at), (term, request_id));
            }
            Output::ReadIndex { request_id, index } => self.note_read(request_id, index),
            _ => {}
        }
    }

    /// Applies an entry, checking that every replica applies the same one at each index.
    fn apply(&mut self, index: usize, entry: &LogEntry) {
        let command = entry
            .command
            .as_slice()
            .try_into()
            .map_or(0, u64::from_le_bytes);
        let seen = *self
            .chosen
            .entry(entry.index)
            .or_insert((entry.term, command));
        if seen != (entry.term, command) {
            self.problems.push(format!(
                "index {}: {seen:?} and {:?} were both applied",
                entry.index,
                (entry.term, command)
            ));
        }
        let vm = &mut self.vms[index];
        if entry.index != vm.applied_index + 1 {
            self.problems.push(format!(
                "{} applied {} after {}",
                vm.name, entry.index, vm.applied_index
            ));
        }
        vm.applied_index = entry.index;
        if command != 0 {
            vm.applied.push(command);
        }
        if let Some((term, request_id)) = self.waiting.remove(&(index, entry.index))
            && term == entry.term
        {
            self.acknowledged.insert(request_id);
        }
    }

    /// What must hold at the end of a run, after a calm time with every VM up: a leader, equal states, nothing
    /// acknowledged lost.
    pub fn check_end(&mut self) {
        let longest = self
            .vms
            .iter()
            .map(|vm| vm.applied.clone())
            .max_by_key(Vec::len)
            .unwrap_or_default();
        let kept: BTreeSet<u64> = longest.iter().copied().collect();
        let lost: Vec<u64> = self.acknowledged.difference(&kept).copied().collect();
        if !lost.is_empty() {
            self.problems
                .push(format!("acknowledged and lost: {lost:?}"));
        }
        for vm in &self.vms {
            if vm.applied != longest {
                self.problems
                    .push(format!("{} differs from the longest state", vm.name));
            }
        }
    }
}

fn encode(applied: &[u64]) -> Vec<u8> {
    applied
        .iter()
        .flat_map(|number| number.to_le_bytes())
        .collect()
}

fn decode(state: &[u8]) -> Vec<u64> {
    state
        .chunks_exact(8)
        .map(|chunk| u64::from_le_bytes(chunk.try_into().expect("chunks of eight")))
        .collect()
}
