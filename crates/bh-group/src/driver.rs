//! Runs one replica: takes inputs in batches, syncs once for each batch, then releases what the batch produced.

use crate::handle::Group;
use crate::handle::GroupStatus;
use crate::input::Input;
use crate::machine::Machine;
use crate::persist::persist;
use bh_consensus::Config;
use bh_consensus::Event;
use bh_consensus::Output;
use bh_consensus::PersistedState;
use bh_consensus::Replica;
use bh_net::Clock;
use bh_net::runtime::within_ms;
use bh_protocol::Code;
use bh_protocol::Failure;
use bh_protocol::wire::LogEntry;
use bh_protocol::wire::RaftMessage;
use bh_storage::Journal;
use bh_storage::Recovered;
use local_sync::mpsc::unbounded;
use local_sync::oneshot;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

/// Inputs taken into one batch at most.
const MAX_BATCH: usize = 1_024;
/// A write to the journal that takes this long is logged, in milliseconds: until it ends this replica neither records nor answers anything.
const SLOW_WRITE_MS: u64 = 200;

type ProposalReply = oneshot::Sender<Result<Vec<u8>, Failure>>;
type ReadReply = oneshot::Sender<Result<(), Failure>>;

/// Takes a command that was applied and the state machine's answer.
type OnApplied = dyn Fn(&[u8], &[u8]);

/// A proposal in the log that waits to be applied.
struct Waiting {
    term: u64,
    reply: ProposalReply,
}

/// What the driver tells the rest of the process.
pub struct Hooks {
    /// Sends a message to the replica named in it, or to all when it names none.
    pub send: Box<dyn Fn(RaftMessage)>,
    /// A command was applied; gets the command and the state machine's answer.
    pub applied: Box<OnApplied>,
    /// The role, the leader or the whole state changed.
    pub changed: Box<dyn Fn()>,
}

/// Drives one replica.
pub struct Driver<S> {
    name: Arc<str>,
    replica: Replica,
    machine: Machine<S>,
    journal: Option<Journal>,
    clock: Clock,
    tick_ms: u64,
    snapshot_entries: u64,
    group_sync: bool,
    inbox: unbounded::Rx<Input>,
    status: Rc<RefCell<GroupStatus>>,
    hooks: Hooks,
    applied: u64,
    next_ticket: u64,
    proposals: BTreeMap<u64, ProposalReply>,
    waiting: BTreeMap<u64, Waiting>,
    reads: BTreeMap<u64, ReadReply>,
    ready_reads: Vec<(u64, ReadReply)>,
}

impl<S> Driver<S> {
    /// A driver for the replica `config`, with what its journal held, and the handle to it.
    ///
    /// # Errors
    ///
    /// [`Code::Internal`] when the snapshot cannot be read.
    pub fn new(
        config: Config,
        machine: Machine<S>,
        storage: Option<(Journal, Recovered)>,
        clock: Clock,
        hooks: Hooks,
    ) -> Result<(Driver<S>, Group<S>), Failure> {
        let (journal, recovered) = match storage {
            Some((journal, recovered)) => (Some(journal), recovered),
            None => (None, Recovered::default()),
        };
        let name = config.group.clone();
        let tick_ms = (config.heartbeat_ms / 2).max(1);
        let applied = recovered
            .snapshot
            .as_ref()
            .map_or(0, |snapshot| snapshot.index);
        if let Some(snapshot) = &recovered.snapshot {
            machine.restore(&snapshot.state)?;
        }
        let replica = Replica::new(config, restored(recovered), clock.now_ms());
        let (sender, inbox) = unbounded::channel();
        let status = Rc::new(RefCell::new(GroupStatus::default()));
        let group = Group {
            name: name.clone(),
            machine: machine.clone(),
            inbox: sender,
            status: status.clone(),
        };
        let driver = Driver {
            name,
            replica,
            machine,
            journal,
            clock,
            tick_ms,
            snapshot_entries: u64::MAX,
            group_sync: true,
            inbox,
            status,
            hooks,
            applied,
            next_ticket: 0,
            proposals: BTreeMap::new(),
            waiting: BTreeMap::new(),
            reads: BTreeMap::new(),
            ready_reads: Vec::new(),
        };
        driver.publish();
        Ok((driver, group))
    }

    /// Takes a snapshot after this many applied entries.
    pub fn with_snapshot_entries(mut self, snapshot_entries: u64) -> Self {
        self.snapshot_entries = snapshot_entries;
        self
    }

    /// Whether one disk sync serves all inputs that wait.
    pub fn with_group_sync(mut self, group_sync: bool) -> Self {
        self.group_sync = group_sync;
        self
    }

    /// Runs until the handles are gone.
    ///
    /// # Errors
    ///
    /// [`Code::DiskFailed`], [`Code::Internal`].
    pub async fn run(mut self) -> Result<(), Failure> {
        let mut next_tick_ms = self.clock.now_ms();
        loop {
            let wait_ms = next_tick_ms.saturating_sub(self.clock.now_ms());
            let first = within_ms(wait_ms, self.inbox.recv()).await;
            let mut outputs = match first {
                None => Vec::new(),
                Some(None) => return Ok(()),
                Some(Some(input)) => self.take(input),
            };
            let most = if self.group_sync { MAX_BATCH } else { 1 };
            for _ in 1..most {
                let Ok(input) = self.inbox.try_recv() else {
                    break;
                };
                outputs.extend(self.take(input));
            }
            let now_ms = self.clock.now_ms();
            outputs.extend(self.replica.step(now_ms, Event::Flush));
            if now_ms >= next_tick_ms {
                next_tick_ms = now_ms + self.tick_ms;
                outputs.extend(self.replica.step(now_ms, Event::Tick));
            }
            self.release(outputs).await?;
            self.maybe_snapshot().await?;
        }
    }

    fn take(&mut self, input: Input) -> Vec<Output> {
        let now_ms = self.clock.now_ms();
        match input {
            Input::Message(message) => self.replica.step(now_ms, Event::Receive(message)),
            Input::Propose { command, reply } => {
                let request_id = self.request_id();
                self.proposals.insert(request_id, reply);
                self.replica.step(
                    now_ms,
                    Event::Propose {
                        request_id,
                        command,
                    },
                )
            }
            Input::Read { reply } => {
                let request_id = self.request_id();
                self.reads.insert(request_id, reply);
                self.replica.step(now_ms, Event::Read { request_id })
            }
            Input::Form(members) if self.replica.last_index() == 0 => self.replica.form(members),
            Input::Form(_) => Vec::new(),
        }
    }

    fn request_id(&mut self) -> u64 {
        self.next_ticket += 1;
        self.next_ticket
    }

    /// Syncs what must be kept, then releases the rest in order.
    async fn release(&mut self, outputs: Vec<Output>) -> Result<(), Failure> {
        let start_ms = self.clock.now_ms();
        let rest = persist(&mut self.journal, outputs).await?;
        let took_ms = self.clock.now_ms().saturating_sub(start_ms);
        if took_ms >= SLOW_WRITE_MS {
            log::warn!(group = &*self.name, took_ms = took_ms; "slow write to the journal");
        }
        let mut changed = false;
        for output in rest {
            changed |= self.carry_out(output)?;
        }
        self.answer_reads();
        self.publish();
        if changed {
            (self.hooks.changed)();
        }
        Ok(())
    }

    /// Carries one output out; returns whether the role or the whole state changed.
    fn carry_out(&mut self, output: Output) -> Result<bool, Failure> {
        match output {
            Output::Send(message) | Output::Broadcast(message) => (self.hooks.send)(message),
            Output::Apply(entries) => {
                for entry in entries {
                    self.apply(entry);
                }
            }
            Output::Restore { index, state } => {
                self.machine.restore(&state)?;
                self.applied = index;
                self.give_up_before(index);
                return Ok(true);
            }
            Output::Appended {
                request_id,
                index,
                term,
            } => {
                if let Some(reply) = self.proposals.remove(&request_id) {
                    self.waiting.insert(index, Waiting { term, reply });
                }
            }
            Output::Refused { request_id } => self.refuse(request_id),
            Output::ReadIndex { request_id, index } => {
                if let Some(reply) = self.reads.remove(&request_id) {
                    self.ready_reads.push((index, reply));
                }
            }
            Output::RoleChanged => return Ok(true),
            Output::SaveVote { .. } | Output::SaveEntries(_) | Output::SaveSnapshot { .. } => {}
        }
        Ok(false)
    }

    fn refuse(&mut self, request_id: u64) {
        let failure = || Failure::new(Code::NoQuorum, "this entry does not lead the group");
        if let Some(reply) = self.proposals.remove(&request_id) {
            let _ = reply.send(Err(failure()));
        }
        if let Some(reply) = self.reads.remove(&request_id) {
            let _ = reply.send(Err(failure()));
        }
    }

    fn apply(&mut self, entry: LogEntry) {
        self.applied = entry.index;
        let waiting = self.waiting.remove(&entry.index);
        let answer = if entry.command.is_empty() {
            Ok(Vec::new())
        } else {
            self.machine.apply(&entry.command)
        };
        if let (Ok(bytes), false) = (&answer, entry.command.is_empty()) {
            (self.hooks.applied)(&entry.command, bytes);
        }
        if let Some(waiting) = waiting {
            // Another leader's entry stands where the proposal was: it was never committed and never will be.
            let own = waiting.term == entry.term;
            let result = if own {
                answer
            } else {
                Err(Failure::new(Code::NoQuorum, "another leader was elected"))
            };
            let _ = waiting.reply.send(result);
        }
    }

    /// A snapshot jumped over the places of these proposals: whether they were committed cannot be told any more.
    fn give_up_before(&mut self, index: u64) {
        let later = self.waiting.split_off(&(index + 1));
        for (_, waiting) in std::mem::replace(&mut self.waiting, later) {
            let _ = waiting.reply.send(Err(Failure::new(
                Code::OutcomeUnknown,
                "the group went on without this entry",
            )));
        }
    }

    fn answer_reads(&mut self) {
        let applied = self.applied;
        let (ready, waiting) = std::mem::take(&mut self.ready_reads)
            .into_iter()
            .partition(|(index, _)| *index <= applied);
        self.ready_reads = waiting;
        let ready: Vec<(u64, ReadReply)> = ready;
        for (_, reply) in ready {
            let _ = reply.send(Ok(()));
        }
    }

    async fn maybe_snapshot(&mut self) -> Result<(), Failure> {
        if self.applied < self.replica.snapshot_index() + self.snapshot_entries {
            return Ok(());
        }
        let state = self.machine.snapshot()?;
        let index = self.applied;
        let outputs = self
            .replica
            .step(self.clock.now_ms(), Event::Compact { index, state });
        self.release(outputs).await
    }

    fn publish(&self) {
        let now_ms = self.clock.now_ms();
        let mut status = self.status.borrow_mut();
        status.is_leader = self.replica.is_leader();
        status.is_voter = self.replica.is_voter();
        status.term = self.replica.term();
        status.leader = self.replica.leader();
        status.caught_up = self.replica.has_caught_up();
        status.applied = self.applied;
        status.last_index = self.replica.last_index();
        status.snapshot_index = self.replica.snapshot_index();
        status.members = self.replica.members();
        status.quorum_confirmed_ms = self.replica.quorum_confirmed_ms(now_ms);
        status.last_leader_contact_ms = self
            .replica
            .leader_contact_age_ms(now_ms)
            .map(|since| now_ms.saturating_sub(since));
    }
}

fn restored(recovered: Recovered) -> PersistedState {
    PersistedState {
        term: recovered.vote.term,
        voted_for: recovered.vote.voted_for,
        snapshot: recovered.snapshot.map(|snapshot| {
            (
                snapshot.index,
                snapshot.term,
                snapshot.voters,
                snapshot.state,
            )
        }),
        entries: recovered.entries,
    }
}
