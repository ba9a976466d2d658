//! Learns how long tasks take.

use crate::job::StepId;
use crate::job::StepSpec;
use bh_protocol::number::floor_to_u64;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Minimum number of runs of a kind before its learnt run time replaces the declared one. With fewer runs, the variance means little.
const MIN_TRUSTED_RUNS: f64 = 4.0;
/// Expected run time of a task without a declared or learnt time, in milliseconds.
const DEFAULT_RUNTIME_MS: u64 = 5_000;
/// Minimum number of runs of a kind before its tail is known. The short runs of a kind end first, and where a few percent of the runs are long,
/// fewer runs often show none of these.
const MIN_TAIL_RUNS: f64 = 32.0;
/// Number of standard deviations above the mean logarithm where the tail of a kind begins. About one run in fifty is longer.
const TAIL_DEVIATIONS: f64 = 2.0;
/// Maximum number of steps that are remembered. The first in the order of their identifiers are forgotten first.
const MAX_STEPS: usize = 2_048;

/// Kind of task: queue and image.
pub(super) type Kind = (Arc<str>, Option<Arc<str>>);

/// Mean and variance of logarithms. Run times vary by factors, not by amounts.
#[derive(Clone, Copy, Debug, Default)]
struct LogStats {
    count: f64,
    mean: f64,
    squares: f64,
}

impl LogStats {
    fn record(&mut self, value: f64) {
        self.count += 1.0;
        let delta = value - self.mean;
        self.mean += delta / self.count;
        self.squares += delta * (value - self.mean);
    }

    fn variance(&self) -> f64 {
        self.squares / (self.count - 1.0).max(1.0)
    }
}

/// Statistics of one kind of task.
#[derive(Clone, Copy, Debug, Default)]
struct KindStats {
    /// Logarithm of the run time in milliseconds.
    time: LogStats,
    /// Logarithm of the ratio of actual to declared run time.
    ratio: LogStats,
}

/// Learnt run times.
///
/// Declared run times may be proportional to the actual ones, or may be little more than random. Of the run time and its ratio to the
/// declared time, the one that varies less among the runs of a kind is the better predictor. All tasks of a step are alike, so once one of
/// them has ended, its run time is the best predictor for the others.
#[derive(Clone, Debug, Default)]
pub struct Runtimes {
    kinds: BTreeMap<Kind, KindStats>,
    /// Sum of the run times in milliseconds, and their number, by step.
    steps: BTreeMap<StepId, (u64, u64)>,
}

impl Runtimes {
    /// Records that a task of `queue` took `took_ms`.
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

    /// Returns the expected run time of a task of `queue`, in milliseconds: learnt, else declared, else a default.
    pub fn expected_ms(&self, queue: &Arc<str>, step: StepId, spec: &StepSpec) -> u64 {
        let declared_ms = if spec.declared_ms > 0 {
            spec.declared_ms
        } else {
            DEFAULT_RUNTIME_MS
        };
        self.learnt_ms(queue, step, spec).unwrap_or(declared_ms)
    }

    /// Returns the learnt run time of a task of `queue`, in milliseconds, or `None` if too little is known.
    pub fn learnt_ms(&self, queue: &Arc<str>, step: StepId, spec: &StepSpec) -> Option<u64> {
        if let Some((sum_ms, count)) = self.steps.get(&step) {
            return Some((sum_ms / count).max(1));
        }
        let (mean_ms, _) = self.trusted_kind(queue, spec, MIN_TRUSTED_RUNS)?;
        Some(whole_ms(mean_ms))
    }

    /// Returns the number of runs of a kind that have ended.
    pub(super) fn count(&self, kind: &Kind) -> u64 {
        let count = self.kinds.get(kind).map_or(0.0, |stats| stats.time.count);
        floor_to_u64(count)
    }

    /// Returns the time that few tasks of `queue` exceed, in milliseconds, or `None` if too little is known: the learnt run time times what the
    /// runs of the kind vary.
    pub fn tail_ms(&self, queue: &Arc<str>, step: StepId, spec: &StepSpec) -> Option<u64> {
        let (mean_ms, variance) = self.trusted_kind(queue, spec, MIN_TAIL_RUNS)?;
        // The first runs of a step to end are the shortest ones, so few of them say little about the others.
        let own = self.steps.get(&step);
        let own = own.filter(|(_, count)| as_f64(*count) >= MIN_TRUSTED_RUNS);
        let usual_ms = own.map_or(mean_ms, |(sum_ms, count)| as_f64(sum_ms / count));
        Some(whole_ms(
            usual_ms * (TAIL_DEVIATIONS * variance.sqrt()).exp(),
        ))
    }

    /// Returns the mean run time of the kind of a task, in milliseconds, and the variance of its logarithm, if at least `min_runs` of the
    /// kind are known.
    fn trusted_kind(&self, queue: &Arc<str>, spec: &StepSpec, min_runs: f64) -> Option<(f64, f64)> {
        let stats = self
            .kinds
            .get(&(queue.clone(), spec.image.clone()))
            .filter(|stats| stats.time.count >= min_runs)?;
        let by_ratio = spec.declared_ms > 0
            && stats.ratio.count >= min_runs
            && stats.ratio.variance() < stats.time.variance();
        Some(if by_ratio {
            let mean_ms = as_f64(spec.declared_ms) * stats.ratio.mean.exp();
            (mean_ms, stats.ratio.variance())
        } else {
            (stats.time.mean.exp(), stats.time.variance())
        })
    }
}

/// Rounds a time in milliseconds down, to at least one.
fn whole_ms(ms: f64) -> u64 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped to a range that fits"
    )]
    let whole = ms.clamp(1.0, 1e12) as u64;
    whole
}

fn as_f64(ms: u64) -> f64 {
    #[expect(
        clippy::cast_precision_loss,
        reason = "times here are far below 2^53 ms"
    )]
    let value = ms as f64;
    value
}
