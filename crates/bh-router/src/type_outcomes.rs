//! Failures of a request type over all targets.

use crate::decision::AttemptOutcome;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Share of failed attempts, in thousandths, above which a request type counts as failing everywhere.
const FAILS_EVERYWHERE_THOUSANDTHS: u64 = 500;

/// Answers and failures of a request type over all targets.
#[derive(Clone, Debug, Default)]
pub(crate) struct TypeOutcomes {
    /// Failures by target.
    failed: BTreeMap<Arc<str>, u64>,
    answered: u64,
    attempts: u64,
}

impl TypeOutcomes {
    /// Number of attempts after which all counts are halved, so that old outcomes lose weight.
    const WINDOW: u64 = 64;

    /// Records the end of an attempt.
    pub fn record(&mut self, target: &Arc<str>, outcome: AttemptOutcome) {
        self.attempts += 1;
        match outcome {
            AttemptOutcome::Answered => self.answered += 1,
            AttemptOutcome::Failed => *self.failed.entry(target.clone()).or_insert(0) += 1,
            _ => {}
        }
        if self.attempts >= Self::WINDOW {
            self.attempts /= 2;
            self.answered /= 2;
            for count in self.failed.values_mut() {
                *count /= 2;
            }
            self.failed.retain(|_, count| *count > 0);
        }
    }

    /// Whether the type fails on at least two targets other than `target`, in most of the attempts.
    pub fn fails_elsewhere(&self, target: &Arc<str>) -> bool {
        let others = self.failed.iter().filter(|(name, _)| *name != target);
        let (targets, failures) = others.fold((0, 0), |(targets, sum), (_, count)| {
            (targets + 1, sum + count)
        });
        targets >= 2 && failures * 1_000 > (failures + self.answered) * FAILS_EVERYWHERE_THOUSANDTHS
    }
}
