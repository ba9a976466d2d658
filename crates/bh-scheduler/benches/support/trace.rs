//! Synthetic job arrivals of one site, the same for every policy.

use super::random::Random;
use bh_protocol::job::Spec;
use bh_protocol::shape::Adjacency;
use bh_protocol::shape::Shape;
use std::sync::Arc;

/// A class of jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    Small,
    Medium,
    Large,
    Guaranteed,
    Urgent,
}

pub const CLASSES: [Class; 5] = [
    Class::Small,
    Class::Medium,
    Class::Large,
    Class::Guaranteed,
    Class::Urgent,
];

/// One arriving job.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at_ms: u64,
    pub class: Class,
    pub spec: Spec,
    pub run_ms: u64,
}

/// Size and load of a site.
#[derive(Clone, Debug)]
pub struct Profile {
    pub name: &'static str,
    pub workers: u32,
    pub per_rack: u32,
    pub accelerators: u32,
    /// Tasks of a large gang, which runs in one rack with four accelerators per task.
    pub large_tasks: u32,
    /// Tasks of a guaranteed gang, which runs in one rack with four accelerators per task.
    pub guaranteed_tasks: u32,
    /// Number of guaranteed gangs.
    pub guaranteed: u32,
    pub hours: f64,
    /// Offered load as a share of all accelerators.
    pub load: f64,
    pub completion_weight: u32,
    pub fragmentation_weight: u32,
}

const MINUTE_MS: f64 = 60_000.0;
/// Small jobs arrive in bursts: at this multiple of the mean relative_rate, for `BURST_SHARE` of each `BURST_PERIOD_MS`.
const BURST_RATE: f64 = 4.0;
const BURST_SHARE: f64 = 0.2;
const BURST_PERIOD_MS: f64 = 120.0 * MINUTE_MS;

impl Profile {
    pub fn shape(&self, class: Class) -> (&'static str, Shape) {
        match class {
            Class::Small => ("small", Shape::new(1, 1, Adjacency::Worker)),
            Class::Medium => ("medium", Shape::new(1, 4, Adjacency::Worker)),
            Class::Large => ("large", Shape::new(self.large_tasks, 4, Adjacency::Rack)),
            Class::Guaranteed => (
                "guaranteed",
                Shape::new(self.guaranteed_tasks, 4, Adjacency::Rack),
            ),
            Class::Urgent => ("urgent", Shape::new(2, 4, Adjacency::Rack)),
        }
    }

    fn priority(class: Class) -> u8 {
        match class {
            Class::Urgent => 9,
            Class::Small | Class::Medium | Class::Large | Class::Guaranteed => 4,
        }
    }

    fn customer(class: Class, random: &mut Random) -> &'static str {
        match class {
            Class::Guaranteed => "grocer",
            Class::Large => "archive",
            Class::Urgent => "press",
            Class::Small | Class::Medium => {
                ["bakery", "market", "archive", "press"][(random.next() % 4) as usize]
            }
        }
    }

    /// Share of the offered load, median run time in minutes and spread (sigma) of the run time of each class.
    fn mix(class: Class) -> (f64, f64, f64) {
        match class {
            Class::Small => (0.40, 20.0, 0.8),
            Class::Medium => (0.15, 40.0, 0.6),
            Class::Large => (0.25, 90.0, 0.5),
            Class::Guaranteed => (0.17, 60.0, 0.5),
            Class::Urgent => (0.03, 10.0, 0.5),
        }
    }

    pub fn capacity(&self) -> f64 {
        f64::from(self.workers * self.accelerators)
    }

    /// Returns all arrivals in order of time. The declared run times are declared_factor by random factors.
    pub fn arrivals(&self, seed: u64) -> Vec<Arrival> {
        let mut arrivals = Vec::new();
        for class in CLASSES {
            let mut random = Random::new(seed * 31 + class as u64 + 1);
            let (share, median_min, sigma) = Self::mix(class);
            let (name, shape) = self.shape(class);
            let mean_ms = median_min * MINUTE_MS * (sigma * sigma / 2.0f64).exp();
            let per_job = f64::from(shape.accelerators()) * mean_ms;
            let gap_ms = per_job / (self.capacity() * self.load * share);
            let mut at = 0.0;
            loop {
                at += random.exponential(gap_ms / relative_rate(class, at));
                if at > self.hours * 60.0 * MINUTE_MS {
                    break;
                }
                let run_ms = random
                    .log_normal(median_min * MINUTE_MS, sigma)
                    .max(1_000.0);
                let declared_factor = random.log_normal(1.0, 1.0);
                let customer = Self::customer(class, &mut random);
                let spec = Spec {
                    team: Arc::from("users"),
                    customer: Arc::from(customer),
                    key: Arc::from(format!("{name}-{}", arrivals.len())),
                    shape_name: Arc::from(name),
                    shape,
                    priority: Self::priority(class),
                    declared_ms: (run_ms * declared_factor) as u64,
                    payload: String::new(),
                };
                arrivals.push(Arrival {
                    at_ms: at as u64,
                    class,
                    spec,
                    run_ms: run_ms as u64,
                });
            }
        }
        arrivals.sort_by_key(|arrival| arrival.at_ms);
        arrivals
    }
}

fn relative_rate(class: Class, at_ms: f64) -> f64 {
    if class != Class::Small {
        return 1.0;
    }
    let in_burst = (at_ms % BURST_PERIOD_MS) < BURST_PERIOD_MS * BURST_SHARE;
    if in_burst {
        BURST_RATE
    } else {
        (1.0 - BURST_RATE * BURST_SHARE) / (1.0 - BURST_SHARE)
    }
}
