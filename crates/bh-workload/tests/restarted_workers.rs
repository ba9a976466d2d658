//! Workers that restart under the same id.
#![expect(
    clippy::unwrap_used,
    reason = "a test that meets the unexpected shall end"
)]

mod support;

use bh_protocol::Incarnation;
use bh_workload::dispatch::Answer;
use bh_workload::dispatch::Ended;
use bh_workload::dispatch::Order;
use bh_workload::dispatch::OrderBody;
use bh_workload::dispatch::Report;
use bh_workload::dispatch::Running;
use bh_workload::job::JobId;
use bh_workload::job::RunId;
use bh_workload::state::Command;
use bh_workload::state::EndKind;
use bh_workload::state::TaskState;
use bh_workload::state::WorkerChange;
use bh_workload::state::Workload;
use support::Site;
use support::step;
use support::task;
use support::worker_id;
use support::worker_info;

/// Start time of the earlier incarnation.
const FIRST_MS: u64 = 1_000;
/// Start time of the later incarnation.
const SECOND_MS: u64 = 2_000;

fn set_worker(started_ms: Option<u64>) -> Command {
    let mut info = worker_info(0, 1);
    info.id.started_ms = started_ms;
    Command::Workers(vec![WorkerChange::Known(info)])
}

fn incarnation(started_ms: u64) -> Incarnation {
    worker_id(&format!("w00@{started_ms}"))
}

/// A site with one worker, which reports its start time and has answered a probe.
fn site() -> Site {
    let mut site = Site::new(0, 1);
    site.workload.apply(set_worker(Some(FIRST_MS)));
    site.take_events();
    site.heartbeats();
    site.answer_for(&incarnation(FIRST_MS), &report_answer(&site, &[], &[]));
    site
}

fn report_answer(site: &Site, running: &[RunId], ended: &[(u64, RunId, EndKind)]) -> Answer {
    Answer::Done {
        clock_ms: Some(site.now_ms),
        report: Some(report(running, ended)),
    }
}

fn report(running: &[RunId], ended: &[(u64, RunId, EndKind)]) -> Report {
    let running = running.iter().map(|run| Running {
        run: *run,
        checkpoint: None,
        percent: 1,
        load: 0,
    });
    let ended = ended.iter().map(|(number, run, kind)| Ended {
        number: *number,
        run: *run,
        kind: *kind,
        checkpoint: None,
    });
    Report {
        running: running.collect(),
        ended: ended.collect(),
        more: false,
    }
}

fn restart_answer(running: &[RunId], ended: &[(u64, RunId, EndKind)]) -> Answer {
    Answer::Restarted {
        started_ms: SECOND_MS,
        report: report(running, ended),
    }
}

/// Answers each order that is due and records the commands that follow.
fn answer_each_order(site: &mut Site, answer: impl Fn(&Site, &Order) -> Answer) -> Vec<Order> {
    let orders = site.orders();
    for order in &orders {
        let made = answer(site, order);
        let command = site
            .dispatcher
            .note_answer(site.now_ms, order, &made, &site.workload);
        if let Some(command) = command {
            let now_ms = site.wall_ms();
            site.workload.apply(command.at(now_ms));
            site.take_events();
        }
    }
    orders
}

fn is_probe(order: &Order) -> bool {
    matches!(order.body, OrderBody::Probe { .. })
}

/// Answer of the later incarnation: reports `running` to probes and carries out other orders.
fn later_answer(site: &Site, order: &Order, running: &[RunId]) -> Answer {
    if is_probe(order) {
        restart_answer(running, &[])
    } else {
        site.done()
    }
}

/// The run of a job's only task.
fn run_of(job: JobId, attempt: u32) -> RunId {
    RunId {
        task: task(job, 0, 0),
        attempt,
    }
}

/// Starts a task on the worker; the worker confirms the start and reports the run.
fn start_task(site: &mut Site) -> JobId {
    let job = site.submit(0, "other", vec![step(1, 1)]);
    site.plan_and_start();
    site.send_starts();
    site.advance(100);
    let answer = report_answer(site, &[run_of(job, 1)], &[]);
    answer_each_order(site, |_, _| answer.clone());
    job
}

fn state(site: &Site, job: JobId) -> TaskState {
    site.workload.task(task(job, 0, 0)).unwrap().state
}

/// Guards against waiting for a lease to expire when a report of the later incarnation shows that the runs are gone.
#[test]
fn runs_of_the_earlier_incarnation_end_at_the_first_report_of_the_later_one() {
    let mut site = site();
    let job = start_task(&mut site);
    site.advance(100);
    answer_each_order(&mut site, |_, _| restart_answer(&[], &[]));
    assert_eq!(state(&site, job), TaskState::Waiting);
    assert!(site.workload.worker(&incarnation(FIRST_MS)).is_none());
    site.workload.apply(set_worker(Some(SECOND_MS)));
    site.take_events();
    site.heartbeats();
    assert_eq!(
        site.plan().starts,
        [],
        "the later incarnation has not answered"
    );
    let answer = report_answer(&site, &[], &[]);
    answer_each_order(&mut site, |_, _| answer.clone());
    let plan = site.plan_and_start();
    assert_eq!(plan.starts[0].worker, incarnation(SECOND_MS));
    assert_eq!(plan.starts[0].run, run_of(job, 2));
}

/// Guards against running a task twice: its start order reached the later incarnation, and the task also started elsewhere.
#[test]
fn a_run_whose_start_order_may_reach_the_later_incarnation_is_stopped_there_first() {
    let mut site = site();
    let job = site.submit(0, "other", vec![step(1, 1)]);
    site.plan_and_start();
    // The later incarnation carries out the order, as the next report shows.
    answer_each_order(&mut site, |site, _| site.done());
    let run = run_of(job, 1);
    site.advance(100);
    answer_each_order(&mut site, |site, order| later_answer(site, order, &[run]));
    assert_eq!(state(&site, job), TaskState::Open(1));
    site.advance(100);
    let stops = answer_each_order(&mut site, |site, order| later_answer(site, order, &[run]));
    assert!(
        stops
            .iter()
            .any(|order| order.body == OrderBody::Stop { run })
    );
    site.advance(100);
    answer_each_order(&mut site, |site, order| later_answer(site, order, &[run]));
    assert_eq!(state(&site, job), TaskState::Open(1), "run not stopped");
    site.advance(100);
    answer_each_order(&mut site, |site, order| later_answer(site, order, &[]));
    assert_eq!(state(&site, job), TaskState::Waiting);
    let task = site.workload.task(task(job, 0, 0)).unwrap();
    assert_eq!(
        task.all_crashes(),
        0,
        "the run did not crash the earlier incarnation"
    );
}

/// Guards against losing a success when the later incarnation carries out a start order for the earlier one.
#[test]
fn a_success_on_the_later_incarnation_is_recorded() {
    let mut site = site();
    let job = site.submit(0, "other", vec![step(1, 1)]);
    site.plan_and_start();
    answer_each_order(&mut site, |site, _| site.done());
    site.advance(100);
    answer_each_order(&mut site, |_, _| {
        restart_answer(&[], &[(1, run_of(job, 1), EndKind::Done)])
    });
    assert_eq!(state(&site, job), TaskState::Done);
}

/// Guards against acknowledging ends of the later incarnation with end numbers of the earlier one.
#[test]
fn ends_are_acknowledged_only_to_an_incarnation_that_has_just_reported() {
    let mut site = site();
    let job = start_task(&mut site);
    let recorded_to = |orders: &[Order]| {
        let probes = orders.iter().filter_map(|order| match order.body {
            OrderBody::Probe { recorded_to, .. } => Some(recorded_to),
            _ => None,
        });
        probes.max()
    };
    site.advance(100);
    let ended = report_answer(&site, &[], &[(7, run_of(job, 1), EndKind::Done)]);
    answer_each_order(&mut site, |_, _| ended.clone());
    site.dispatcher.note_recorded(
        &incarnation(FIRST_MS),
        Some(7),
        bh_workload::dispatch::RecordOutcome::Recorded,
    );
    site.advance(100);
    let lost = answer_each_order(&mut site, |_, _| Answer::Lost);
    assert_eq!(recorded_to(&lost), Some(7));
    site.advance(500);
    let answer = report_answer(&site, &[], &[]);
    let first = answer_each_order(&mut site, |_, _| answer.clone());
    assert_eq!(recorded_to(&first), Some(0), "it may have restarted");
    site.advance(100);
    let answer = report_answer(&site, &[], &[]);
    let second = answer_each_order(&mut site, |_, _| answer.clone());
    assert_eq!(recorded_to(&second), Some(7));
}

/// Guards against a later incarnation carrying out delayed orders for an earlier one after it has received an order of its own.
#[test]
fn a_later_incarnation_has_a_higher_restart_count() {
    let mut site = site();
    let first = site
        .workload
        .worker(&incarnation(FIRST_MS))
        .unwrap()
        .restarts;
    site.workload.apply(set_worker(Some(SECOND_MS)));
    let second = site
        .workload
        .worker(&incarnation(SECOND_MS))
        .unwrap()
        .restarts;
    assert!(second > first);
    let gone = [FIRST_MS, SECOND_MS].map(|started_ms| WorkerChange::Gone(incarnation(started_ms)));
    site.workload.apply(Command::Workers(gone.to_vec()));
    site.workload.apply(set_worker(Some(3_000)));
    let third = site.workload.worker(&incarnation(3_000)).unwrap().restarts;
    assert!(third > second);
    // A delayed heartbeat of an earlier incarnation must not cause orders to the running one to be refused.
    site.workload.apply(set_worker(Some(1_500)));
    let delayed = site.workload.worker(&incarnation(1_500)).unwrap().restarts;
    assert!(delayed <= third);
}

/// Guards against giving work to an incarnation that is gone when a delayed heartbeat of it arrives.
#[test]
fn a_late_heartbeat_of_an_earlier_incarnation_gets_no_work() {
    let mut site = site();
    let early = incarnation(500);
    site.workload.apply(set_worker(Some(500)));
    site.take_events();
    site.heartbeats();
    site.submit(0, "other", vec![step(1, 1)]);
    assert_eq!(site.plan().starts, []);
    let answer = report_answer(&site, &[], &[]);
    site.advance(100);
    answer_each_order(&mut site, |_, order| {
        if order.to.worker == early {
            Answer::Restarted {
                started_ms: FIRST_MS,
                report: Report::default(),
            }
        } else {
            answer.clone()
        }
    });
    assert!(site.workload.worker(&early).is_none());
    let plan = site.plan();
    assert_eq!(plan.starts[0].worker, incarnation(FIRST_MS));
    let again = site
        .dispatcher
        .note_heartbeat(site.now_ms, &early, Some(site.now_ms));
    assert!(!again, "the incarnation has ended");
}

/// Guards against losing track of workers from records of older versions, which have no start times.
#[test]
fn a_worker_recorded_without_a_start_time_is_identified_by_its_first_report() {
    let mut site = Site::new(1, 1);
    let job = start_task_without_report(&mut site);
    site.workload.apply(set_worker(Some(FIRST_MS)));
    site.take_events();
    site.heartbeats();
    let run = run_of(job, 1);
    for _ in 0..4 {
        site.advance(100);
        let answer = |site: &Site, order: &Order| {
            if order.to.worker.started_ms.is_some() {
                report_answer(site, &[], &[])
            } else if is_probe(order) {
                let is_stopped = site.now_ms > 300;
                let running: Vec<RunId> = (!is_stopped).then_some(run).into_iter().collect();
                Answer::Restarted {
                    started_ms: FIRST_MS,
                    report: report(&running, &[]),
                }
            } else {
                site.done()
            }
        };
        answer_each_order(&mut site, answer);
    }
    assert_eq!(state(&site, job), TaskState::Waiting);
    let task = site.workload.task(task(job, 0, 0)).unwrap();
    assert_eq!(task.all_crashes(), 0, "no incarnation has crashed");
}

fn start_task_without_report(site: &mut Site) -> JobId {
    let job = site.submit(0, "other", vec![step(1, 1)]);
    site.plan_and_start();
    site.send_starts();
    job
}

/// Guards against a format of the record that cores of other versions cannot read.
#[test]
fn the_record_stores_incarnations_as_text() {
    let mut site = site();
    start_task(&mut site);
    let text = serde_json::to_string(&site.workload).unwrap();
    assert!(text.contains("\"w00@1000\""));
    let read: Workload = serde_json::from_str(&text).unwrap();
    assert!(read.worker(&incarnation(FIRST_MS)).is_some());
    let old = text.replace("w00@1000", "w00");
    let read: Workload = serde_json::from_str(&old).unwrap();
    let worker = read.worker(&worker_id("w00")).unwrap();
    assert_eq!((worker.info.id.started_ms, worker.runs.len()), (None, 1));
}

/// Guards against a running worker that refuses all orders after probes of an earlier incarnation (from a delayed heartbeat) carried a higher token.
#[test]
fn probes_of_an_earlier_incarnation_do_not_fence_off_the_running_one() {
    let mut site = site();
    let token = |orders: &[Order], started_ms| {
        let own = orders
            .iter()
            .find(|order| order.to.worker == incarnation(started_ms));
        own.map(Order::fencing_token)
    };
    for _ in 0..2 {
        site.workload.apply(set_worker(Some(500)));
        site.take_events();
        site.heartbeats();
        for _ in 0..3 {
            site.advance(100);
            let orders = site.orders();
            assert_eq!(token(&orders, 500), token(&orders, FIRST_MS));
            for order in &orders {
                let answer = if order.to.worker == incarnation(500) {
                    Answer::Restarted {
                        started_ms: FIRST_MS,
                        report: Report::default(),
                    }
                } else {
                    report_answer(&site, &[], &[])
                };
                // The departure is not recorded yet.
                site.dispatcher
                    .note_answer(site.now_ms, order, &answer, &site.workload);
            }
        }
        let before = site
            .workload
            .worker(&incarnation(FIRST_MS))
            .unwrap()
            .restarts;
        let gone = WorkerChange::Gone(incarnation(500));
        site.workload.apply(Command::Workers(vec![gone]));
        site.workload.apply(set_worker(Some(500)));
        let delayed = site.workload.worker(&incarnation(500)).unwrap().restarts;
        assert!(delayed <= before, "{delayed} after {before}");
    }
}
