//! Services that share a worker with tasks that use idle processors, and the pace of those tasks.
#![expect(
    clippy::unwrap_used,
    reason = "a test that meets the unexpected shall end"
)]

mod support;

use bh_workload::dispatch::Answer;
use bh_workload::dispatch::Order;
use bh_workload::dispatch::OrderBody;
use bh_workload::dispatch::Report;
use bh_workload::dispatch::Running;
use bh_workload::job::RunId;
use bh_workload::job::StepSpec;
use rstest::rstest;
use std::collections::BTreeMap;
use support::Site;
use support::step;

/// Target for the tail of the service's response times, in milliseconds.
const TAIL_TARGET_MS: u64 = 100;
/// Tail of the service's response times when nothing runs beside it, in milliseconds.
const TAIL_ALONE_MS: u64 = 40;
/// Limit on the time for which the service is over its target without a break, in milliseconds.
const MAX_OVER_TARGET_MS: u64 = 4_000;
/// Time between two answers of the worker, in milliseconds.
const TURN_MS: u64 = 500;
const TURNS: u64 = 60;

/// A worker with a service and tasks that use its idle processors.
struct SharedWorker {
    site: Site,
    /// Pace that the leader has set for each run, in percent.
    pace: BTreeMap<RunId, u64>,
    /// Time that each of these tasks adds to the service's tail at full pace, in milliseconds.
    added_ms: u64,
}

impl SharedWorker {
    fn new(added_ms: u64) -> Self {
        let mut site = Site::new(1, 1);
        let service = StepSpec {
            long_running: true,
            tail_target_ms: Some(TAIL_TARGET_MS),
            ..step(1, 1)
        };
        let idle_filler = StepSpec {
            fills_idle: true,
            ..step(4, 1)
        };
        site.submit(1, "other", vec![service]);
        site.submit(2, "other", vec![idle_filler]);
        site.plan_and_start();
        assert_eq!(site.open_runs().len(), 5);
        site.send_starts();
        Self {
            site,
            pace: BTreeMap::new(),
            added_ms,
        }
    }

    /// Returns whether a run only uses idle processors.
    fn fills_idle(&self, run: RunId) -> bool {
        let job = self.site.workload.job(run.task.step.job).unwrap();
        job.spec.steps[0].fills_idle
    }

    /// Returns the current tail of the service's response times, in milliseconds.
    fn tail_ms(&self) -> u64 {
        let runs = self.site.open_runs();
        let fillers = runs.iter().filter(|(_, run)| self.fills_idle(*run));
        let total_added_ms: u64 = fillers
            .map(|(_, run)| self.added_ms * self.pace.get(run).copied().unwrap_or(100) / 100)
            .sum();
        TAIL_ALONE_MS + total_added_ms
    }

    /// Answer of the worker to an order.
    fn answer(&mut self, order: &Order) -> Answer {
        let report = match &order.body {
            OrderBody::Pace { run, percent } => {
                assert!(self.fills_idle(*run), "a service is never slowed down");
                self.pace.insert(*run, *percent);
                None
            }
            OrderBody::Probe { wait_ms, .. } => {
                assert!(*wait_ms <= TURN_MS);
                let runs = self.site.open_runs();
                let running = runs.iter().map(|(_, run)| Running {
                    run: *run,
                    checkpoint: None,
                    percent: if self.fills_idle(*run) { 10 } else { 100 },
                    load: if self.fills_idle(*run) {
                        900
                    } else {
                        self.tail_ms()
                    },
                });
                Some(Report {
                    running: running.collect(),
                    ..Report::default()
                })
            }
            _ => None,
        };
        Answer::Done {
            clock_ms: Some(self.site.now_ms),
            report,
        }
    }

    /// Half a second passes; the worker answers the orders that are due and those that follow from its answers.
    fn turn(&mut self) {
        self.site.advance(TURN_MS);
        for _ in 0..2 {
            let site = &mut self.site;
            let (orders, _) = site.dispatcher.orders(site.now_ms, &site.workload, true);
            for order in orders {
                let answer = self.answer(&order);
                let site = &mut self.site;
                site.dispatcher
                    .note_answer(site.now_ms, &order, &answer, &site.workload);
            }
        }
    }
}

/// Guards against a service that is slow for too long. Tasks that only use idle processors share a worker with the service and slow it
/// down, by little or much, until they are slowed down themselves. If that waited for the next plan or were done in small steps, it would
/// take too long.
#[rstest]
#[case::little(10)]
#[case::some(20)]
#[case::much(200)]
fn a_service_is_not_slow_for_long(#[case] added_ms: u64) {
    let mut shared = SharedWorker::new(added_ms);
    let mut over_ms = 0;
    let mut turns_over = 0;
    for _ in 0..TURNS {
        shared.turn();
        over_ms = if shared.tail_ms() > TAIL_TARGET_MS {
            turns_over += 1;
            over_ms + TURN_MS
        } else {
            0
        };
        assert!(over_ms < MAX_OVER_TARGET_MS, "slow for {over_ms} ms");
    }
    assert!(
        turns_over <= TURNS / 4,
        "slow {turns_over} times of {TURNS}"
    );
}

/// Guards against tasks that stay slow, and never end, after they have stopped disturbing the service: they return to full pace.
#[test]
fn tasks_that_no_longer_disturb_the_service_return_to_full_pace() {
    let mut shared = SharedWorker::new(200);
    for _ in 0..10 {
        shared.turn();
    }
    assert!(shared.tail_ms() < TAIL_TARGET_MS);
    shared.added_ms = 0;
    for _ in 0..30 {
        shared.turn();
    }
    assert!(shared.pace.values().all(|percent| *percent == 100));
}

/// Guards against tasks that stay paused for ever after a change of leader: the new leader does not know the pace that the last one set, so it must
/// set the pace itself.
#[test]
fn a_new_leader_sets_the_pace_again() {
    let mut shared = SharedWorker::new(200);
    for _ in 0..10 {
        shared.turn();
    }
    let slowed = shared.pace.clone();
    assert!(slowed.values().all(|percent| *percent < 100));
    shared.added_ms = 0;
    shared.site.take_over(2);
    for _ in 0..10 {
        shared.turn();
    }
    assert!(shared.pace.values().all(|percent| *percent == 100));
}
