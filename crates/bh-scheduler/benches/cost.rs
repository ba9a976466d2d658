//! Measures the cost of scheduling decisions, and how it grows, with up to 16,000 workers (the two-year size).
//!
//! `cargo bench -p bh-scheduler --bench cost`.

use bh_protocol::job::Phase;
use bh_protocol::job::Placement;
use bh_protocol::job::Spec;
use bh_protocol::shape::Adjacency;
use bh_protocol::shape::Shape;
use bh_protocol::target::TaskPhase;
use bh_protocol::target::TaskReport;
use bh_scheduler::Action;
use bh_scheduler::Event;
use bh_scheduler::Limits;
use bh_scheduler::RecordedJob;
use bh_scheduler::Scheduler;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Instant;

const DECISIONS: usize = 200;

fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok())
        .unwrap_or(0)
        * 4_096
}

fn job(number: u64, shape: Shape) -> Event {
    Event::JobRecorded(RecordedJob {
        job: number,
        spec: Spec {
            team: Arc::from(format!("team{}", number % 230)),
            customer: Arc::from(format!("customer{}", number % 920)),
            key: Arc::from(format!("k{number}")),
            shape_name: Arc::from("s"),
            shape,
            priority: 4,
            declared_ms: 3_600_000,
            payload: String::new(),
        },
        submitted_ms: 1,
        phase: Phase::Queued,
        epoch: 0,
        placement: Placement::default(),
    })
}

/// Carries out a job's actions at once, like workers that accept every order.
fn carry_out(scheduler: &mut Scheduler, now_ms: u64, actions: Vec<Action>) {
    let mut pending = actions;
    while let Some(action) = pending.pop() {
        let event = match action {
            Action::Prepare { job, epoch, .. } => Event::Prepared {
                job,
                epoch,
                refused: BTreeSet::new(),
            },
            Action::RecordStart { job, epoch, .. } => Event::StartRecorded {
                job,
                epoch,
                accepted: true,
            },
            Action::Stop {
                job,
                epoch,
                workers,
            } => {
                for worker in workers {
                    pending.extend(scheduler.step(
                        now_ms,
                        Event::StopSent {
                            job,
                            epoch,
                            worker,
                            confirmed: true,
                        },
                    ));
                }
                continue;
            }
            _ => continue,
        };
        pending.extend(scheduler.step(now_ms, event));
    }
}

/// Builds a data centre of `workers` with 2.375 accelerators each on average, 94 % of them in use by tasks with one accelerator.
fn build(workers: u32) -> (Scheduler, u32) {
    let mut scheduler = Scheduler::new(1, Limits::default(), 3_000, 0);
    let mut accelerators = 0;
    for index in 0..workers {
        let count = if index % 8 == 0 { 5 } else { 2 };
        accelerators += count;
        let event = Event::WorkerAnnounced {
            name: Arc::from(format!("worker-{index:05}")),
            incarnation: 1,
            rack: Arc::from(format!("rack-{:04}", index / 16)),
            accelerators: count,
            leaving: false,
            tasks: Vec::new(),
        };
        scheduler.step(10_000, event);
    }
    let tasks = accelerators / 100 * 94;
    // Gangs of eight tasks, so that the number of jobs has the required order of magnitude.
    for number in 0..u64::from(tasks / 8) {
        let actions = scheduler.step(
            10_000,
            job(number + 1, Shape::new(8, 1, Adjacency::DataCentre)),
        );
        carry_out(&mut scheduler, 10_000, actions);
    }
    (scheduler, tasks)
}

fn percentile(values: &mut [f64], share: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    values[((values.len() - 1) as f64 * share) as usize]
}

fn main() {
    println!(
        "workers tasks gang | place p50 ms p99 ms | announce p50 us p99 us | tick p50 ms | state MiB"
    );
    for workers in [1_000, 4_000, 16_000] {
        let before = resident_bytes();
        let (mut scheduler, tasks) = build(workers);
        let memory = resident_bytes().saturating_sub(before);
        let gang = (workers / 16).min(1_024);
        let (mut place, mut announce, mut tick) = (Vec::new(), Vec::new(), Vec::new());
        for decision in 0..DECISIONS as u64 {
            let number = 10_000_000 + decision;
            let event = job(number, Shape::new(gang, 1, Adjacency::DataCentre));
            let start = Instant::now();
            let actions = scheduler.step(20_000, event);
            place.push(start.elapsed().as_secs_f64() * 1e3);
            assert!(
                matches!(actions.first(), Some(Action::Prepare { .. })),
                "the gang was not placed"
            );
            carry_out(&mut scheduler, 20_000, actions);
            let name: Arc<str> = Arc::from(format!("worker-{:05}", decision % u64::from(workers)));
            let report = Event::WorkerAnnounced {
                name,
                incarnation: 1,
                rack: Arc::from("rack-0000"),
                accelerators: if decision % 8 == 0 { 5 } else { 2 },
                leaving: false,
                tasks: vec![
                    TaskReport {
                        job: 1,
                        epoch: 0,
                        task: 0,
                        phase: TaskPhase::Running
                    };
                    3
                ],
            };
            scheduler.step(20_000, Event::JobsCancelled { jobs: vec![number] });
            let start = Instant::now();
            let actions = if decision < 8 {
                scheduler.step(20_000, report)
            } else {
                Vec::new()
            };
            announce.push(start.elapsed().as_secs_f64() * 1e6);
            carry_out(&mut scheduler, 20_000, actions);
            let start = Instant::now();
            let actions = scheduler.step(20_000, Event::Tick);
            tick.push(start.elapsed().as_secs_f64() * 1e3);
            carry_out(&mut scheduler, 20_000, actions);
            // Confirms the stop of the cancelled gang on every worker.
            for action in scheduler.step(20_000 + 3_001, Event::Tick) {
                carry_out(&mut scheduler, 20_000, vec![action]);
            }
        }
        println!(
            "{workers} {tasks} {gang} | {:.2} {:.2} | {:.1} {:.1} | {:.2} | {:.1}",
            percentile(&mut place, 0.5),
            percentile(&mut place, 0.99),
            percentile(&mut announce[..8].to_vec(), 0.5),
            percentile(&mut announce[..8].to_vec(), 0.99),
            percentile(&mut tick, 0.5),
            memory as f64 / (1 << 20) as f64
        );
    }
}
