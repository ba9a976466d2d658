//! Mean run time of each shape, because the run times that callers declare are often far off.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Divisor of the exponential moving average: a new value counts for one part in this many.
const SMOOTHING: f64 = 16.0;
/// Lower limit of the expected run time. Jobs with a shorter one would be ordered before all others.
const MIN_EXPECTED_MS: f64 = 1_000.0;

/// Moving average of the run time of each shape.
#[derive(Clone, Debug, Default)]
pub(crate) struct Runtimes {
    mean_ms: BTreeMap<Arc<str>, f64>,
}

impl Runtimes {
    /// Adds a finished job's run time to its shape's average.
    pub fn add(&mut self, shape_name: &Arc<str>, run_time_ms: u64) {
        // Exact below 2^52 ms.
        let run_time = run_time_ms as f64;
        let mean = self.mean_ms.entry(shape_name.clone()).or_insert(run_time);
        *mean += (run_time - *mean) / SMOOTHING;
    }

    /// Expected run time of a job in milliseconds: the geometric mean of the declared time and the shape's average. Each of
    /// them may be wrong by a factor, and their geometric mean is wrong by less than the worse one.
    pub fn expected_ms(&self, shape_name: &str, declared_ms: u64) -> f64 {
        let declared = (declared_ms as f64).max(MIN_EXPECTED_MS);
        let observed = self
            .mean_ms
            .get(shape_name)
            .copied()
            .unwrap_or(declared)
            .max(MIN_EXPECTED_MS);
        (declared * observed).sqrt()
    }
}
