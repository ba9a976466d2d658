//! The replicated record: rules, jobs, workers and runs.

use super::Command;
use super::EarlyCancels;
use super::EvacuationChanges;
use super::Job;
use super::JobState;
use super::OpenRuns;
use super::PastStarts;
use super::Place;
use super::RecordEvents;
use super::Refusal;
use super::UsageLedger;
use super::Wave;
use super::Worker;
use super::WorkerIndex;
use super::WorkerInfo;
use crate::job::JobId;
use crate::job::RunId;
use crate::job::StepId;
use crate::job::StepSpec;
use crate::rules::Customer;
use crate::rules::Queue;
use crate::rules::Rules;
use bh_group::Codec;
use bh_group::decode;
use bh_group::encode;
use bh_protocol::Failure;
use bh_protocol::Incarnation;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

/// How far the record's time may be behind when a command without a time of its own is recorded, in milliseconds.
const MAX_TIME_LAG_MS: u64 = 500;

/// The replicated record. Every replica applies the same commands in the same order and so holds the same record.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Workload {
    /// The rules in force; `None` before the first.
    pub rules: Option<Arc<Rules>>,
    pub(super) jobs: BTreeMap<JobId, Job>,
    pub(super) workers: BTreeMap<Incarnation, Worker>,
    /// Start counts of removed workers, by worker id.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub(super) past_starts: BTreeMap<Arc<str>, PastStarts>,
    /// Number of workers that were ever recorded.
    #[serde(default)]
    pub(super) arrivals: u64,
    /// The record's time: the latest time of a command, in milliseconds since 1970. It never goes back. Whatever a command ends, with or
    /// without a time of its own, ends at this time.
    #[serde(default)]
    pub latest_ms: u64,
    /// Upkeep waves by number.
    #[serde(default)]
    pub(super) waves: BTreeMap<u64, Wave>,
    /// Data centres under evacuation, and since when, in milliseconds since 1970.
    #[serde(default)]
    pub(super) evacuations: BTreeMap<Arc<str>, u64>,
    /// Numbers of the changes of evacuations.
    #[serde(default, skip_serializing_if = "EvacuationChanges::is_empty")]
    pub(super) evacuation_changes: EvacuationChanges,
    /// Cancels of jobs that were not recorded.
    #[serde(default, skip_serializing_if = "EarlyCancels::is_empty")]
    pub(super) early_cancels: EarlyCancels,
    /// Resources that each customer's runs take and took.
    #[serde(default, skip_serializing_if = "UsageLedger::is_empty")]
    pub(super) usage: UsageLedger,
    /// Jobs that have not ended. Not serialized: derived from `jobs`.
    #[serde(skip)]
    pub(super) active: BTreeSet<JobId>,
    /// Not serialized: derived from `workers`.
    #[serde(skip)]
    pub(super) open_runs: OpenRuns,
    /// Not serialized: derived from `workers`.
    #[serde(skip)]
    pub(super) worker_index: WorkerIndex,
    #[serde(skip)]
    pub(super) events: RecordEvents,
}

/// The queue of a call and its identified caller.
pub struct ResolvedCall<'a> {
    /// The queue.
    pub queue: &'a Arc<Queue>,
    /// Rest of the path after the prefix of the queue.
    pub rest: &'a str,
    /// The caller, if the call has a known key.
    pub customer: Option<&'a Arc<Customer>>,
}

impl ResolvedCall<'_> {
    /// Whether the caller may read and cancel a job: it is its customer's, or it is of this queue and either belongs to no customer or the
    /// queue is public. There the name of a job is all that its callers have.
    pub fn may_access(&self, job: &Job) -> bool {
        let customer = self.customer.map(|customer| &customer.name);
        if customer.is_some() && job.customer.as_ref() == customer {
            return true;
        }
        let is_open = job.customer.is_none() || self.queue.public;
        is_open && job.queue.is_same(self.queue)
    }
}

impl Workload {
    /// Applies encoded commands, takes snapshots and restores them.
    pub const CODEC: Codec<Workload> = Codec {
        apply: Workload::apply_encoded,
        snapshot: Workload::snapshot,
        restore: Workload::restore,
    };

    fn apply_encoded(&mut self, command: &[u8]) -> Result<Vec<u8>, Failure> {
        encode(&self.apply(decode(command)?))
    }

    fn snapshot(&self) -> Result<Vec<u8>, Failure> {
        encode(self)
    }

    fn restore(&mut self, bytes: &[u8]) -> Result<(), Failure> {
        *self = decode(bytes)?;
        self.active = self
            .jobs
            .iter()
            .filter(|(_, job)| job.outcome.is_none())
            .map(|(id, _)| *id)
            .collect();
        self.open_runs = OpenRuns::new(self.workers.values());
        self.worker_index = WorkerIndex::new(self.workers.values().map(|worker| &worker.info));
        self.rebuild_usage();
        self.events.mark_workers(self.workers.keys());
        Ok(())
    }

    /// The command to propose before `command` at `now_ms`, in milliseconds since 1970, if any. A command without a time of its own is
    /// applied at the record's time, which stands still while nothing with a time is recorded: it has to be advanced first.
    pub fn time_update(&self, command: &Command, now_ms: u64) -> Option<Command> {
        let is_outdated = now_ms > self.latest_ms + MAX_TIME_LAG_MS;
        (command.time_ms().is_none() && is_outdated).then(|| Command::time(now_ms))
    }

    /// Finds the queue of a call and checks the key of the caller. A public queue needs none, but one that is given must be known.
    ///
    /// # Errors
    ///
    /// [`Refusal::NoRules`], [`Refusal::NoQueue`], [`Refusal::NoKey`].
    pub fn find<'a>(&'a self, place: &'a Place) -> Result<ResolvedCall<'a>, Refusal> {
        let rules = self.rules.as_ref().ok_or(Refusal::NoRules)?;
        let (queue, rest) = rules
            .route(&place.host, &place.path)
            .ok_or(Refusal::NoQueue)?;
        let customer = place
            .key
            .as_ref()
            .and_then(|key| rules.customer_of_key(key));
        if customer.is_none() && (!queue.public || place.key.is_some()) {
            return Err(Refusal::NoKey);
        }
        Ok(ResolvedCall {
            queue,
            rest,
            customer,
        })
    }

    /// The job that a call names, if its caller may access it.
    ///
    /// # Errors
    ///
    /// [`Refusal::NoJob`], and those of [`Workload::find`].
    pub fn find_job(&self, place: &Place) -> Result<(JobId, &Job), Refusal> {
        let found = self.find(place)?;
        let id = JobId::parse(found.rest).ok_or(Refusal::NoJob)?;
        let job = self.jobs.get(&id).ok_or(Refusal::NoJob)?;
        // A customer must not learn of the jobs of another customer, not even that they exist.
        if !found.may_access(job) {
            return Err(Refusal::NoJob);
        }
        Ok((id, job))
    }

    /// Whether the record holds the job of a submission, so that it is acknowledged without effect.
    pub fn is_submitted(&self, place: &Place) -> bool {
        self.find_job(place).is_ok()
    }

    /// When the caller of a submission cancelled its job, in milliseconds since 1970, if it did so before the job was recorded. The
    /// submission is refused then.
    pub fn cancelled_early_ms(&self, place: &Place) -> Option<u64> {
        let found = self.find(place).ok()?;
        let id = JobId::parse(found.rest)?;
        if self.jobs.contains_key(&id) {
            return None;
        }
        self.early_cancels.cancelled_ms(place, &found, id)
    }

    /// Number of stored cancels of jobs that were not recorded.
    pub fn early_cancel_count(&self) -> usize {
        self.early_cancels.len()
    }

    /// Number of cancels of jobs that are not recorded which are stored for each caller. Callers without a key share those of their queue.
    pub fn early_cancels_per_caller(&self) -> usize {
        let callers = self.rules.as_ref().map_or(0, |rules| {
            let public = rules.queues.iter().filter(|queue| queue.public);
            rules.customers.len() + public.count()
        });
        (EarlyCancels::MAX / callers.max(1)).max(1)
    }

    /// Whether a cancel of a job that was not recorded is older than `before_ms`, in milliseconds since 1970.
    pub fn has_early_cancel_before(&self, before_ms: u64) -> bool {
        self.early_cancels.has_older(before_ms)
    }

    /// Number of jobs of the queue `queue` of which no task has started.
    pub fn pending(&self, queue: &str) -> usize {
        self.active
            .iter()
            .filter_map(|id| self.jobs.get(id))
            .filter(|job| &*job.queue.name == queue && job.state() == JobState::Queued)
            .count()
    }

    /// The job with this id.
    pub fn job(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(&id)
    }

    /// The specification of a step.
    pub fn step_spec(&self, step: StepId) -> Option<&StepSpec> {
        self.jobs.get(&step.job)?.step_spec(step)
    }

    /// Jobs that have not ended, ordered by id.
    pub fn active_jobs(&self) -> impl Iterator<Item = (JobId, &Job)> {
        self.active
            .iter()
            .filter_map(|id| Some((*id, self.jobs.get(id)?)))
    }

    /// Jobs that ended before `before_ms`, in milliseconds since 1970, ordered by id.
    pub fn ended_before(&self, before_ms: u64) -> impl Iterator<Item = (JobId, &Job)> {
        let jobs = self.jobs.iter().map(|(id, job)| (*id, job));
        jobs.filter(move |(_, job)| job.ended_before(before_ms))
    }

    /// Whether `info` may add or change a worker: the rules contain its pool, or the worker is recorded in that pool already. Heartbeats
    /// may come from an unknown sender that names any pool, and must neither add a worker nor change one that is in use. Before the first
    /// rules are set, any pool is accepted.
    pub fn may_be_worker(&self, info: &WorkerInfo) -> bool {
        if let Some(worker) = self.worker(&info.id) {
            return worker.info.pool == info.pool;
        }
        self.rules.as_ref().is_none_or(|rules| {
            let mut pools = rules.pools.iter();
            pools.any(|pool| pool.name == info.pool)
        })
    }

    /// The worker incarnation with this id.
    pub fn worker(&self, id: &Incarnation) -> Option<&Worker> {
        self.workers.get(id)
    }

    /// All recorded incarnations of the worker that `id` belongs to.
    pub fn incarnations(&self, id: &Incarnation) -> impl Iterator<Item = &Worker> {
        self.workers.range(id.id_range()).map(|(_, worker)| worker)
    }

    /// Whether another incarnation of the same worker is recorded.
    pub fn has_other_incarnation(&self, id: &Incarnation) -> bool {
        self.incarnations(id).any(|other| other.info.id != *id)
    }

    /// Number of worker incarnations.
    pub fn worker_count(&self) -> usize {
        self.workers.len()
    }

    /// All worker incarnations.
    pub fn workers(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values()
    }

    /// The worker on which a run is recorded.
    pub fn holder(&self, run: RunId) -> Option<&Worker> {
        self.worker(self.open_runs.holder(run)?)
    }

    /// The recorded runs of a step, with their workers.
    pub fn runs_of(&self, step: StepId) -> impl Iterator<Item = (RunId, &Worker)> {
        let runs = self.open_runs.of_step(step);
        runs.filter_map(|(run, worker)| Some((run, self.worker(worker)?)))
    }

    /// The upkeep wave with this number.
    pub fn wave(&self, id: u64) -> Option<&Wave> {
        self.waves.get(&id)
    }

    /// All upkeep waves, by number.
    pub fn waves(&self) -> impl Iterator<Item = (u64, &Wave)> {
        self.waves.iter().map(|(id, wave)| (*id, wave))
    }

    /// Data centres under evacuation, by name, and since when, in milliseconds since 1970.
    pub fn evacuations(&self) -> impl Iterator<Item = (&Arc<str>, u64)> {
        self.evacuations
            .iter()
            .map(|(data_centre, since_ms)| (data_centre, *since_ms))
    }

    /// Number of the last start or end of an evacuation of a data centre; 0 if none is known.
    pub fn evacuation_change(&self, data_centre: &str) -> u64 {
        self.evacuation_changes.last(data_centre)
    }

    /// Whether the data centre of a worker is under evacuation, so that no run may start there.
    pub fn is_evacuated(&self, worker: &WorkerInfo) -> bool {
        self.evacuations.contains_key(&worker.data_centre)
    }

    /// Whether a data centre has recorded workers, or a recorded evacuation.
    pub fn knows_data_centre(&self, name: &str) -> bool {
        let mut workers = self.workers.values();
        self.evacuations.contains_key(name)
            || workers.any(|worker| *worker.info.data_centre == *name)
    }

    /// The workers that are recorded at an address.
    pub fn workers_at(&self, address: SocketAddr) -> impl Iterator<Item = &Worker> {
        let workers = self.worker_index.at(address);
        workers.filter_map(|id| self.worker(id))
    }

    /// The worker that runs on a VM, as far as known.
    pub fn worker_on(&self, vm: &str) -> Option<&Worker> {
        let workers = self.worker_index.on_vm(vm);
        workers
            .filter_map(|id| self.worker(id))
            .max_by_key(|worker| worker.arrival)
    }

    /// Whether the upkeep of the worker's VM is ordered, which ends the worker.
    pub fn is_in_upkeep(&self, worker: &Incarnation) -> bool {
        self.waves
            .values()
            .flat_map(Wave::ended_workers)
            .any(|ended| ended == worker)
    }

    /// Whether a recorded run should go on; see [`Job::should_run`].
    pub fn should_run(&self, run: RunId) -> bool {
        self.jobs
            .get(&run.task.step.job)
            .is_some_and(|job| job.should_run(run))
    }

    /// Number of failed attempts after which a job is given up.
    pub fn max_attempts(&self, job: &Job) -> u32 {
        self.queue_of(job).max_attempts.max(1)
    }

    /// Number of failures of a task or gang of a step after which its job is given up; `None` for a service, which restarts however often it
    /// fails.
    pub fn failure_limit(&self, job: &Job, spec: &StepSpec) -> Option<u32> {
        (!spec.long_running).then(|| self.max_attempts(job))
    }

    /// Whether the task or gang of `run` has failed as often as the current rules allow, so that it may not start.
    pub fn has_no_attempt_left(&self, run: RunId) -> bool {
        let step = run.task.step;
        let (Some(job), Some(spec), Some(task)) = (
            self.job(step.job),
            self.step_spec(step),
            self.task(run.task),
        ) else {
            return false;
        };
        let failures = if spec.gang {
            job.step(step).map_or(0, |step| step.failures)
        } else {
            task.failures
        };
        let limit = self.failure_limit(job, spec);
        limit.is_some_and(|limit| failures >= limit)
    }

    /// The queue of a job as it is now, or as it last was if it has been removed.
    pub fn queue_of<'a>(&'a self, job: &'a Job) -> &'a Arc<Queue> {
        self.rules
            .as_ref()
            .and_then(|rules| rules.queue(&job.queue.name))
            .unwrap_or(&job.queue)
    }

    /// Takes the changes since the last call.
    pub fn take_events(&mut self) -> RecordEvents {
        std::mem::take(&mut self.events)
    }
}
