//! State that only the leader keeps: targets and scheduler. It is kept in memory and rebuilt in each term.

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

/// Number of announcements that a target makes within its lease.
const RENEWALS_PER_LEASE: u64 = 3;

/// Lease of tasks on their workers, in milliseconds. It is shorter than the target's lease: a worker counts it from the
/// answer to its announcement, and must end its tasks before the leader gives their accelerators to others.
pub fn task_lease_ms(target_lease_ms: u64) -> u64 {
    target_lease_ms - target_lease_ms / 5
}

/// The data centre and its group, as the leader's state reads them.
pub struct GroupContext<'a> {
    /// Data centre.
    pub data_centre: &'a Arc<str>,
    /// The data centre's replication group.
    pub group: &'a Group,
}

/// State that only the leader keeps.
pub struct LeaderState {
    /// The targets and their owners.
    pub registry: Registry,
    /// Task leases of lost workers, which tell when their tasks have ended.
    pub task_leases: TaskLeases,
    /// The scheduler, with the placements of the jobs.
    pub scheduler: Scheduler,
    target_lease_ms: u64,
}

impl LeaderState {
    /// The state of the leader of `term`, elected at `now_ms`.
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

    /// Answers a call; also returns the actions that the scheduler asks for because of it.
    ///
    /// # Errors
    ///
    /// The reason the call is refused.
    pub fn answer(
        &mut self,
        node: &Node,
        context: &GroupContext,
        call: LeaderCall,
    ) -> Result<(LeaderAnswer, Vec<Action>), Failure> {
        let now_ms = node.clock.now_ms();
        let answer = match call {
            LeaderCall::Announce(announcement) => {
                return Ok(self.announce(node, context, announcement));
            }
            LeaderCall::Renew(claims) => LeaderAnswer::Renewed(self.registry.renew(now_ms, claims)),
            LeaderCall::Targets => LeaderAnswer::Targets(self.registry.views(now_ms)),
            LeaderCall::Jobs { customer, job } => {
                LeaderAnswer::Jobs(self.jobs(node, context, &customer, job))
            }
            LeaderCall::CanFit(shape) => {
                LeaderAnswer::CanFit(self.scheduler.can_ever_fit(&shape, now_ms))
            }
            LeaderCall::Fragmentation => LeaderAnswer::Fragmentation(self.fragmentation(context)),
        };
        Ok((answer, Vec::new()))
    }

    fn announce(
        &mut self,
        node: &Node,
        context: &GroupContext,
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
            entries: entry_addresses(node, context.data_centre),
            ..AnnounceReply::default()
        };
        for report in &reports {
            self.answer_task_report(context, report, &mut reply);
        }
        (LeaderAnswer::Announced(reply), actions)
    }

    /// Tells the worker whether a task it reported continues, stops, or need no longer be reported.
    fn answer_task_report(
        &self,
        context: &GroupContext,
        report: &TaskReport,
        reply: &mut AnnounceReply,
    ) {
        let key = TaskKey {
            job: report.job,
            epoch: report.epoch,
            task: report.task,
        };
        let holds_accelerators = matches!(report.phase, TaskPhase::Prepared | TaskPhase::Running);
        if holds_accelerators {
            if self.scheduler.should_renew_lease(&key) {
                reply.renewed.push(key);
            } else {
                reply.stop.push(key);
            }
            return;
        }
        // A worker may forget an ended task only once its end is recorded. Otherwise, if the leader died after receiving the
        // report and before recording it, no worker would know of the finished job, and it would run again.
        let end_is_recorded = context
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
        if end_is_recorded {
            reply.acknowledged.push(key);
        }
    }

    fn jobs(
        &self,
        node: &Node,
        context: &GroupContext,
        customer: &str,
        one: Option<u64>,
    ) -> Vec<Status> {
        let statuses = context.group.machine.read().jobs().map(|machine| {
            machine
                .table
                .iter()
                .filter(|(number, record)| {
                    *record.spec.customer == *customer && one.is_none_or(|one| one == *number)
                })
                .map(|(number, record)| self.status(node, context, number, record))
                .collect()
        });
        statuses.unwrap_or_default()
    }

    fn status(
        &self,
        node: &Node,
        context: &GroupContext,
        number: u64,
        record: &JobRecord,
    ) -> Status {
        let scheduled = self.scheduler.reason_of(number);
        let reason = if record.phase.is_final() || scheduled.is_empty() {
            &*record.reason
        } else {
            scheduled
        };
        Status {
            job: number,
            data_centre: context.data_centre.clone(),
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

    fn fragmentation(&self, context: &GroupContext) -> FragmentationReport {
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
            data_centre: context.data_centre.clone(),
            accelerators: live().map(|worker| worker.capacity).sum(),
            free: live().map(|worker| worker.free()).sum(),
            guaranteed: guarantees.cells().len(),
            uncovered: guarantees.uncovered(),
            shapes: rows.collect(),
        }
    }
}

fn entry_addresses(node: &Node, data_centre: &str) -> Vec<std::sync::Arc<str>> {
    // The leader comes first: an announcement made to it needs no call between entries.
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
