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
use std::collections::BTreeSet;

/// Progress that a task of a service reports when it is ready to serve, in percent.
const READY_PERCENT: u64 = 100;

/// Decides which tasks of services may be stopped, so that no step has more unavailable tasks than the caller who submitted the job allows. It is
/// asked for all runs that are to be stopped together, and charged only for those that are.
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

    /// Whether these runs may be stopped together. Each gang among them must be complete.
    ///
    /// In a step with a limit, a run that this leader has not itself seen ready may not be stopped. Such a run may well be ready: a new
    /// leader has not yet received reports of all runs.
    pub fn allows(&mut self, stops: &BTreeSet<RunId>) -> bool {
        self.excess(stops).is_none()
    }

    /// Whether these runs may be stopped together, and if so counts them as stopped.
    pub fn take(&mut self, stops: &BTreeSet<RunId>) -> bool {
        let limited = self.limited(stops);
        let mut steps = limited.iter();
        if !steps.all(|(step, runs)| self.allows_of_step(*step, runs)) {
            return false;
        }
        for (step, runs) in limited {
            let left = self.remaining(step);
            let taken = u64::try_from(runs.len()).unwrap_or(u64::MAX);
            self.remaining.insert(step, left.saturating_sub(taken));
        }
        true
    }

    /// The runs of one step among `stops` that may not be stopped together, if there is such a step.
    pub fn excess(&mut self, stops: &BTreeSet<RunId>) -> Option<Vec<RunId>> {
        let mut steps = self.limited(stops).into_iter();
        let refused = steps.find(|(step, runs)| !self.allows_of_step(*step, runs));
        refused.map(|(_, runs)| runs)
    }

    /// The runs in steps with a limit, by step.
    fn limited(&self, stops: &BTreeSet<RunId>) -> BTreeMap<StepId, Vec<RunId>> {
        let mut limited: BTreeMap<StepId, Vec<RunId>> = BTreeMap::new();
        for run in stops {
            let step = run.task.step;
            let spec = self.workload.step_spec(step);
            if spec.is_some_and(|spec| spec.most_unavailable.is_some()) {
                limited.entry(step).or_default().push(*run);
            }
        }
        limited
    }

    fn allows_of_step(&mut self, step: StepId, runs: &[RunId]) -> bool {
        let count = u64::try_from(runs.len()).unwrap_or(u64::MAX);
        count <= self.remaining(step) && runs.iter().all(|run| self.is_available(*run))
    }

    /// Number of tasks of a step that may still be stopped.
    fn remaining(&mut self, step: StepId) -> u64 {
        if let Some(left) = self.remaining.get(&step) {
            return *left;
        }
        let spec = self.workload.step_spec(step);
        let most = spec.and_then(|spec| spec.most_unavailable);
        let left = most.map_or(u64::MAX, |most| {
            u64::from(most).saturating_sub(self.unavailable(step, spec))
        });
        self.remaining.insert(step, left);
        left
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

    /// Returns whether the worker answers, has confirmed the start of the run and reported it ready to this leader, and the run is neither being
    /// stopped nor in `stopping`. A run on a worker that does not answer may have ended with it.
    fn is_available(&self, run: RunId) -> bool {
        let is_ready = |run_state: &RunState| {
            run_state.percent >= READY_PERCENT
                && !run_state.stop_requested
                && matches!(run_state.start, StartPhase::Confirmed { .. })
        };
        let target = self
            .workload
            .holder(run)
            .and_then(|worker| self.dispatcher.view(&worker.info.id))
            .filter(|target| !target.is_silent());
        let seen_ready = target
            .and_then(|target| target.runs.get(&run))
            .is_some_and(is_ready);
        seen_ready && !self.stopping.iter().any(|(_, other)| *other == run)
    }
}
