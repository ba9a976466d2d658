//! Compares the placement policy with three baselines on the same arrivals.
//!
//! `cargo bench -p bh-scheduler --bench policy [-- SEED]`. Prints for each profile and policy the slowdown by class (the
//! time from arrival to completion, divided by the run time), the mean fragmentation for the large shape, the guaranteed
//! jobs that waited, and the work lost when jobs were stopped.

#[path = "support/baseline.rs"]
mod baseline;
#[path = "support/random.rs"]
mod random;
#[path = "support/site.rs"]
mod site;
#[path = "support/trace.rs"]
mod trace;

use baseline::Baseline;
use baseline::Mode;
use bh_scheduler::Fragmentation;
use bh_scheduler::Limits;
use site::Site;
use std::collections::BTreeMap;
use std::sync::Arc;
use trace::Arrival;
use trace::CLASSES;
use trace::Class;
use trace::Profile;

const TICK_MS: u64 = 5_000;
const CHECKPOINT_WAIT_MS: u64 = 2_000;
/// A guaranteed job counts as delayed if it starts later than this: the checkpoint wait plus the time of the orders.
const MAX_GUARANTEED_START_MS: u64 = CHECKPOINT_WAIT_MS + 500;

struct Row {
    policy: String,
    slowdown: BTreeMap<Class, Vec<f64>>,
    start_ms: BTreeMap<Class, Vec<u64>>,
    fragmentation: f64,
    lost_hours: f64,
    unfinished: usize,
    /// Guaranteed jobs that arrived while the customer used less than its guarantee, and how many of them were delayed.
    guaranteed: (usize, usize),
}

fn profiles() -> Vec<Profile> {
    let kaupluse = Profile {
        name: "kaupluse",
        workers: 50,
        per_rack: 8,
        accelerators: 8,
        large_tasks: 12,
        guaranteed_tasks: 4,
        guaranteed: 4,
        hours: 24.0,
        load: 0.85,
        completion_weight: 3,
        fragmentation_weight: 1,
    };
    let manizales = Profile {
        name: "manizales",
        per_rack: 6,
        large_tasks: 10,
        completion_weight: 1,
        fragmentation_weight: 3,
        ..kaupluse.clone()
    };
    // One of the 20 data centres of the two-year size has 800 workers with 1,900 accelerators. This profile
    // has 240 workers with 8 accelerators each.
    let two_years = Profile {
        name: "two-years",
        workers: 240,
        per_rack: 16,
        large_tasks: 24,
        guaranteed: 16,
        hours: 8.0,
        ..kaupluse.clone()
    };
    vec![kaupluse, manizales, two_years]
}

fn run_scheduler(profile: &Profile, arrivals: &[Arrival]) -> Row {
    let mut limits = Limits::default();
    limits.policy.checkpoint_wait_ms = CHECKPOINT_WAIT_MS;
    limits.policy.completion_weight = profile.completion_weight;
    limits.policy.fragmentation_weight = profile.fragmentation_weight;
    if let Ok(text) = std::env::var("STARVATION_MS") {
        limits.policy.starvation_ms = text.parse().expect("STARVATION_MS is a number");
    }
    let (name, shape) = profile.shape(Class::Guaranteed);
    limits.guarantees.insert(
        (Arc::from("grocer"), Arc::from(name)),
        (shape, profile.guaranteed),
    );
    let mut site = Site::new(limits);
    for worker in 0..profile.workers {
        site.add_worker(
            &format!("w{worker:04}"),
            &format!("r{:03}", worker / profile.per_rack),
            profile.accelerators,
        );
    }
    let large = profile.shape(Class::Large).1;
    let mut numbers = BTreeMap::new();
    let mut samples = (0.0, 0u32);
    let mut next_sample = 60_000;
    for (index, arrival) in arrivals.iter().enumerate() {
        while site.now_ms + TICK_MS < arrival.at_ms {
            let to = site.now_ms + TICK_MS;
            site.run_until(to);
            if to >= next_sample {
                samples = (
                    samples.0 + Fragmentation::new(site.scheduler.inventory(), &large).value(),
                    samples.1 + 1,
                );
                next_sample += 60_000;
            }
        }
        site.run_until(arrival.at_ms);
        numbers.insert(
            site.submit(arrival.spec.clone(), arrival.run_ms, false),
            index,
        );
    }
    let last_ms = site.now_ms + 48 * 3_600_000;
    while site.now_ms < last_ms
        && site
            .histories
            .values()
            .any(|history| history.ended_ms.is_none())
    {
        let to = site.now_ms + 60_000;
        site.run_until(to);
    }
    let mut row = Row {
        policy: "beechhollow".to_owned(),
        slowdown: BTreeMap::new(),
        start_ms: BTreeMap::new(),
        fragmentation: samples.0 / f64::from(samples.1.max(1)),
        lost_hours: 0.0,
        unfinished: 0,
        guaranteed: (0, 0),
    };
    let mut guaranteed_times = Vec::new();
    for (job, index) in numbers {
        let (history, arrival) = (&site.histories[&job], &arrivals[index]);
        row.lost_hours += history.lost_work as f64 / 3_600_000.0;
        match (history.ended_ms, history.first_start_ms) {
            (Some(ended), Some(started)) => {
                add_job(&mut row, arrival, started, ended);
                if arrival.class == Class::Guaranteed {
                    guaranteed_times.push((arrival.at_ms, started, ended));
                }
            }
            _ => row.unfinished += 1,
        }
    }
    row.guaranteed = within_guarantee(profile, &guaranteed_times);
    row
}

/// Arrival, start and end of a guaranteed job.
type GuaranteedTimes = (u64, u64, u64);

/// Counts the guaranteed jobs that arrived while fewer than the guaranteed number were unfinished, and how many of these
/// jobs were delayed.
fn within_guarantee(profile: &Profile, guaranteed_times: &[GuaranteedTimes]) -> (usize, usize) {
    let within = guaranteed_times.iter().filter(|(at, _, _)| {
        let unfinished = guaranteed_times
            .iter()
            .filter(|(other, _, ended)| other < at && ended > at)
            .count();
        unfinished < profile.guaranteed as usize
    });
    let within: Vec<&GuaranteedTimes> = within.collect();
    (
        within.len(),
        within
            .iter()
            .filter(|(at, started, _)| started - at > MAX_GUARANTEED_START_MS)
            .count(),
    )
}

fn add_job(row: &mut Row, arrival: &Arrival, started_ms: u64, ended_ms: u64) {
    let slowdown = (ended_ms - arrival.at_ms) as f64 / arrival.run_ms as f64;
    row.slowdown
        .entry(arrival.class)
        .or_default()
        .push(slowdown);
    row.start_ms
        .entry(arrival.class)
        .or_default()
        .push(started_ms - arrival.at_ms);
}

fn run_baseline(mode: Mode, profile: &Profile, arrivals: &[Arrival]) -> Row {
    let mut baseline = Baseline::new(mode, profile);
    let fragmentation = baseline.run(arrivals, &profile.shape(Class::Large).1);
    let mut row = Row {
        policy: format!("{mode:?}"),
        slowdown: BTreeMap::new(),
        start_ms: BTreeMap::new(),
        fragmentation,
        lost_hours: 0.0,
        unfinished: arrivals.len() - baseline.finished.len(),
        guaranteed: (0, 0),
    };
    let mut guaranteed_times = Vec::new();
    for finished in &baseline.finished {
        if arrivals[finished.arrival].class == Class::Guaranteed {
            guaranteed_times.push((
                arrivals[finished.arrival].at_ms,
                finished.started_ms,
                finished.ended_ms,
            ));
        }
        add_job(
            &mut row,
            &arrivals[finished.arrival],
            finished.started_ms,
            finished.ended_ms,
        );
    }
    row.guaranteed = within_guarantee(profile, &guaranteed_times);
    row
}

fn percentile(values: &mut [f64], share: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let index = ((values.len() as f64 - 1.0) * share).round() as usize;
    values.get(index).copied().unwrap_or(f64::NAN)
}

fn print(profile: &Profile, mut row: Row) {
    print!("{:<10} {:<16}", profile.name, row.policy);
    for class in CLASSES {
        let mut values = row.slowdown.remove(&class).unwrap_or_default();
        let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
        let (p50, p99) = (percentile(&mut values, 0.5), percentile(&mut values, 0.99));
        print!(" | {mean:>6.2} {p50:>5.2} {p99:>7.2}");
    }
    let urgent = row.start_ms.remove(&Class::Urgent).unwrap_or_default();
    let slow_urgent = urgent.iter().filter(|start| **start > 9_200).count();
    println!(
        " | {:.3} | {}/{} | {slow_urgent}/{} | {:.1} | {}",
        row.fragmentation,
        row.guaranteed.1,
        row.guaranteed.0,
        urgent.len(),
        row.lost_hours,
        row.unfinished
    );
}

fn main() {
    let seed = std::env::args()
        .filter_map(|text| text.parse().ok())
        .next()
        .unwrap_or(1);
    println!(
        "seed {seed}; completion time over ideal as mean, p50, p99 for small, medium, large, guaranteed, urgent;"
    );
    println!(
        "then fragmentation, guaranteed that waited, urgent over 9.2 s, accelerator hours lost, unfinished"
    );
    for profile in profiles() {
        let arrivals = profile.arrivals(seed);
        println!(
            "{}: {} jobs, {} large",
            profile.name,
            arrivals.len(),
            arrivals.iter().filter(|a| a.class == Class::Large).count()
        );
        print(&profile, run_scheduler(&profile, &arrivals));
        for mode in [Mode::FirstFit, Mode::BestFit, Mode::StaticPartition] {
            print(&profile, run_baseline(mode, &profile, &arrivals));
        }
    }
}
