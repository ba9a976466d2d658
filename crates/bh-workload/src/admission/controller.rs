//! The leader's decisions on admission.

use super::AdmissionPolicy;
use super::Backlog;
use super::LeaderLag;
use super::LoadReport;
use super::LoadShedder;
use super::QueueLoad;
use super::RefusalCounts;
use super::RefusalReason;
use super::RefusedSubmission;
use super::ShedLevel;
use super::admitted_jobs::AdmittedJobs;
use super::retry_after_ms;
use super::submission::Submission;
use crate::job::JobId;
use crate::job::JobSpec;
use crate::plan::Planner;
use crate::rules::Queue;
use crate::state::Job;
use crate::state::Place;
use crate::state::Workload;
use std::num::NonZeroU32;
use std::sync::Arc;

/// Minimum time between snapshots of the waiting work, in milliseconds: the longest time between two plans, so that a snapshot is about as
/// recent as what the planner knows.
const MIN_SNAPSHOT_GAP_MS: u64 = 200;
/// Minimum time between snapshots as a multiple of the duration of the last one, so that they take at most a fiftieth of the leader's
/// processor time.
const SNAPSHOT_GAP_FACTOR: u64 = 50;
/// The expected wait is divided by this before a submission counts as hopeless: expected run times are wrong by up to a factor of two.
const WAIT_DIVISOR: u64 = 2;

/// Decides for the leader which submissions are refused and what is shed.
///
/// Nothing of it is recorded: the next leader starts without a lag and with counts of zero.
#[derive(Clone, Debug)]
pub struct AdmissionController {
    policy: AdmissionPolicy,
    lag: LeaderLag,
    lag_ms: u64,
    shedder: LoadShedder,
    backlog: Backlog,
    next_snapshot_ms: u64,
    admitted: AdmittedJobs,
    refusals: RefusalCounts,
}

/// Returns the job that a submission at `place` names.
fn job_at(place: &Place, workload: &Workload) -> Option<JobId> {
    let found = workload.find(place).ok()?;
    JobId::parse(found.rest)
}

impl AdmissionController {
    /// Creates the controller of a leader whose loop runs at least every `loop_interval_ms`.
    pub fn new(policy: AdmissionPolicy, loop_interval_ms: u64) -> Self {
        Self {
            policy,
            lag: LeaderLag::new(loop_interval_ms),
            lag_ms: 0,
            shedder: LoadShedder::new(),
            backlog: Backlog::default(),
            next_snapshot_ms: 0,
            admitted: AdmittedJobs::new(),
            refusals: RefusalCounts::new(),
        }
    }

    /// Takes note that an iteration of the leader's loop begins at `now_ms`, while the oldest unanswered call arrived at `oldest_call_ms`.
    /// Returns the shedding level before if the level has changed.
    pub fn note_iteration(
        &mut self,
        now_ms: u64,
        oldest_call_ms: Option<u64>,
    ) -> Option<ShedLevel> {
        let late_ms = self.lag.note_iteration(now_ms);
        let lag_ms = self.lag.lag_ms(now_ms, oldest_call_ms);
        self.update_level(now_ms, late_ms.max(lag_ms))
    }

    /// Takes note that the handling of a call begins at `now_ms`. The arguments and the result are those of
    /// [`AdmissionController::note_iteration`].
    pub fn note_call(&mut self, now_ms: u64, oldest_call_ms: Option<u64>) -> Option<ShedLevel> {
        self.lag.note_activity(now_ms);
        let lag_ms = self.lag.lag_ms(now_ms, oldest_call_ms);
        self.update_level(now_ms, lag_ms)
    }

    fn update_level(&mut self, now_ms: u64, lag_ms: u64) -> Option<ShedLevel> {
        if !self.policy.sheds_load {
            return None;
        }
        self.lag_ms = lag_ms;
        self.shedder.observe(now_ms, lag_ms)
    }

    /// Returns the shedding level in force.
    pub fn level(&self) -> ShedLevel {
        self.shedder.level()
    }

    /// Returns the last measured lag, in milliseconds.
    pub fn lag_ms(&self) -> u64 {
        self.lag_ms
    }

    /// Returns whether the snapshot of the waiting work is outdated, so that [`AdmissionController::set_backlog`] is to be called before
    /// the next [`AdmissionController::check`].
    pub fn needs_backlog(&self, now_ms: u64) -> bool {
        self.policy.may_refuse() && now_ms >= self.next_snapshot_ms
    }

    /// Sets the snapshot of the waiting work, which was made at `now_ms` and took `took_ms`.
    pub fn set_backlog(
        &mut self,
        (now_ms, took_ms): (u64, u64),
        backlog: Backlog,
        workload: &Workload,
    ) {
        self.next_snapshot_ms = now_ms + (took_ms * SNAPSHOT_GAP_FACTOR).max(MIN_SNAPSHOT_GAP_MS);
        self.backlog = backlog;
        self.admitted.remove_recorded(workload);
    }

    /// Returns why the submission of `spec` at `place` is refused, or `None` if it is to be recorded.
    ///
    /// Not refused here are a job that is recorded or may still be, since its caller must not be told that it was not run, and a submission
    /// that is invalid, since its caller is told so when it is applied.
    pub fn check(
        &self,
        wall_ms: u64,
        (place, spec): (&Place, &JobSpec),
        workload: &Workload,
        planner: &Planner,
    ) -> Option<RefusedSubmission> {
        if !self.policy.may_refuse() || spec.problem().is_some() {
            return None;
        }
        let found = workload.find(place).ok()?;
        let id = JobId::parse(found.rest)?;
        if workload.job(id).is_some() || self.admitted.contains(id) {
            return None;
        }
        let submission = Submission {
            id,
            queue: found.queue,
            customer: found.customer.map(|customer| &customer.name),
            spec,
            wall_ms,
        };
        let reason = self.reason(&submission, workload, planner)?;
        let wait_ms = self.backlog.queue_wait_ms(submission.queue);
        Some(RefusedSubmission {
            customer: submission.customer.cloned(),
            queue: submission.queue.name.clone(),
            reason,
            retry_after_ms: retry_after_ms(wait_ms, &place.path),
        })
    }

    fn reason(
        &self,
        submission: &Submission,
        workload: &Workload,
        planner: &Planner,
    ) -> Option<RefusalReason> {
        let priority = submission.queue.priority;
        let queues = workload.rules.iter().flat_map(|rules| &rules.queues);
        let lowest_priority = queues.map(|queue| queue.priority).max().unwrap_or(0);
        if self.level().sheds_submission(priority, lowest_priority) {
            return Some(RefusalReason::LeaderBehind);
        }
        let AdmissionPolicy {
            max_waiting_jobs,
            refuses_hopeless,
            ..
        } = self.policy;
        if max_waiting_jobs.is_none() && !refuses_hopeless {
            return None;
        }
        // The progress of all occurrences of a repeated job may be large, and it is not needed to judge the job.
        let spec = JobSpec {
            schedule: None,
            ..submission.spec.clone()
        };
        let customer = submission.customer;
        let job = Job::new(
            spec,
            submission.queue.clone(),
            customer.cloned(),
            submission.wall_ms,
        );
        if self.backlog.is_covered(priority, &job, workload) {
            return None;
        }
        if self.exceeds_limit(customer) {
            return Some(RefusalReason::TooManyWaiting);
        }
        (refuses_hopeless && self.is_hopeless(submission, &job, planner))
            .then_some(RefusalReason::Hopeless)
    }

    /// Returns whether the customer has as many waiting jobs as it may have. Callers without a customer have no limit.
    fn exceeds_limit(&self, customer: Option<&Arc<str>>) -> bool {
        let (Some(limit), Some(customer)) = (self.policy.max_waiting_jobs, customer) else {
            return false;
        };
        let admitted = self.admitted.of_customer(customer);
        self.backlog.waiting_jobs(customer) + admitted >= u64::from(NonZeroU32::get(limit))
    }

    /// Returns whether a job certainly cannot end while it is worth anything. Repeated jobs and services are never hopeless: the first wait
    /// for their time, and the others do not end.
    fn is_hopeless(&self, submission: &Submission, job: &Job, planner: &Planner) -> bool {
        let spec = submission.spec;
        if spec.schedule.is_some() || spec.steps.iter().any(|step| step.long_running) {
            return false;
        }
        let queue = submission.queue;
        let forecast = planner.forecast((submission.id, job), queue, &self.backlog.waiting);
        let wait_ms = self
            .backlog
            .expected_wait_ms(&queue.pool, forecast.value_density);
        wait_ms / WAIT_DIVISOR + forecast.run_ms > forecast.worth_ms
    }

    /// Takes note that the submission at `place` is about to be recorded.
    pub fn note_admitted(&mut self, place: &Place, workload: &Workload) {
        if !self.policy.may_refuse() {
            return;
        }
        let Ok(found) = workload.find(place) else {
            return;
        };
        let id = JobId::parse(found.rest).filter(|id| workload.job(*id).is_none());
        if let Some(id) = id {
            let customer = found.customer.map(|customer| customer.name.clone());
            self.admitted.add(id, customer);
        }
    }

    /// Takes note that the submission at `place` was recorded.
    pub fn note_recorded(&mut self, place: &Place, workload: &Workload) {
        if let Some(id) = job_at(place, workload) {
            self.admitted.note_recorded(id);
        }
    }

    /// Takes note that the submission at `place` was certainly not recorded.
    pub fn note_not_recorded(&mut self, place: &Place, workload: &Workload) {
        if let Some(id) = job_at(place, workload) {
            self.admitted.note_not_recorded(id);
        }
    }

    /// Counts a refused submission.
    pub fn note_refused(&mut self, refused: &RefusedSubmission) {
        self.refusals.add(refused);
    }

    /// Returns when to retry a read of a queue's length, in milliseconds, if such reads are shed.
    pub fn shed_queue_read(&self, place: &Place, workload: &Workload) -> Option<u64> {
        let is_queue = || {
            workload
                .find(place)
                .is_ok_and(|found| found.rest.is_empty())
        };
        (self.level().sheds_queue_reads() && is_queue()).then(|| retry_after_ms(0, &place.path))
    }

    /// Returns the load at `wall_ms` as operators read it.
    pub fn report(&self, wall_ms: u64, workload: &Workload, planner: &Planner) -> LoadReport {
        let backlog = Backlog::new(wall_ms, workload, planner);
        let queues = workload.rules.iter().flat_map(|rules| &rules.queues);
        let queue_load = |queue: &Arc<Queue>| {
            let (waiting_jobs, running_jobs) = backlog.jobs_of_queue(&queue.name);
            QueueLoad {
                queue: queue.name.clone(),
                pool: queue.pool.clone(),
                priority: queue.priority,
                waiting_jobs,
                running_jobs,
                expected_wait_ms: backlog.queue_wait_ms(queue),
                refused: self.refusals.of_queue(&queue.name),
            }
        };
        LoadReport {
            level: self.level(),
            lag_ms: self.lag_ms,
            queues: queues.map(queue_load).collect(),
            refused_by_customer: self.refusals.by_customer().clone(),
        }
    }
}
