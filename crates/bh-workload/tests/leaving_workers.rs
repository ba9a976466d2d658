//! Spot loss among gangs: workers say that they leave in a second or two, and go without another word.

mod support;

use bh_protocol::Incarnation;
use bh_workload::dispatch::Answer;
use bh_workload::dispatch::OrderBody;
use bh_workload::job::RunId;
use bh_workload::job::StepSpec;
use bh_workload::state::Command;
use bh_workload::state::EndKind;
use bh_workload::state::WorkerChange;
use rstest::rstest;
use support::Site;
use support::step;

/// What a task of [`step`] is declared to take, in milliseconds.
const DECLARED_MS: u64 = 5_000;
/// Beyond the lease of a worker, a slow clock included, in milliseconds.
const LAPSED_MS: u64 = 12_000;

fn gang() -> StepSpec {
    StepSpec {
        gang: true,
        ..step(2, 8)
    }
}

/// A site on which a step runs on two workers of four; one of the two says that it leaves in `leaves_in_ms`.
fn with_notice(spec: StepSpec, leaves_in_ms: u64) -> (Site, Incarnation, RunId) {
    let mut site = Site::new(4, 2);
    site.advance(60_000);
    site.submit(0, "guaranteed", vec![spec]);
    site.plan_and_start();
    site.send_starts();
    site.advance(100);
    let (worker, run) = site.open_runs()[0].clone();
    site.dispatcher
        .note_leaving(site.now_ms, &worker, leaves_in_ms);
    let leaves = WorkerChange::Draining(worker.clone());
    site.workload.apply(Command::Workers(vec![leaves]));
    site.take_events();
    (site, worker, run)
}

fn cut_short(site: &Site) -> Vec<(Incarnation, RunId)> {
    let cut_short = site.planner.cut_short(
        (site.now_ms, site.wall_ms()),
        &site.workload,
        &site.dispatcher,
    );
    cut_short.into_iter().collect()
}

/// A gang has five seconds left, and one of its workers leaves in two. Left to run, it would break then, and begin anew only after the lease of the
/// member that was lost, five seconds later. It is stopped now and begins elsewhere.
#[test]
fn a_gang_that_cannot_end_in_time_begins_elsewhere_at_once() {
    let (mut site, worker, run) = with_notice(gang(), 2_000);
    let cut = cut_short(&site);
    assert_eq!(cut, [(worker.clone(), run)]);
    site.dispatcher.request_stop(&worker, run);
    assert!(cut_short(&site).is_empty(), "once");
    let orders = site.orders();
    let stops = |order: &bh_workload::dispatch::Order| order.body == OrderBody::Stop { run };
    assert!(orders.iter().any(stops));
    for (_, run) in site.open_runs() {
        site.end(run, EndKind::Stopped);
    }
    let plan = site.plan_and_start();
    assert_eq!(plan.starts.len(), 2);
    assert!(plan.starts.iter().all(|start| start.worker != worker));
}

/// A gang that is expected to be done in time goes on, by its usual time or by the progress that it has reported.
#[rstest]
#[case::usual_time(DECLARED_MS + 1_000, None, 0)]
#[case::fast(2_000, Some(60), 0)]
#[case::slow(DECLARED_MS + 1_000, Some(10), 1)]
fn a_gang_that_can_end_in_time_goes_on(
    #[case] leaves_in_ms: u64,
    #[case] percent: Option<u64>,
    #[case] cut: usize,
) {
    let (mut site, worker, run) = with_notice(gang(), leaves_in_ms);
    if let Some(percent) = percent {
        site.advance(900);
        site.report_percent(&worker, run, percent);
    }
    assert_eq!(cut_short(&site).len(), cut);
}

/// A gang that would be in time even if it lost its worker and waited for the lease goes on: the worker may stay for longer than it must. So does one
/// that is too late for its callers either way.
#[rstest]
#[case::time_to_spare(0)]
#[case::too_late(100_000)]
fn a_gang_goes_on_where_it_makes_no_difference(#[case] waited_ms: u64) {
    let (mut site, _, _) = with_notice(gang(), 500);
    site.now_ms += waited_ms;
    assert!(cut_short(&site).is_empty());
}

/// A single task goes on: nobody else waits for it, and the worker may stay for longer than it must.
#[test]
fn a_single_task_goes_on() {
    let (site, _, _) = with_notice(step(2, 8), 2_000);
    assert!(cut_short(&site).is_empty());
}

/// A worker that does not answer cannot be told to stop anything, and one that did not say when it leaves may stay for long.
#[test]
fn without_an_answer_or_a_time_nothing_is_stopped() {
    let (mut site, worker, _) = with_notice(gang(), 2_000);
    site.fall_silent(&worker);
    assert!(cut_short(&site).is_empty());

    let mut site = Site::new(4, 2);
    site.advance(60_000);
    site.submit(0, "guaranteed", vec![gang()]);
    site.plan_and_start();
    site.send_starts();
    let worker = site.open_runs()[0].0.clone();
    let leaves = WorkerChange::Draining(worker);
    site.workload.apply(Command::Workers(vec![leaves]));
    site.take_events();
    assert!(cut_short(&site).is_empty());
}

fn leave(site: &mut Site, worker: &Incarnation) -> Option<Command> {
    site.dispatcher
        .note_announced_end(site.now_ms, worker, &site.workload)
}

/// Nothing listens at a worker's address any more when its word comes that it ends: it is gone at once.
#[test]
fn a_worker_that_has_ended_is_gone_with_its_word() {
    let (mut site, worker, _) = with_notice(step(1, 8), 2_000);
    site.answer_for(&worker, &Answer::NotListening);
    let expected = Command::Workers(vec![WorkerChange::Gone(worker.clone())]);
    assert_eq!(leave(&mut site, &worker), Some(expected));
}

/// A worker says that it ends, and does not hear that this is known: its run goes on for seconds. The task begins elsewhere once the worker is gone.
#[test]
fn a_worker_that_ends_is_over_when_nothing_listens_there() {
    let (mut site, worker, run) = with_notice(step(1, 8), 2_000);
    assert_eq!(leave(&mut site, &worker), None);
    let alive = site.probe_answer(&worker, &[]);
    site.answer_for(&worker, &alive);
    site.advance(500);
    assert_eq!(site.plan().starts, Vec::new(), "the run goes on");

    site.answer_for(&worker, &Answer::Lost);
    site.advance(500);
    assert_eq!(site.plan().starts, Vec::new(), "its lease runs on");

    site.answer_for(&worker, &Answer::NotListening);
    assert!(site.workload.worker(&worker).is_none());
    let starts: Vec<RunId> = site.plan().starts.iter().map(|start| start.run).collect();
    assert_eq!(starts[0].task, run.task);
    let task = site.workload.task(run.task);
    assert_eq!(task.map(|task| task.all_crashes()), Some(0), "no crash");
}

/// Nothing listens at the address of a worker that did not say that it ends: it may be back in a moment with what it runs, as far as anybody knows.
#[test]
fn a_worker_that_said_nothing_is_silent() {
    let (mut site, worker, _) = with_notice(step(1, 8), 2_000);
    site.answer_for(&worker, &Answer::NotListening);
    site.advance(500);
    assert!(site.workload.worker(&worker).is_some());
    assert_eq!(site.plan().starts, Vec::new());
}

/// A worker that says that it ends falls silent: its runs are over when its lease is, and then it is gone.
#[test]
fn a_worker_that_ends_unseen_is_gone_with_its_lease() {
    let (mut site, worker, _) = with_notice(step(1, 8), 2_000);
    assert_eq!(leave(&mut site, &worker), None);
    site.answer_for(&worker, &Answer::Lost);
    site.advance(LAPSED_MS);
    let orders = site.orders();
    assert_eq!(site.open_runs(), Vec::new());
    let look = orders.iter().find(|order| order.to.worker == worker);
    let gone =
        site.dispatcher
            .note_answer(site.now_ms, look.unwrap(), &Answer::Lost, &site.workload);
    let expected = WorkerChange::Gone(worker);
    assert_eq!(gone, Some(Command::Workers(vec![expected])));
}

/// A worker has ended, and the record of that fails: it is asked again, and recorded then. Otherwise it would stay in the record for ever.
#[test]
fn a_worker_that_has_ended_is_recorded_again() {
    let (mut site, worker, _) = with_notice(step(1, 8), 2_000);
    assert_eq!(leave(&mut site, &worker), None);
    let mut recorded = 0;
    for _ in 0..40 {
        site.now_ms += 100;
        for order in site.orders() {
            let answer = Answer::NotListening;
            let command = site
                .dispatcher
                .note_answer(site.now_ms, &order, &answer, &site.workload);
            recorded += usize::from(command.is_some());
        }
    }
    assert!(recorded >= 2, "{recorded} records in four seconds");
}

/// Guards against starting a run on a worker whose leave call was acknowledged earlier, by resending an unanswered start order.
#[test]
fn a_start_without_an_answer_is_not_sent_again_to_a_worker_that_leaves() {
    let mut site = Site::new(1, 1);
    site.submit(0, "other", vec![step(1, 1)]);
    site.plan_and_start();
    let (worker, _) = site.open_runs()[0].clone();
    site.answer_for(&worker, &Answer::Lost);
    let leaves = WorkerChange::Draining(worker);
    site.workload.apply(Command::Workers(vec![leaves]));
    site.take_events();
    for _ in 0..10 {
        site.advance(400);
        let orders = site.orders();
        let is_start =
            |order: &bh_workload::dispatch::Order| matches!(order.body, OrderBody::Start { .. });
        assert!(!orders.iter().any(is_start));
    }
}
