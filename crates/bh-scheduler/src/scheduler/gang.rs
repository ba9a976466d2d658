//! Starts gangs: prepares all workers, records the decision to start, then starts all tasks.
//!
//! `number` is the number of a job. The epoch numbers the attempts to start jobs; an answer that names another epoch than the job's current one
//! belongs to an earlier attempt and is ignored. `refused` has the workers that refused an order or did not answer it. `AfterStop::Retry` returns a
//! job to the queue without a record of the attempt, `AfterStop::Requeue` also records that the attempt has ended. The last argument of `stop` tells
//! whether the tasks get time for a checkpoint. `Job::places` has the index of a worker for each task.

use super::Scheduler;
use crate::action::Action;
use crate::job::AfterStop;
use crate::job::State;
use bh_protocol::job::Phase;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Backoff after a start that could not be recorded. After a worker's refusal it is doubled once for each failure of the job so far, the refusal
/// included.
const FIRST_BACKOFF_MS: u64 = 100;
/// Upper limit of the backoff.
const MAX_BACKOFF_MS: u64 = 10_000;

impl Scheduler {
    /// Asks the workers of a placed job to reserve its accelerators. No task starts before all workers have done so.
    pub(super) fn prepare(&mut self, number: u64) {
        let epoch = self.next_epoch;
        self.next_epoch += 1;
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        job.epoch = epoch;
        job.state = State::Preparing;
        job.reason = "being prepared".to_owned();
        let placement = self.placement(&self.jobs[&number]);
        self.actions.push(Action::Prepare {
            job: number,
            epoch,
            placement,
        });
    }

    /// Handles the workers' answers to the prepare orders: records the start, or retries later if a worker refused.
    pub(super) fn prepared(
        &mut self,
        now_ms: u64,
        number: u64,
        epoch: u64,
        refused: &BTreeSet<Arc<str>>,
    ) {
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        if job.epoch != epoch || job.state != State::Preparing {
            return;
        }
        if let Some(worker) = refused.first() {
            job.failures += 1;
            let not_before_ms = now_ms + backoff_ms(job.failures);
            let reason = format!("worker {worker} refused or did not answer");
            job.reason = reason;
            self.record_refusals(now_ms, number, refused);
            self.stop(now_ms, number, AfterStop::Retry { not_before_ms }, false);
            return;
        }
        job.state = State::RecordingStart;
        let placement = self.placement(&self.jobs[&number]);
        self.actions.push(Action::RecordStart {
            job: number,
            epoch,
            placement,
        });
    }

    fn record_refusals(&mut self, now_ms: u64, number: u64, refused: &BTreeSet<Arc<str>>) {
        for name in refused {
            if let Some(id) = self.inventory.find(name) {
                self.inventory.health_mut(id).record_failure(now_ms, number);
            }
        }
    }

    /// Starts the tasks once the decision is recorded. `accepted` is false if it could not be recorded; the job is then retried later.
    pub(super) fn start_recorded(&mut self, now_ms: u64, number: u64, epoch: u64, accepted: bool) {
        let lease_ms = self.lease_ms;
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        if job.epoch != epoch || job.state != State::RecordingStart {
            return;
        }
        if !accepted {
            self.stop(
                now_ms,
                number,
                AfterStop::Retry {
                    not_before_ms: now_ms + FIRST_BACKOFF_MS,
                },
                false,
            );
            return;
        }
        job.started_ms = now_ms;
        job.reason = "starting".to_owned();
        job.state = State::Running {
            running: BTreeSet::new(),
            done: BTreeSet::new(),
            report_by_ms: now_ms + 2 * lease_ms,
        };
        let placement = self.placement(&self.jobs[&number]);
        self.actions.push(Action::Start {
            job: number,
            epoch,
            placement,
        });
    }

    /// Handles the workers' answers to the start orders, once all have been sent and have been answered or timed out.
    pub(super) fn start_sent(
        &mut self,
        now_ms: u64,
        number: u64,
        epoch: u64,
        refused: &BTreeSet<Arc<str>>,
    ) {
        let Some(job) = self.jobs.get(&number).filter(|job| job.epoch == epoch) else {
            return;
        };
        let is_running = matches!(job.state, State::Running { .. });
        let Some(worker) = refused.first().filter(|_| is_running) else {
            return;
        };
        // Some tasks may run already. The whole gang is stopped, so that it never runs in part.
        let reason = format!("worker {worker} did not start its tasks");
        self.record_refusals(now_ms, number, refused);
        self.stop(now_ms, number, AfterStop::Requeue { reason }, false);
    }

    /// Ends the job if all its tasks are done.
    pub(super) fn check_finished(&mut self, now_ms: u64, number: u64) {
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        let State::Running { running, done, .. } = &job.state else {
            return;
        };
        if running.len() + done.len() == job.places.len() {
            job.reason.clear();
        }
        if done.len() < job.places.len() {
            return;
        }
        let epoch = job.epoch;
        let run_time_ms = now_ms.saturating_sub(job.started_ms);
        // The expected run time of later jobs of the same shape follows from those that have ended.
        self.runtimes.add(&job.spec.shape_name, run_time_ms);
        let places: BTreeSet<u32> = job.places.iter().copied().collect();
        for id in places {
            self.inventory.health_mut(id).record_success();
        }
        self.release(number);
        self.jobs.remove(&number);
        self.actions.push(Action::RecordEnd {
            job: number,
            epoch,
            phase: Phase::Done,
            reason: String::new(),
        });
    }

    /// Stops the gangs of which some task was not reported in time.
    pub(super) fn tick_running(&mut self, now_ms: u64) {
        let late: Vec<u64> = self
            .jobs
            .iter()
            .filter(|(_, job)| match &job.state {
                State::Running {
                    running,
                    done,
                    report_by_ms,
                } => now_ms >= *report_by_ms && running.len() + done.len() < job.places.len(),
                _ => false,
            })
            .map(|(number, _)| *number)
            .collect();
        for number in late {
            let reason = "not every task reported itself in time".to_owned();
            self.stop(now_ms, number, AfterStop::Requeue { reason }, false);
        }
    }
}

fn backoff_ms(failures: u32) -> u64 {
    (FIRST_BACKOFF_MS << failures.min(16)).min(MAX_BACKOFF_MS)
}
