//! A retry budget, which limits retries to a share of first attempts, so that a failure can't cause a retry storm.

/// Retries that each first attempt earns, in thousandths.
const EARNED_PER_REQUEST_THOUSANDTHS: u64 = 100;
/// Cost of one retry, in thousandths.
const COST_THOUSANDTHS: u64 = 1_000;
/// Upper limit of saved retries, in thousandths. A new router starts with this many.
const MAX_SAVED_THOUSANDTHS: u64 = 10_000;

/// Retries that are available, in thousandths.
#[derive(Clone, Debug)]
pub(crate) struct RetryBudget {
    saved_thousandths: u64,
}

impl RetryBudget {
    pub fn new() -> Self {
        Self {
            saved_thousandths: MAX_SAVED_THOUSANDTHS,
        }
    }

    /// Adds the share of a retry that a first attempt earns.
    pub fn earn(&mut self) {
        self.saved_thousandths =
            (self.saved_thousandths + EARNED_PER_REQUEST_THOUSANDTHS).min(MAX_SAVED_THOUSANDTHS);
    }

    /// Spends one retry. Returns `false` if none is available.
    pub fn spend(&mut self) -> bool {
        if self.saved_thousandths < COST_THOUSANDTHS {
            return false;
        }
        self.saved_thousandths -= COST_THOUSANDTHS;
        true
    }
}
