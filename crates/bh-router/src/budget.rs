//! A retry budget: retries are a bounded share of first attempts, so that they cannot multiply a failure into a storm.

/// Retries earned by each first attempt, in thousandths.
const EARNED_PER_REQUEST: u64 = 100;
/// Cost of a retry, in thousandths.
const COST: u64 = 1_000;
/// Retries that may be saved up, in thousandths; also what an idle router starts with.
const MAX_SAVED: u64 = 10_000;

/// Retries that may be spent.
#[derive(Clone, Debug)]
pub(crate) struct Budget {
    saved: u64,
}

impl Budget {
    pub fn new() -> Self {
        Self { saved: MAX_SAVED }
    }

    /// Notes a first attempt.
    pub fn earn(&mut self) {
        self.saved = (self.saved + EARNED_PER_REQUEST).min(MAX_SAVED);
    }

    /// Spends one retry; `false` when there is none left.
    pub fn spend(&mut self) -> bool {
        if self.saved < COST {
            return false;
        }
        self.saved -= COST;
        true
    }
}
