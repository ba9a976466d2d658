//! Limits on how many tasks of a service are unavailable at the same time. Such a limit holds for a step, which is a number of
//! equal tasks of a job.

use crate::dispatch::Dispatcher;
use crate::dispatch::RunState;
use crate::dispatch::StartPhase;
use crate::job::RunId;
use crate::job::StepId;
use crate::job::StepSpec;
use crate::state::Workload;
use bh_protocol::Incarnation;
use std::collections::BTreeMap;

/// Progress that a task of a service reports when it is ready to serve, in percent.
const READY_PERCENT: u64 = 100;

/// Decides which tasks of services may be stopped, so that no step has more unavailable tasks than the caller who submitted the job allows.
pub struct DisruptionBudget<'a> {
    workload: &'a Workload,
    dispatcher: &'a Dispatcher,
    /// Runs that the caller has already decided to stop, with their workers.
    stopping: &'a [(Incarnation, RunId)],
    /// Number of tasks that may still be stopped, by step.
    remaining: BTreeMap<StepId, u64>,
}

impl<'a> DisruptionBudget<'a> {
    /// Creates a budget that counts the runs in `stopping` as stopped.
    pub fn new(
        workload: &'a Workload,
        dispatcher: &'a Dispatcher,
        stopping: &'a [(Incarnation, RunId)],
    ) -> Self {
        Self {
            workload,
            dispatcher,
            stopping,
            remaining: BTreeMap::new(),
        }
    }

    /// Returns whether a run may be stopped, and if so counts it as stopped.
    ///
    /// In a step with a limit, a run that this leader has not itself seen ready may not be stopped. Such a run may well be ready: a new
    /// leader has not yet received reports of all runs.
    pub fn allow_stop(&mut self, run: RunId) -> bool {
        let step = run.task.step;
        let spec = self.workload.step_spec(step);
        let Some(max_unavailable) = spec.and_then(|spec| spec.most_unavailable) else {
            return true;
        };
        if !self.is_available(run) {
            return false;
        }
        let left = match self.remaining.get(&step) {
            Some(left) => *left,
            None => u64::from(max_unavailable).saturating_sub(self.unavailable(step, spec)),
        };
        self.remaining.insert(step, left.saturating_sub(1));
        left > 0
    }

    /// Returns how many tasks of a step are not ready.
    fn unavailable(&self, step: StepId, spec: Option<&StepSpec>) -> u64 {
        let available = self
            .workload
            .runs_of(step)
            .filter(|(run, _)| self.is_available(*run))
            .count();
        let all = spec.map_or(0, |spec| u64::from(spec.count));
        all.saturating_sub(u64::try_from(available).unwrap_or(u64::MAX))
    }

    /// Returns whether the worker has confirmed the start of the run and reported it ready to this leader, and the run is neither being stopped
    /// nor in `stopping`.
    fn is_available(&self, run: RunId) -> bool {
        let is_ready = |run_state: &RunState| {
            run_state.percent >= READY_PERCENT
                && !run_state.stop_requested
                && matches!(run_state.start, StartPhase::Confirmed { .. })
        };
        let run_state = self
            .workload
            .holder(run)
            .and_then(|worker| self.dispatcher.view(&worker.info.id)?.runs.get(&run));
        let seen_ready = run_state.is_some_and(is_ready);
        seen_ready && !self.stopping.iter().any(|(_, other)| *other == run)
    }
}
