//! How many tasks of a service may be missing.

use crate::dispatch::Dispatcher;
use crate::dispatch::RunWatch;
use crate::dispatch::StartPhase;
use crate::job::RunId;
use crate::job::StepId;
use crate::job::StepSpec;
use crate::state::Workload;
use bh_protocol::Incarnation;
use std::collections::BTreeMap;

/// Progress that a task of a service reports once it is wholly at work, in percent.
const READY_PERCENT: u64 = 100;

/// Which tasks of services may be stopped without more of them missing than their callers bear.
pub struct DisruptionBudget<'a> {
    workload: &'a Workload,
    dispatcher: &'a Dispatcher,
    stopping: &'a [(Incarnation, RunId)],
    /// Tasks that may still be stopped, by step.
    remaining: BTreeMap<StepId, u64>,
}

impl<'a> DisruptionBudget<'a> {
    /// With `stopping` as good as stopped.
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

    /// Whether a run may be stopped, and counts it as stopped if so. A run of which this leader does not know that it is at work may not:
    /// it may have been for long.
    pub fn allow_stop(&mut self, run: RunId) -> bool {
        let step = run.task.step;
        let spec = self.workload.step_spec(step);
        let Some(most) = spec.and_then(|spec| spec.most_unavailable) else {
            return true;
        };
        if !self.is_available(run) {
            return false;
        }
        let left = match self.remaining.get(&step) {
            Some(left) => *left,
            None => u64::from(most).saturating_sub(self.unavailable(step, spec)),
        };
        self.remaining.insert(step, left.saturating_sub(1));
        left > 0
    }

    /// Tasks of a step that are not at work.
    fn unavailable(&self, step: StepId, spec: Option<&StepSpec>) -> u64 {
        let at_work = self
            .workload
            .workers()
            .flat_map(|worker| worker.runs.keys())
            .filter(|run| run.task.step == step && self.is_available(**run))
            .count();
        let all = spec.map_or(0, |spec| u64::from(spec.count));
        all.saturating_sub(u64::try_from(at_work).unwrap_or(u64::MAX))
    }

    fn is_available(&self, run: RunId) -> bool {
        let at_work = |watch: &RunWatch| {
            watch.percent >= READY_PERCENT
                && !watch.give_up
                && matches!(watch.start, StartPhase::Confirmed { .. })
        };
        let watched = self
            .workload
            .workers()
            .filter(|worker| worker.runs.contains_key(&run))
            .filter_map(|worker| self.dispatcher.view(&worker.info.id)?.runs.get(&run))
            .any(at_work);
        watched && !self.stopping.iter().any(|(_, other)| *other == run)
    }
}
