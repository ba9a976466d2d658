//! Which data centres and workers are slower than others.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Runs on a worker or in a data centre before its speed is told apart from chance.
const TRUSTED_RUNS: f64 = 6.0;
/// Weight of the newest run once there are enough: a worker may turn slow, and well again.
const NEWEST: f64 = 0.15;
/// Times as long as elsewhere from which a worker counts as slow. Between sound workers of one deployment factors up to one and a half
/// were seen.
const SLOW_FACTOR: f64 = 2.5;

/// Mean logarithm of real against expected run times.
#[derive(Clone, Copy, Debug, Default)]
struct Pace {
    runs: f64,
    mean: f64,
}

impl Pace {
    fn note(&mut self, value: f64) {
        self.runs += 1.0;
        self.mean += (value - self.mean) * (1.0 / self.runs).max(NEWEST);
    }

    fn trusted(&self) -> Option<f64> {
        (self.runs >= TRUSTED_RUNS).then_some(self.mean)
    }
}

/// Learnt paces, by data centre and by worker.
#[derive(Clone, Debug, Default)]
pub struct Speeds {
    data_centres: BTreeMap<Arc<str>, Pace>,
    workers: BTreeMap<Arc<str>, Pace>,
}

impl Speeds {
    /// Notes a run that took `took_ms` where `expected_ms` was expected. `worker` is left out for a gang, whose members wait for the
    /// slowest of them.
    pub fn note(
        &mut self,
        data_centre: &Arc<str>,
        worker: Option<&Arc<str>>,
        took_ms: u64,
        expected_ms: u64,
    ) {
        #[expect(
            clippy::cast_precision_loss,
            reason = "times here are far below 2^53 ms"
        )]
        let value = (took_ms.max(1) as f64 / expected_ms.max(1) as f64).ln();
        self.data_centres
            .entry(data_centre.clone())
            .or_default()
            .note(value);
        if let Some(worker) = worker {
            self.workers.entry(worker.clone()).or_default().note(value);
        }
    }

    /// How many times as long as in the fastest data centre runs take in this one, in percent.
    pub fn percent(&self, data_centre: &str) -> u64 {
        let fastest = self
            .data_centres
            .values()
            .filter_map(Pace::trusted)
            .fold(f64::INFINITY, f64::min);
        let own = self.data_centres.get(data_centre).and_then(Pace::trusted);
        match own {
            Some(own) if fastest.is_finite() => rounded((own - fastest).exp()),
            _ => 100,
        }
    }

    /// Whether runs on this worker take far longer than expected.
    pub fn is_slow(&self, worker: &str) -> bool {
        self.workers
            .get(worker)
            .filter(|pace| pace.runs >= 2.0)
            .is_some_and(|pace| pace.mean > SLOW_FACTOR.ln())
    }
}

/// A factor as percent, in steps of ten so that chance decides nothing.
fn rounded(factor: f64) -> u64 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped to a range that fits"
    )]
    let tens = (factor * 10.0).clamp(0.0, 1e6).round() as u64;
    tens * 10
}
