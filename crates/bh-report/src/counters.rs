//! Counts of good and bad requests over thirty days: by minute at first, by hour once they are older.

use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Age in minutes up to which requests are counted by minute: the length of the slow-burn alert's short window.
const BY_MINUTE_MINUTES: u64 = 6 * 60;
/// Length of an older bucket in minutes.
const BUCKET_MINUTES: u64 = 60;
/// Age in minutes after which counts are dropped: thirty days.
const RETENTION_MINUTES: u64 = 30 * 24 * 60;

/// Number of good and bad requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Requests that succeeded within their objective.
    pub good: u64,
    /// All other requests that count towards the objective.
    pub bad: u64,
}

impl Tally {
    fn add(&mut self, other: Tally) {
        self.good += other.good;
        self.bad += other.bad;
    }
}

/// Buckets of one customer and request type, by their first minute since 1970.
type Buckets = BTreeMap<u64, Tally>;

/// Request counts of one entry, by customer and request type.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    rows: BTreeMap<Arc<str>, BTreeMap<Arc<str>, Buckets>>,
}

impl Counters {
    /// Creates counters without any requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts one request that ended at `wall_ms`.
    pub fn note(&mut self, wall_ms: u64, customer: &Arc<str>, request_type: &Arc<str>, good: bool) {
        let minute = wall_ms / 60_000;
        let by_type = self.rows.entry(customer.clone()).or_default();
        let buckets = by_type.entry(request_type.clone()).or_default();
        let tally = buckets.entry(minute).or_default();
        if good {
            tally.good += 1;
        } else {
            tally.bad += 1;
        }
    }

    /// Merges old buckets into hours and drops those older than thirty days.
    pub fn compact(&mut self, wall_ms: u64) {
        let now = wall_ms / 60_000;
        for buckets in self
            .rows
            .values_mut()
            .flat_map(|by_type| by_type.values_mut())
        {
            let mut compacted = Buckets::new();
            for (minute, tally) in std::mem::take(buckets) {
                let age = now.saturating_sub(minute);
                if age > RETENTION_MINUTES {
                    continue;
                }
                let bucket = if age > BY_MINUTE_MINUTES {
                    minute - minute % BUCKET_MINUTES
                } else {
                    minute
                };
                compacted.entry(bucket).or_default().add(tally);
            }
            *buckets = compacted;
        }
    }

    /// Adds the counters of another entry.
    pub fn merge(&mut self, other: &Counters) {
        for (customer, by_type) in &other.rows {
            for (request_type, buckets) in by_type {
                let merged = self
                    .rows
                    .entry(customer.clone())
                    .or_default()
                    .entry(request_type.clone())
                    .or_default();
                for (minute, tally) in buckets {
                    merged.entry(*minute).or_default().add(*tally);
                }
            }
        }
    }

    /// Lists each customer and request type with counted requests.
    pub fn names(&self) -> impl Iterator<Item = (&Arc<str>, &Arc<str>)> {
        self.rows.iter().flat_map(|(customer, by_type)| {
            by_type
                .keys()
                .map(move |request_type| (customer, request_type))
        })
    }

    /// Counts the requests of the last `minutes` before `wall_ms`, including the current minute.
    pub fn window(&self, wall_ms: u64, minutes: u64, customer: &str, request_type: &str) -> Tally {
        let now = wall_ms / 60_000;
        let from = now.saturating_sub(minutes - 1);
        let mut sum = Tally::default();
        let buckets = self
            .rows
            .get(customer)
            .and_then(|by_type| by_type.get(request_type));
        for (_, tally) in buckets
            .into_iter()
            .flat_map(|buckets| buckets.range(from..=now))
        {
            sum.add(*tally);
        }
        sum
    }
}
