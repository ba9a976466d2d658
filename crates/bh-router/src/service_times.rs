//! Estimated service time of each request type.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Divisor of the exponential moving average: a new value counts for one part in this many.
const SMOOTHING: f64 = 16.0;
/// Service time that is assumed for a type without any answer yet.
const DEFAULT_SERVICE_MS: f64 = 20.0;
/// Number of deviations above the mean after which an attempt times out.
const TIMEOUT_DEVIATIONS: f64 = 6.0;
/// Shortest timeout of an attempt. Short service times vary by more than their deviation shows.
const MIN_TIMEOUT_MS: f64 = 250.0;
/// Number of answers from which on the history is used for timeouts.
const MIN_ANSWERS: u32 = 20;

#[derive(Clone, Debug, Default)]
struct History {
    mean_ms: f64,
    deviation_ms: f64,
    answers: u32,
}

/// Mean and deviation of the service time of each request type.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceTimes {
    types: BTreeMap<Arc<str>, History>,
}

impl ServiceTimes {
    /// Adds the service time of an answered request.
    pub fn add(&mut self, request_type: &Arc<str>, service_ms: u64) {
        // Exact below 2^52 ms.
        let service = service_ms as f64;
        let history = self.types.entry(request_type.clone()).or_default();
        if history.answers == 0 {
            history.mean_ms = service;
            history.deviation_ms = service / 2.0;
        } else {
            let error = service - history.mean_ms;
            history.mean_ms += error / SMOOTHING;
            history.deviation_ms += (error.abs() - history.deviation_ms) / SMOOTHING;
        }
        history.answers = history.answers.saturating_add(1);
    }

    /// Mean service time in milliseconds.
    pub fn mean_ms(&self, request_type: &str) -> f64 {
        self.types
            .get(request_type)
            .map_or(DEFAULT_SERVICE_MS, |history| history.mean_ms.max(0.1))
    }

    /// Time in milliseconds within which nearly all requests of the type are answered after they are sent.
    pub fn upper_bound_ms(&self, request_type: &str) -> f64 {
        const UPPER_DEVIATIONS: f64 = 3.0;
        match self.types.get(request_type) {
            Some(history) => history.mean_ms + UPPER_DEVIATIONS * history.deviation_ms,
            None => DEFAULT_SERVICE_MS,
        }
    }

    /// Timeout in milliseconds of an attempt that may be retried, or `None` while there are too few answers. A target that
    /// stopped responding must not use up the caller's whole time while other targets are free.
    pub fn attempt_timeout_ms(&self, request_type: &str) -> Option<u64> {
        let history = self
            .types
            .get(request_type)
            .filter(|history| history.answers >= MIN_ANSWERS)?;
        let timeout = (history.mean_ms
            + TIMEOUT_DEVIATIONS * history.deviation_ms.max(history.mean_ms / 4.0))
        .max(MIN_TIMEOUT_MS);
        // The value is positive and far below 2^52.
        Some(timeout as u64)
    }
}
