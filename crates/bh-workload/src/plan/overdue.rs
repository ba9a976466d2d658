//! Finds runs that make no progress or are much slower than expected.

use super::Runtimes;
use super::Speeds;
use super::slow_limits::SlowLimits;
use super::tail_check::TailCheck;
use crate::dispatch::Dispatcher;
use crate::dispatch::RunState;
use crate::dispatch::StartPhase;
use crate::job::RunId;
use crate::job::StepId;
use crate::job::StepSpec;
use crate::state::Workload;
use bh_protocol::Incarnation;
use std::collections::BTreeMap;

/// Time without progress after which a short run counts as stalled, in milliseconds. Workers are probed every two seconds, and a run must
/// survive one lost probe.
const STALL_TIMEOUT_MS: u64 = 2_600;
/// Share of the expected run time that is added to the stall timeout, in percent, because progress is reported in whole percents.
const STALL_TIMEOUT_PERCENT: u64 = 5;
/// Why a run is overdue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverdueReason {
    /// The run makes no progress.
    Still,
    /// At its pace so far, the run would end sooner if it were restarted on another worker.
    Slow,
}

/// A run to restart on another worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OverdueRun {
    /// Worker of the run.
    pub worker: Incarnation,
    /// The run.
    pub run: RunId,
    /// Why the run is overdue.
    pub why: OverdueReason,
    /// Whether the run is a member of a gang. In that case the worker of any member may be the cause.
    pub gang: bool,
}

/// Returns all runs that are overdue at `now_ms`.
pub fn overdue(
    now_ms: u64,
    workload: &Workload,
    dispatcher: &Dispatcher,
    (runtimes, speeds): (&Runtimes, &Speeds),
) -> Vec<OverdueRun> {
    let mut overdue = Vec::new();
    let mut gang_places = GangPlaces::new();
    let mut tail_check = TailCheck::default();
    for worker in workload.workers() {
        let Some(target) = dispatcher.view(&worker.info.id) else {
            continue;
        };
        // A worker that does not answer reports no progress of its runs.
        if target.is_silent() {
            continue;
        }
        // Learnt run times are those of a usual worker if workers are ranked by their speeds.
        let worker_percent = if speeds.ranks_workers() {
            speeds.runtime_percent(&worker.info.id, &worker.info.data_centre, now_ms)
        } else {
            100
        };
        for (run, run_state) in &target.runs {
            if run_state.stop_requested || !workload.should_run(*run) {
                continue;
            }
            let Some(job) = workload.job(run.task.step.job) else {
                continue;
            };
            let Some(spec) = job.step_spec(run.task.step) else {
                continue;
            };
            if spec.long_running {
                continue;
            }
            let slowdown = slowdown_percent(&mut gang_places, workload, dispatcher, *run, spec)
                * worker_percent
                / 100;
            let expected_ms =
                runtimes.expected_ms(&job.queue.name, run.task.step, spec) * slowdown / 100;
            // A run counts as slow only relative to a learnt run time, because declared ones are off by factors. Gangs are exempt because
            // they are as slow as their slowest member on any worker, and runs that started on a cold worker because they were slow for a
            // while.
            let learnt_ms = (!spec.gang && run_state.since_ms >= target.cold_until_ms)
                .then(|| runtimes.learnt_ms(&job.queue.name, run.task.step, spec))
                .flatten()
                .map(|learnt_ms| learnt_ms * slowdown / 100);
            let late = |why| OverdueRun {
                worker: worker.info.id.clone(),
                run: *run,
                why,
                gang: spec.gang,
            };
            if has_stalled(target.reported_ms, run_state, expected_ms) {
                overdue.push(late(OverdueReason::Still));
                continue;
            }
            let Some(learnt_ms) = learnt_ms else {
                continue;
            };
            let fixed = SlowLimits::fixed(learnt_ms);
            let queue = &job.queue.name;
            let tail_ms = speeds
                .ranks_workers()
                .then(|| runtimes.tail_ms(queue, run.task.step, spec));
            if let Some(tail_ms) = tail_ms.flatten() {
                let usual_ms = learnt_ms * 100 / slowdown.max(1);
                let tail =
                    SlowLimits::by_tail(tail_ms * slowdown / 100, usual_ms, dispatcher.timing());
                let kind = (queue.clone(), spec.image.clone());
                let late = late(OverdueReason::Slow);
                tail_check.add(now_ms, kind, (late, run_state), (tail, fixed));
            } else if fixed.is_slow(now_ms, run_state) {
                overdue.push(late(OverdueReason::Slow));
            }
        }
    }
    overdue.extend(tail_check.into_slow(runtimes));
    overdue
}

/// Whether each gang runs away from its data, and whether it is spread over racks, by step.
type GangPlaces = BTreeMap<StepId, (bool, bool)>;

/// Returns how long the run takes, relative to the usual time, because it is away from its data or because its gang is spread over racks.
/// In percent.
fn slowdown_percent(
    known: &mut GangPlaces,
    workload: &Workload,
    dispatcher: &Dispatcher,
    run: RunId,
    spec: &StepSpec,
) -> u64 {
    let (away, spread) = if spec.gang {
        let step = run.task.step;
        *known.entry(step).or_insert_with(|| {
            let racks = workload.runs_of(step).map(|(_, worker)| &*worker.info.rack);
            away_and_spread(racks, spec)
        })
    } else {
        let rack = workload.holder(run).map(|worker| &*worker.info.rack);
        away_and_spread(rack.into_iter(), spec)
    };
    let remote = dispatcher.timing().remote_percent;
    match (away, spread) {
        (true, true) => remote * remote / 100,
        (true, false) | (false, true) => remote,
        (false, false) => 100,
    }
}

/// Returns whether the runs of a task or gang on these racks are away from their data, and whether they are a rack-local gang that is spread.
fn away_and_spread<'a>(mut racks: impl Iterator<Item = &'a str>, spec: &StepSpec) -> (bool, bool) {
    let Some(first) = racks.next() else {
        return (false, false);
    };
    let is_away = |rack: &str| spec.near_rack.as_ref().is_some_and(|near| **near != *rack);
    let (mut away, mut spread) = (is_away(first), false);
    for rack in racks {
        away |= is_away(rack);
        spread |= spec.gang && spec.rack_local && rack != first;
    }
    (away, spread)
}

/// Returns whether two reports of the worker, some time apart, show no progress. A lack of reports proves nothing.
fn has_stalled(reported_ms: u64, run_state: &RunState, expected_ms: u64) -> bool {
    let StartPhase::Confirmed { at_ms } = run_state.start else {
        return false;
    };
    let stalled_ms = reported_ms.saturating_sub(run_state.progress_ms.max(at_ms));
    run_state.percent < 100
        && stalled_ms > STALL_TIMEOUT_MS + expected_ms * STALL_TIMEOUT_PERCENT / 100
}
