//! Runs that a leader took over and has not heard of yet.

use bh_protocol::Incarnation;
use bh_workload::dispatch::Dispatcher;
use bh_workload::dispatch::RunState;
use bh_workload::job::RunId;
use bh_workload::state::Workload;
use std::collections::BTreeSet;

/// Recorded runs that an earlier leader ordered, until each is over or its worker says that it has it.
#[derive(Clone, Debug, Default)]
pub struct Inherited {
    runs: BTreeSet<(Incarnation, RunId)>,
}

impl Inherited {
    /// All runs in the record.
    pub fn new(workload: &Workload) -> Self {
        let workers = workload.workers();
        let runs = workers.flat_map(|worker| {
            let runs = worker.runs.keys();
            runs.map(|run| (worker.info.id.clone(), *run))
        });
        Self {
            runs: runs.collect(),
        }
    }

    /// Runs that are left.
    pub fn count(&self) -> usize {
        self.runs.len()
    }

    /// Drops what has been heard of; returns one of the last when none is left that was left before.
    pub fn settle(
        &mut self,
        workload: &Workload,
        dispatcher: &Dispatcher,
    ) -> Option<(Incarnation, RunId)> {
        let last = self.runs.last().cloned()?;
        self.runs.retain(|(worker, run)| {
            let is_recorded = workload
                .worker(worker)
                .is_some_and(|worker| worker.runs.contains_key(run));
            let run_state = dispatcher
                .view(worker)
                .and_then(|target| target.runs.get(run));
            is_recorded && !run_state.is_some_and(RunState::is_confirmed)
        });
        self.runs.is_empty().then_some(last)
    }
}
