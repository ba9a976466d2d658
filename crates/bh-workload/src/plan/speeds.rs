//! Learns which data centres and workers are slow.

use super::worker_speeds::WorkerSpeeds;
use super::worker_speeds::rounded_percent;
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
    /// Speeds of workers, if workers are ranked by them.
    ranked: Option<WorkerSpeeds>,
}

impl Speeds {
    /// Ranks each worker by its own speed. Only runs whose expected time was learnt are to be recorded then.
    pub fn with_ranked_workers(mut self) -> Self {
        self.ranked = Some(WorkerSpeeds::default());
        self
    }

    /// Returns whether each worker is ranked by its own speed.
    pub fn ranks_workers(&self) -> bool {
        self.ranked.is_some()
    }

    /// Brings the speeds of ranked workers up to date at the start of a pass.
    pub fn update(&mut self, now_ms: u64) {
        if let Some(ranked) = &mut self.ranked {
            ranked.update(now_ms);
        }
    }

    /// Records for the rank of a worker a run that ended or whose pace is known, with its actual and its expected time in milliseconds.
    pub fn record_rank(
        &mut self,
        data_centre: &Arc<str>,
        worker: &Incarnation,
        now_ms: u64,
        times: (u64, u64),
    ) {
        if let Some(ranked) = &mut self.ranked {
            ranked.record(now_ms, worker, data_centre, log_ratio(times));
        }
    }

    /// Returns the run time on a worker relative to the fastest data centre, in percent. It is that of its data centre if workers are not
    /// ranked or too little is known.
    pub fn runtime_percent(&self, worker: &Incarnation, data_centre: &str, now_ms: u64) -> u64 {
        let ranked = self.ranked.as_ref();
        ranked
            .and_then(|ranked| ranked.runtime_percent(worker, data_centre, now_ms))
            .unwrap_or_else(|| self.data_centre_percent(data_centre))
    }

    /// Records a run that ended at `now_ms`, with its actual and its expected time in milliseconds. `worker` is `None` for a member of a gang, because
    /// members wait for the slowest of them.
    pub fn record(
        &mut self,
        data_centre: &Arc<str>,
        worker: Option<&Incarnation>,
        now_ms: u64,
        times: (u64, u64),
    ) {
        let value = log_ratio(times);
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
        if let Some(ranked) = &self.ranked {
            return ranked.is_unusable(worker, now_ms);
        }
        self.workers
            .get(worker)
            .is_some_and(|runtime| runtime.is_slow() && !runtime.is_expired(now_ms))
    }
}

/// Returns the logarithm of the ratio of an actual to an expected time, both in milliseconds.
fn log_ratio((took_ms, expected_ms): (u64, u64)) -> f64 {
    #[expect(
        clippy::cast_precision_loss,
        reason = "times here are far below 2^53 ms"
    )]
    let ratio = took_ms.max(1) as f64 / expected_ms.max(1) as f64;
    ratio.ln()
}
