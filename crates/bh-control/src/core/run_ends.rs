//! Log lines about runs that have ended, and about runs that the replicated state does not explain.

use super::core_node::CoreNode;
use super::detection::Detection;
use bh_protocol::Incarnation;
use bh_workload::dispatch::Answer;
use bh_workload::dispatch::Dispatcher;
use bh_workload::dispatch::Order;
use bh_workload::dispatch::OrderBody;
use bh_workload::dispatch::Report;
use bh_workload::job::TaskId;
use bh_workload::state::End;
use bh_workload::state::EndKind;
use bh_workload::state::Worker;
use bh_workload::state::Workload;

/// Logs each end that is about to be recorded: how it was detected, whether the run was still open in the replicated state, and the
/// failures counted before it. The end of a run that is no longer open does not count as a failure, so without `open` a task that is
/// restarted too often would look like any other.
pub(super) fn log_run_ends(
    core: &CoreNode,
    term: u64,
    workload: &Workload,
    ends: &[End],
    dispatcher: &Dispatcher,
    detection: impl Fn(&End) -> Detection,
) {
    for end in ends {
        let open = workload
            .worker(&end.worker)
            .is_some_and(|worker| worker.runs.contains_key(&end.run));
        if !open {
            core.metrics.count("ends_of_runs_over", 1);
        }
        core.metrics.count(counter(end.kind), 1);
        let recorded_to = recorded_to(dispatcher, &end.worker);
        log::info!(
            run = end.run.to_string(), worker = end.worker.to_string(), end:? = end.kind, learnt:? = detection(end), term, open,
            failures = failures(workload, end.run.task), saved = end.checkpoint.is_some(), recorded_to;
            "run over"
        );
    }
}

/// How an end was detected that is certain without a worker's answer.
pub(super) fn detected_without_answer(dispatcher: &Dispatcher, end: &End) -> Detection {
    if end.kind == EndKind::NotStarted {
        return Detection::NeverSent;
    }
    let target = dispatcher.view(&end.worker);
    let was_presumed_lost = target.is_some_and(|target| target.presumed_lost.contains(&end.run));
    if end.kind == EndKind::Lost && was_presumed_lost {
        Detection::BrokenGang
    } else {
        Detection::Lapsed
    }
}

/// How an end was detected from a worker's answer.
pub(super) fn detected_by_answer(order: &Order, answer: &Answer, end: &End) -> Detection {
    match answer {
        Answer::OtherIncarnation => Detection::OtherIncarnation,
        Answer::Restarted { .. } => Detection::Restarted,
        Answer::Denied { .. } => Detection::Refused,
        _ if matches!(order.body, OrderBody::Probe { .. }) && end.kind != EndKind::NotStarted => {
            Detection::Listed
        }
        _ => Detection::NotListed,
    }
}

/// The report in an answer and the recorded worker that it comes from; `None` if either is missing.
fn reported<'a>(
    order: &Order,
    answer: &'a Answer,
    workload: &'a Workload,
) -> Option<(&'a Report, &'a Worker)> {
    let Answer::Done { report, .. } = answer else {
        return None;
    };
    Some((report.as_ref()?, workload.worker(&order.to.worker)?))
}

/// Logs each run that a worker reports although the replicated state does not have it there. It was started by an order that was considered
/// not to have been carried out.
pub(super) fn log_unrecorded(core: &CoreNode, order: &Order, answer: &Answer, workload: &Workload) {
    let Some((report, worker)) = reported(order, answer, workload) else {
        return;
    };
    let unrecorded = report
        .running
        .iter()
        .filter(|running| !worker.runs.contains_key(&running.run));
    for running in unrecorded {
        core.metrics.count("runs_unrecorded", 1);
        log::warn!(
            run = running.run.to_string(), worker = order.to.worker.to_string(), term = order.token, failures = failures(workload, running.run.task);
            "worker runs a run that has ended in the record"
        );
    }
}

/// Highest recorded end number of `worker`, as far as this leader knows; 0 if it does not know the worker.
fn recorded_to(dispatcher: &Dispatcher, worker: &Incarnation) -> u64 {
    dispatcher
        .view(worker)
        .map_or(0, |target| target.recorded_to)
}

/// Logs a warning for each reported end that is skipped because its number counts as recorded while its run is still open in the replicated
/// state. The warning explains why a task restarts after its run has ended.
pub(super) fn log_skipped_ends(
    core: &CoreNode,
    order: &Order,
    answer: &Answer,
    workload: &Workload,
    dispatcher: &Dispatcher,
) {
    let Some((report, worker)) = reported(order, answer, workload) else {
        return;
    };
    let recorded_to = recorded_to(dispatcher, &order.to.worker);
    let skipped = report
        .ended
        .iter()
        .filter(|ended| ended.number <= recorded_to && worker.runs.contains_key(&ended.run));
    for ended in skipped {
        core.metrics.count("ends_skipped", 1);
        log::warn!(
            run = ended.run.to_string(), worker = order.to.worker.to_string(), term = order.token, number = ended.number, recorded_to, end:? = ended.kind;
            "reported end of an open run skipped: its number is already recorded"
        );
    }
}

/// Number of failures counted so far for a task, or for its gang.
pub(super) fn failures(workload: &Workload, task: TaskId) -> u32 {
    let of_task = workload.task(task).map_or(0, |task| task.failures);
    let step = workload
        .job(task.step.job)
        .and_then(|job| job.step(task.step));
    step.map_or(0, |step| step.failures).max(of_task)
}

/// Name of the counter for runs that ended in this way.
fn counter(kind: EndKind) -> &'static str {
    match kind {
        EndKind::Done => "runs_done",
        EndKind::Failed => "runs_failed",
        EndKind::Stopped => "runs_stopped",
        EndKind::Lapsed => "runs_lapsed",
        EndKind::Broken => "runs_broken",
        EndKind::Alone => "runs_alone",
        EndKind::NotStarted => "runs_not_started",
        EndKind::Lost => "runs_lost",
    }
}
