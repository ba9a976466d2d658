//! All recorded runs of a pass.

use super::PreemptionCandidate;
use crate::job::RunId;
use std::collections::BTreeMap;

/// All recorded runs, to be found by their names.
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
