//! Which data centres and workers are slower than others.

use bh_protocol::Incarnation;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Runs on a worker or in a data centre before its speed is told apart from chance.
const MIN_TRUSTED_RUNS: f64 = 6.0;
/// Weight of the newest run once there are enough: a worker may turn slow, and well again.
const MIN_NEWEST_WEIGHT: f64 = 0.15;
/// Times as long as elsewhere from which a worker counts as slow. Between sound workers of one deployment factors up to one and a half
/// were seen.
const SLOW_FACTOR: f64 = 2.5;

/// Runs on a worker before it may count as slow: one may be long by chance.
const MIN_SLOW_RUNS: f64 = 2.0;
/// Time without a run after which a slow worker is tried again, in milliseconds. It gets no work while it counts as slow, so nothing else
/// would show that it is well again; trying one that is not costs two slow runs each time.
const SLOW_TTL_MS: u64 = 15_000;

/// Mean logarithm of real against expected run times.
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

    /// Whether runs take so long that this is no chance.
    fn is_slow(&self) -> bool {
        self.runs >= MIN_SLOW_RUNS && self.mean > SLOW_FACTOR.ln()
    }

    /// Whether it has not been tried for so long that what is known of it says little.
    fn is_expired(&self, now_ms: u64) -> bool {
        now_ms >= self.last_ms + SLOW_TTL_MS
    }

    fn trusted_mean(&self) -> Option<f64> {
        (self.runs >= MIN_TRUSTED_RUNS).then_some(self.mean)
    }
}

/// Learnt paces, by data centre and by worker.
#[derive(Clone, Debug, Default)]
pub struct Speeds {
    data_centres: BTreeMap<Arc<str>, RelativeRuntime>,
    workers: BTreeMap<Incarnation, RelativeRuntime>,
}

impl Speeds {
    /// Notes a run that ended at `now_ms` and took `took_ms` where `expected_ms` was expected. `worker` is left out for a gang, whose
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

    /// How many times as long as in the fastest data centre runs take in this one, in percent.
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

    /// Whether runs on this worker take far longer than expected, as far as is known at `now_ms`.
    pub fn is_slow(&self, worker: &Incarnation, now_ms: u64) -> bool {
        self.workers
            .get(worker)
            .is_some_and(|runtime| runtime.is_slow() && !runtime.is_expired(now_ms))
    }
}

/// A factor as percent, in steps of ten so that chance decides nothing.
fn rounded_percent(factor: f64) -> u64 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped to a range that fits"
    )]
    let tens = (factor * 10.0).clamp(0.0, 1e6).round() as u64;
    tens * 10
}
