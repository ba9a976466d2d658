//! Executes the scheduler's actions: orders to workers and records in the group's log.

use super::jobs_group::JobsGroup;
use super::leader_state::task_lease_ms;
use super::orders;
use super::orders::OrderTemplate;
use super::orders::Recipient;
use crate::jobs_machine::JobsAnswer;
use crate::jobs_machine::JobsCommand;
use crate::node::Node;
use bh_net::runtime::sleep_ms;
use bh_protocol::job::Phase;
use bh_protocol::job::Placement;
use bh_protocol::target::TaskVerb;
use bh_scheduler::Action;
use bh_scheduler::Command;
use bh_scheduler::Event;
use bh_scheduler::Outcome;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;

/// Longest wait until a proposed command is recorded, in milliseconds; it is proposed again while this entry leads.
const RECORD_TIMEOUT_MS: u64 = 2_000;
/// Time between attempts to record, in milliseconds.
const RETRY_INTERVAL_MS: u64 = 50;

impl JobsGroup {
    /// Starts every action in a task of its own.
    pub(super) fn execute_actions(&self, node: &Node, actions: Vec<Action>) {
        if actions.is_empty() {
            return;
        }
        let Some((node, jobs)) = node.node_and_group(&self.data_centre) else {
            return;
        };
        for action in actions {
            monoio::spawn(execute_action(node.clone(), jobs.clone(), action));
        }
    }

    fn address_of(&self, worker: &str) -> Option<Arc<str>> {
        self.with_leader_state(|leader_state| leader_state.registry.address_of(worker))
            .flatten()
    }

    /// Notes contact with the workers of the placement: an order gives their tasks a new lease when it arrives.
    fn record_order_contact(&self, node: &Node, placement: &Placement) {
        let now_ms = node.clock.now_ms();
        self.with_leader_state_mut(|leader_state| {
            for worker in placement.per_worker().keys() {
                leader_state.task_leases.note_contact(now_ms, worker);
            }
        });
    }

    fn record_phase(&self, job: u64) -> Option<(Phase, u64)> {
        self.group.machine.read().jobs().and_then(|machine| {
            machine
                .table
                .get(job)
                .map(|record| (record.phase, record.epoch))
        })
    }
}

async fn execute_action(node: Rc<Node>, jobs: Rc<JobsGroup>, action: Action) {
    match action {
        Action::Prepare {
            job,
            epoch,
            placement,
        } => {
            let refused = send_order(&node, &jobs, TaskVerb::Prepare, job, epoch, &placement).await;
            jobs.handle_event(
                &node,
                Event::Prepared {
                    job,
                    epoch,
                    refused,
                },
            );
        }
        Action::RecordStart {
            job,
            epoch,
            placement,
        } => record_start(node, jobs, job, epoch, placement).await,
        Action::Start {
            job,
            epoch,
            placement,
        } => {
            log::info!(job = job, epoch = epoch, data_centre = &*jobs.data_centre; "gang starts");
            let refused = send_order(&node, &jobs, TaskVerb::Start, job, epoch, &placement).await;
            jobs.handle_event(
                &node,
                Event::StartSent {
                    job,
                    epoch,
                    refused,
                },
            );
        }
        Action::Checkpoint {
            job,
            epoch,
            workers,
        } => {
            log::info!(job = job, epoch = epoch; "gang checkpoints");
            stop_tasks(&node, &jobs, TaskVerb::Checkpoint, job, epoch, workers).await;
        }
        Action::Stop {
            job,
            epoch,
            workers,
        } => {
            log::info!(job = job, epoch = epoch; "gang stops");
            for (worker, confirmed) in
                stop_tasks(&node, &jobs, TaskVerb::Stop, job, epoch, workers).await
            {
                jobs.handle_event(
                    &node,
                    Event::StopSent {
                        job,
                        epoch,
                        worker,
                        confirmed,
                    },
                );
            }
        }
        Action::RecordRequeue { job, epoch, reason } => {
            log::info!(job = job, epoch = epoch, reason = &*reason; "job requeued");
            record(&node, &jobs, Command::Requeue { job, epoch, reason }).await;
            jobs.handle_event(&node, Event::Requeued { job, epoch });
        }
        Action::RecordEnd {
            job,
            epoch,
            phase,
            reason,
        } => {
            log::info!(job = job, epoch = epoch, phase = format!("{phase:?}"), reason = &*reason; "job ended");
            record(
                &node,
                &jobs,
                Command::End {
                    job,
                    epoch,
                    phase,
                    reason,
                },
            )
            .await;
        }
    }
}

/// Sends an order to every worker of the placement; returns the workers that refused it or did not answer.
async fn send_order(
    node: &Rc<Node>,
    jobs: &Rc<JobsGroup>,
    verb: TaskVerb,
    job: u64,
    epoch: u64,
    placement: &Placement,
) -> BTreeSet<Arc<str>> {
    let Some(template) = order_template(node, jobs, verb, job, epoch) else {
        return placement.per_worker().into_keys().collect();
    };
    let workers = placement
        .tasks_by_worker()
        .into_iter()
        .map(|(worker, tasks)| {
            (
                worker.clone(),
                Recipient {
                    address: jobs.address_of(&worker),
                    tasks,
                },
            )
        })
        .collect();
    jobs.record_order_contact(node, placement);
    let results = orders::send_all(node, &template, workers).await;
    jobs.record_order_contact(node, placement);
    results
        .into_iter()
        .filter(|(_, accepted)| !accepted)
        .map(|(worker, _)| worker)
        .collect()
}

async fn stop_tasks(
    node: &Rc<Node>,
    jobs: &Rc<JobsGroup>,
    verb: TaskVerb,
    job: u64,
    epoch: u64,
    workers: BTreeSet<Arc<str>>,
) -> BTreeMap<Arc<str>, bool> {
    let template = OrderTemplate {
        verb,
        job,
        epoch,
        accelerators_per_task: 0,
        lease_ms: task_lease_ms(node.config.target_lease_ms),
        payload: String::new(),
    };
    let workers = workers
        .into_iter()
        .map(|worker| {
            (
                worker.clone(),
                Recipient {
                    address: jobs.address_of(&worker),
                    tasks: Vec::new(),
                },
            )
        })
        .collect();
    orders::send_all(node, &template, workers).await
}

fn order_template(
    node: &Rc<Node>,
    jobs: &Rc<JobsGroup>,
    verb: TaskVerb,
    job: u64,
    epoch: u64,
) -> Option<OrderTemplate> {
    let lease_ms = task_lease_ms(node.config.target_lease_ms);
    jobs.group.machine.read().jobs().map(|machine| {
        machine.table.get(job).map(|record| OrderTemplate {
            verb,
            job,
            epoch,
            accelerators_per_task: record.spec.shape.accelerators_per_task,
            lease_ms,
            payload: record.spec.payload.clone(),
        })
    })?
}

/// Records the decision to start. If the record refuses it, an earlier proposal whose answer was lost may already have been
/// applied. The job's recorded phase tells, so that the gang is never started without a recorded start, and never stays
/// prepared with one.
async fn record_start(
    node: Rc<Node>,
    jobs: Rc<JobsGroup>,
    job: u64,
    epoch: u64,
    placement: Placement,
) {
    let outcome = record(
        &node,
        &jobs,
        Command::Start {
            job,
            epoch,
            placement,
        },
    )
    .await;
    let accepted = match outcome {
        Some(Outcome::Recorded) => true,
        Some(_) => jobs.record_phase(job) == Some((Phase::Started, epoch)),
        // This entry no longer leads: the next leader decides.
        None => return,
    };
    jobs.handle_event(
        &node,
        Event::StartRecorded {
            job,
            epoch,
            accepted,
        },
    );
}

/// Proposes a command until it is recorded; returns `None` when this entry no longer leads or stops.
async fn record(node: &Rc<Node>, jobs: &Rc<JobsGroup>, command: Command) -> Option<Outcome> {
    let bytes = serde_json::to_vec(&JobsCommand::Job(command)).ok()?;
    while jobs.is_serving_leader() {
        if let Ok(answer) = jobs.group.propose(bytes.clone(), RECORD_TIMEOUT_MS).await
            && let Ok(JobsAnswer::Job(outcome)) = serde_json::from_slice(&answer)
        {
            return Some(outcome);
        }
        if node.stop.is_cancelled() {
            return None;
        }
        sleep_ms(RETRY_INTERVAL_MS).await;
    }
    None
}
