//! Learns the speed of each worker.

use bh_protocol::Incarnation;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Number of runs at the mean of its data centre that each estimate starts with. A single run of seven times the expected time then leaves
/// a worker below [`SLOW_PERCENT`].
const PRIOR_RUNS: f64 = 4.0;
/// Minimum number of runs before a worker can count as slow. A single run may be long by chance.
const MIN_SLOW_RUNS: f64 = 2.0;
/// Minimum number of runs before a worker ranks exactly as its data centre.
const MIN_USUAL_RUNS: f64 = 3.0;
/// Minimum number of runs in a data centre before its speed is known.
const MIN_DATA_CENTRE_RUNS: f64 = 6.0;
/// Minimum weight of the newest run in the mean, so that the mean follows workers that become slow or recover.
const MIN_NEWEST_WEIGHT: f64 = 0.15;
/// Largest factor by which a run counts as longer or shorter than the worker's mean. Of some kinds of work, a few percent of the runs take
/// many times as long as the others, on any worker.
const MAX_RUN_FACTOR: f64 = 2.5;
/// Run time, relative to the fastest data centre, from which a worker counts as slow, in percent. It uses up the slack of work with a tight
/// deadline (1.5 times the run time), and healthy workers differ by less.
pub const SLOW_PERCENT: u64 = 150;
/// Factor from which a worker gets no work for a while. Work with the most slack (three times the run time plus a fixed part) is late there.
const UNUSABLE_FACTOR: f64 = 4.0;
/// Time without a run after which an unusable worker is tried again, in milliseconds. No run would show that it has recovered.
const UNUSABLE_TTL_MS: u64 = 15_000;
/// Time without a run after which a speed is forgotten, in milliseconds. A worker that no work prefers shows its recovery only in the runs
/// that it gets then.
const SPEED_TTL_MS: u64 = 60_000;

/// What is known of one worker. All values are logarithms of the ratio of actual to expected run time.
#[derive(Clone, Debug)]
struct WorkerSpeed {
    data_centre: Arc<str>,
    runs: f64,
    mean: f64,
    /// When the last run was recorded, on the leader's clock in milliseconds.
    last_ms: u64,
}

/// What is known of a data centre, as logarithms.
#[derive(Clone, Copy, Debug)]
struct DataCentreSpeed {
    mean: f64,
    median: f64,
}

/// Speeds of workers, learnt from runs whose expected time was learnt before.
#[derive(Clone, Debug, Default)]
pub(super) struct WorkerSpeeds {
    workers: BTreeMap<Incarnation, WorkerSpeed>,
    data_centres: BTreeMap<Arc<str>, DataCentreSpeed>,
    /// Median of the fastest data centre, to which all run times are relative.
    reference: f64,
    /// Whether `data_centres` and `reference` lack runs.
    is_outdated: bool,
}

impl WorkerSpeeds {
    /// Records a run with this logarithm of the ratio of actual to expected run time.
    pub fn record(
        &mut self,
        now_ms: u64,
        worker: &Incarnation,
        data_centre: &Arc<str>,
        value: f64,
    ) {
        let known = self.data_centres.get(data_centre);
        let prior = known.map_or(self.reference, |known| known.mean);
        let reference = self.reference;
        let speed = self
            .workers
            .entry(worker.clone())
            .or_insert_with(|| WorkerSpeed::new(data_centre, prior));
        if speed.is_expired(now_ms) || speed.is_unusable(reference) && !speed.is_recent(now_ms) {
            *speed = WorkerSpeed::new(data_centre, prior);
        }
        speed.record(now_ms, value);
        self.is_outdated = true;
    }

    /// Brings the speeds of the data centres up to date, to which those of their workers are compared. A pass does so once.
    pub fn update(&mut self, now_ms: u64) {
        if !std::mem::take(&mut self.is_outdated) {
            return;
        }
        self.workers.retain(|_, speed| !speed.is_expired(now_ms));
        let mut values: BTreeMap<Arc<str>, (f64, Vec<f64>)> = BTreeMap::new();
        for speed in self.workers.values() {
            if !values.contains_key(&speed.data_centre) {
                values.insert(speed.data_centre.clone(), (0.0, Vec::new()));
            }
            if let Some((runs, means)) = values.get_mut(&speed.data_centre) {
                *runs += speed.runs;
                means.push(speed.mean);
            }
        }
        let is_known = |(runs, _): &(f64, Vec<f64>)| *runs >= MIN_DATA_CENTRE_RUNS;
        self.data_centres = values
            .into_iter()
            .filter(|(_, value)| is_known(value))
            .map(|(name, (_, means))| (name, DataCentreSpeed::new(means)))
            .collect();
        let medians = self.data_centres.values().map(|speed| speed.median);
        self.reference = medians.reduce(f64::min).unwrap_or(0.0);
    }

    /// Returns the run time on a worker relative to a usual worker of the fastest data centre, in percent, or `None` if too little is known
    /// of its data centre.
    pub fn runtime_percent(
        &self,
        worker: &Incarnation,
        data_centre: &str,
        now_ms: u64,
    ) -> Option<u64> {
        let own_centre = self.data_centres.get(data_centre)?;
        let percent = |value: f64| rounded_percent((value - self.reference).exp());
        let speed = self.workers.get(worker);
        let Some(speed) = speed.filter(|speed| !speed.is_expired(now_ms)) else {
            return Some(percent(own_centre.mean));
        };
        let estimate =
            (speed.runs * speed.mean + PRIOR_RUNS * own_centre.mean) / (speed.runs + PRIOR_RUNS);
        let usual = rounded_percent((estimate - own_centre.median).exp()) < SLOW_PERCENT;
        Some(if speed.runs >= MIN_USUAL_RUNS && usual {
            // Small differences are chance, and would scatter small tasks over workers that differ in nothing else.
            percent(own_centre.median)
        } else if speed.runs < MIN_SLOW_RUNS {
            percent(estimate).min(SLOW_PERCENT - 1)
        } else {
            percent(estimate)
        })
    }

    /// Returns whether runs on a worker take so long that it gets no work at `now_ms`.
    pub fn is_unusable(&self, worker: &Incarnation, now_ms: u64) -> bool {
        let speed = self.workers.get(worker);
        speed.is_some_and(|speed| speed.is_unusable(self.reference) && speed.is_recent(now_ms))
    }
}

impl WorkerSpeed {
    /// A worker without runs, in a data centre whose runs have this mean.
    fn new(data_centre: &Arc<str>, prior: f64) -> Self {
        Self {
            data_centre: data_centre.clone(),
            runs: 0.0,
            mean: prior,
            last_ms: 0,
        }
    }

    fn record(&mut self, now_ms: u64, value: f64) {
        let max_deviation = MAX_RUN_FACTOR.ln();
        let deviation = (value - self.mean).clamp(-max_deviation, max_deviation);
        self.last_ms = now_ms;
        self.runs += 1.0;
        self.mean += deviation * (1.0 / self.runs).max(MIN_NEWEST_WEIGHT);
    }

    fn is_expired(&self, now_ms: u64) -> bool {
        now_ms >= self.last_ms + SPEED_TTL_MS
    }

    fn is_recent(&self, now_ms: u64) -> bool {
        now_ms < self.last_ms + UNUSABLE_TTL_MS
    }

    fn is_unusable(&self, reference: f64) -> bool {
        self.runs >= MIN_SLOW_RUNS && self.mean - reference > UNUSABLE_FACTOR.ln()
    }
}

impl DataCentreSpeed {
    /// Computes the speed of a data centre from those of its workers, of which there is at least one.
    fn new(mut means: Vec<f64>) -> Self {
        let middle = (means.len() - 1) / 2;
        let (_, median, _) = means.select_nth_unstable_by(middle, f64::total_cmp);
        let median = *median;
        #[expect(clippy::cast_precision_loss, reason = "far below 2^53")]
        let count = means.len() as f64;
        Self {
            mean: means.iter().sum::<f64>() / count,
            median,
        }
    }
}

/// Converts a factor to percent, in steps of ten so that small random differences have no effect.
pub(super) fn rounded_percent(factor: f64) -> u64 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped to a range that fits"
    )]
    let tens = (factor * 10.0).clamp(0.0, 1e6).round() as u64;
    tens * 10
}
