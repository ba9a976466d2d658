//! The work that waits to be placed, in the order in which it shall be.

use super::Runtimes;
use super::Unit;
use crate::job::JobId;
use crate::job::StepId;
use crate::job::StepSpec;
use crate::rules::Queue;
use crate::state::Job;
use crate::state::Step;
use crate::state::Task;
use crate::state::TaskState;
use crate::state::Workload;
use bh_protocol::number::floor_to_u64;
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Share of a job's value that does not grow with its work; the users value a job at 0.3 of its kind's mean whatever its size.
const FIXED_VALUE: f64 = 0.3;
/// Value of a job that can only be late, against one on time; the users credit between a fifth and a third.
const LATE_VALUE: f64 = 0.25;
/// Value of a job that is later than callers credit; above nothing, so that it is still done.
const HOPELESS_VALUE: f64 = 0.01;
/// Slack factor below which a job is placed where runs are fastest; the others leave that room to it. Below two, a place that is half as
/// fast again uses up half of what there is to spare.
const TIGHT_SLACK: f64 = 2.0;
/// Slack, in percent of its run time, below which a gang may use room that is kept for urgent work. What is kept is the emptiest rack, and that is
/// the only place for a large gang: it would wait until no urgent work comes any more, and be late. Small tasks find room elsewhere. One run
/// time is about what other gangs take to leave a rack.
const LAST_CHANCE_PERCENT: u64 = 100;
/// Times the objective after which a late job earns nothing.
const LATE_FACTOR: u64 = 3;

/// What is known of one job when its steps are collected.
struct Context<'a> {
    id: JobId,
    job: &'a Job,
    queue: &'a Arc<Queue>,
    entitled: bool,
    mean_work: f64,
}

/// The step at position `index` of the first occurrence: what is learnt of it holds for the later ones.
fn step_at(id: JobId, occurrence: u32, index: usize) -> StepId {
    StepId {
        job: id,
        occurrence,
        step: u32::try_from(index).unwrap_or(u32::MAX),
    }
}

/// Work of a whole occurrence of a job, in thousandths of core-milliseconds.
pub fn work(id: JobId, job: &Job, runtimes: &Runtimes) -> f64 {
    let step_work = |(index, spec): (usize, &StepSpec)| {
        let expected_ms = runtimes.expected_ms(&job.queue.name, step_at(id, 0, index), spec);
        // Precise to one part in 2^53, far finer than the estimates.
        #[expect(clippy::cast_precision_loss, reason = "an estimate")]
        let each = spec.needs.weight() as f64 * expected_ms as f64;
        f64::from(spec.count) * each
    };
    let steps = job.spec.steps.iter().enumerate();
    steps.map(step_work).sum::<f64>().max(1.0)
}

/// Expected time of the longest chain of steps, in milliseconds.
pub fn chain_ms(id: JobId, job: &Job, runtimes: &Runtimes) -> u64 {
    let mut until: Vec<u64> = Vec::with_capacity(job.spec.steps.len());
    for (index, spec) in job.spec.steps.iter().enumerate() {
        let before = spec
            .after
            .iter()
            .filter_map(|step| until.get(usize::try_from(*step).ok()?).copied())
            .max()
            .unwrap_or(0);
        until.push(before + runtimes.expected_ms(&job.queue.name, step_at(id, 0, index), spec));
    }
    until.into_iter().max().unwrap_or(0)
}

/// Time within which a job is on time from its acceptance, or from the time that an occurrence is due, in milliseconds.
pub fn objective_ms(id: JobId, job: &Job, queue: &Queue, runtimes: &Runtimes) -> u64 {
    scaled(chain_ms(id, job, runtimes), queue.slack_factor) + queue.target_latency_ms
}

/// All units that may begin at `wall_ms`, best first; `entitled` are the jobs that guarantees cover, and runs away from their rack take
/// `remote_percent` of the usual time.
pub fn collect(
    workload: &Workload,
    runtimes: &Runtimes,
    entitled: &BTreeSet<JobId>,
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
            entitled: entitled.contains(&id),
            mean_work: mean_work.get(&queue.name).copied().unwrap_or(1.0),
        };
        collect_job(&context, runtimes, (wall_ms, remote_percent), &mut units);
    }
    sort(&mut units);
    units
}

fn mean_work(workload: &Workload, runtimes: &Runtimes) -> BTreeMap<Arc<str>, f64> {
    let mut sums: BTreeMap<Arc<str>, (f64, f64)> = BTreeMap::new();
    for (id, job) in workload.active_jobs() {
        let (sum, count) = sums.entry(job.queue.name.clone()).or_default();
        *sum += work(id, job, runtimes);
        *count += 1.0;
    }
    sums.into_iter()
        .map(|(queue, (sum, count))| (queue, sum / count))
        .collect()
}

fn collect_job(
    context: &Context,
    runtimes: &Runtimes,
    (wall_ms, remote_percent): (u64, u64),
    units: &mut Vec<Unit>,
) {
    let Context { id, job, queue, .. } = context;
    let own_work = work(*id, job, runtimes);
    let slack_ms = objective_ms(*id, job, queue, runtimes);
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
            let value = lateness_value(wall_ms + expected_ms, ready_ms, slack_ms);
            let on_time = value >= 1.0;
            let waits_ms = expected_ms * LAST_CHANCE_PERCENT / 100;
            let late_soon = wall_ms + expected_ms + waits_ms > ready_ms + slack_ms;
            let size = (1.0 - FIXED_VALUE) + FIXED_VALUE * context.mean_work / own_work;
            let rank = f64::from(queue.priority + 1);
            let (indices, attempts) = waiting(progress, spec);
            if indices.is_empty() {
                continue;
            }
            units.push(Unit {
                step,
                attempts,
                crashes: crashes(progress, &indices),
                apart: false,
                indices,
                spec: spec.clone(),
                pool: queue.pool.clone(),
                needs: spec.reserved(),
                advised: queue.advised,
                permitted: None,
                priority: queue.priority,
                entitled: context.entitled,
                ready_ms,
                due_ms: ready_ms + slack_ms,
                expected_ms,
                spread_ms: expected_ms * remote_percent / 100,
                takes_any: false,
                last_chance: spec.gang && on_time && late_soon,
                on_time,
                tight: queue.slack_factor < TIGHT_SLACK,
                density: value * size / (rank * rank),
            });
        }
    }
}

/// `ms` times a factor from the settings.
fn scaled(ms: u64, factor: f64) -> u64 {
    #[expect(
        clippy::cast_precision_loss,
        reason = "times here are far below 2^53 ms"
    )]
    let scaled = ms as f64 * factor;
    floor_to_u64(scaled)
}

pub(super) fn lateness_value(end_ms: u64, ready_ms: u64, slack_ms: u64) -> f64 {
    if end_ms <= ready_ms + slack_ms {
        1.0
    } else if end_ms <= ready_ms + slack_ms * LATE_FACTOR {
        LATE_VALUE
    } else {
        HOPELESS_VALUE
    }
}

/// Workers that crashed under one of these tasks, of the one with most of them.
fn crashes(progress: &Step, indices: &[u32]) -> u32 {
    let tasks = indices
        .iter()
        .filter_map(|index| progress.tasks.get(usize::try_from(*index).ok()?));
    tasks.map(Task::all_crashes).max().unwrap_or(0)
}

/// Tasks that wait, and the numbers of their next runs. Tasks under which a worker has crashed go first and by themselves, a gang always whole.
fn waiting(progress: &Step, spec: &StepSpec) -> (Vec<u32>, Vec<u32>) {
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
        tasks.filter(|(task, _)| task.state == TaskState::Waiting)
    };
    let any_suspect = waits().any(|(task, _)| task.all_crashes() > 0);
    waits()
        .filter(|(task, _)| !any_suspect || task.all_crashes() > 0)
        .map(|(task, index): (_, u32)| (index, task.attempt + 1))
        .unzip()
}

/// What a guarantee covers comes first, then services that miss a task, since their callers wait for it now; then what still earns most
/// for the room it takes, then what could have begun first.
fn sort(units: &mut [Unit]) {
    let order = |a: &Unit, b: &Unit| {
        b.entitled
            .cmp(&a.entitled)
            .then(b.spec.long_running.cmp(&a.spec.long_running))
            .then(b.density.partial_cmp(&a.density).unwrap_or(Ordering::Equal))
            .then(a.ready_ms.cmp(&b.ready_ms))
            .then(a.step.cmp(&b.step))
    };
    units.sort_by(order);
}

/// Steps whose units are in `units`.
pub fn steps(units: &[Unit]) -> BTreeSet<StepId> {
    units.iter().map(|unit| unit.step).collect()
}
