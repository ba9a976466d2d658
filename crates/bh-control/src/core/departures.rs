//! What is told of workers that are gone, and of what ran on them.

use super::core_node::CoreNode;
use bh_workload::state::Command;
use bh_workload::state::WorkerChange;
use std::rc::Rc;
use std::sync::Arc;

/// How the leader learnt that a worker is gone.
#[derive(Clone, Copy, Debug)]
pub(super) enum Learnt {
    /// The worker said that it leaves.
    Leave,
    /// Another incarnation answered at its address.
    OtherIncarnation,
    /// The upkeep of its VM began.
    Upkeep,
}

/// One line for each worker that `command` says to be gone, and one for each run that is lost with it. The ends of such runs are not recorded one by
/// one, so without these lines nothing would tell why their tasks begin anew.
pub(super) fn log_departures(core: &Rc<CoreNode>, term: u64, command: &Command, learnt: Learnt) {
    let Command::Workers(changes) = command else {
        return;
    };
    for change in changes {
        if let WorkerChange::Gone(worker) = change {
            log_departure(core, term, worker, learnt);
        }
    }
}

fn log_departure(core: &Rc<CoreNode>, term: u64, id: &Arc<str>, learnt: Learnt) {
    let workload = core.group.machine.read();
    let Some(worker) = workload.worker(id) else {
        return;
    };
    let (runs, draining) = (worker.runs.len(), worker.draining);
    core.metrics.count("workers_gone", 1);
    core.metrics
        .count("runs_lost", runs.try_into().unwrap_or(u64::MAX));
    log::info!(worker = &**id, term, learnt:? = learnt, draining, runs; "worker gone");
    for run in worker.runs.keys() {
        log::info!(run = run.to_string(), worker = &**id, term; "run lost with its worker");
    }
}
