//! A data centre's group on this entry, with the leader's state while this entry leads.

use super::call::LeaderAnswer;
use super::call::LeaderCall;
use super::leader_state::GroupContext;
use super::leader_state::LeaderState;
use crate::group::Group;
use crate::jobs_machine::JobsAnswer;
use crate::jobs_machine::JobsCommand;
use crate::node::Node;
use bh_net::runtime::sleep_ms;
use bh_protocol::Failure;
use bh_protocol::job::Phase;
use bh_scheduler::Command;
use bh_scheduler::Event;
use bh_scheduler::Limits;
use bh_scheduler::Outcome;
use bh_scheduler::RecordedJob;
use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

/// Time between ticks of the leader's state, in milliseconds.
const TICK_MS: u64 = 50;
/// Longest wait for a confirmed read at the start of a term, in milliseconds.
const READ_TIMEOUT_MS: u64 = 5_000;

/// A data centre's replication group on this entry.
pub struct JobsGroup {
    /// Data centre.
    pub data_centre: Arc<str>,
    /// The replication group.
    pub group: Group,
    leader_state: RefCell<Option<LeaderState>>,
    served_term: Cell<u64>,
    /// Settings revision that the scheduler's limits were computed from.
    limits_revision: Cell<u64>,
}

impl JobsGroup {
    /// The group of `data_centre`.
    pub fn new(data_centre: Arc<str>, group: Group) -> Self {
        Self {
            data_centre,
            group,
            leader_state: RefCell::new(None),
            served_term: Cell::new(0),
            limits_revision: Cell::new(0),
        }
    }

    /// Whether this entry leads and has caught up with what earlier leaders recorded, so that it serves calls.
    pub fn is_serving_leader(&self) -> bool {
        self.group.is_leader() && self.leader_state.borrow().is_some()
    }

    /// Answers a call to the leader.
    ///
    /// # Errors
    ///
    /// [`bh_protocol::Code::NoQuorum`] when this entry does not lead, or the reason the call is refused.
    pub fn answer(&self, node: &Node, call: LeaderCall) -> Result<LeaderAnswer, Failure> {
        let (answer, actions) = {
            let mut leader_state = self.leader_state.borrow_mut();
            let leader_state = leader_state
                .as_mut()
                .ok_or_else(|| self.group.no_quorum())?;
            let context = GroupContext {
                data_centre: &self.data_centre,
                group: &self.group,
            };
            leader_state.answer(node, &context, call)?
        };
        self.execute_actions(node, actions);
        Ok(answer)
    }

    /// Starts or ends this entry's leadership after its role in the group has changed.
    pub fn role_changed(self: &Rc<Self>, node: &Rc<Node>) {
        let status = self.group.status();
        if !status.is_leader {
            if self.leader_state.borrow_mut().take().is_some() {
                log::info!(group = &*self.group.name, term = status.term; "no longer leader");
            }
            self.served_term.set(0);
            return;
        }
        if self.served_term.get() == status.term {
            return;
        }
        self.served_term.set(status.term);
        log::info!(group = &*self.group.name, term = status.term; "elected leader");
        monoio::spawn(serve_term(node.clone(), self.clone(), status.term));
    }

    /// Reads the leader's state; returns `None` while this entry does not lead.
    pub(super) fn with_leader_state<T>(&self, read: impl FnOnce(&LeaderState) -> T) -> Option<T> {
        self.leader_state.borrow().as_ref().map(read)
    }

    /// Changes the leader's state; does nothing while this entry does not lead.
    pub(super) fn with_leader_state_mut(&self, change: impl FnOnce(&mut LeaderState)) {
        if let Some(leader_state) = self.leader_state.borrow_mut().as_mut() {
            change(leader_state);
        }
    }

    fn leads_term(&self, term: u64) -> bool {
        let status = self.group.status();
        status.is_leader && status.term == term
    }

    fn assume_leadership(&self, node: &Node, term: u64) {
        let now_ms = node.clock.now_ms();
        let (revision, settings) = node.settings_in_force();
        self.limits_revision.set(revision);
        let limits = Limits::new(&settings, &self.data_centre);
        let leader_state = LeaderState::new(term, limits, node.config.target_lease_ms, now_ms);
        *self.leader_state.borrow_mut() = Some(leader_state);
        let recorded = self.group.machine.read().jobs().map(|machine| {
            let open = machine
                .table
                .iter()
                .filter(|(_, record)| !record.phase.is_final());
            open.map(|(job, record)| recorded_job(node, job, record))
                .collect::<Vec<_>>()
        });
        for job in recorded.unwrap_or_default() {
            self.handle_event(node, Event::JobRecorded(job));
        }
    }

    /// Passes an event to the scheduler and executes the resulting actions.
    pub fn handle_event(&self, node: &Node, event: Event) {
        let actions = match self.leader_state.borrow_mut().as_mut() {
            Some(leader_state) => leader_state.scheduler.step(node.clock.now_ms(), event),
            None => return,
        };
        self.execute_actions(node, actions);
    }

    fn tick(&self, node: &Node) {
        let now_ms = node.clock.now_ms();
        let lost = match self.leader_state.borrow_mut().as_mut() {
            Some(leader_state) => {
                let gone = leader_state.registry.take_expired_targets(now_ms);
                leader_state.task_leases.expire_workers(now_ms, &gone)
            }
            None => return,
        };
        self.apply_changed_limits(node);
        for name in lost {
            log::warn!(target_name = &*name, data_centre = &*self.data_centre; "target lost: its leases lapsed");
            self.handle_event(node, Event::WorkerLost { name });
        }
        self.handle_event(node, Event::Tick);
    }

    /// Passes the limits of changed settings to the scheduler.
    fn apply_changed_limits(&self, node: &Node) {
        let (revision, settings) = node.settings_in_force();
        if self.limits_revision.replace(revision) != revision {
            let limits = Limits::new(&settings, &self.data_centre);
            self.handle_event(node, Event::LimitsChanged(limits));
        }
    }

    /// Tells the scheduler of new and cancelled jobs after a command was applied to the group's state machine.
    pub fn command_applied(&self, node: &Node, command: &[u8], answer: &[u8]) {
        if self.leader_state.borrow().is_none() {
            return;
        }
        let (Ok(command), Ok(answer)) = (
            serde_json::from_slice(command),
            serde_json::from_slice(answer),
        ) else {
            return;
        };
        match (command, answer) {
            (
                JobsCommand::Job(Command::Submit { .. }),
                JobsAnswer::Job(Outcome::Submitted { job }),
            ) => {
                let recorded = self.group.machine.read().jobs().and_then(|machine| {
                    machine
                        .table
                        .get(job)
                        .map(|record| recorded_job(node, job, record))
                });
                if let Some(recorded) = recorded.filter(|recorded| recorded.phase == Phase::Queued)
                {
                    self.handle_event(node, Event::JobRecorded(recorded));
                }
            }
            (JobsCommand::Job(_), JobsAnswer::Job(Outcome::Cancelled { jobs })) => {
                self.handle_event(node, Event::JobsCancelled { jobs });
            }
            _ => {}
        }
    }
}

fn recorded_job(node: &Node, job: u64, record: &bh_scheduler::JobRecord) -> RecordedJob {
    let age_ms = node
        .clock
        .wall_ms()
        .saturating_sub(record.submitted_wall_ms);
    RecordedJob {
        job,
        spec: record.spec.clone(),
        submitted_ms: node.clock.now_ms().saturating_sub(age_ms),
        phase: record.phase,
        epoch: record.epoch,
        placement: record.placement.clone(),
    }
}

/// Serves one term of leadership: catches up with the record, then ticks until the term ends.
async fn serve_term(node: Rc<Node>, jobs: Rc<JobsGroup>, term: u64) {
    while jobs.leads_term(term) {
        if jobs.group.read(READ_TIMEOUT_MS).await.is_ok() {
            break;
        }
        sleep_ms(TICK_MS).await;
    }
    if !jobs.leads_term(term) {
        return;
    }
    jobs.assume_leadership(&node, term);
    while jobs.leads_term(term) && !node.stop.is_cancelled() {
        jobs.tick(&node);
        sleep_ms(TICK_MS).await;
    }
}
