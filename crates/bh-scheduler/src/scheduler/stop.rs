//! Stops whole gangs after a preemption, a cancellation, a failure or the loss of a worker.

use super::Scheduler;
use crate::action::Action;
use crate::job::AfterStop;
use crate::job::State;
use bh_protocol::job::Phase;
use std::collections::BTreeSet;
use std::sync::Arc;

impl Scheduler {
    /// Stops a job's attempt on all its workers and then continues with `after`. With `checkpoint`, the tasks first get the
    /// time that the settings allow for a checkpoint.
    pub(super) fn stop(&mut self, now_ms: u64, number: u64, after: AfterStop, checkpoint: bool) {
        let checkpoint_until_ms =
            checkpoint.then(|| now_ms + self.limits.policy.checkpoint_wait_ms);
        let retry_ms = now_ms + self.lease_ms;
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        match &mut job.state {
            State::Queued | State::RecordingRequeue => return,
            State::Reclaiming { .. } => {
                // No order was sent to any worker for this attempt.
                job.after_stop = Some(after);
                self.stopped(number);
                return;
            }
            State::Stopping {
                checkpoint_until_ms: until,
                ..
            } => {
                if checkpoint {
                    return;
                }
                // Only an end replaces the earlier `after_stop`. A retry must not replace the requeue of a recorded start.
                if matches!(after, AfterStop::End { .. }) {
                    job.after_stop = Some(after);
                }
                if until.is_some() {
                    *until = Some(now_ms);
                }
                return;
            }
            State::Preparing | State::RecordingStart | State::Running { .. } => {}
        }
        let pending: BTreeSet<Arc<str>> = job
            .held()
            .keys()
            .map(|id| self.inventory.worker(*id).name.clone())
            .collect();
        // A start that is being recorded may still be accepted, so it needs a requeue in the table as well.
        let start_may_be_recorded =
            matches!(job.state, State::RecordingStart | State::Running { .. });
        job.after_stop = Some(match after {
            AfterStop::Retry { .. } if start_may_be_recorded => AfterStop::Requeue {
                reason: job.reason.clone(),
            },
            other => other,
        });
        job.state = State::Stopping {
            pending: pending.clone(),
            since_ms: now_ms,
            checkpoint_until_ms,
            retry_ms,
        };
        let epoch = job.epoch;
        let action = if checkpoint {
            Action::Checkpoint {
                job: number,
                epoch,
                workers: pending,
            }
        } else {
            Action::Stop {
                job: number,
                epoch,
                workers: pending,
            }
        };
        self.actions.push(action);
    }

    /// Handles the confirmation that a worker no longer holds any task of this attempt.
    pub(super) fn worker_stopped(&mut self, number: u64, epoch: u64, worker: &Arc<str>) {
        if self.jobs.get(&number).is_some_and(|job| job.epoch == epoch) {
            self.remove_pending_worker(number, worker);
        }
    }

    pub(super) fn remove_pending_worker(&mut self, number: u64, worker: &Arc<str>) {
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        let State::Stopping { pending, .. } = &mut job.state else {
            return;
        };
        pending.remove(worker);
        if pending.is_empty() {
            self.stopped(number);
        }
    }

    /// Frees the accelerators and continues with `after_stop`, once every task of the attempt has stopped.
    fn stopped(&mut self, number: u64) {
        self.release(number);
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        let epoch = job.epoch;
        match job.after_stop.take() {
            Some(AfterStop::End { phase, reason }) => {
                self.jobs.remove(&number);
                if phase != Phase::Cancelled {
                    self.actions.push(Action::RecordEnd {
                        job: number,
                        epoch,
                        phase,
                        reason,
                    });
                }
            }
            Some(AfterStop::Requeue { reason }) => {
                job.state = State::RecordingRequeue;
                job.reason = reason.clone();
                self.actions.push(Action::RecordRequeue {
                    job: number,
                    epoch,
                    reason,
                });
            }
            Some(AfterStop::Retry { not_before_ms }) => {
                job.state = State::Queued;
                job.not_before_ms = not_before_ms;
                self.enqueue(number);
            }
            None => {
                job.state = State::Queued;
                self.enqueue(number);
            }
        }
        self.victim_stopped(number);
    }

    pub(super) fn requeued(&mut self, number: u64, epoch: u64) {
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        if job.epoch == epoch && job.state == State::RecordingRequeue {
            job.state = State::Queued;
            self.enqueue(number);
        }
    }

    /// Cancels jobs together: their accelerators are given out in one pass, after the last job.
    pub(super) fn jobs_cancelled(&mut self, now_ms: u64, numbers: &[u64]) {
        for number in numbers {
            let Some(job) = self.jobs.get(number) else {
                continue;
            };
            let reason = "cancelled by the caller".to_owned();
            match job.state {
                State::Queued => {
                    self.dequeue(*number);
                    self.jobs.remove(number);
                }
                State::RecordingRequeue => {
                    self.jobs.remove(number);
                }
                _ => self.stop(
                    now_ms,
                    *number,
                    AfterStop::End {
                        phase: Phase::Cancelled,
                        reason,
                    },
                    false,
                ),
            }
        }
        self.dirty = true;
    }

    /// Ends checkpoint waits that have expired and repeats unconfirmed stop orders.
    pub(super) fn tick_stopping(&mut self, now_ms: u64) {
        self.drop_lost_workers(now_ms);
        let lease_ms = self.lease_ms;
        let mut orders = Vec::new();
        for (number, job) in &mut self.jobs {
            let State::Stopping {
                pending,
                checkpoint_until_ms,
                retry_ms,
                ..
            } = &mut job.state
            else {
                continue;
            };
            let checkpoint_over = checkpoint_until_ms.is_some_and(|until| now_ms >= until);
            let unconfirmed = checkpoint_until_ms.is_none() && now_ms >= *retry_ms;
            if checkpoint_over || unconfirmed {
                *checkpoint_until_ms = None;
                *retry_ms = now_ms + lease_ms;
                orders.push(Action::Stop {
                    job: *number,
                    epoch: job.epoch,
                    workers: pending.clone(),
                });
            }
        }
        self.actions.extend(orders);
    }

    /// Stops waiting for workers that are lost or never announced themselves to this leader. They confirm nothing, and their
    /// tasks have ended because their leases expired.
    fn drop_lost_workers(&mut self, now_ms: u64) {
        if now_ms < self.announcements_due_ms {
            return;
        }
        let mut lost_workers = Vec::new();
        for (number, job) in &self.jobs {
            if let State::Stopping { pending, .. } = &job.state {
                let is_lost = |name: &&Arc<str>| {
                    self.inventory
                        .find(name)
                        .is_none_or(|id| !self.inventory.worker(id).alive)
                };
                lost_workers.extend(
                    pending
                        .iter()
                        .filter(is_lost)
                        .map(|name| (*number, name.clone())),
                );
            }
        }
        for (number, name) in lost_workers {
            self.remove_pending_worker(number, &name);
        }
    }
}
