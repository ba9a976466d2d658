//! The leader's own state: targets and scheduler, kept in memory and learnt anew in each term.

use super::call::LeaderAnswer;
use super::call::LeaderCall;
use crate::group::Group;
use crate::node::Node;
use bh_membership::Registry;
use bh_membership::TaskLeases;
use bh_protocol::Failure;
use bh_protocol::job::Phase;
use bh_protocol::job::Status;
use bh_protocol::target::AnnounceReply;
use bh_protocol::target::Announcement;
use bh_protocol::target::TaskKey;
use bh_protocol::target::TaskPhase;
use bh_protocol::target::TaskReport;
use bh_report::FragmentationReport;
use bh_report::ShapeFragmentation;
use bh_scheduler::Action;
use bh_scheduler::Event;
use bh_scheduler::Fragmentation;
use bh_scheduler::JobRecord;
use bh_scheduler::Limits;
use bh_scheduler::Scheduler;
use std::sync::Arc;

/// Announcements within a target's lease.
const RENEWALS_PER_LEASE: u64 = 3;

/// Lease of tasks on their workers, in milliseconds: shorter than the target's own, so that a worker that counts it from
/// the answer to its announcement still ends its tasks before the leader gives their places away.
pub fn task_lease_ms(target_lease_ms: u64) -> u64 {
    target_lease_ms - target_lease_ms / 5
}

/// The data centre and its record, as the duties read them.
pub struct GroupPlace<'a> {
    /// Data centre.
    pub data_centre: &'a Arc<str>,
    /// Its replication.
    pub group: &'a Group,
}

/// What only the leader keeps.
pub struct Duties {
    /// The targets and their owners.
    pub registry: Registry,
    /// When the tasks of lost workers have ended.
    pub task_leases: TaskLeases,
    /// The jobs' placements.
    pub scheduler: Scheduler,
    target_lease_ms: u64,
}

impl Duties {
    /// The duties of the leader of `term`, elected at `now_ms`.
    pub fn new(term: u64, limits: Limits, target_lease_ms: u64, now_ms: u64) -> Self {
        let mut scheduler = Scheduler::new(term, Limits::default(), target_lease_ms, now_ms);
        scheduler.step(now_ms, Event::LimitsChanged(limits));
        Self {
            registry: Registry::new(
                term,
                now_ms,
                target_lease_ms,
                target_lease_ms,
                target_lease_ms / 2,
            ),
            task_leases: TaskLeases::new(task_lease_ms(target_lease_ms)),
            scheduler,
            target_lease_ms,
        }
    }

    /// Answers a question to the leader, with what the scheduler asks for because of it.
    ///
    /// # Errors
    ///
    /// What the question is refused with.
    pub fn answer(
        &mut self,
        node: &Node,
        place: &GroupPlace,
        call: LeaderCall,
    ) -> Result<(LeaderAnswer, Vec<Action>), Failure> {
        let now_ms = node.clock.now_ms();
        let answer = match call {
            LeaderCall::Announce(announcement) => {
                return Ok(self.announce(node, place, announcement));
            }
            LeaderCall::Renew(claims) => LeaderAnswer::Renewed(self.registry.renew(now_ms, claims)),
            LeaderCall::Targets => LeaderAnswer::Targets(self.registry.views(now_ms)),
            LeaderCall::Jobs { customer, job } => {
                LeaderAnswer::Jobs(self.jobs(node, place, &customer, job))
            }
            LeaderCall::CanFit(shape) => {
                LeaderAnswer::CanFit(self.scheduler.can_ever_fit(&shape, now_ms))
            }
            LeaderCall::Fragmentation => LeaderAnswer::Fragmentation(self.fragmentation(place)),
        };
        Ok((answer, Vec::new()))
    }

    fn announce(
        &mut self,
        node: &Node,
        place: &GroupPlace,
        announcement: Announcement,
    ) -> (LeaderAnswer, Vec<Action>) {
        let now_ms = node.clock.now_ms();
        let event = Event::WorkerAnnounced {
            name: announcement.name.clone(),
            incarnation: announcement.incarnation,
            rack: announcement.rack.clone(),
            accelerators: announcement.accelerators,
            leaving: announcement.leaving,
            tasks: announcement.tasks.clone(),
        };
        let reports = announcement.tasks.clone();
        self.task_leases.worker_returned(&announcement.name);
        self.task_leases.note_contact(now_ms, &announcement.name);
        self.registry.announce(now_ms, announcement);
        let actions = self.scheduler.step(now_ms, event);
        let mut reply = AnnounceReply {
            lease_ms: task_lease_ms(self.target_lease_ms),
            renew_ms: self.target_lease_ms / RENEWALS_PER_LEASE,
            entries: entry_addresses(node, place.data_centre),
            ..AnnounceReply::default()
        };
        for report in &reports {
            self.sort_report(place, report, &mut reply);
        }
        (LeaderAnswer::Announced(reply), actions)
    }

    /// Says of a reported task whether it goes on, stops, or need not be reported any more.
    fn sort_report(&self, place: &GroupPlace, report: &TaskReport, reply: &mut AnnounceReply) {
        let key = TaskKey {
            job: report.job,
            epoch: report.epoch,
            task: report.task,
        };
        let holds = matches!(report.phase, TaskPhase::Prepared | TaskPhase::Running);
        if holds {
            if self.scheduler.should_renew_lease(&key) {
                reply.renewed.push(key);
            } else {
                reply.stop.push(key);
            }
            return;
        }
        // An ended task is forgotten by its worker only once the record says what it came to: a leader that died
        // between hearing of it and recording it would otherwise leave a finished job that no worker knows of, and
        // it would run again.
        let settled = place
            .group
            .machine
            .read()
            .jobs()
            .map(|machine| {
                machine.table.get(report.job).is_none_or(|record| {
                    record.phase.is_final()
                        || record.epoch != report.epoch
                        || record.phase == Phase::Queued
                })
            })
            .unwrap_or(false);
        if settled {
            reply.acknowledged.push(key);
        }
    }

    fn jobs(
        &self,
        node: &Node,
        place: &GroupPlace,
        customer: &str,
        one: Option<u64>,
    ) -> Vec<Status> {
        let statuses = place.group.machine.read().jobs().map(|machine| {
            machine
                .table
                .iter()
                .filter(|(number, record)| {
                    *record.spec.customer == *customer && one.is_none_or(|one| one == *number)
                })
                .map(|(number, record)| self.status(node, place, number, record))
                .collect()
        });
        statuses.unwrap_or_default()
    }

    fn status(&self, node: &Node, place: &GroupPlace, number: u64, record: &JobRecord) -> Status {
        let scheduled = self.scheduler.reason_of(number);
        let reason = if record.phase.is_final() || scheduled.is_empty() {
            &*record.reason
        } else {
            scheduled
        };
        Status {
            job: number,
            data_centre: place.data_centre.clone(),
            customer: record.spec.customer.clone(),
            shape: record.spec.shape_name.clone(),
            phase: record.phase,
            running: self.scheduler.is_running(number),
            attempt: record.attempts,
            placement: if record.phase.is_final() {
                record.placement.clone()
            } else {
                self.scheduler.placement_of(number)
            },
            reason: reason.to_owned(),
            age_ms: node
                .clock
                .wall_ms()
                .saturating_sub(record.submitted_wall_ms),
        }
    }

    fn fragmentation(&self, place: &GroupPlace) -> FragmentationReport {
        let inventory = self.scheduler.inventory();
        let live = || inventory.workers().iter().filter(|worker| worker.alive);
        let guarantees = self.scheduler.guarantees();
        let mut shapes = self.scheduler.queued_shapes();
        shapes.extend(guarantees.cells().iter().map(|cell| cell.shape));
        let rows = shapes.into_iter().map(|shape| {
            let fragmentation = Fragmentation::new(inventory, &shape);
            ShapeFragmentation {
                shape,
                usable: fragmentation.usable,
                fragmentation: fragmentation.value(),
            }
        });
        FragmentationReport {
            data_centre: place.data_centre.clone(),
            accelerators: live().map(|worker| worker.capacity).sum(),
            free: live().map(|worker| worker.free()).sum(),
            guaranteed: guarantees.cells().len(),
            uncovered: guarantees.uncovered(),
            shapes: rows.collect(),
        }
    }
}

fn entry_addresses(node: &Node, data_centre: &str) -> Vec<std::sync::Arc<str>> {
    // The leader itself comes first: a worker that announces itself here costs no call between entries.
    let others = node
        .config
        .entries
        .values()
        .filter(|vm| vm.name != node.config.own.name);
    std::iter::once(&node.config.own)
        .chain(others)
        .filter(|vm| &*vm.data_centre == data_centre)
        .map(|vm| std::sync::Arc::from(vm.http_address.to_string()))
        .collect()
}
