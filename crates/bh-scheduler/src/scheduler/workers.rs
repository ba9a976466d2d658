//! Announcements, task reports and losses of workers.

use super::Scheduler;
use crate::action::Action;
use crate::job::AfterStop;
use crate::job::State;
use bh_protocol::job::Placement;
use bh_protocol::job::TaskPlace;
use bh_protocol::target::TaskPhase;
use bh_protocol::target::TaskReport;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Number of worker restarts soon after a job's start at which the job fails. Two restarts may be a coincidence. A job that
/// crashes the workers that start it would otherwise take down one worker after the other, with everything that runs there.
const CRASH_LIMIT: u32 = 3;
/// Time after a job's start within which a restart of its worker counts against the job. A job that crashes its worker does so at
/// once, and the worker is back some seconds later.
const CRASH_WINDOW_MS: u64 = 30_000;

impl Scheduler {
    pub(super) fn worker_announced(
        &mut self,
        now_ms: u64,
        name: &Arc<str>,
        incarnation: u64,
        rack: &Arc<str>,
        accelerators: u32,
        leaving: bool,
    ) {
        let known = self
            .inventory
            .find(name)
            .map(|id| self.inventory.worker(id).clone());
        let restarted = known.as_ref().is_some_and(|worker| {
            worker.alive && worker.incarnation != incarnation && worker.incarnation != 0
        });
        if restarted {
            // The worker's process restarted before its lease expired, so all its earlier tasks are gone.
            self.count_crash(now_ms, name);
            self.worker_lost(now_ms, name);
        }
        let (_, changed) = self
            .inventory
            .announce(name, incarnation, rack, accelerators, leaving);
        if changed {
            self.guarantees.rebind(&mut self.inventory);
            self.dirty = true;
        }
    }

    /// Counts a worker's restart against the jobs that had just started on it, and fails the jobs with too many such restarts.
    fn count_crash(&mut self, now_ms: u64, name: &Arc<str>) {
        let jobs = self
            .inventory
            .find(name)
            .and_then(|id| self.on_worker.get(&id))
            .cloned()
            .unwrap_or_default();
        for number in jobs {
            let Some(job) = self.jobs.get_mut(&number) else {
                continue;
            };
            let just_started = now_ms < job.started_ms + CRASH_WINDOW_MS;
            if !just_started || !matches!(job.state, State::Running { .. }) {
                continue;
            }
            job.crashes += 1;
            if job.crashes >= CRASH_LIMIT {
                let reason = format!("{} workers crashed under it, last {name}", job.crashes);
                let phase = bh_protocol::job::Phase::Failed;
                self.stop(now_ms, number, AfterStop::End { phase, reason }, false);
            }
        }
    }

    pub(super) fn worker_lost(&mut self, now_ms: u64, name: &Arc<str>) {
        let Some(id) = self.inventory.find(name) else {
            return;
        };
        self.inventory.mark_lost(id);
        let jobs: Vec<u64> = self
            .on_worker
            .get(&id)
            .map(|jobs| jobs.iter().copied().collect())
            .unwrap_or_default();
        for job in jobs {
            self.stop(
                now_ms,
                job,
                AfterStop::Requeue {
                    reason: format!("worker {name} was lost"),
                },
                false,
            );
            self.remove_pending_worker(job, name);
        }
        self.guarantees.rebind(&mut self.inventory);
        self.dirty = true;
    }

    /// Applies a worker's reports on its tasks.
    pub(super) fn task_reports(&mut self, now_ms: u64, name: &Arc<str>, reports: &[TaskReport]) {
        let mut by_job: BTreeMap<u64, Vec<&TaskReport>> = BTreeMap::new();
        for report in reports {
            by_job.entry(report.job).or_default().push(report);
        }
        for (job, reports) in &by_job {
            self.job_reports(now_ms, name, *job, reports);
        }
        self.missing_tasks(now_ms, name, &by_job);
    }

    fn job_reports(&mut self, now_ms: u64, name: &Arc<str>, number: u64, reports: &[&TaskReport]) {
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        let epoch = job.epoch;
        let current: Vec<&&TaskReport> = reports
            .iter()
            .filter(|report| report.epoch == epoch)
            .collect();
        if current.is_empty() {
            return;
        }
        if matches!(job.state, State::Running { .. }) {
            self.resend_start(number, name, &current);
        }
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        if let State::Running { running, done, .. } = &mut job.state {
            for report in &current {
                match report.phase {
                    TaskPhase::Running => {
                        running.insert(report.task);
                    }
                    TaskPhase::Done => {
                        running.remove(&report.task);
                        done.insert(report.task);
                    }
                    TaskPhase::Prepared | TaskPhase::Failed | TaskPhase::Stopped => {}
                }
            }
            self.check_finished(now_ms, number);
        }
        let ended = |phase: TaskPhase| current.iter().any(|report| report.phase == phase);
        if ended(TaskPhase::Failed) {
            self.task_failed(now_ms, number, name);
        } else if ended(TaskPhase::Stopped) {
            self.stop(
                now_ms,
                number,
                AfterStop::Requeue {
                    reason: format!("worker {name} stopped its tasks"),
                },
                false,
            );
        }
        let holds = current
            .iter()
            .any(|report| matches!(report.phase, TaskPhase::Prepared | TaskPhase::Running));
        if !holds {
            self.worker_stopped(number, epoch, name);
        }
    }

    /// Repeats the start order for tasks that are still only prepared although their start is recorded, because the leader
    /// died before the order arrived or the order was lost.
    fn resend_start(&mut self, number: u64, name: &Arc<str>, reports: &[&&TaskReport]) {
        let held = reports
            .iter()
            .filter(|report| report.phase == TaskPhase::Prepared);
        let tasks: Vec<TaskPlace> = held
            .map(|report| TaskPlace {
                task: report.task,
                worker: name.clone(),
            })
            .collect();
        if let Some(epoch) = self
            .jobs
            .get(&number)
            .map(|job| job.epoch)
            .filter(|_| !tasks.is_empty())
        {
            self.actions.push(Action::Start {
                job: number,
                epoch,
                placement: Placement { tasks },
            });
        }
    }

    /// Handles jobs that should run on this worker but that it doesn't report: it has lost their tasks.
    fn missing_tasks(
        &mut self,
        now_ms: u64,
        name: &Arc<str>,
        reported: &BTreeMap<u64, Vec<&TaskReport>>,
    ) {
        let Some(id) = self.inventory.find(name) else {
            return;
        };
        let jobs: BTreeSet<u64> = self.on_worker.get(&id).cloned().unwrap_or_default();
        for number in jobs {
            let Some(job) = self.jobs.get(&number) else {
                continue;
            };
            let listed = reported
                .get(&number)
                .is_some_and(|reports| reports.iter().any(|report| report.epoch == job.epoch));
            if listed {
                continue;
            }
            match &job.state {
                // The worker may have written this announcement before it held the tasks, because an entry that forwards announcements sends them
                // again after its link broke. So only the answer to the stop order counts until a lease has passed, after which the tasks have ended
                // because nobody renewed their lease.
                State::Stopping { since_ms, .. } if now_ms >= since_ms + self.lease_ms => {
                    let epoch = job.epoch;
                    self.worker_stopped(number, epoch, name);
                }
                State::Running {
                    running,
                    report_by_ms,
                    ..
                } => {
                    let own = |task: &u32| job.places.get(*task as usize) == Some(&id);
                    let was_running = running.iter().any(own);
                    if was_running || now_ms >= *report_by_ms {
                        let unfinished = !self.all_done_on(number, id);
                        if unfinished {
                            self.stop(
                                now_ms,
                                number,
                                AfterStop::Requeue {
                                    reason: format!("worker {name} no longer has its tasks"),
                                },
                                false,
                            );
                        }
                    }
                }
                _ => {}
            }
        }
    }

    fn all_done_on(&self, number: u64, id: u32) -> bool {
        let Some(job) = self.jobs.get(&number) else {
            return false;
        };
        let State::Running { done, .. } = &job.state else {
            return false;
        };
        job.places
            .iter()
            .enumerate()
            .all(|(task, place)| *place != id || done.contains(&(task as u32)))
    }

    /// Stops the whole gang after one of its tasks failed. Whether the failure counts against the job or the worker depends
    /// on where else the job fails and what else fails on the worker.
    fn task_failed(&mut self, now_ms: u64, number: u64, name: &Arc<str>) {
        let Some(id) = self.inventory.find(name) else {
            return;
        };
        let stopping = self.jobs.get(&number).is_some_and(|job| {
            matches!(job.state, State::Stopping { .. } | State::RecordingRequeue)
        });
        if stopping {
            return;
        }
        let suspect = self.inventory.worker(id).health.is_suspect();
        self.inventory.health_mut(id).record_failure(now_ms, number);
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        if !suspect {
            job.failed_on.insert(id);
        }
        job.failures += 1;
        let failed_on = job.failed_on.len();
        let limit = usize::try_from(self.limits.policy.max_attempts).unwrap_or(usize::MAX);
        // With fewer workers than allowed attempts, repeated failures on the same workers count as well.
        let job_fails =
            failed_on >= limit || job.failures >= self.limits.policy.max_attempts.saturating_mul(3);
        if job_fails {
            let failed_workers: Vec<u32> = job.failed_on.iter().copied().collect();
            for id in failed_workers {
                self.inventory.health_mut(id).clear_failure(number);
            }
            let reason = format!("failed on {failed_on} workers, last on {name}");
            self.stop(
                now_ms,
                number,
                AfterStop::End {
                    phase: bh_protocol::job::Phase::Failed,
                    reason,
                },
                false,
            );
        } else {
            self.stop(
                now_ms,
                number,
                AfterStop::Requeue {
                    reason: format!("failed on worker {name}"),
                },
                false,
            );
        }
    }
}
