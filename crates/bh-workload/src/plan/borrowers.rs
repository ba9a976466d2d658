//! All recorded runs of a pass.

use super::Borrower;
use crate::job::RunId;
use std::collections::BTreeMap;

/// All recorded runs, to be found by their names.
pub(super) struct Borrowers {
    pub runs: Vec<Borrower>,
    by_run: BTreeMap<RunId, usize>,
}

impl Borrowers {
    pub fn new(runs: Vec<Borrower>) -> Self {
        let by_run = runs.iter().enumerate();
        let by_run = by_run.map(|(at, borrower)| (borrower.run, at)).collect();
        Self { runs, by_run }
    }

    pub fn of(&mut self, run: RunId) -> Option<&mut Borrower> {
        self.runs.get_mut(*self.by_run.get(&run)?)
    }
}
