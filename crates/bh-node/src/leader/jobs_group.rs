//! A data centre's group as this entry sees it, with the duties of its leader while this entry leads.

use super::call::LeaderAnswer;
use super::call::LeaderCall;
use super::duties::Duties;
use super::duties::GroupPlace;
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

/// Time between the duties' ticks, in milliseconds.
const TICK_MS: u64 = 50;
/// Longest wait for a confirmed read at the start of a term, in milliseconds.
const READ_MS: u64 = 5_000;

/// A data centre's group.
pub struct JobsGroup {
    /// Data centre.
    pub data_centre: Arc<str>,
    /// Its replication.
    pub group: Group,
    duties: RefCell<Option<Duties>>,
    term_on_duty: Cell<u64>,
    /// Settings revision that the scheduler's limits were made from.
    limits_revision: Cell<u64>,
}

impl JobsGroup {
    /// The group of `data_centre`.
    pub fn new(data_centre: Arc<str>, group: Group) -> Self {
        Self {
            data_centre,
            group,
            duties: RefCell::new(None),
            term_on_duty: Cell::new(0),
            limits_revision: Cell::new(0),
        }
    }

    /// Whether this entry leads and has caught up with what earlier leaders recorded.
    pub fn is_on_duty(&self) -> bool {
        self.group.is_leader() && self.duties.borrow().is_some()
    }

    /// Answers a question to the leader.
    ///
    /// # Errors
    ///
    /// [`bh_protocol::Code::NoQuorum`] when this entry does not lead, or what the question is refused with.
    pub fn answer(&self, node: &Node, call: LeaderCall) -> Result<LeaderAnswer, Failure> {
        let (answer, actions) = {
            let mut duties = self.duties.borrow_mut();
            let duties = duties.as_mut().ok_or_else(|| self.group.no_quorum())?;
            let place = GroupPlace {
                data_centre: &self.data_centre,
                group: &self.group,
            };
            duties.answer(node, &place, call)?
        };
        self.carry_out_all(node, actions);
        Ok(answer)
    }

    /// Takes up or lays down the duties as the role says.
    pub fn role_changed(self: &Rc<Self>, node: &Rc<Node>) {
        let status = self.group.status();
        if !status.is_leader {
            if self.duties.borrow_mut().take().is_some() {
                log::info!(group = &*self.group.name, term = status.term; "no longer leader");
            }
            self.term_on_duty.set(0);
            return;
        }
        if self.term_on_duty.get() == status.term {
            return;
        }
        self.term_on_duty.set(status.term);
        log::info!(group = &*self.group.name, term = status.term; "elected leader");
        monoio::spawn(serve_term(node.clone(), self.clone(), status.term));
    }

    /// Reads the duties, while this entry has them.
    pub(super) fn duties_ref<T>(&self, read: impl FnOnce(&Duties) -> T) -> Option<T> {
        self.duties.borrow().as_ref().map(read)
    }

    /// Changes the duties, while this entry has them.
    pub(super) fn duties_mut(&self, change: impl FnOnce(&mut Duties)) {
        if let Some(duties) = self.duties.borrow_mut().as_mut() {
            change(duties);
        }
    }

    fn leads(&self, term: u64) -> bool {
        let status = self.group.status();
        status.is_leader && status.term == term
    }

    fn take_up(&self, node: &Node, term: u64) {
        let now_ms = node.clock.now_ms();
        let (revision, settings) = node.settings_in_force();
        self.limits_revision.set(revision);
        let limits = Limits::new(&settings, &self.data_centre);
        let duties = Duties::new(term, limits, node.config.target_lease_ms, now_ms);
        *self.duties.borrow_mut() = Some(duties);
        let recorded = self.group.machine.read().jobs().map(|machine| {
            let open = machine
                .table
                .iter()
                .filter(|(_, record)| !record.phase.is_final());
            open.map(|(job, record)| recorded_job(node, job, record))
                .collect::<Vec<_>>()
        });
        for job in recorded.unwrap_or_default() {
            self.feed(node, Event::JobRecorded(job));
        }
    }

    /// Hands an event to the scheduler and carries out what it asks for.
    pub fn feed(&self, node: &Node, event: Event) {
        let actions = match self.duties.borrow_mut().as_mut() {
            Some(duties) => duties.scheduler.step(node.clock.now_ms(), event),
            None => return,
        };
        self.carry_out_all(node, actions);
    }

    fn tick(&self, node: &Node) {
        let now_ms = node.clock.now_ms();
        let lost = match self.duties.borrow_mut().as_mut() {
            Some(duties) => {
                let gone = duties.registry.take_expired_targets(now_ms);
                duties.task_leases.expire_workers(now_ms, &gone)
            }
            None => return,
        };
        self.take_new_limits(node);
        for name in lost {
            log::warn!(target_name = &*name, data_centre = &*self.data_centre; "target lost: its leases lapsed");
            self.feed(node, Event::WorkerLost { name });
        }
        self.feed(node, Event::Tick);
    }

    /// Hands changed settings to the scheduler.
    fn take_new_limits(&self, node: &Node) {
        let (revision, settings) = node.settings_in_force();
        if self.limits_revision.replace(revision) != revision {
            let limits = Limits::new(&settings, &self.data_centre);
            self.feed(node, Event::LimitsChanged(limits));
        }
    }

    /// A command was applied to the record: the scheduler hears of new and cancelled jobs.
    pub fn applied(&self, node: &Node, command: &[u8], answer: &[u8]) {
        if self.duties.borrow().is_none() {
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
                    self.feed(node, Event::JobRecorded(recorded));
                }
            }
            (JobsCommand::Job(_), JobsAnswer::Job(Outcome::Cancelled { jobs })) => {
                self.feed(node, Event::JobsCancelled { jobs });
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

/// Serves one term of leadership: first catches up, then ticks until the term is over.
async fn serve_term(node: Rc<Node>, jobs: Rc<JobsGroup>, term: u64) {
    while jobs.leads(term) {
        if jobs.group.read(READ_MS).await.is_ok() {
            break;
        }
        sleep_ms(TICK_MS).await;
    }
    if !jobs.leads(term) {
        return;
    }
    jobs.take_up(&node, term);
    while jobs.leads(term) && !node.stop.is_cancelled() {
        jobs.tick(&node);
        sleep_ms(TICK_MS).await;
    }
}
