//! Service times, learnt by request type.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Weight of a new value against the mean, as a divisor.
const SMOOTHING: f64 = 16.0;
/// Time assumed for a type that was never answered, in milliseconds.
const UNKNOWN_MS: f64 = 20.0;
/// An attempt is given up after this many deviations above the mean.
const DEVIATIONS: f64 = 6.0;
/// But not before this, in milliseconds: short types vary by more than they know.
const LEAST_LIMIT_MS: f64 = 250.0;
/// Answers before the history is trusted.
const TRUSTED: u32 = 20;

#[derive(Clone, Debug, Default)]
struct History {
    mean_ms: f64,
    deviation_ms: f64,
    answers: u32,
}

/// Mean and spread of the service time of each request type.
#[derive(Clone, Debug, Default)]
pub(crate) struct Estimate {
    types: BTreeMap<Arc<str>, History>,
}

impl Estimate {
    /// Takes an answer's service time into account.
    pub fn add(&mut self, request_type: &Arc<str>, took_ms: u64) {
        // Exact below 2^52 ms.
        let took = took_ms as f64;
        let history = self.types.entry(request_type.clone()).or_default();
        if history.answers == 0 {
            history.mean_ms = took;
            history.deviation_ms = took / 2.0;
        } else {
            let error = took - history.mean_ms;
            history.mean_ms += error / SMOOTHING;
            history.deviation_ms += (error.abs() - history.deviation_ms) / SMOOTHING;
        }
        history.answers = history.answers.saturating_add(1);
    }

    /// Mean service time in milliseconds.
    pub fn mean_ms(&self, request_type: &str) -> f64 {
        self.types
            .get(request_type)
            .map_or(UNKNOWN_MS, |history| history.mean_ms.max(0.1))
    }

    /// Time within which nearly all requests of the type are answered once sent, in milliseconds.
    pub fn likely_ms(&self, request_type: &str) -> f64 {
        const LIKELY_DEVIATIONS: f64 = 3.0;
        match self.types.get(request_type) {
            Some(history) => history.mean_ms + LIKELY_DEVIATIONS * history.deviation_ms,
            None => UNKNOWN_MS,
        }
    }

    /// How long an attempt that may be repeated is waited for, in milliseconds: a target that went silent must not
    /// take the caller's whole time while others are free.
    pub fn attempt_limit_ms(&self, request_type: &str) -> Option<u64> {
        let history = self
            .types
            .get(request_type)
            .filter(|history| history.answers >= TRUSTED)?;
        let limit = (history.mean_ms
            + DEVIATIONS * history.deviation_ms.max(history.mean_ms / 4.0))
        .max(LEAST_LIMIT_MS);
        // Positive and far below 2^52.
        Some(limit as u64)
    }
}
