//! All recorded runs as candidates for preemption.

use super::PreemptionCandidate;
use crate::job::RunId;
use std::collections::BTreeMap;

/// Preemption candidates, indexed by run.
pub(super) struct PreemptionCandidates {
    pub runs: Vec<PreemptionCandidate>,
    by_run: BTreeMap<RunId, usize>,
}

impl PreemptionCandidates {
    pub fn new(runs: Vec<PreemptionCandidate>) -> Self {
        let by_run = runs.iter().enumerate();
        let by_run = by_run.map(|(at, candidate)| (candidate.run, at)).collect();
        Self { runs, by_run }
    }

    pub fn get_mut(&mut self, run: RunId) -> Option<&mut PreemptionCandidate> {
        self.runs.get_mut(*self.by_run.get(&run)?)
    }
}
