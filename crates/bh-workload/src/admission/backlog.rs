//! Snapshot of the waiting work that submissions are judged by.

use super::PoolBacklog;
use crate::job::JobId;
use crate::plan::Planner;
use crate::plan::WaitingStep;
use crate::plan::WaitingWork;
use crate::plan::guaranteed_jobs;
use crate::plan::peak_accelerators;
use crate::plan::priority_density;
use crate::rules::Queue;
use crate::state::Job;
use crate::state::JobState;
use crate::state::Workload;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Snapshot of the waiting work that submissions are judged by.
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    /// The waiting work that it was made from.
    pub waiting: WaitingWork,
    pools: BTreeMap<Arc<str>, PoolBacklog>,
    /// Number of jobs of which no task has started, and of those of which one has, by queue.
    jobs: BTreeMap<Arc<str>, (u64, u64)>,
    /// Number of jobs of which no task has started, by customer.
    waiting_by_customer: BTreeMap<Arc<str>, u64>,
    /// Accepted jobs that guarantees cover, with the accelerators that each of them takes, by customer. Jobs without accelerators are left
    /// out, so that a guarantee of n accelerators covers at most n of these.
    covered_jobs: BTreeMap<Arc<str>, Vec<(JobId, u64)>>,
}

impl Backlog {
    /// Takes a snapshot at `wall_ms`.
    pub fn new(wall_ms: u64, workload: &Workload, planner: &Planner) -> Self {
        let waiting = planner.waiting_work(wall_ms, workload);
        let mut backlog = Self {
            pools: pools(workload, &waiting),
            covered_jobs: covered_jobs(workload),
            waiting,
            ..Self::default()
        };
        for (_, job) in workload.active_jobs() {
            let counts = backlog.jobs.entry(job.queue.name.clone()).or_default();
            if job.state() != JobState::Queued {
                counts.1 += 1;
                continue;
            }
            counts.0 += 1;
            if let Some(customer) = &job.customer {
                let count = backlog.waiting_by_customer.entry(customer.clone());
                *count.or_default() += 1;
            }
        }
        backlog
    }

    /// Returns the expected wait of work with this value density in the pool `pool`, in milliseconds.
    pub fn expected_wait_ms(&self, pool: &str, value_density: f64) -> u64 {
        let pool = self.pools.get(pool);
        pool.map_or(0, |pool| pool.expected_wait_ms(value_density))
    }

    /// Returns the expected wait of a new job of mean size in `queue`, in milliseconds.
    pub fn queue_wait_ms(&self, queue: &Queue) -> u64 {
        self.expected_wait_ms(&queue.pool, priority_density(queue.priority))
    }

    /// Returns the number of jobs of a queue that wait, and of those that run.
    pub fn jobs_of_queue(&self, queue: &str) -> (u64, u64) {
        self.jobs.get(queue).copied().unwrap_or_default()
    }

    /// Returns the number of waiting jobs of a customer.
    pub fn waiting_jobs(&self, customer: &str) -> u64 {
        let count = self.waiting_by_customer.get(customer);
        count.copied().unwrap_or(0)
    }

    /// Returns whether the guarantee of the job's customer would cover `job` in a queue of `priority`. Jobs that have ended since the snapshot
    /// do not take any of the guarantee.
    pub fn is_covered(&self, priority: u32, job: &Job, workload: &Workload) -> bool {
        let (Some(customer), Some(rules)) = (&job.customer, &workload.rules) else {
            return false;
        };
        if priority != 0 {
            return false;
        }
        let covered = self.covered_jobs.get(customer);
        let is_active = |id: JobId| workload.job(id).is_some_and(|job| job.outcome.is_none());
        let taken: u64 = covered
            .into_iter()
            .flatten()
            .filter(|(id, _)| is_active(*id))
            .map(|(_, accelerators)| accelerators)
            .sum();
        let free = rules.guaranteed(customer).saturating_sub(taken);
        peak_accelerators(job) <= free
    }
}

/// Returns the backlogs of all pools. The capacity of standby pools does not count as known: their VMs are started when there is work.
fn pools(workload: &Workload, waiting: &WaitingWork) -> BTreeMap<Arc<str>, PoolBacklog> {
    let rules = workload.rules.as_deref();
    let is_standby = |name: &str| {
        let mut pools = rules.into_iter().flat_map(|rules| &rules.pools);
        pools.any(|pool| &*pool.name == name && pool.standby)
    };
    // The accelerators of all workers of a pool, and those of its largest worker.
    let mut accelerators: BTreeMap<&Arc<str>, (u64, u64)> = BTreeMap::new();
    for worker in workload.workers() {
        if !worker.draining && !workload.is_evacuated(&worker.info) {
            let own = worker.info.capacity.accelerators;
            let (sum, largest) = accelerators.entry(&worker.info.pool).or_default();
            *sum = sum.saturating_add(own);
            *largest = own.max(*largest);
        }
    }
    accelerators
        .into_iter()
        .map(|(name, (sum, largest))| {
            // A step that the pool is too small for delays no other.
            let fits = |step: &WaitingStep| {
                step.task_accelerators <= largest && step.at_once_accelerators <= sum
            };
            let own = waiting.steps.iter();
            let own = own.filter(|step| step.pool == *name && fits(step));
            let known = if is_standby(name) { 0 } else { sum };
            (name.clone(), PoolBacklog::new(known, own))
        })
        .collect()
}

/// Returns the accepted jobs that guarantees cover, with the accelerators that each of them takes, by customer.
fn covered_jobs(workload: &Workload) -> BTreeMap<Arc<str>, Vec<(JobId, u64)>> {
    let mut covered: BTreeMap<Arc<str>, Vec<(JobId, u64)>> = BTreeMap::new();
    for id in guaranteed_jobs(workload) {
        let job = workload.job(id);
        let Some((job, customer)) = job.and_then(|job| Some((job, job.customer.as_ref()?))) else {
            continue;
        };
        let accelerators = peak_accelerators(job);
        if accelerators > 0 {
            let jobs = covered.entry(customer.clone()).or_default();
            jobs.push((id, accelerators));
        }
    }
    covered
}
