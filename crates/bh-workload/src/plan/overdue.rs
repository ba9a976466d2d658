//! Runs that stand still or take far longer than they should.

use super::Runtimes;
use crate::dispatch::Dispatcher;
use crate::dispatch::RunWatch;
use crate::dispatch::StartPhase;
use crate::job::RunId;
use crate::job::StepSpec;
use crate::state::Workload;
use bh_protocol::Incarnation;
use std::sync::Arc;

/// Time without any progress after which a run is taken to stand still, in milliseconds, for short runs: workers are looked at every
/// two seconds, and a lost look shall not cost a run.
const STALL_TIMEOUT_MS: u64 = 2_600;
/// Share of the expected time that is added to that, in percent, because progress is reported in whole percents.
const STALL_TIMEOUT_PERCENT: u64 = 5;
/// Times the expected time after which a run is looked at for slowness, in percent.
const SLOW_AFTER_PERCENT: u64 = 200;
/// Times the expected time that a run must still have before it, at its pace so far, to be begun anew elsewhere, in percent. Below that it is
/// done sooner where it is.
const SLOW_LEFT_PERCENT: u64 = 160;

/// What is wrong with a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverdueReason {
    /// Its progress stands still.
    Still,
    /// At its pace it would be done sooner if it were begun anew elsewhere.
    Slow,
}

/// A run to begin anew elsewhere.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OverdueRun {
    /// Worker it is on.
    pub worker: Incarnation,
    /// The run.
    pub run: RunId,
    /// What is wrong.
    pub why: OverdueReason,
    /// Whether it is one of a gang: then any member's worker may be the cause.
    pub gang: bool,
}

/// All runs that are overdue at `now_ms`.
pub fn overdue(
    now_ms: u64,
    workload: &Workload,
    dispatcher: &Dispatcher,
    runtimes: &Runtimes,
) -> Vec<OverdueRun> {
    let mut overdue = Vec::new();
    for worker in workload.workers() {
        let Some(target) = dispatcher.view(&worker.info.id) else {
            continue;
        };
        // A worker that does not answer tells nothing of its runs.
        if target.is_failing() {
            continue;
        }
        for (run, watch) in &target.runs {
            if watch.give_up || !workload.wants(*run) {
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
            let slowdown = slowdown_percent(workload, dispatcher, *run, spec);
            let expected_ms =
                runtimes.expected_ms(&job.queue.name, run.task.step, spec) * slowdown / 100;
            // A declared time is off by factors, a gang is as slow as its slowest member, wherever that is, and what began on a worker that had
            // just started was slow for a while.
            let learnt_ms = (!spec.gang && watch.since_ms >= target.cold_until_ms)
                .then(|| runtimes.learnt_ms(&job.queue.name, run.task.step, spec))
                .flatten()
                .map(|learnt_ms| learnt_ms * slowdown / 100);
            let why = if has_stalled(target.reported_ms, watch, expected_ms) {
                OverdueReason::Still
            } else if learnt_ms.is_some_and(|learnt_ms| is_slow(now_ms, watch, learnt_ms)) {
                OverdueReason::Slow
            } else {
                continue;
            };
            overdue.push(OverdueRun {
                worker: worker.info.id.clone(),
                run: *run,
                why,
                gang: spec.gang,
            });
        }
    }
    overdue
}

/// How much longer the run takes where it is because of its data or its gang's racks, in percent.
fn slowdown_percent(
    workload: &Workload,
    dispatcher: &Dispatcher,
    run: RunId,
    spec: &StepSpec,
) -> u64 {
    let racks: Vec<&Arc<str>> = workload
        .workers()
        .filter(|worker| {
            worker
                .runs
                .keys()
                .any(|other| other.task.step == run.task.step && (spec.gang || *other == run))
        })
        .map(|worker| &worker.info.rack)
        .collect();
    let away = spec
        .near_rack
        .as_ref()
        .is_some_and(|near| racks.iter().any(|rack| *rack != near));
    let spread = spec.gang && spec.rack_local && racks.iter().any(|rack| **rack != *racks[0]);
    let remote = dispatcher.timing().remote_percent;
    match (away, spread) {
        (true, true) => remote * remote / 100,
        (true, false) | (false, true) => remote,
        (false, false) => 100,
    }
}

/// Whether the worker reported twice, some time apart, that nothing had been done meanwhile. Time without a report proves nothing.
fn has_stalled(reported_ms: u64, watch: &RunWatch, expected_ms: u64) -> bool {
    let StartPhase::Confirmed { at_ms } = watch.start else {
        return false;
    };
    let stalled_ms = reported_ms.saturating_sub(watch.progress_ms.max(at_ms));
    watch.percent < 100 && stalled_ms > STALL_TIMEOUT_MS + expected_ms * STALL_TIMEOUT_PERCENT / 100
}

fn is_slow(now_ms: u64, watch: &RunWatch, learnt_ms: u64) -> bool {
    let StartPhase::Confirmed { at_ms } = watch.start else {
        return false;
    };
    let ran_ms = now_ms.saturating_sub(at_ms);
    // When a run began that an earlier leader ordered, or whose order had no answer, is not known.
    if watch.was_unsure {
        return false;
    }
    if watch.percent == 0 || ran_ms < learnt_ms * SLOW_AFTER_PERCENT / 100 {
        return false;
    }
    // Progress is reckoned as of the report that brought it.
    let reported_ms = watch.progress_ms.saturating_sub(at_ms);
    let left_ms = reported_ms * (100 - watch.percent.min(100)) / watch.percent;
    left_ms > learnt_ms * SLOW_LEFT_PERCENT / 100
}
