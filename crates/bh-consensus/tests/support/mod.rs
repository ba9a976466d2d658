//! A simulated group of replicas: a network that loses, delays, duplicates and reorders messages, and disks that keep what was synced.
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
use bh_protocol::wire::RaftBody;
use bh_protocol::wire::RaftMessage;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

pub const ELECTION_MS: u64 = 100;
pub const HEARTBEAT_MS: u64 = 20;
const SEED: u64 = 7;

/// Bugs injected into the driver or the disk, which the checks must detect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InjectedBugs {
    /// Votes are lost over a restart.
    pub loses_votes: bool,
    /// Entries are acknowledged but not saved.
    pub loses_entries: bool,
    /// A VM that lost its disk restarts under its old identity.
    pub keeps_identity_without_disk: bool,
    /// A leader answers reads without confirmation by a majority.
    pub skips_read_confirmation: bool,
}

/// Content of a data folder.
#[derive(Clone, Debug, Default)]
struct Disk {
    term: u64,
    voted_for: u64,
    snapshot: Option<(u64, u64, Vec<Member>, Vec<u8>)>,
    entries: Vec<LogEntry>,
}

/// One VM and its replica, if it runs.
struct Vm {
    name: Arc<str>,
    id: u64,
    disk: Disk,
    replica: Option<Replica>,
    /// The state machine: all commands applied, in order.
    applied: Vec<u64>,
    applied_index: u64,
}

/// A group of simulated VMs.
pub struct Group {
    vms: Vec<Vm>,
    pub now_ms: u64,
    next_identity: u64,
    next_command: u64,
    /// Messages in flight, with the indices of sender and receiver.
    network: Vec<(usize, usize, RaftMessage)>,
    /// VMs that are partitioned: messages from and to them are lost.
    partitioned: BTreeSet<usize>,
    /// VMs that are suspended: they do nothing, and messages to them wait.
    suspended: BTreeSet<usize>,
    /// Pending reads by request id: the highest index that any replica had applied when the read was requested.
    reads: BTreeMap<u64, u64>,
    /// Reads that were answered.
    pub reads_answered: usize,
    bugs: InjectedBugs,
    /// Number of voters to keep; `None` if all VMs are voters.
    voters: Option<usize>,
    /// The term and command that a replica first applied at each index.
    first_applied: BTreeMap<u64, (u64, u64)>,
    /// Commands that were acknowledged to their proposer as committed.
    pub acknowledged: BTreeSet<u64>,
    /// Proposals that are not applied yet: by VM and log index, the term and the command.
    appended: BTreeMap<(usize, u64), (u64, u64)>,
    /// Identity of the leader of each term.
    leaders: BTreeMap<u64, u64>,
    /// When the leader of each term was elected, in milliseconds.
    elected_ms: BTreeMap<u64, u64>,
    /// Violations that the checks found.
    pub problems: Vec<String>,
    /// Messages sent so far.
    pub sent: usize,
    /// Log entries in those messages.
    pub sent_entries: usize,
}

impl Group {
    pub fn new(count: usize, bugs: InjectedBugs) -> Self {
        Self::build(count, None, bugs)
    }

    /// A group that keeps `voters` voters out of `count` VMs. The first `voters` VMs form it.
    pub fn with_voters(count: usize, voters: usize) -> Self {
        Self::build(count, Some(voters), InjectedBugs::default())
    }

    fn build(count: usize, voters: Option<usize>, bugs: InjectedBugs) -> Self {
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
            next_identity: 1_000,
            next_command: 1,
            network: Vec::new(),
            partitioned: BTreeSet::new(),
            suspended: BTreeSet::new(),
            reads: BTreeMap::new(),
            reads_answered: 0,
            bugs,
            voters,
            first_applied: BTreeMap::new(),
            acknowledged: BTreeSet::new(),
            appended: BTreeMap::new(),
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
            group.execute(index, outputs);
        }
        group
    }

    fn voter_policy(&self) -> VoterPolicy {
        match self.voters {
            Some(count) => VoterPolicy::Count {
                count,
                replace_after_ms: 3 * ELECTION_MS,
            },
            None => VoterPolicy::Names(self.vms.iter().map(|vm| vm.name.clone()).collect()),
        }
    }

    /// Names of the voters, as the leader knows them.
    pub fn voter_names(&self) -> BTreeSet<String> {
        let leader = self
            .leader()
            .and_then(|index| self.vms[index].replica.as_ref());
        let members = leader.map(Replica::members).unwrap_or_default();
        members.into_iter().map(|member| member.name).collect()
    }

    /// Starts a VM with the state on its disk, unless it runs.
    pub fn start(&mut self, index: usize) {
        if self.vms[index].replica.is_some() {
            return;
        }
        let config = Config {
            group: Arc::from("g"),
            id: self.vms[index].id,
            name: self.vms[index].name.clone(),
            durable: true,
            voter_policy: self.voter_policy(),
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

    /// Kills a VM. Only what was synced stays, and messages in flight to it are lost.
    pub fn kill(&mut self, index: usize) {
        self.vms[index].replica = None;
        self.network.retain(|(_, to, _)| *to != index);
        self.appended.retain(|(vm, _), _| *vm != index);
    }

    /// Kills a VM and starts it again at once. Messages in flight to it still arrive.
    pub fn restart(&mut self, index: usize) {
        if self.vms[index].replica.is_some() {
            self.vms[index].replica = None;
            self.appended.retain(|(vm, _), _| *vm != index);
            self.start(index);
        }
    }

    /// Kills a VM and empties its disk, so that it restarts with a new identity.
    pub fn lose_disk(&mut self, index: usize) {
        self.kill(index);
        self.vms[index].disk = Disk::default();
        if !self.bugs.keeps_identity_without_disk {
            self.vms[index].id = self.next_identity;
            self.next_identity += 1;
        }
    }

    /// Partitions a VM from all others, or heals the partition.
    pub fn set_partitioned(&mut self, index: usize, partitioned: bool) {
        if partitioned {
            self.partitioned.insert(index);
        } else {
            self.partitioned.remove(&index);
        }
    }

    /// Suspends a VM, or resumes it.
    pub fn set_suspended(&mut self, index: usize, suspended: bool) {
        if suspended {
            self.suspended.insert(index);
        } else {
            self.suspended.remove(&index);
        }
    }

    /// Fills the disk of a VM nearly up, or frees it.
    pub fn set_low_on_space(&mut self, index: usize, low_on_space: bool) {
        self.step(index, Event::LowOnSpace(low_on_space));
    }

    /// Whether the VM, as leader, knows of disk space on a majority.
    pub fn has_space(&self, index: usize) -> bool {
        let replica = self.vms[index].replica.as_ref();
        replica.is_some_and(Replica::has_space)
    }

    /// VMs that believe that they lead, including suspended and partitioned ones.
    pub fn self_declared_leaders(&self) -> Vec<usize> {
        let leads = |vm: &Vm| vm.replica.as_ref().is_some_and(Replica::is_leader);
        (0..self.vms.len())
            .filter(|index| leads(&self.vms[*index]))
            .collect()
    }

    /// Requests a read from a VM. Its answer must include everything that any replica has applied by now. A suspended VM ignores the request;
    /// the caller must repeat it later.
    pub fn read(&mut self, index: usize) {
        let request_id = self.next_command;
        self.next_command += 1;
        let applied = self.first_applied.keys().next_back().copied().unwrap_or(0);
        self.reads.insert(request_id, applied);
        if self.bugs.skips_read_confirmation {
            let replica = self.vms[index].replica.as_ref();
            if let Some(replica) = replica.filter(|replica| replica.is_leader()) {
                let commit = replica.commit();
                self.check_read(request_id, commit);
            }
            return;
        }
        self.step(index, Event::Read { request_id });
        self.step(index, Event::Flush);
    }

    fn check_read(&mut self, request_id: u64, index: u64) {
        let Some(applied) = self.reads.remove(&request_id) else {
            return;
        };
        self.reads_answered += 1;
        if index < applied {
            self.problems.push(format!(
                "a read is answered as of {index}, though {applied} was applied before the read was requested"
            ));
        }
    }

    pub fn is_running(&self, index: usize) -> bool {
        self.vms[index].replica.is_some()
    }

    pub fn running(&self) -> usize {
        self.vms.iter().filter(|vm| vm.replica.is_some()).count()
    }

    /// Number of voters, as the replica with the highest term and commit index knows them, and how many of them run under that identity.
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

    /// The leader with the highest term that is not partitioned.
    pub fn leader(&self) -> Option<usize> {
        (0..self.vms.len())
            .filter(|index| !self.partitioned.contains(index))
            .filter(|index| {
                self.vms[*index]
                    .replica
                    .as_ref()
                    .is_some_and(Replica::is_leader)
            })
            .max_by_key(|index| self.vms[*index].replica.as_ref().map_or(0, Replica::term))
    }

    /// Advances the time and ticks every VM.
    pub fn advance(&mut self, by_ms: u64) {
        self.now_ms += by_ms;
        for index in 0..self.vms.len() {
            self.step(index, Event::Tick);
        }
    }

    /// Proposes a new command on a VM.
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

    /// Proposes a new command of `bytes` bytes on a VM.
    pub fn propose_large(&mut self, index: usize, bytes: usize) {
        let number = self.next_command;
        self.next_command += 1;
        let mut command = number.to_le_bytes().to_vec();
        command.resize(bytes, 0);
        let request_id = number;
        self.step(
            index,
            Event::Propose {
                request_id,
                command,
            },
        );
        self.step(index, Event::Flush);
    }

    /// Size of the commands and snapshots in messages that are in flight to a VM, in bytes.
    pub fn bytes_in_flight_to(&self, index: usize) -> usize {
        let messages = self.network.iter().filter(|(_, to, _)| *to == index);
        let bodies = messages.filter_map(|(_, _, message)| message.body.as_ref());
        let size = |body: &RaftBody| {
            let commands = body.entries.iter().map(|entry| entry.command.len());
            body.snapshot.len() + commands.sum::<usize>()
        };
        bodies.map(size).sum()
    }

    /// Delivers the message at a position in the network, modulo its length. `keep_copy` leaves a copy there.
    pub fn deliver(&mut self, position: usize, keep_copy: bool) {
        if self.network.is_empty() {
            return;
        }
        let position = position % self.network.len();
        let (from, to, message) = if keep_copy {
            self.network[position].clone()
        } else {
            self.network.swap_remove(position)
        };
        if self.partitioned.contains(&from) || self.partitioned.contains(&to) {
            return;
        }
        if self.suspended.contains(&to) {
            self.network.push((from, to, message));
            return;
        }
        self.step(to, Event::Receive(message));
        self.step(to, Event::Flush);
    }

    /// Loses the message at a position in the network, modulo its length.
    pub fn drop_message(&mut self, position: usize) {
        if !self.network.is_empty() {
            let position = position % self.network.len();
            self.network.swap_remove(position);
        }
    }

    /// Delivers messages in order until none are in flight except those to suspended VMs.
    pub fn deliver_all(&mut self) {
        const MAX_DELIVERIES: usize = 20_000;
        let mut held = Vec::new();
        for _ in 0..MAX_DELIVERIES {
            if self.network.is_empty() {
                self.network = held;
                return;
            }
            let (from, to, message) = self.network.remove(0);
            if self.suspended.contains(&to) {
                held.push((from, to, message));
                continue;
            }
            if !self.partitioned.contains(&from) && !self.partitioned.contains(&to) {
                self.step(to, Event::Receive(message));
            }
        }
        self.problems.push("messages without end".to_owned());
    }

    /// Runs the group for this many rounds of a tick and the delivery of all messages.
    pub fn run_rounds(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.advance(HEARTBEAT_MS / 2);
            self.deliver_all();
        }
    }

    /// Takes a snapshot of a VM's state machine and compacts its log.
    pub fn snapshot(&mut self, index: usize) {
        let vm = &self.vms[index];
        let (at, state) = (vm.applied_index, encode(&vm.applied));
        self.step(index, Event::Compact { index: at, state });
    }

    fn step(&mut self, index: usize, event: Event) {
        if self.suspended.contains(&index) {
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
            // Election safety: at most one leader in a term.
            if let Some(other) = self.leaders.insert(term, id)
                && other != id
            {
                self.problems
                    .push(format!("two leaders in term {term}: {other} and {id}"));
            }
        }
        self.check_quorum_confirmed(term, confirmed_ms);
        self.execute(index, outputs);
    }

    /// Checks that no leader of a later term was elected before the time up to which this leader claims that a majority supported it.
    fn check_quorum_confirmed(&mut self, term: u64, confirmed_ms: Option<u64>) {
        let later = self.elected_ms.range(term + 1..).next();
        if let (Some(confirmed_ms), Some((next, elected_ms))) = (confirmed_ms, later)
            && *elected_ms < confirmed_ms
        {
            let problem = format!(
                "term {term} was confirmed up to {confirmed_ms} ms, but term {next} began at {elected_ms} ms"
            );
            self.problems.push(problem);
        }
    }

    fn execute(&mut self, index: usize, outputs: Vec<Output>) {
        for output in &outputs {
            self.save(index, output);
        }
        for output in outputs {
            self.release(index, output);
        }
    }

    fn save(&mut self, index: usize, output: &Output) {
        let bugs = self.bugs;
        let disk = &mut self.vms[index].disk;
        match output {
            Output::SaveVote { term, voted_for } => {
                disk.term = *term;
                disk.voted_for = if bugs.loses_votes { 0 } else { *voted_for };
            }
            Output::SaveEntries(entries) if !bugs.loses_entries => {
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
                self.appended
                    .retain(|(vm, appended_at), _| *vm != index || *appended_at > at);
            }
            Output::Appended {
                request_id,
                index: at,
                term,
            } => {
                self.appended.insert((index, at), (term, request_id));
            }
            Output::ReadIndex { request_id, index } => self.check_read(request_id, index),
            _ => {}
        }
    }

    /// Applies an entry, and checks that all replicas apply the same entry at each index.
    fn apply(&mut self, index: usize, entry: &LogEntry) {
        let number = entry.command.first_chunk();
        let command = number.map_or(0, |number| u64::from_le_bytes(*number));
        let seen = *self
            .first_applied
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
        if let Some((term, request_id)) = self.appended.remove(&(index, entry.index))
            && term == entry.term
        {
            self.acknowledged.insert(request_id);
        }
    }

    /// Checks the invariants at the end of a run, after some time without faults and with every VM up: all states are equal and no
    /// acknowledged command is lost.
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
