//! Jobs that stand still though there is room for them.

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

/// Times that the room must hold what is to begin.
const TIMES: u64 = 2;
/// Share of a pool's accelerators from which it is too busy to judge, in percent.
const BUSY_PERCENT: u64 = 50;

/// A step whose turn has come, of a job of which nothing runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Standing {
    pub step: StepId,
    /// Tasks that must begin together: a gang's members, or one.
    pub together: u64,
    /// Places for such tasks.
    pub places: u64,
    /// Whether the step is slower there than in a rack of its own: no rack that suits it has all these places.
    pub slower: bool,
}

/// Steps whose turn has come, of jobs of which nothing runs on `workers`, with room for them twice over in a pool of which less than half is in use.
/// At most one step of each job. Pools, rules and what is done are taken from the record, what runs where from the workers themselves.
pub fn standing(workload: &Workload, workers: &[LiveWorker]) -> Vec<Standing> {
    let running: BTreeSet<JobId> = workers
        .iter()
        .flat_map(|worker| &worker.runs)
        .map(|run| run.task.step.job)
        .collect();
    let free: Vec<Resources> = workers
        .iter()
        .map(|worker| free(workload, worker))
        .collect();
    let mut is_idle: BTreeMap<Arc<str>, bool> = BTreeMap::new();
    let mut found = Vec::new();
    for (id, job) in workload.active_jobs() {
        if running.contains(&id) {
            continue;
        }
        let pool = &workload.queue_of(job).pool;
        let is_idle = *is_idle
            .entry(pool.clone())
            .or_insert_with(|| pool_is_idle(pool, workers, &free));
        if is_idle {
            found.extend(standing_step(workload, (id, job), workers, &free));
        }
    }
    found
}

fn standing_step(
    workload: &Workload,
    (id, job): (JobId, &Job),
    workers: &[LiveWorker],
    free: &[Resources],
) -> Option<Standing> {
    let pool = &workload.queue_of(job).pool;
    let most = workload.max_attempts(job);
    let specs = job.spec.steps.iter().zip(0..);
    let mut standing = specs.filter_map(|(spec, position)| {
        let step = StepId {
            job: id,
            occurrence: 0,
            step: position,
        };
        let progress = job.step(step)?;
        if progress.is_done() || !job.is_unblocked(step) || has_used_up(progress, spec, most) {
            return None;
        }
        let together = if spec.gang { u64::from(spec.count) } else { 1 };
        let mut racks: BTreeMap<&Arc<str>, u64> = BTreeMap::new();
        let suited = workers.iter().zip(free).filter(|(worker, _)| {
            let info = &worker.info;
            let label = spec.required_label.as_ref();
            info.pool == *pool
                && !workload.is_evacuated(info)
                && label.is_none_or(|label| info.labels.contains(label))
        });
        for (worker, free) in suited {
            *racks.entry(&worker.info.rack).or_default() +=
                spec.reserved().count_in(free, spec.most_on_worker());
        }
        let wants_rack = spec.near_rack.is_some() || spec.gang && spec.rack_local;
        let places = racks.values().sum();
        let in_one_rack = racks.iter().any(|(rack, places)| {
            let suits = spec.near_rack.as_ref().is_none_or(|near| near == *rack);
            suits && *places >= TIMES * together
        });
        (places >= TIMES * together).then_some(Standing {
            step,
            together,
            places,
            slower: wants_rack && !in_one_rack,
        })
    });
    standing.next()
}

/// Whether no task of a step may begin any more.
fn has_used_up(progress: &Step, spec: &StepSpec, most: u32) -> bool {
    if spec.gang {
        return progress.failures >= most;
    }
    let left = |task: &&Task| task.state != TaskState::Done;
    let mut tasks = progress.tasks.iter().filter(left);
    tasks.all(|task| task.failures >= most)
}

fn free(workload: &Workload, worker: &LiveWorker) -> Resources {
    let mut free = worker.info.capacity;
    let needs = |run: &RunId| workload.step_spec(run.task.step).map(StepSpec::reserved);
    for needs in worker.runs.iter().filter_map(needs) {
        free.subtract(&needs);
    }
    free
}

fn pool_is_idle(pool: &Arc<str>, workers: &[LiveWorker], free: &[Resources]) -> bool {
    let own = workers.iter().zip(free);
    let own = own.filter(|(worker, _)| worker.info.pool == *pool);
    let (all, free) = own.fold((0, 0), |(all, open), (worker, free)| {
        (
            all + worker.info.capacity.accelerators,
            open + free.accelerators,
        )
    });
    (all - free) * 100 < all * BUSY_PERCENT
}
