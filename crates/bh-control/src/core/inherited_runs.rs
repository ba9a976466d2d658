//! Runs started under an earlier leader and not yet confirmed to this one.

use bh_protocol::Incarnation;
use bh_workload::dispatch::Dispatcher;
use bh_workload::dispatch::RunState;
use bh_workload::job::RunId;
use bh_workload::state::Workload;
use std::collections::BTreeSet;

/// Runs that an earlier leader recorded. Each is kept until it has ended or its worker confirms it.
#[derive(Clone, Debug, Default)]
pub struct InheritedRuns {
    runs: BTreeSet<(Incarnation, RunId)>,
}

impl InheritedRuns {
    /// All runs in the replicated state.
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

    /// Number of runs that have neither ended nor been confirmed.
    pub fn count(&self) -> usize {
        self.runs.len()
    }

    /// Removes the runs that have ended or are confirmed. If this removes the last ones, returns one of them, so that a log line can name an
    /// example of what the leader waited for.
    pub fn remove_settled(
        &mut self,
        workload: &Workload,
        dispatcher: &Dispatcher,
    ) -> Option<(Incarnation, RunId)> {
        let last = self.runs.last().cloned()?;
        self.runs.retain(|(worker, run)| {
            let is_recorded = workload
                .worker(worker)
                .is_some_and(|worker| worker.runs.contains_key(run));
            let run_state = dispatcher.view(worker).and_then(|view| view.runs.get(run));
            is_recorded && !run_state.is_some_and(RunState::is_confirmed)
        });
        self.runs.is_empty().then_some(last)
    }
}
