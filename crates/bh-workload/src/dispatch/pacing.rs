//! Keeps fill tasks from slowing down the services beside them. A fill task only uses processors that other tasks leave idle.

use super::FillPace;
use super::Target;
use crate::job::RunId;
use crate::state::Worker;
use crate::state::Workload;

/// Longest wait of a probe of a worker on which services and fill tasks run side by side, in milliseconds.
pub(super) const SHARED_PROBE_WAIT_MS: u64 = 500;

/// Whether a run belongs to a fill task.
pub(super) fn is_fill_task(workload: &Workload, run: RunId) -> bool {
    workload
        .step_spec(run.task.step)
        .is_some_and(|spec| spec.fills_idle)
}

fn tail_target_ms(workload: &Workload, run: RunId) -> Option<u64> {
    workload.step_spec(run.task.step)?.tail_target_ms
}

/// Whether services and fill tasks run side by side on a worker.
pub(super) fn runs_services_beside_fill_tasks(workload: &Workload, worker: &Worker) -> bool {
    let runs = || worker.runs.keys();
    runs().any(|run| is_fill_task(workload, *run))
        && runs().any(|run| tail_target_ms(workload, *run).is_some())
}

/// Sets the speed of the fill tasks on a worker from the response times that its services have just reported.
pub(super) fn adjust_fill_pace(
    now_ms: u64,
    target: &mut Target,
    worker: &Worker,
    workload: &Workload,
) {
    if !worker.runs.keys().any(|run| is_fill_task(workload, *run)) {
        target.fill_pace = FillPace::default();
        return;
    }
    let max_tail_percent = target
        .runs
        .iter()
        .filter_map(|(run, run_state)| {
            Some(run_state.load * 100 / tail_target_ms(workload, *run)?.max(1))
        })
        .max();
    target.fill_pace.adjust(now_ms, max_tail_percent);
    let percent = target.fill_pace.percent();
    for (run, run_state) in &mut target.runs {
        if is_fill_task(workload, *run) {
            run_state.pace.wanted_percent = percent;
        }
    }
}
