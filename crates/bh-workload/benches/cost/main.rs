//! Time that the parts of one turn of the leader take, for several sizes of the fleet and the queue.
//!
//! `cargo bench -p bh-workload --bench cost [-- WORKERS...]`.
#![expect(
    clippy::cast_precision_loss,
    clippy::unwrap_used,
    reason = "a benchmark with small numbers that ends when something is wrong"
)]

#[path = "../../tests/support/mod.rs"]
mod support;

use bh_protocol::Incarnation;
use bh_workload::dispatch::Answer;
use bh_workload::dispatch::OrderBody;
use bh_workload::dispatch::Report;
use bh_workload::dispatch::Running;
use bh_workload::job::Resources;
use bh_workload::job::StepSpec;
use bh_workload::state::Workload;
use std::time::Instant;
use support::Site;

/// Fleet sizes, in workers: a large deployment, several times that, a whole fleet, and the size that the design must handle.
const FLEETS: [usize; 4] = [540, 3_000, 6_000, 16_000];
const RACK: usize = 12;
/// Lengths of the queue beside a full fleet, in jobs.
const QUEUES: [usize; 3] = [0, 100, 2_000];
/// Number of jobs that arrive together at a fleet of which a tenth is in use.
const ARRIVALS: usize = 20;
/// Number of workers for each job that runs on such a fleet.
const WORKERS_PER_JOB: usize = 20;
/// Number of passes of each part; the median counts.
const PASSES: usize = 9;
/// Kinds of ten consecutive jobs. The kind is also the priority of the job's queue.
const KINDS: [usize; 10] = [0, 1, 0, 2, 0, 1, 0, 0, 2, 0];

/// A step of a kind: 0 for short gangs, 1 for long gangs, 2 for small batch tasks.
fn step(kind: usize, number: usize) -> StepSpec {
    let (count, cpu_millis, accelerators, declared_ms) = [
        (5, 15_000, 2, 2_500),
        (13, 52_000, 3, 6_800),
        (38, 11_000, 1, 7_600),
    ][kind];
    StepSpec {
        count,
        needs: Resources {
            cpu_millis,
            memory_mb: 1_000,
            accelerators: accelerators + u64::from(number.is_multiple_of(5) && kind < 2),
        },
        declared_ms,
        gang: kind < 2,
        rack_local: kind == 1 && number.is_multiple_of(2),
        ..StepSpec::default()
    }
}

/// Submits the job with this number.
fn submit(site: &mut Site, number: usize) {
    let kind = KINDS[number % KINDS.len()];
    let priority = u32::try_from(kind).unwrap();
    site.submit(priority, "other", vec![step(kind, number)]);
}

/// A site whose fleet is full, with `queue` waiting jobs.
fn build(workers: usize, queue: usize) -> Site {
    let mut site = Site::new(workers, RACK);
    let mut number = 0;
    loop {
        let before = site.open_runs().len();
        for _ in 0..workers / 10 {
            submit(&mut site, number);
            number += 1;
        }
        site.plan_and_start();
        site.send_starts();
        if site.open_runs().len() == before {
            break;
        }
    }
    // Jobs that have not started are cancelled, so that the queue has the requested length.
    let waiting: Vec<_> = site
        .workload
        .active_jobs()
        .filter(|(_, job)| !job.started)
        .map(|(id, job)| (id, job.queue.priority))
        .collect();
    for (id, priority) in waiting {
        site.cancel(priority, "other", id);
    }
    for _ in 0..queue {
        submit(&mut site, number);
        number += 1;
    }
    site.advance(50);
    site
}

/// A site with a tenth of its fleet in use, at which `arrivals` jobs have just arrived.
fn build_idle(workers: usize, arrivals: usize) -> Site {
    let mut site = Site::new(workers, RACK);
    let running = workers / WORKERS_PER_JOB;
    for number in 0..running {
        submit(&mut site, number);
    }
    site.plan_and_start();
    site.send_starts();
    for number in running..running + arrivals {
        submit(&mut site, number);
    }
    site.advance(50);
    site
}

/// Returns the median time of the passes, in milliseconds.
fn median_ms(passes: usize, mut pass: impl FnMut()) -> f64 {
    let mut times: Vec<f64> = (0..passes)
        .map(|_| {
            let started = Instant::now();
            pass();
            started.elapsed().as_secs_f64() * 1e3
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times[passes / 2]
}

/// Returns the time of a plan, from the same state each time.
fn plan_ms(site: &mut Site) -> f64 {
    let before = site.planner.clone();
    median_ms(PASSES, || {
        site.planner = before.clone();
        site.plan();
    })
}

/// Returns the time of a survey of waiting work, from the same state each time.
fn survey_ms(site: &Site) -> f64 {
    let times = (site.now_ms, site.wall_ms());
    median_ms(PASSES, || {
        let survey = site.planner.survey(times, &site.workload, &site.dispatcher);
        drop(survey);
    })
}

/// Returns the time to collect the first orders to all workers, the time of a sweep after that, and the time to process one worker's report.
/// None of them uses the network.
fn orders_ms(site: &mut Site) -> (f64, f64, f64) {
    /// Time after which a probe that was answered without a report is sent again, in milliseconds.
    const NEXT_PROBE_MS: u64 = 500;
    site.advance(NEXT_PROBE_MS);
    let mut orders = Vec::new();
    let started = Instant::now();
    orders.extend(site.dispatcher.orders(site.now_ms, &site.workload, true).0);
    let first_ms = started.elapsed().as_secs_f64() * 1e3;
    let sweep_ms = median_ms(PASSES, || {
        site.dispatcher.orders(site.now_ms, &site.workload, true);
    });
    let probes: Vec<_> = orders
        .iter()
        .filter(|order| matches!(order.body, OrderBody::Probe { .. }))
        .collect();
    let reports: Vec<Report> = probes
        .iter()
        .map(|order| report_of(&site.workload, &order.to.worker))
        .collect();
    let started = Instant::now();
    for (order, report) in probes.iter().zip(reports) {
        let answer = Answer::Done {
            clock_ms: Some(site.now_ms),
            report: Some(report),
        };
        site.dispatcher
            .note_answer(site.now_ms, order, &answer, &site.workload);
    }
    let answers_ms = started.elapsed().as_secs_f64() * 1e3;
    (first_ms, sweep_ms, answers_ms / probes.len().max(1) as f64)
}

/// Report of a worker on which all runs are at work.
fn report_of(workload: &Workload, worker: &Incarnation) -> Report {
    let running = workload.worker(worker).unwrap().runs.keys();
    Report {
        running: running
            .map(|run| Running {
                run: *run,
                checkpoint: None,
                percent: 50,
                load: 1_000,
            })
            .collect(),
        ..Report::default()
    }
}

fn main() {
    let requested: Vec<usize> = std::env::args()
        .filter_map(|argument| argument.parse().ok())
        .collect();
    let fleets = if requested.is_empty() {
        FLEETS.to_vec()
    } else {
        requested
    };
    println!(
        "| workers | runs | jobs waiting | plan, ms | first orders, ms | sweep, ms | report, µs | snapshot, MB | snapshot, ms | survey, ms |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    for workers in fleets {
        let idle = [0, ARRIVALS].map(|arrivals| (arrivals, build_idle as fn(usize, usize) -> Site));
        let full = QUEUES.map(|queue| (queue, build as fn(usize, usize) -> Site));
        for (queue, build) in idle.into_iter().chain(full) {
            let mut site = build(workers, queue);
            let plan_ms = plan_ms(&mut site);
            let survey_ms = survey_ms(&site);
            let (first_ms, sweep_ms, report_ms) = orders_ms(&mut site);
            let snapshot = || (Workload::CODEC.snapshot)(&site.workload).unwrap();
            let bytes = snapshot().len();
            let snapshot_ms = median_ms(3, || drop(snapshot()));
            println!(
                "| {workers} | {} | {queue} | {plan_ms:.2} | {first_ms:.2} | {sweep_ms:.2} | {:.1} | {:.1} | {snapshot_ms:.1} | {survey_ms:.2} |",
                site.open_runs().len(),
                report_ms * 1e3,
                bytes as f64 / 1e6,
            );
        }
    }
}
