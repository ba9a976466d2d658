//! Services beside tasks that use idle processors.
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

const BOUND_MS: u64 = 100;
/// Tail of the service's response times with nothing beside it.
const ALONE_MS: u64 = 40;
/// Longest time for which callers bear a service over its bound.
const MOST_OVER_MS: u64 = 4_000;
/// One answer of the worker each half second, as its figures come.
const TURN_MS: u64 = 500;
const TURNS: u64 = 60;

/// One worker with a service and tasks that fill its idle processors, each of which adds `each_ms` to the service's tail at full speed.
struct Shared {
    site: Site,
    pace: BTreeMap<RunId, u64>,
    each_ms: u64,
}

impl Shared {
    fn new(each_ms: u64) -> Self {
        let mut site = Site::new(1, 1);
        let service = StepSpec {
            long_running: true,
            tail_target_ms: Some(BOUND_MS),
            ..step(1, 1)
        };
        let filling = StepSpec {
            fills_idle: true,
            ..step(4, 1)
        };
        site.submit(1, "other", vec![service]);
        site.submit(2, "other", vec![filling]);
        site.plan_and_start();
        assert_eq!(site.open_runs().len(), 5);
        site.send_starts();
        Self {
            site,
            pace: BTreeMap::new(),
            each_ms,
        }
    }

    fn fills(&self, run: RunId) -> bool {
        let job = self.site.workload.job(run.task.step.job).unwrap();
        job.spec.steps[0].fills_idle
    }

    /// Tail of the service's response times now.
    fn tail_ms(&self) -> u64 {
        let runs = self.site.open_runs();
        let filling = runs.iter().filter(|(_, run)| self.fills(*run));
        let added: u64 = filling
            .map(|(_, run)| self.each_ms * self.pace.get(run).copied().unwrap_or(100) / 100)
            .sum();
        ALONE_MS + added
    }

    fn answer(&mut self, order: &Order) -> Answer {
        let report = match &order.body {
            OrderBody::Pace { run, percent } => {
                assert!(self.fills(*run), "a service is never slowed down");
                self.pace.insert(*run, *percent);
                None
            }
            OrderBody::Probe { wait_ms, .. } => {
                assert!(*wait_ms <= TURN_MS);
                let runs = self.site.open_runs();
                let running = runs.iter().map(|(_, run)| Running {
                    run: *run,
                    checkpoint: None,
                    percent: if self.fills(*run) { 10 } else { 100 },
                    load: if self.fills(*run) {
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

    /// Half a second passes; what there is to order is answered, and what follows from the answers.
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

/// Tasks that only use idle processors share a worker with a service and slow it down, little or much. Its callers see slow answers until
/// the others are slowed down; were that left to the next plan or done by small steps, they would for longer than they bear.
#[rstest]
#[case::little(10)]
#[case::some(20)]
#[case::much(200)]
fn a_service_is_not_slow_for_long(#[case] each_ms: u64) {
    let mut shared = Shared::new(each_ms);
    let mut over_ms = 0;
    let mut turns_over = 0;
    for _ in 0..TURNS {
        shared.turn();
        over_ms = if shared.tail_ms() > BOUND_MS {
            turns_over += 1;
            over_ms + TURN_MS
        } else {
            0
        };
        assert!(over_ms < MOST_OVER_MS, "slow for {over_ms} ms");
    }
    assert!(
        turns_over <= TURNS / 4,
        "slow {turns_over} times of {TURNS}"
    );
}

/// What disturbed the service no longer does. The others get their speed back; else they would never end.
#[test]
fn speed_is_given_back() {
    let mut shared = Shared::new(200);
    for _ in 0..10 {
        shared.turn();
    }
    assert!(shared.tail_ms() < BOUND_MS);
    shared.each_ms = 0;
    for _ in 0..30 {
        shared.turn();
    }
    assert!(shared.pace.values().all(|percent| *percent == 100));
}

/// A new leader does not know how fast the last one let them work. It tells them; else tasks that were held still would stay so for ever.
#[test]
fn a_new_leader_sets_the_pace_anew() {
    let mut shared = Shared::new(200);
    for _ in 0..10 {
        shared.turn();
    }
    let held = shared.pace.clone();
    assert!(held.values().all(|percent| *percent < 100));
    shared.each_ms = 0;
    shared.site.take_over(2);
    for _ in 0..10 {
        shared.turn();
    }
    assert!(shared.pace.values().all(|percent| *percent == 100));
}
