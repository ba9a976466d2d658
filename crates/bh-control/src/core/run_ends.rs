//! What is told of runs that are over, and of runs that no record explains.

use super::core_node::CoreNode;
use super::learnt::Learnt;
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

/// One line for each end that is about to be recorded: how it became known, whether the record still had the run open, and the failures
/// counted before it. An end of a run that is over in the record counts as no failure, so without `open` a task that is begun too often looks
/// like any other.
pub(super) fn log_run_ends(
    core: &CoreNode,
    term: u64,
    workload: &Workload,
    ends: &[End],
    dispatcher: &Dispatcher,
    learnt: impl Fn(&End) -> Learnt,
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
            run = end.run.to_string(), worker = end.worker.to_string(), end:? = end.kind, learnt:? = learnt(end), term, open,
            failures = failures(workload, end.run.task), saved = end.checkpoint.is_some(), recorded_to;
            "run over"
        );
    }
}

/// How an end became known for which no answer was needed.
pub(super) fn learnt_unheard(dispatcher: &Dispatcher, end: &End) -> Learnt {
    if end.kind == EndKind::NotStarted {
        return Learnt::NeverSent;
    }
    let target = dispatcher.view(&end.worker);
    let was_presumed_lost = target.is_some_and(|target| target.presumed_lost.contains(&end.run));
    if end.kind == EndKind::Lost && was_presumed_lost {
        Learnt::BrokenGang
    } else {
        Learnt::Lapsed
    }
}

/// How an end became known by an answer.
pub(super) fn learnt_by(order: &Order, answer: &Answer, end: &End) -> Learnt {
    match answer {
        Answer::OtherIncarnation => Learnt::OtherIncarnation,
        Answer::Restarted { .. } => Learnt::Restarted,
        Answer::Denied { .. } => Learnt::Refused,
        _ if matches!(order.body, OrderBody::Probe { .. }) && end.kind != EndKind::NotStarted => {
            Learnt::Listed
        }
        _ => Learnt::NotListed,
    }
}

/// The report in an answer, and its worker as recorded; `None` without either.
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

/// One line for each run that a worker reports and that the record does not have there: it began by an order that was taken to have come to
/// nothing.
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
            "worker runs what the record has over"
        );
    }
}

/// Highest recorded end number of `worker`, as far as this leader knows; 0 if it does not know the worker.
fn recorded_to(dispatcher: &Dispatcher, worker: &Incarnation) -> u64 {
    dispatcher
        .view(worker)
        .map_or(0, |target| target.recorded_to)
}

/// Logs a warning for each reported end that is skipped because its number counts as recorded while its run is still open in the record.
/// The warning explains why a task starts again after its run has ended.
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

/// Failures counted so far for a task, or for the gang that it is a member of.
pub(super) fn failures(workload: &Workload, task: TaskId) -> u32 {
    let of_task = workload.task(task).map_or(0, |task| task.failures);
    let step = workload
        .job(task.step.job)
        .and_then(|job| job.step(task.step));
    step.map_or(0, |step| step.failures).max(of_task)
}

/// Counter of the runs that ended so.
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
