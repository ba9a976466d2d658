//! How a request type fares over all targets.

use crate::decision::AttemptOutcome;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A type that fails more than this share of its attempts fails everywhere, in thousandths.
const FAILS_EVERYWHERE: u64 = 500;

/// How a request type fares over all targets.
#[derive(Clone, Debug, Default)]
pub(crate) struct TypeRecord {
    /// Failures by target, forgotten by halves.
    failed: BTreeMap<Arc<str>, u64>,
    answered: u64,
    attempts: u64,
}

impl TypeRecord {
    /// Attempts after which all counts are halved.
    const WINDOW: u64 = 64;

    /// Takes the end of an attempt into account.
    pub fn note(&mut self, target: &Arc<str>, outcome: AttemptOutcome) {
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

    /// Whether the type fails on several targets other than `target`, and mostly.
    pub fn fails_elsewhere(&self, target: &Arc<str>) -> bool {
        let others = self.failed.iter().filter(|(name, _)| *name != target);
        let (targets, failures) = others.fold((0, 0), |(targets, sum), (_, count)| {
            (targets + 1, sum + count)
        });
        targets >= 2 && failures * 1_000 > (failures + self.answered) * FAILS_EVERYWHERE
    }
}
