//! Runs one replica: handles inputs in batches, syncs once for each batch, then executes the outputs of the batch.

use crate::handle::Group;
use crate::handle::GroupStatus;
use crate::input::Input;
use crate::machine::Machine;
use crate::persist::persist;
use crate::persist::persist_own_snapshot;
use crate::persist::restore_reserve;
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
use bh_storage::RecoveredState;
use local_sync::mpsc::unbounded;
use local_sync::oneshot;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

/// Limit of inputs in one batch.
const MAX_BATCH: usize = 1_024;
/// A write to the journal that takes at least this long is logged, in milliseconds. Until it ends, this replica neither records nor answers
/// anything.
const SLOW_WRITE_MS: u64 = 200;
/// Time between attempts to free disk space while little is left, and until a snapshot is taken again for which the disk had no room, in
/// milliseconds.
const SPACE_RETRY_MS: u64 = 1_000;

type ProposalReply = oneshot::Sender<Result<Vec<u8>, Failure>>;
type ReadReply = oneshot::Sender<Result<(), Failure>>;

/// Callback that gets an applied command and the state machine's answer.
type OnApplied = dyn Fn(&[u8], &[u8]);

/// A proposal of this replica that is in the log and not applied yet.
struct AppendedProposal {
    /// Term in which the proposal was appended.
    term: u64,
    reply: ProposalReply,
}

/// Callbacks through which the driver reaches the rest of the process.
pub struct Hooks {
    /// Sends a message to the replica that it names, or to all replicas if it names none.
    pub send: Box<dyn Fn(RaftMessage)>,
    /// Called after a command was applied, with the command and the state machine's answer.
    pub applied: Box<OnApplied>,
    /// Called after the role or the leader changed, or a snapshot replaced the state.
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
    max_log_bytes: u64,
    group_sync: bool,
    inbox: unbounded::Rx<Input>,
    status: Rc<RefCell<GroupStatus>>,
    hooks: Hooks,
    applied: u64,
    /// Length of the last snapshot in bytes; 0 if there is none.
    snapshot_bytes: u64,
    low_on_space: bool,
    /// When the next snapshot may be taken.
    next_snapshot_ms: u64,
    /// When the reserve may be set aside again.
    next_reserve_ms: u64,
    next_request_id: u64,
    /// Proposals that are not appended yet, by request id.
    proposals: BTreeMap<u64, ProposalReply>,
    /// Appended proposals by log index.
    appended: BTreeMap<u64, AppendedProposal>,
    /// Reads that are not confirmed yet, by request id.
    reads: BTreeMap<u64, ReadReply>,
    /// Confirmed reads, each with the log index that must be applied before it is answered.
    confirmed_reads: Vec<(u64, ReadReply)>,
}

impl<S> Driver<S> {
    /// Creates the driver of the replica that `config` describes, and the handle to the driver. `storage` is the replica's journal with the
    /// state that was recovered from it, or `None` for a replica without a disk.
    ///
    /// # Errors
    ///
    /// [`Code::Internal`] if the snapshot cannot be read.
    pub fn new(
        config: Config,
        machine: Machine<S>,
        storage: Option<(Journal, RecoveredState)>,
        clock: Clock,
        hooks: Hooks,
    ) -> Result<(Driver<S>, Group<S>), Failure> {
        let (journal, recovered) = match storage {
            Some((journal, recovered)) => (Some(journal), recovered),
            None => (None, RecoveredState::default()),
        };
        let name = config.group.clone();
        let tick_ms = (config.heartbeat_ms / 2).max(1);
        let applied = recovered
            .snapshot
            .as_ref()
            .map_or(0, |snapshot| snapshot.index);
        let mut snapshot_bytes = 0;
        if let Some(snapshot) = &recovered.snapshot {
            machine.restore(&snapshot.state)?;
            snapshot_bytes = byte_count(&snapshot.state);
        }
        let replica = Replica::new(config, persisted_state(recovered), clock.now_ms());
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
            max_log_bytes: u64::MAX,
            group_sync: true,
            inbox,
            status,
            hooks,
            applied,
            snapshot_bytes,
            low_on_space: false,
            next_snapshot_ms: 0,
            next_reserve_ms: 0,
            next_request_id: 0,
            proposals: BTreeMap::new(),
            appended: BTreeMap::new(),
            reads: BTreeMap::new(),
            confirmed_reads: Vec::new(),
        };
        driver.publish_status();
        Ok((driver, group))
    }

    /// Sets the number of applied entries after which the driver takes a snapshot.
    pub fn with_snapshot_entries(mut self, snapshot_entries: u64) -> Self {
        self.snapshot_entries = snapshot_entries;
        self
    }

    /// Sets the number of bytes that the log may take beyond the last snapshot and what is not applied yet. More make the driver take a
    /// snapshot, however few entries they are.
    pub fn with_max_log_bytes(mut self, max_log_bytes: u64) -> Self {
        self.max_log_bytes = max_log_bytes;
        self
    }

    /// Sets whether one disk sync serves all inputs that wait, or each input gets its own.
    pub fn with_group_sync(mut self, group_sync: bool) -> Self {
        self.group_sync = group_sync;
        self
    }

    /// Runs until all handles are dropped.
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
                Some(Some(input)) => self.handle_input(input),
            };
            let max_batch = if self.group_sync { MAX_BATCH } else { 1 };
            for _ in 1..max_batch {
                let Ok(input) = self.inbox.try_recv() else {
                    break;
                };
                outputs.extend(self.handle_input(input));
            }
            let now_ms = self.clock.now_ms();
            outputs.extend(self.replica.step(now_ms, Event::Flush));
            if now_ms >= next_tick_ms {
                next_tick_ms = now_ms + self.tick_ms;
                outputs.extend(self.replica.step(now_ms, Event::Tick));
            }
            self.release(outputs).await?;
            self.snapshot_if_due().await?;
            self.check_space().await?;
        }
    }

    fn handle_input(&mut self, input: Input) -> Vec<Output> {
        let now_ms = self.clock.now_ms();
        match input {
            Input::Message(message) => self.replica.step(now_ms, Event::Receive(message)),
            Input::Propose { command, reply } => {
                let request_id = self.new_request_id();
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
                let request_id = self.new_request_id();
                self.reads.insert(request_id, reply);
                self.replica.step(now_ms, Event::Read { request_id })
            }
            Input::Form(members) if self.replica.last_index() == 0 => self.replica.form(members),
            Input::Form(_) => Vec::new(),
        }
    }

    fn new_request_id(&mut self) -> u64 {
        self.next_request_id += 1;
        self.next_request_id
    }

    /// Writes and syncs the `Save*` outputs, then executes the other outputs in order.
    async fn release(&mut self, outputs: Vec<Output>) -> Result<(), Failure> {
        let start_ms = self.clock.now_ms();
        let others = persist(&mut self.journal, outputs).await?;
        let took_ms = self.clock.now_ms().saturating_sub(start_ms);
        if took_ms >= SLOW_WRITE_MS {
            log::warn!(group = &*self.name, took_ms = took_ms; "slow write to the journal");
        }
        let mut changed = false;
        for output in others {
            changed |= self.execute(output)?;
        }
        self.answer_reads();
        self.publish_status();
        if changed {
            (self.hooks.changed)();
        }
        Ok(())
    }

    /// Executes one output. Returns whether the role or the leader changed, or a snapshot replaced the state.
    fn execute(&mut self, output: Output) -> Result<bool, Failure> {
        match output {
            Output::Send(message) | Output::Broadcast(message) => (self.hooks.send)(message),
            Output::Apply(entries) => {
                for entry in entries {
                    self.apply(entry);
                }
            }
            Output::Restore { index, state } => {
                self.machine.restore(&state)?;
                self.snapshot_bytes = byte_count(&state);
                self.applied = index;
                self.fail_proposals_up_to(index);
                return Ok(true);
            }
            Output::Appended {
                request_id,
                index,
                term,
            } => {
                if let Some(reply) = self.proposals.remove(&request_id) {
                    self.appended
                        .insert(index, AppendedProposal { term, reply });
                }
            }
            Output::Refused { request_id } => self.refuse_request(request_id),
            Output::ReadIndex { request_id, index } => {
                if let Some(reply) = self.reads.remove(&request_id) {
                    self.confirmed_reads.push((index, reply));
                }
            }
            Output::RoleChanged => return Ok(true),
            Output::SaveVote { .. } | Output::SaveEntries(_) | Output::SaveSnapshot { .. } => {}
        }
        Ok(false)
    }

    fn refuse_request(&mut self, request_id: u64) {
        let failure = || Failure::new(Code::NoQuorum, "this replica does not lead the group");
        if let Some(reply) = self.proposals.remove(&request_id) {
            let _ = reply.send(Err(failure()));
        }
        if let Some(reply) = self.reads.remove(&request_id) {
            let _ = reply.send(Err(failure()));
        }
    }

    fn apply(&mut self, entry: LogEntry) {
        self.applied = entry.index;
        let proposal = self.appended.remove(&entry.index);
        let answer = if entry.command.is_empty() {
            Ok(Vec::new())
        } else {
            self.machine.apply(&entry.command)
        };
        if let (Ok(bytes), false) = (&answer, entry.command.is_empty()) {
            (self.hooks.applied)(&entry.command, bytes);
        }
        if let Some(proposal) = proposal {
            // An entry of another term at the proposal's index means that another leader replaced it: the proposal will never be committed.
            let is_own_entry = proposal.term == entry.term;
            let result = if is_own_entry {
                answer
            } else {
                Err(Failure::new(Code::NoQuorum, "another leader was elected"))
            };
            let _ = proposal.reply.send(result);
        }
    }

    /// Fails the proposals up to `index`: a snapshot replaced the log there, so this replica can't tell whether they were committed.
    fn fail_proposals_up_to(&mut self, index: u64) {
        let later = self.appended.split_off(&(index + 1));
        for (_, proposal) in std::mem::replace(&mut self.appended, later) {
            let _ = proposal.reply.send(Err(Failure::new(
                Code::OutcomeUnknown,
                "a snapshot replaced the log before the outcome was known",
            )));
        }
    }

    fn answer_reads(&mut self) {
        let applied = self.applied;
        let (ready, waiting) = std::mem::take(&mut self.confirmed_reads)
            .into_iter()
            .partition(|(index, _)| *index <= applied);
        self.confirmed_reads = waiting;
        let ready: Vec<(u64, ReadReply)> = ready;
        for (_, reply) in ready {
            let _ = reply.send(Ok(()));
        }
    }

    async fn snapshot_if_due(&mut self) -> Result<(), Failure> {
        let entries = self.applied.saturating_sub(self.replica.snapshot_index());
        let is_due = entries >= self.snapshot_entries
            || self.superseded_bytes() >= self.max_log_bytes
            || self.low_on_space;
        if entries == 0 || !is_due || self.clock.now_ms() < self.next_snapshot_ms {
            return Ok(());
        }
        let journal_bytes = self.journal.as_ref().map_or(0, Journal::length);
        let began_ms = self.clock.now_ms();
        let state = self.machine.snapshot()?;
        self.snapshot_bytes = byte_count(&state);
        let index = self.applied;
        let now_ms = self.clock.now_ms();
        let took_ms = now_ms.saturating_sub(began_ms);
        log::info!(group = &*self.name, index, entries, bytes = self.snapshot_bytes, journal_bytes, took_ms; "snapshot taken");
        let outputs = self.replica.step(now_ms, Event::Compact { index, state });
        if !persist_own_snapshot(&mut self.journal, outputs).await? || self.low_on_space {
            self.next_snapshot_ms = self.clock.now_ms() + SPACE_RETRY_MS;
        }
        self.publish_status();
        Ok(())
    }

    /// Sets the journal's reserve aside again while it is given up, and tells the replica when disk space becomes scarce and when it is not
    /// any more.
    async fn check_space(&mut self) -> Result<(), Failure> {
        let now_ms = self.clock.now_ms();
        if self.low_on_space && now_ms >= self.next_reserve_ms {
            restore_reserve(&mut self.journal).await?;
            self.next_reserve_ms = self.clock.now_ms() + SPACE_RETRY_MS;
        }
        let journal = self.journal.as_ref();
        let low_on_space = journal.is_some_and(Journal::is_low_on_space);
        if low_on_space == self.low_on_space {
            return Ok(());
        }
        self.low_on_space = low_on_space;
        // The reserve is not set aside at once: while the disk is full, that would only fail or take the space that was just freed.
        self.next_reserve_ms = now_ms + SPACE_RETRY_MS;
        let journal_bytes = self.journal.as_ref().map_or(0, Journal::length);
        if low_on_space {
            log::warn!(group = &*self.name, journal_bytes; "little disk space is left: the reserve is given up");
        } else {
            log::info!(group = &*self.name, journal_bytes; "there is disk space again");
        }
        let outputs = self.replica.step(now_ms, Event::LowOnSpace(low_on_space));
        self.release(outputs).await
    }

    /// Number of bytes that a snapshot would free: those of the log beyond the last snapshot without what is not applied yet.
    fn superseded_bytes(&self) -> u64 {
        let unapplied = self.replica.bytes_after(self.applied);
        let log = match &self.journal {
            Some(journal) => journal.length_after_snapshot(),
            None => self.replica.bytes_after(self.replica.snapshot_index()),
        };
        log.saturating_sub(unapplied)
    }

    fn publish_status(&self) {
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
        status.has_space = self.replica.has_space();
        status.low_on_space = self.low_on_space;
        status.journal_bytes = self.journal.as_ref().map_or(0, Journal::length);
        status.snapshot_bytes = self.snapshot_bytes;
        status.quorum_confirmed_ms = self.replica.quorum_confirmed_ms(now_ms);
        status.last_leader_contact_ms = self
            .replica
            .leader_contact_age_ms(now_ms)
            .map(|age_ms| now_ms.saturating_sub(age_ms));
    }
}

fn byte_count(bytes: &[u8]) -> u64 {
    u64::try_from(bytes.len()).unwrap_or(u64::MAX)
}

fn persisted_state(recovered: RecoveredState) -> PersistedState {
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
