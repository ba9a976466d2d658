//! Finds runs that can't end before their worker leaves.

use super::Runtimes;
use super::collect::lateness_value;
use super::collect::objective_ms;
use crate::dispatch::Dispatcher;
use crate::dispatch::RunState;
use crate::dispatch::StartPhase;
use crate::job::RunId;
use crate::state::Worker;
use crate::state::Workload;
use bh_protocol::Incarnation;
use std::collections::BTreeSet;

/// Progress from which the pace of a run is known well enough, in percent. Progress is reported in whole percents.
const MIN_PACE_PERCENT: u64 = 10;

/// Returns runs of gangs on workers that leave before the gang can end, with their workers, if stopping them now gives the job a better
/// chance to be on time.
///
/// A leaving worker takes its runs with it. One that leaves at short notice may do so without a word, and its gang then waits for the
/// worker's lease to expire. If the gang is stopped at the notice, it restarts elsewhere at once. A gang that would be on time even after
/// that wait is not stopped, and neither is one that is late either way, because the worker may stay longer than announced.
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

/// State at the time of the check.
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
        // A worker that does not answer can't be told to stop anything.
        let Some(runs_until_ms) = target.runs_until_ms.filter(|_| !target.is_silent()) else {
            return Vec::new();
        };
        let is_cut_short = |run: &RunId| {
            let run_state = target
                .runs
                .get(run)
                .filter(|run_state| !run_state.stop_requested);
            run_state.is_some_and(|run_state| self.is_cut_short(*run, run_state, runs_until_ms))
        };
        let runs = worker.runs.keys().copied();
        runs.filter(is_cut_short)
            .map(|run| (worker.info.id.clone(), run))
            .collect()
    }

    fn is_cut_short(&self, run: RunId, run_state: &RunState, runs_until_ms: u64) -> bool {
        let Some(job) = self.workload.job(run.task.step.job) else {
            return false;
        };
        let spec = job.step_spec(run.task.step);
        let Some(spec) = spec.filter(|spec| spec.gang && !spec.long_running) else {
            return false;
        };
        if !job.should_run(run) {
            return false;
        }
        let queue = &job.queue.name;
        let usual_ms = self.runtimes.expected_ms(queue, run.task.step, spec);
        if expected_end_ms(self.now_ms, run_state, usual_ms) <= runs_until_ms {
            return false;
        }
        let timing = self.dispatcher.timing();
        let restarted_end_ms = self.wall_ms + timing.stop_timeout_ms + usual_ms;
        let lost_end_ms =
            self.wall_ms + runs_until_ms.saturating_sub(self.now_ms) + timing.lease_ms + usual_ms;
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

/// Returns when a run is expected to end, on the leader's clock in milliseconds: by its pace so far if that is known, else by the usual run
/// time.
fn expected_end_ms(now_ms: u64, run_state: &RunState, usual_ms: u64) -> u64 {
    let started_ms = match run_state.start {
        StartPhase::Confirmed { at_ms } => at_ms,
        _ => now_ms,
    };
    if run_state.percent >= MIN_PACE_PERCENT && !run_state.was_unconfirmed {
        let reported_ms = run_state.progress_ms.saturating_sub(started_ms);
        return started_ms + reported_ms * 100 / run_state.percent;
    }
    started_ms + usual_ms
}
