//! Log lines about workers that are gone and the runs on them.

use super::core_node::CoreNode;
use super::detection::Detection;
use bh_protocol::Incarnation;
use bh_workload::job::JobId;
use bh_workload::job::RunId;
use bh_workload::state::Command;
use bh_workload::state::Crash;
use bh_workload::state::GiveUp;
use bh_workload::state::Suspect;
use bh_workload::state::Task;
use bh_workload::state::WorkerChange;
use std::collections::BTreeSet;
use std::rc::Rc;

/// Logs each worker that `command` removes, and each run that is lost with it or may have crashed it. The ends of runs on a worker that
/// left are not recorded one by one, so without these lines nothing would explain why their tasks restart.
pub(super) fn log_departures(
    core: &Rc<CoreNode>,
    term: u64,
    command: &Command,
    detection: Detection,
) {
    match command {
        Command::Workers(changes) => {
            for change in changes {
                if let WorkerChange::Gone(worker) = change {
                    log_departure(core, term, worker, detection);
                    log_lost_runs(core, term, worker);
                }
            }
        }
        Command::Ends {
            crash: Some(Crash { worker, suspects }),
            cleared,
            exonerated,
            ..
        } => {
            core.metrics.count("workers_crashed", 1);
            log_departure(core, term, worker, detection);
            log_exonerated(core, term, cleared, "SoundWork");
            log_exonerated(core, term, exonerated, "ManyWorkersCrashed");
            log_suspects(core, term, worker, suspects);
        }
        _ => {}
    }
}

fn log_departure(core: &Rc<CoreNode>, term: u64, id: &Incarnation, detection: Detection) {
    let workload = core.group.machine.read();
    let Some(worker) = workload.worker(id) else {
        return;
    };
    let (runs, draining) = (worker.runs.len(), worker.draining);
    core.metrics.count("workers_gone", 1);
    log::info!(worker = id.to_string(), term, learnt:? = detection, draining, runs; "worker gone");
}

fn log_lost_runs(core: &Rc<CoreNode>, term: u64, id: &Incarnation) {
    let workload = core.group.machine.read();
    let Some(worker) = workload.worker(id) else {
        return;
    };
    let lost = u64::try_from(worker.runs.len()).unwrap_or(u64::MAX);
    core.metrics.count("runs_lost", lost);
    for run in worker.runs.keys() {
        log::info!(run = run.to_string(), worker = id.to_string(), term; "run lost with its worker");
    }
}

/// Logs the evidence against each run that may have crashed the worker, with the number of crashes counted before this one.
fn log_suspects(core: &Rc<CoreNode>, term: u64, worker: &Incarnation, suspects: &[Suspect]) {
    let workload = core.group.machine.read();
    for Suspect { run, evidence } in suspects {
        let crashes_before = workload.task(run.task).map_or(0, Task::all_crashes);
        log::info!(run = run.to_string(), worker = worker.to_string(), term, evidence:? = evidence, crashes_before; "worker crashed under a run");
    }
}

/// Logs the runs whose tasks are no longer suspected of all or some of the crashes counted so far.
fn log_exonerated(core: &Rc<CoreNode>, term: u64, runs: &[RunId], why: &str) {
    let workload = core.group.machine.read();
    for run in runs {
        let crashes_before = workload.task(run.task).map_or(0, Task::all_crashes);
        log::info!(run = run.to_string(), term, why, crashes_before; "earlier crashes are no evidence against a run");
    }
}

/// Logs each job, and each task of a service, that was given up because a worker crashed while running one of these runs.
pub(super) fn log_given_up(core: &Rc<CoreNode>, suspects: &[Suspect]) {
    let workload = core.group.machine.read();
    for Suspect { run, .. } in suspects {
        let task = workload.task(run.task);
        if let Some(task) = task.filter(|task| task.given_up == Some(*run)) {
            core.metrics.count("tasks_given_up_after_crashes", 1);
            log::warn!(run = run.to_string(), crashes = task.all_crashes(); "task of a service given up: workers crashed under it");
        }
    }
    let jobs: BTreeSet<JobId> = suspects.iter().map(|s| s.run.task.step.job).collect();
    for id in jobs {
        let given_up = workload.job(id).and_then(|job| job.given_up);
        let Some(GiveUp::Crashes { run }) = given_up else {
            continue;
        };
        let crashes = workload.task(run.task).map_or(0, Task::all_crashes);
        core.metrics.count("jobs_given_up_after_crashes", 1);
        log::warn!(job = id.to_string(), run = run.to_string(), crashes; "job given up: workers crashed under it");
    }
}
