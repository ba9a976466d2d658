//! Carries out what the scheduler asks for.

use super::duties::task_lease_ms;
use super::jobs_group::JobsGroup;
use super::orders;
use super::orders::Recipient;
use super::orders::Template;
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

/// Longest wait for one record, in milliseconds; it is proposed again while this entry leads.
const RECORD_MS: u64 = 2_000;
/// Time between attempts to record, in milliseconds.
const RETRY_MS: u64 = 50;

impl JobsGroup {
    /// Starts every action in a task of its own.
    pub(super) fn carry_out_all(&self, node: &Node, actions: Vec<Action>) {
        if actions.is_empty() {
            return;
        }
        let Some((node, jobs)) = node.rc_of(&self.data_centre) else {
            return;
        };
        for action in actions {
            monoio::spawn(carry_out(node.clone(), jobs.clone(), action));
        }
    }

    fn address_of(&self, worker: &str) -> Option<Arc<str>> {
        self.duties_ref(|duties| duties.registry.address_of(worker))
            .flatten()
    }

    /// An order gives tasks a new lease, from its arrival at the latest.
    fn note_orders(&self, node: &Node, placement: &Placement) {
        let now_ms = node.clock.now_ms();
        self.duties_mut(|duties| {
            for worker in placement.per_worker().keys() {
                duties.task_leases.note_contact(now_ms, worker);
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

async fn carry_out(node: Rc<Node>, jobs: Rc<JobsGroup>, action: Action) {
    match action {
        Action::Prepare {
            job,
            epoch,
            placement,
        } => {
            let refused = order(&node, &jobs, TaskVerb::Prepare, job, epoch, &placement).await;
            jobs.feed(
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
            let refused = order(&node, &jobs, TaskVerb::Start, job, epoch, &placement).await;
            jobs.feed(
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
            stop(&node, &jobs, TaskVerb::Checkpoint, job, epoch, workers).await;
        }
        Action::Stop {
            job,
            epoch,
            workers,
        } => {
            log::info!(job = job, epoch = epoch; "gang stops");
            for (worker, confirmed) in stop(&node, &jobs, TaskVerb::Stop, job, epoch, workers).await
            {
                jobs.feed(
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
            log::info!(job = job, epoch = epoch, reason = &*reason; "job waits again");
            record(&node, &jobs, Command::Requeue { job, epoch, reason }).await;
            jobs.feed(&node, Event::Requeued { job, epoch });
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

/// Sends an order to every worker of the placement; returns those that refused or did not answer.
async fn order(
    node: &Rc<Node>,
    jobs: &Rc<JobsGroup>,
    verb: TaskVerb,
    job: u64,
    epoch: u64,
    placement: &Placement,
) -> BTreeSet<Arc<str>> {
    let Some(template) = template(node, jobs, verb, job, epoch) else {
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
    jobs.note_orders(node, placement);
    let results = orders::send_all(node, &template, workers).await;
    jobs.note_orders(node, placement);
    results
        .into_iter()
        .filter(|(_, accepted)| !accepted)
        .map(|(worker, _)| worker)
        .collect()
}

async fn stop(
    node: &Rc<Node>,
    jobs: &Rc<JobsGroup>,
    verb: TaskVerb,
    job: u64,
    epoch: u64,
    workers: BTreeSet<Arc<str>>,
) -> BTreeMap<Arc<str>, bool> {
    let template = Template {
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

fn template(
    node: &Rc<Node>,
    jobs: &Rc<JobsGroup>,
    verb: TaskVerb,
    job: u64,
    epoch: u64,
) -> Option<Template> {
    let lease_ms = task_lease_ms(node.config.target_lease_ms);
    jobs.group.machine.read().jobs().map(|machine| {
        machine.table.get(job).map(|record| Template {
            verb,
            job,
            epoch,
            accelerators_per_task: record.spec.shape.accelerators_per_task,
            lease_ms,
            payload: record.spec.payload.clone(),
        })
    })?
}

/// Records the decision to start. Whether a proposal without an answer was taken is read back from the record, so that
/// the gang is neither started without a decision nor left prepared with one.
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
        // This entry does not lead any more: its successor decides.
        None => return,
    };
    jobs.feed(
        &node,
        Event::StartRecorded {
            job,
            epoch,
            accepted,
        },
    );
}

/// Records a change, again and again while this entry leads; `None` when it does not any more.
async fn record(node: &Rc<Node>, jobs: &Rc<JobsGroup>, command: Command) -> Option<Outcome> {
    let bytes = serde_json::to_vec(&JobsCommand::Job(command)).ok()?;
    while jobs.is_on_duty() {
        if let Ok(answer) = jobs.group.propose(bytes.clone(), RECORD_MS).await
            && let Ok(JobsAnswer::Job(outcome)) = serde_json::from_slice(&answer)
        {
            return Some(outcome);
        }
        if node.stop.is_cancelled() {
            return None;
        }
        sleep_ms(RETRY_MS).await;
    }
    None
}
