//! Finds jobs that are stalled, that is, have nothing running, although there is capacity for them.

use super::live_worker::LiveWorker;
use bh_workload::job::JobId;
use bh_workload::job::Resources;
use bh_workload::job::RunId;
use bh_workload::job::StepId;
use bh_workload::job::StepSpec;
use bh_workload::state::Job;
use bh_workload::state::Step;
use bh_workload::state::Task;
use bh_workload::state::TaskState;
use bh_workload::state::Workload;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Number of free slots from which a step counts as stalled, as a multiple of the tasks that must start together. A slot is capacity for one
/// task of the step.
const TIMES_SLOTS: u64 = 2;
/// Share of a pool's accelerators in use from which its jobs don't count as stalled, in percent.
const BUSY_PERCENT: u64 = 50;

/// A runnable step of a job of which nothing runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StalledStep {
    pub step: StepId,
    /// Number of tasks that must start together: all members of a gang, otherwise one.
    pub together: u64,
    /// Number of free slots for such tasks.
    pub slots: u64,
    /// Whether the step would run slower on these slots: it prefers one rack, and no eligible rack has enough slots.
    pub slower: bool,
}

/// Looks at jobs of which no task runs on `workers` and whose pool is less than half in use. Returns the first runnable step of each such job for
/// which there is capacity twice over. Pools, rules and progress come from the record, which is the replicated state, the running tasks from
/// the workers themselves.
pub fn stalled_steps(workload: &Workload, workers: &[LiveWorker]) -> Vec<StalledStep> {
    let running: BTreeSet<JobId> = workers
        .iter()
        .flat_map(|worker| &worker.runs)
        .map(|run| run.task.step.job)
        .collect();
    let free: Vec<Resources> = workers
        .iter()
        .map(|worker| free_resources(workload, worker))
        .collect();
    let mut idle_pools: BTreeMap<Arc<str>, bool> = BTreeMap::new();
    let mut found = Vec::new();
    for (id, job) in workload.active_jobs() {
        if running.contains(&id) {
            continue;
        }
        let pool = &workload.queue_of(job).pool;
        let is_idle = *idle_pools
            .entry(pool.clone())
            .or_insert_with(|| pool_is_idle(pool, workers, &free));
        if is_idle {
            found.extend(stalled_step(workload, (id, job), workers, &free));
        }
    }
    found
}

fn stalled_step(
    workload: &Workload,
    (id, job): (JobId, &Job),
    workers: &[LiveWorker],
    free: &[Resources],
) -> Option<StalledStep> {
    let pool = &workload.queue_of(job).pool;
    let max_attempts = workload.max_attempts(job);
    let specs = job.spec.steps.iter().zip(0..);
    let mut stalled = specs.filter_map(|(spec, position)| {
        let step = StepId {
            job: id,
            // Only the first repetition of a scheduled job is looked at.
            occurrence: 0,
            step: position,
        };
        let progress = job.step(step)?;
        if progress.is_done()
            || !job.is_unblocked(step)
            || has_used_up_attempts(progress, spec, max_attempts)
        {
            return None;
        }
        let together = if spec.gang { u64::from(spec.count) } else { 1 };
        let mut racks: BTreeMap<&Arc<str>, u64> = BTreeMap::new();
        let eligible = workers.iter().zip(free).filter(|(worker, _)| {
            let info = &worker.info;
            let label = spec.required_label.as_ref();
            info.pool == *pool
                && !workload.is_evacuated(info)
                && label.is_none_or(|label| info.labels.contains(label))
        });
        for (worker, free) in eligible {
            *racks.entry(&worker.info.rack).or_default() +=
                spec.reserved().count_in(free, spec.most_on_worker());
        }
        let prefers_one_rack = spec.near_rack.is_some() || spec.gang && spec.rack_local;
        let slots = racks.values().sum();
        let in_one_rack = racks.iter().any(|(rack, slots)| {
            let suits = spec.near_rack.as_ref().is_none_or(|near| near == *rack);
            suits && *slots >= TIMES_SLOTS * together
        });
        (slots >= TIMES_SLOTS * together).then_some(StalledStep {
            step,
            together,
            slots,
            slower: prefers_one_rack && !in_one_rack,
        })
    });
    stalled.next()
}

/// Returns whether no task of a step has an attempt left.
fn has_used_up_attempts(progress: &Step, spec: &StepSpec, max_attempts: u32) -> bool {
    if spec.gang {
        return progress.failures >= max_attempts;
    }
    let unfinished = |task: &&Task| task.state != TaskState::Done;
    let mut tasks = progress.tasks.iter().filter(unfinished);
    tasks.all(|task| task.failures >= max_attempts)
}

/// Returns the resources of a worker that its runs don't take.
fn free_resources(workload: &Workload, worker: &LiveWorker) -> Resources {
    let mut free = worker.info.capacity;
    let needs = |run: &RunId| workload.step_spec(run.task.step).map(StepSpec::reserved);
    for needs in worker.runs.iter().filter_map(needs) {
        free.subtract(&needs);
    }
    free
}

/// Returns whether less than `BUSY_PERCENT` of the pool's accelerators are in use.
fn pool_is_idle(pool: &Arc<str>, workers: &[LiveWorker], free: &[Resources]) -> bool {
    let with_free = workers.iter().zip(free);
    let own = with_free.filter(|(worker, _)| worker.info.pool == *pool);
    let (all, free) = own.fold((0, 0), |(all, total_free), (worker, free)| {
        (
            all + worker.info.capacity.accelerators,
            total_free + free.accelerators,
        )
    });
    (all - free) * 100 < all * BUSY_PERCENT
}
