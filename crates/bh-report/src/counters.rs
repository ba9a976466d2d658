//! Good and bad requests by minute, kept for a month in steps that grow coarser.

use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Minutes kept one by one: the longest window that alarms look at.
const FINE_MINUTES: u64 = 6 * 60;
/// Minutes of a coarse step.
const COARSE_MINUTES: u64 = 60;
/// Minutes kept in all: thirty days.
const KEPT_MINUTES: u64 = 30 * 24 * 60;

/// Requests of one step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Answered well and in time.
    pub good: u64,
    /// All the others that count against the objective.
    pub bad: u64,
}

impl Tally {
    fn add(&mut self, other: Tally) {
        self.good += other.good;
        self.bad += other.bad;
    }
}

/// Steps of one customer and request type, by their first minute since 1970.
type Steps = BTreeMap<u64, Tally>;

/// Counters of all customers and request types of one entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    rows: BTreeMap<Arc<str>, BTreeMap<Arc<str>, Steps>>,
}

impl Counters {
    /// No requests yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes one request that ended at `wall_ms`.
    pub fn note(&mut self, wall_ms: u64, customer: &Arc<str>, request_type: &Arc<str>, good: bool) {
        let minute = wall_ms / 60_000;
        let types = self.rows.entry(customer.clone()).or_default();
        let steps = types.entry(request_type.clone()).or_default();
        let tally = steps.entry(minute).or_default();
        if good {
            tally.good += 1;
        } else {
            tally.bad += 1;
        }
    }

    /// Makes old steps coarser and forgets the oldest.
    pub fn compact(&mut self, wall_ms: u64) {
        let now = wall_ms / 60_000;
        for steps in self.rows.values_mut().flat_map(|types| types.values_mut()) {
            let mut next = Steps::new();
            for (minute, tally) in std::mem::take(steps) {
                let age = now.saturating_sub(minute);
                if age > KEPT_MINUTES {
                    continue;
                }
                let step = if age > FINE_MINUTES {
                    minute - minute % COARSE_MINUTES
                } else {
                    minute
                };
                next.entry(step).or_default().add(tally);
            }
            *steps = next;
        }
    }

    /// Adds the counters of another entry.
    pub fn merge(&mut self, other: &Counters) {
        for (customer, types) in &other.rows {
            for (request_type, steps) in types {
                let own = self
                    .rows
                    .entry(customer.clone())
                    .or_default()
                    .entry(request_type.clone())
                    .or_default();
                for (minute, tally) in steps {
                    own.entry(*minute).or_default().add(*tally);
                }
            }
        }
    }

    /// Customers and request types that have counted.
    pub fn names(&self) -> impl Iterator<Item = (&Arc<str>, &Arc<str>)> {
        self.rows.iter().flat_map(|(customer, types)| {
            types
                .keys()
                .map(move |request_type| (customer, request_type))
        })
    }

    /// Requests of the `minutes` before `wall_ms`, the minute in progress included.
    pub fn window(&self, wall_ms: u64, minutes: u64, customer: &str, request_type: &str) -> Tally {
        let now = wall_ms / 60_000;
        let from = now.saturating_sub(minutes - 1);
        let mut sum = Tally::default();
        let steps = self
            .rows
            .get(customer)
            .and_then(|types| types.get(request_type));
        for (_, tally) in steps.into_iter().flat_map(|steps| steps.range(from..=now)) {
            sum.add(*tally);
        }
        sum
    }
}
