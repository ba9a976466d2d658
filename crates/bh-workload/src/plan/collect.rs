//! Collects the units that wait for placement, and sorts them by precedence.

use super::Runtimes;
use super::Unit;
use crate::job::JobId;
use crate::job::StepId;
use crate::job::StepSpec;
use crate::rules::Queue;
use crate::state::Job;
use crate::state::Step;
use crate::state::Task;
use crate::state::Workload;
use bh_protocol::number::floor_to_u64;
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Share of a job's value that does not grow with its work. Users value a job at 0.3 of the mean of its queue whatever its size.
const FIXED_VALUE_SHARE: f64 = 0.3;
/// Value of a job that can only end late, relative to one that is on time. Users give late jobs between a fifth and a third of the credit.
const LATE_VALUE: f64 = 0.25;
/// Value of a job that ends too late for any credit. It is above zero so that the job still runs.
const EXPIRED_VALUE: f64 = 0.01;
/// Queues with a slack factor below this have tight deadlines, and their jobs go where runs are fastest. With a factor below 2, a data
/// centre that takes half as long again uses up half of the slack.
const TIGHT_SLACK_FACTOR: f64 = 2.0;
/// A gang may use the urgent headroom when its slack is below this share of its run time, in percent. The headroom takes up the emptiest
/// rack, which may be the only place for a large gang. Without this rule the gang would wait until no urgent work arrives any more, and be
/// late. Small tasks fit elsewhere. One run time is about what other gangs take to leave a rack.
const LAST_CHANCE_PERCENT: u64 = 100;
/// A late job earns credit until this multiple of its objective.
pub(super) const MAX_LATE_FACTOR: u64 = 3;

/// Facts about a job that all its steps share. `mean_work` is the mean work of the active jobs of its queue.
struct Context<'a> {
    id: JobId,
    job: &'a Job,
    queue: &'a Arc<Queue>,
    guaranteed: bool,
    mean_work: f64,
}

/// Returns the identifier of the step at position `index`.
fn step_at(id: JobId, occurrence: u32, index: usize) -> StepId {
    StepId {
        job: id,
        occurrence,
        step: u32::try_from(index).unwrap_or(u32::MAX),
    }
}

/// Returns the expected work of one occurrence of a job, in thousandths of core-milliseconds.
pub fn job_work(id: JobId, job: &Job, runtimes: &Runtimes) -> f64 {
    let step_work = |(index, spec): (usize, &StepSpec)| {
        // Run times that were learnt for the first occurrence also apply to later ones.
        let expected_ms = runtimes.expected_ms(&job.queue.name, step_at(id, 0, index), spec);
        // The conversion is precise to one part in 2^53, far finer than the estimates.
        #[expect(clippy::cast_precision_loss, reason = "an estimate")]
        let each = spec.needs.weight() as f64 * expected_ms as f64;
        f64::from(spec.count) * each
    };
    let steps = job.spec.steps.iter().enumerate();
    steps.map(step_work).sum::<f64>().max(1.0)
}

/// Returns the expected time of the longest chain of dependent steps, in milliseconds.
pub fn critical_path_ms(id: JobId, job: &Job, runtimes: &Runtimes) -> u64 {
    let mut end_ms: Vec<u64> = Vec::with_capacity(job.spec.steps.len());
    for (index, spec) in job.spec.steps.iter().enumerate() {
        let start_ms = spec
            .after
            .iter()
            .filter_map(|step| end_ms.get(usize::try_from(*step).ok()?).copied())
            .max()
            .unwrap_or(0);
        end_ms.push(start_ms + runtimes.expected_ms(&job.queue.name, step_at(id, 0, index), spec));
    }
    end_ms.into_iter().max().unwrap_or(0)
}

/// Returns the completion objective of a job, in milliseconds from its acceptance or from the time that an occurrence is due.
pub fn objective_ms(id: JobId, job: &Job, queue: &Queue, runtimes: &Runtimes) -> u64 {
    scaled(critical_path_ms(id, job, runtimes), queue.slack_factor) + queue.target_latency_ms
}

/// Collects all units that may start at `wall_ms`, the most important first. `guaranteed` are the jobs that guarantees cover. Runs away
/// from their preferred rack take `remote_percent` of the usual time.
pub fn collect(
    workload: &Workload,
    runtimes: &Runtimes,
    guaranteed: &BTreeSet<JobId>,
    (wall_ms, remote_percent): (u64, u64),
) -> Vec<Unit> {
    let mean_work = mean_work(workload, runtimes);
    let mut units = Vec::new();
    for (id, job) in workload.active_jobs() {
        let queue = workload.queue_of(job);
        let context = Context {
            id,
            job,
            queue,
            guaranteed: guaranteed.contains(&id),
            mean_work: mean_work.get(&queue.name).copied().unwrap_or(1.0),
        };
        collect_job(&context, runtimes, (wall_ms, remote_percent), &mut units);
    }
    sort(&mut units);
    units
}

/// Returns the mean work of the active jobs of each queue.
pub(super) fn mean_work(workload: &Workload, runtimes: &Runtimes) -> BTreeMap<Arc<str>, f64> {
    let mut sums: BTreeMap<Arc<str>, (f64, f64)> = BTreeMap::new();
    for (id, job) in workload.active_jobs() {
        let (sum, count) = sums.entry(job.queue.name.clone()).or_default();
        *sum += job_work(id, job, runtimes);
        *count += 1.0;
    }
    sums.into_iter()
        .map(|(queue, (sum, count))| (queue, sum / count))
        .collect()
}

/// Returns the factor by which the value of a job, relative to its work, differs from that of a job with the mean work of its queue.
pub(super) fn size_factor(mean_work: f64, own_work: f64) -> f64 {
    (1.0 - FIXED_VALUE_SHARE) + FIXED_VALUE_SHARE * mean_work / own_work
}

/// Returns the divisor of the value of jobs of `priority`.
pub(super) fn squared_rank(priority: u32) -> f64 {
    // 1 for the most urgent queues, whose priority is 0.
    let rank = f64::from(priority + 1);
    rank * rank
}

fn collect_job(
    context: &Context,
    runtimes: &Runtimes,
    (wall_ms, remote_percent): (u64, u64),
    units: &mut Vec<Unit>,
) {
    let Context { id, job, queue, .. } = context;
    let own_work = job_work(*id, job, runtimes);
    let allowed_ms = objective_ms(*id, job, queue, runtimes);
    for occurrence in 0..job.spec.occurrences() {
        let due_ms = job.spec.due_ms(occurrence);
        if due_ms.is_some_and(|due_ms| wall_ms < due_ms) {
            // Later occurrences are due later still.
            break;
        }
        let ready_ms = due_ms.unwrap_or(job.accepted_ms);
        for (index, spec) in job.spec.steps.iter().enumerate() {
            let step = step_at(*id, occurrence, index);
            let Some(progress) = job.step(step) else {
                continue;
            };
            if progress.is_done() || !job.is_unblocked(step) {
                continue;
            }
            let expected_ms = runtimes.expected_ms(&queue.name, step, spec);
            let value = lateness_value(wall_ms + expected_ms, ready_ms, allowed_ms);
            let on_time = value >= 1.0;
            let margin_ms = expected_ms * LAST_CHANCE_PERCENT / 100;
            let late_soon = wall_ms + expected_ms + margin_ms > ready_ms + allowed_ms;
            let size_factor = size_factor(context.mean_work, own_work);
            let (indices, attempts) = waiting_tasks(progress, spec);
            if indices.is_empty() {
                continue;
            }
            units.push(Unit {
                step,
                attempts,
                crashes: crashes(progress, &indices),
                isolated: false,
                needs_steady_worker: false,
                indices,
                spec: spec.clone(),
                pool: queue.pool.clone(),
                needs: spec.reserved(),
                advised: queue.advised,
                permitted: None,
                priority: queue.priority,
                guaranteed: context.guaranteed,
                ready_ms,
                due_ms: ready_ms + allowed_ms,
                expected_ms,
                expected_spread_ms: expected_ms * remote_percent / 100,
                backfill_ms: None,
                relaxed: false,
                last_chance: spec.gang && on_time && late_soon,
                on_time,
                by_worker: false,
                max_runtime_percent: u64::MAX,
                tight_deadline: queue.slack_factor < TIGHT_SLACK_FACTOR,
                value_density: value * size_factor / squared_rank(queue.priority),
            });
        }
    }
}

/// Returns `ms` times `factor`.
fn scaled(ms: u64, factor: f64) -> u64 {
    #[expect(
        clippy::cast_precision_loss,
        reason = "times here are far below 2^53 ms"
    )]
    let scaled = ms as f64 * factor;
    floor_to_u64(scaled)
}

/// Returns the share of its full value that a job has when it ends at `end_ms`.
pub(super) fn lateness_value(end_ms: u64, ready_ms: u64, allowed_ms: u64) -> f64 {
    if end_ms <= ready_ms + allowed_ms {
        1.0
    } else if end_ms <= ready_ms + allowed_ms * MAX_LATE_FACTOR {
        LATE_VALUE
    } else {
        EXPIRED_VALUE
    }
}

/// Returns how many workers crashed under one of these tasks; the maximum over the tasks.
fn crashes(progress: &Step, indices: &[u32]) -> u32 {
    let tasks = indices
        .iter()
        .filter_map(|index| progress.tasks.get(usize::try_from(*index).ok()?));
    tasks.map(Task::all_crashes).max().unwrap_or(0)
}

/// Returns the indices of the waiting tasks and the numbers of their next runs. A gang waits as a whole. Of other steps, tasks under which
/// a worker has crashed go first, without the others.
fn waiting_tasks(progress: &Step, spec: &StepSpec) -> (Vec<u32>, Vec<u32>) {
    if spec.gang {
        if !progress.is_gang_waiting() {
            return (Vec::new(), Vec::new());
        }
        let attempt = progress.next_gang_attempt();
        let indices: Vec<u32> = (0..spec.count).collect();
        let attempts = vec![attempt; indices.len()];
        return (indices, attempts);
    }
    let waits = || {
        let tasks = progress.tasks.iter().zip(0..);
        tasks.filter(|(task, _)| task.is_waiting())
    };
    let any_suspect = waits().any(|(task, _)| task.all_crashes() > 0);
    waits()
        .filter(|(task, _)| !any_suspect || task.all_crashes() > 0)
        .map(|(task, index): (_, u32)| (index, task.attempt + 1))
        .unzip()
}

/// Sorts units by precedence: guaranteed work first, then services, whose callers wait for each missing task, then by value density, then
/// by the time that the unit became ready.
pub(super) fn sort(units: &mut [Unit]) {
    let order = |a: &Unit, b: &Unit| {
        b.guaranteed
            .cmp(&a.guaranteed)
            .then(b.spec.long_running.cmp(&a.spec.long_running))
            .then(
                b.value_density
                    .partial_cmp(&a.value_density)
                    .unwrap_or(Ordering::Equal),
            )
            .then(a.ready_ms.cmp(&b.ready_ms))
            .then(a.step.cmp(&b.step))
    };
    units.sort_by(order);
}

/// Returns the steps of the units.
pub fn steps_of(units: &[Unit]) -> BTreeSet<StepId> {
    units.iter().map(|unit| unit.step).collect()
}
