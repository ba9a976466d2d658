//! Run times, learnt by shape: what callers declare is often far off.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Weight of a new value against the mean, as a divisor.
const SMOOTHING: f64 = 16.0;
/// Least run time that is expected, in milliseconds; shorter ones would outrank everything.
const LEAST_MS: f64 = 1_000.0;

/// Mean run time of each shape.
#[derive(Clone, Debug, Default)]
pub(crate) struct Runtimes {
    mean_ms: BTreeMap<Arc<str>, f64>,
}

impl Runtimes {
    /// Takes a finished job's run time into account.
    pub fn add(&mut self, shape_name: &Arc<str>, took_ms: u64) {
        // Exact below 2^52 ms.
        let took = took_ms as f64;
        let mean = self.mean_ms.entry(shape_name.clone()).or_insert(took);
        *mean += (took - *mean) / SMOOTHING;
    }

    /// Run time to expect of a job, in milliseconds: between what is declared and what its shape took so far. Each may be
    /// off by a factor; the mean of their logarithms is off by less than the worse of the two.
    pub fn expected_ms(&self, shape_name: &str, declared_ms: u64) -> f64 {
        let declared = (declared_ms as f64).max(LEAST_MS);
        let learnt = self
            .mean_ms
            .get(shape_name)
            .copied()
            .unwrap_or(declared)
            .max(LEAST_MS);
        (declared * learnt).sqrt()
    }
}
