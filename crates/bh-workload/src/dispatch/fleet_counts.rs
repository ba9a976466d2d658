//! Counts of workers and recorded runs by condition, as known to the leader.

use super::Dispatcher;
use super::RunState;
use super::Target;
use crate::state::Workload;

/// Number of workers and recorded runs in each condition. A worker or run can be in several conditions or in none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetCounts {
    /// Workers that did not answer their latest order.
    pub workers_silent: usize,
    /// Workers that get no new work because their latest heartbeat is missing or too old.
    pub workers_outdated: usize,
    /// Workers that are set aside because runs failed or stalled there, or because they refused a start as unhealthy or for lack of
    /// capacity. Workers that are only slow are not counted.
    pub workers_set_aside: usize,
    /// Workers that are leaving.
    pub workers_draining: usize,
    /// Recorded runs whose start the worker has not confirmed.
    pub runs_unconfirmed: usize,
    /// Recorded runs with a confirmed start that the latest report of a worker that answers does not list as running.
    pub runs_unreported: usize,
    /// Recorded runs on workers that did not answer their latest order.
    pub runs_on_silent_workers: usize,
    /// Recorded runs that should end: they are no longer wanted in the record, or the leader has requested their stop.
    pub runs_stopping: usize,
}

impl FleetCounts {
    /// Computes the counts at `now_ms` on the leader's clock.
    pub fn new(now_ms: u64, workload: &Workload, dispatcher: &Dispatcher) -> Self {
        let mut counts = Self::default();
        for worker in workload.workers() {
            counts.workers_draining += usize::from(worker.draining);
            let Some(target) = dispatcher.view(&worker.info.id) else {
                continue;
            };
            let is_outdated = !target.is_current(now_ms, dispatcher.timing());
            counts.workers_outdated += usize::from(is_outdated);
            counts.workers_set_aside += usize::from(now_ms < target.set_aside_until_ms);
            counts.workers_silent += usize::from(target.is_silent());
            for run in worker.runs.keys() {
                let run_state = target.runs.get(run);
                counts.runs_unconfirmed +=
                    usize::from(!run_state.is_some_and(RunState::is_confirmed));
                counts.runs_unreported +=
                    usize::from(run_state.is_some_and(|w| is_unreported(target, w)));
                counts.runs_on_silent_workers += usize::from(target.is_silent());
                let is_stopping = !workload.should_run(*run)
                    || run_state.is_some_and(|run_state| run_state.stop_requested);
                counts.runs_stopping += usize::from(is_stopping);
            }
        }
        counts
    }
}

/// Whether the worker answers and its latest report, requested after the run's start was confirmed, does not list the run as running.
pub(super) fn is_unreported(target: &Target, run_state: &RunState) -> bool {
    !target.is_silent()
        && run_state
            .confirmed_ms()
            .is_some_and(|at_ms| at_ms < target.report_requested_ms)
        && run_state.last_reported_ms != Some(target.reported_ms)
}
