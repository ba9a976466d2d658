//! Learns which data centres and workers are slow.

use bh_protocol::Incarnation;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Minimum number of runs before a speed is trusted to be more than chance.
const MIN_TRUSTED_RUNS: f64 = 6.0;
/// Minimum weight of the newest run in the mean, so that the mean follows workers that become slow or recover.
const MIN_NEWEST_WEIGHT: f64 = 0.15;
/// A worker is slow if its runs take at least this many times as long as expected. Among healthy workers of one deployment, factors of up
/// to 1.5 occur.
const SLOW_FACTOR: f64 = 2.5;

/// Minimum number of runs before a worker can count as slow. A single run may be long by chance.
const MIN_SLOW_RUNS: f64 = 2.0;
/// Time without a run after which a slow worker gets work again, in milliseconds. A slow worker gets no work, so nothing else would show
/// that it has recovered. If it has not, each attempt costs two slow runs.
const SLOW_TTL_MS: u64 = 15_000;

/// Mean logarithm of the ratio of actual to expected run time.
#[derive(Clone, Copy, Debug, Default)]
struct RelativeRuntime {
    runs: f64,
    mean: f64,
    /// When the last run ended, on the leader's clock in milliseconds.
    last_ms: u64,
}

impl RelativeRuntime {
    fn record(&mut self, now_ms: u64, value: f64) {
        self.last_ms = now_ms;
        self.runs += 1.0;
        self.mean += (value - self.mean) * (1.0 / self.runs).max(MIN_NEWEST_WEIGHT);
    }

    /// Returns whether runs take so long that it can't be chance.
    fn is_slow(&self) -> bool {
        self.runs >= MIN_SLOW_RUNS && self.mean > SLOW_FACTOR.ln()
    }

    /// Returns whether the last run is so long ago that the mean says little.
    fn is_expired(&self, now_ms: u64) -> bool {
        now_ms >= self.last_ms + SLOW_TTL_MS
    }

    fn trusted_mean(&self) -> Option<f64> {
        (self.runs >= MIN_TRUSTED_RUNS).then_some(self.mean)
    }
}

/// Learnt speeds, by data centre and by worker.
#[derive(Clone, Debug, Default)]
pub struct Speeds {
    data_centres: BTreeMap<Arc<str>, RelativeRuntime>,
    workers: BTreeMap<Incarnation, RelativeRuntime>,
}

impl Speeds {
    /// Records a run that ended at `now_ms` and took `took_ms` instead of `expected_ms`. `worker` is `None` for a member of a gang, because
    /// members wait for the slowest of them.
    pub fn record(
        &mut self,
        data_centre: &Arc<str>,
        worker: Option<&Incarnation>,
        now_ms: u64,
        (took_ms, expected_ms): (u64, u64),
    ) {
        #[expect(
            clippy::cast_precision_loss,
            reason = "times here are far below 2^53 ms"
        )]
        let value = (took_ms.max(1) as f64 / expected_ms.max(1) as f64).ln();
        self.data_centres
            .entry(data_centre.clone())
            .or_default()
            .record(now_ms, value);
        if let Some(worker) = worker {
            let runtime = self.workers.entry(worker.clone()).or_default();
            if runtime.is_slow() && runtime.is_expired(now_ms) {
                *runtime = RelativeRuntime::default();
            }
            runtime.record(now_ms, value);
        }
    }

    /// Returns the run time in a data centre relative to the fastest one, in percent.
    pub fn data_centre_percent(&self, data_centre: &str) -> u64 {
        let fastest = self
            .data_centres
            .values()
            .filter_map(RelativeRuntime::trusted_mean)
            .fold(f64::INFINITY, f64::min);
        let own = self
            .data_centres
            .get(data_centre)
            .and_then(RelativeRuntime::trusted_mean);
        match own {
            Some(own) if fastest.is_finite() => rounded_percent((own - fastest).exp()),
            _ => 100,
        }
    }

    /// Returns whether runs on this worker take much longer than expected, as far as is known at `now_ms`.
    pub fn is_slow(&self, worker: &Incarnation, now_ms: u64) -> bool {
        self.workers
            .get(worker)
            .is_some_and(|runtime| runtime.is_slow() && !runtime.is_expired(now_ms))
    }
}

/// Converts a factor to percent, in steps of ten so that small random differences have no effect.
fn rounded_percent(factor: f64) -> u64 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped to a range that fits"
    )]
    let tens = (factor * 10.0).clamp(0.0, 1e6).round() as u64;
    tens * 10
}
