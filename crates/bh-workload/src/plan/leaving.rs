//! Runs that cannot end on a worker that leaves.

use super::Runtimes;
use super::collect::lateness_value;
use super::collect::objective_ms;
use crate::dispatch::Dispatcher;
use crate::dispatch::RunWatch;
use crate::dispatch::StartPhase;
use crate::job::RunId;
use crate::state::Worker;
use crate::state::Workload;
use bh_protocol::Incarnation;
use std::collections::BTreeSet;

/// Progress from which a run's pace is known well enough, in percent: it is reported in whole ones.
const MIN_PACE_PERCENT: u64 = 10;

/// Runs of gangs on workers that leave before the gang can be done, with their workers, where that decides whether the callers are served in time.
///
/// A worker that leaves takes its runs with it, and one whose end is announced at short notice goes without a word: a gang waits for the lease of each
/// member that is lost so. Stopped at the notice, it begins elsewhere at once. A gang that would still be in time after that wait goes on, and so
/// does what is too late either way: the worker may stay for longer than it must.
pub fn cut_short(
    (now_ms, wall_ms): (u64, u64),
    workload: &Workload,
    dispatcher: &Dispatcher,
    runtimes: &Runtimes,
) -> BTreeSet<(Incarnation, RunId)> {
    let leaving = workload.workers().filter(|worker| worker.draining);
    let context = Context {
        now_ms,
        wall_ms,
        workload,
        dispatcher,
        runtimes,
    };
    leaving
        .flat_map(|worker| context.cut_short_on(worker))
        .collect()
}

/// What is known at one time.
struct Context<'a> {
    now_ms: u64,
    wall_ms: u64,
    workload: &'a Workload,
    dispatcher: &'a Dispatcher,
    runtimes: &'a Runtimes,
}

impl Context<'_> {
    fn cut_short_on(&self, worker: &Worker) -> Vec<(Incarnation, RunId)> {
        let Some(target) = self.dispatcher.view(&worker.info.id) else {
            return Vec::new();
        };
        // A worker that does not answer cannot be told to stop anything.
        let Some(leaves_ms) = target.leaves_ms.filter(|_| !target.is_failing()) else {
            return Vec::new();
        };
        let is_cut_short = |run: &RunId| {
            let watch = target.runs.get(run).filter(|watch| !watch.give_up);
            watch.is_some_and(|watch| self.is_cut_short(*run, watch, leaves_ms))
        };
        let runs = worker.runs.keys().copied();
        runs.filter(is_cut_short)
            .map(|run| (worker.info.id.clone(), run))
            .collect()
    }

    fn is_cut_short(&self, run: RunId, watch: &RunWatch, leaves_ms: u64) -> bool {
        let Some(job) = self.workload.job(run.task.step.job) else {
            return false;
        };
        let spec = job.step_spec(run.task.step);
        let Some(spec) = spec.filter(|spec| spec.gang && !spec.long_running) else {
            return false;
        };
        if !job.wants(run) {
            return false;
        }
        let queue = &job.queue.name;
        let usual_ms = self.runtimes.expected_ms(queue, run.task.step, spec);
        if expected_end_ms(self.now_ms, watch, usual_ms) <= leaves_ms {
            return false;
        }
        let timing = self.dispatcher.timing();
        let restarted_end_ms = self.wall_ms + timing.stop_timeout_ms + usual_ms;
        let lost_end_ms =
            self.wall_ms + leaves_ms.saturating_sub(self.now_ms) + timing.lease_ms + usual_ms;
        let queue = self.workload.queue_of(job);
        let objective_ms = objective_ms(run.task.step.job, job, queue, self.runtimes);
        let ready_ms = job
            .spec
            .due_ms(run.task.step.occurrence)
            .unwrap_or(job.accepted_ms);
        let value = |end_ms| lateness_value(end_ms, ready_ms, objective_ms);
        value(restarted_end_ms) > value(lost_end_ms)
    }
}

/// When a run is expected to end, on the leader's clock in milliseconds: at its pace so far, once that is known, else by the usual time of its kind.
fn expected_end_ms(now_ms: u64, watch: &RunWatch, usual_ms: u64) -> u64 {
    let began_ms = match watch.start {
        StartPhase::Confirmed { at_ms } => at_ms,
        _ => now_ms,
    };
    if watch.percent >= MIN_PACE_PERCENT && !watch.was_unsure {
        let reported_ms = watch.progress_ms.saturating_sub(began_ms);
        return began_ms + reported_ms * 100 / watch.percent;
    }
    began_ms + usual_ms
}
