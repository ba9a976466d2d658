//! How long tasks really take.

use crate::job::StepId;
use crate::job::StepSpec;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Runs of a kind after which what was learnt is trusted more than what was declared. Fewer say little of a spread.
const MIN_TRUSTED_RUNS: f64 = 4.0;
/// Expected time of a task of which nothing was declared or learnt, in milliseconds.
const DEFAULT_RUNTIME_MS: u64 = 5_000;
/// Steps remembered at a time; older ones are forgotten first.
const MAX_STEPS: usize = 2_048;

/// What tasks are told apart by: queue and image.
type Kind = (Arc<str>, Option<Arc<str>>);

/// Mean and spread of logarithms: run times vary by factors, not by amounts.
#[derive(Clone, Copy, Debug, Default)]
struct LogStats {
    count: f64,
    mean: f64,
    squares: f64,
}

impl LogStats {
    fn record(&mut self, value: f64) {
        self.count += 1.0;
        let before = value - self.mean;
        self.mean += before / self.count;
        self.squares += before * (value - self.mean);
    }

    fn variance(&self) -> f64 {
        self.squares / (self.count - 1.0).max(1.0)
    }
}

/// What was seen of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct KindStats {
    /// Logarithm of the time in milliseconds.
    time: LogStats,
    /// Logarithm of the time against the declared one.
    ratio: LogStats,
}

/// Learnt run times.
///
/// Declared times may be right but for a factor, or as good as drawn by lot: whichever of real time and real-to-declared ratio has
/// spread less among the runs of a kind predicts the next one better. Tasks of one step are alike, so once one of them has ended its
/// time says most about the others.
#[derive(Clone, Debug, Default)]
pub struct Runtimes {
    kinds: BTreeMap<Kind, KindStats>,
    /// Sum of the times in milliseconds, and their number.
    steps: BTreeMap<StepId, (u64, u64)>,
}

impl Runtimes {
    /// Notes that a task of `queue` took `took_ms`.
    pub fn record(&mut self, queue: &Arc<str>, step: StepId, spec: &StepSpec, took_ms: u64) {
        if self.steps.len() >= MAX_STEPS {
            self.steps.pop_first();
        }
        let stats = self.steps.entry(step).or_default();
        stats.0 += took_ms;
        stats.1 += 1;
        let time = as_f64(took_ms.max(1)).ln();
        let kind = self.kind(queue, spec);
        kind.time.record(time);
        if spec.declared_ms > 0 {
            kind.ratio.record(time - as_f64(spec.declared_ms).ln());
        }
    }

    fn kind(&mut self, queue: &Arc<str>, spec: &StepSpec) -> &mut KindStats {
        self.kinds
            .entry((queue.clone(), spec.image.clone()))
            .or_default()
    }

    /// Expected run time of a task of `queue`, in milliseconds.
    pub fn expected_ms(&self, queue: &Arc<str>, step: StepId, spec: &StepSpec) -> u64 {
        let declared_ms = if spec.declared_ms > 0 {
            spec.declared_ms
        } else {
            DEFAULT_RUNTIME_MS
        };
        self.learnt_ms(queue, step, spec).unwrap_or(declared_ms)
    }

    /// The same in so far as it is learnt, not only declared.
    pub fn learnt_ms(&self, queue: &Arc<str>, step: StepId, spec: &StepSpec) -> Option<u64> {
        if let Some((sum_ms, count)) = self.steps.get(&step) {
            return Some((sum_ms / count).max(1));
        }
        let stats = self
            .kinds
            .get(&(queue.clone(), spec.image.clone()))
            .filter(|stats| stats.time.count >= MIN_TRUSTED_RUNS)?;
        let by_ratio = spec.declared_ms > 0
            && stats.ratio.count >= MIN_TRUSTED_RUNS
            && stats.ratio.variance() < stats.time.variance();
        let learnt_ms = if by_ratio {
            as_f64(spec.declared_ms) * stats.ratio.mean.exp()
        } else {
            stats.time.mean.exp()
        };
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "clamped to a range that fits"
        )]
        let whole = learnt_ms.clamp(1.0, 1e12) as u64;
        Some(whole)
    }
}

fn as_f64(ms: u64) -> f64 {
    #[expect(
        clippy::cast_precision_loss,
        reason = "times here are far below 2^53 ms"
    )]
    let value = ms as f64;
    value
}
