//! Workers that announce that they leave, such as spot VMs: some say so a second or two ahead, and leave without another message.

mod support;

use bh_protocol::Incarnation;
use bh_workload::dispatch::Answer;
use bh_workload::dispatch::Ended;
use bh_workload::dispatch::OrderBody;
use bh_workload::dispatch::RecordOutcome;
use bh_workload::dispatch::Report;
use bh_workload::dispatch::Running;
use bh_workload::job::RunId;
use bh_workload::job::StepSpec;
use bh_workload::state::Command;
use bh_workload::state::EndKind;
use bh_workload::state::WorkerChange;
use rstest::rstest;
use support::Site;
use support::step;

/// Declared run time of a task of [`step`], in milliseconds.
const DECLARED_MS: u64 = 5_000;
/// Time after which a worker's lease has expired, even if its clock is slow, in milliseconds.
const LAPSED_MS: u64 = 12_000;

fn gang() -> StepSpec {
    StepSpec {
        gang: true,
        ..step(2, 8)
    }
}

/// A site of four workers, on one or two of which a step runs. One of those that run it has announced that it leaves in `leaves_in_ms`. Returns
/// that worker and its run.
fn site_with_leaving_worker(spec: StepSpec, leaves_in_ms: u64) -> (Site, Incarnation, RunId) {
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

/// Returns the runs that must be stopped because they cannot end before their worker leaves.
fn runs_to_stop(site: &Site) -> Vec<(Incarnation, RunId)> {
    let runs = site.planner.cut_short(
        (site.now_ms, site.wall_ms()),
        &site.workload,
        &site.dispatcher,
    );
    runs.into_iter().collect()
}

/// Guards against leaving a gang on a worker that leaves before the gang can end. The gang has five seconds left, and one of its workers leaves in
/// two. Left to run, it would break then and restart only after the lease of the lost member, five seconds later. It is stopped now and starts
/// elsewhere.
#[test]
fn a_gang_that_cannot_end_before_its_worker_leaves_is_restarted_elsewhere() {
    let (mut site, worker, run) = site_with_leaving_worker(gang(), 2_000);
    let stopped = runs_to_stop(&site);
    assert_eq!(stopped, [(worker.clone(), run)]);
    site.dispatcher.request_stop(&worker, run);
    assert!(
        runs_to_stop(&site).is_empty(),
        "the run is stopped only once"
    );
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

/// Guards against stopping a gang that is expected to end before its worker leaves, by its usual run time or by its reported progress.
#[rstest]
#[case::usual_time(DECLARED_MS + 1_000, None, 0)]
#[case::fast(2_000, Some(60), 0)]
#[case::slow(DECLARED_MS + 1_000, Some(10), 1)]
fn a_gang_that_can_end_before_its_worker_leaves_goes_on(
    #[case] leaves_in_ms: u64,
    #[case] percent: Option<u64>,
    #[case] stopped: usize,
) {
    let (mut site, worker, run) = site_with_leaving_worker(gang(), leaves_in_ms);
    if let Some(percent) = percent {
        site.advance(900);
        site.report_percent(&worker, run, percent);
    }
    assert_eq!(runs_to_stop(&site).len(), stopped);
}

/// Guards against stopping a gang when a stop gains nothing: it would be on time even if it lost its worker and waited for the lease, or it is too
/// late for its callers either way. It goes on, since the worker may stay longer than it announced.
#[rstest]
#[case::time_to_spare(0)]
#[case::too_late(100_000)]
fn a_gang_goes_on_where_a_stop_would_gain_nothing(#[case] waited_ms: u64) {
    let (mut site, _, _) = site_with_leaving_worker(gang(), 500);
    site.now_ms += waited_ms;
    assert!(runs_to_stop(&site).is_empty());
}

/// Guards against stopping a task that belongs to no gang: no other task waits for it, and the worker may stay longer than it announced.
#[test]
fn a_task_without_a_gang_keeps_running_on_a_leaving_worker() {
    let (site, _, _) = site_with_leaving_worker(step(2, 8), 2_000);
    assert!(runs_to_stop(&site).is_empty());
}

/// Guards against stops that are useless: a worker that does not answer receives none, and a worker that has not said when it leaves may stay for
/// long.
#[test]
fn nothing_is_stopped_on_a_silent_worker_or_one_that_leaves_at_an_unknown_time() {
    let (mut site, worker, _) = site_with_leaving_worker(gang(), 2_000);
    site.fall_silent(&worker);
    assert!(runs_to_stop(&site).is_empty());

    let mut site = Site::new(4, 2);
    site.advance(60_000);
    site.submit(0, "guaranteed", vec![gang()]);
    site.plan_and_start();
    site.send_starts();
    let worker = site.open_runs()[0].0.clone();
    let leaves = WorkerChange::Draining(worker);
    site.workload.apply(Command::Workers(vec![leaves]));
    site.take_events();
    assert!(runs_to_stop(&site).is_empty());
}

/// The worker's announcement that its process ends reaches the leader.
fn announce_end(site: &mut Site, worker: &Incarnation) -> Option<Command> {
    site.dispatcher
        .note_announced_end(site.now_ms, worker, &site.workload)
}

/// Guards against waiting for the lease of a worker whose process has ended: nothing listens at its address any more when its announcement arrives.
#[test]
fn a_worker_that_has_ended_is_gone_when_it_announces_its_end() {
    let (mut site, worker, _) = site_with_leaving_worker(step(1, 8), 2_000);
    site.answer_for(&worker, &Answer::NotListening);
    let expected = Command::Workers(vec![WorkerChange::Gone(worker.clone())]);
    assert_eq!(announce_end(&mut site, &worker), Some(expected));
}

/// Guards against running a task twice, or waiting too long, after a worker has announced its end. The worker gets no answer to its announcement,
/// and its run goes on for seconds. The task starts elsewhere as soon as nothing listens at the worker's address.
#[test]
fn a_worker_that_announced_its_end_is_gone_when_nothing_listens_there() {
    let (mut site, worker, run) = site_with_leaving_worker(step(1, 8), 2_000);
    assert_eq!(announce_end(&mut site, &worker), None);
    let alive = site.probe_answer(&worker, &[]);
    site.answer_for(&worker, &alive);
    site.advance(500);
    assert_eq!(site.plan().starts, Vec::new(), "the run goes on");

    site.answer_for(&worker, &Answer::Lost);
    site.advance(500);
    assert_eq!(
        site.plan().starts,
        Vec::new(),
        "the lease of the worker has not expired"
    );

    site.answer_for(&worker, &Answer::NotListening);
    assert!(site.workload.worker(&worker).is_none());
    let starts: Vec<RunId> = site.plan().starts.iter().map(|start| start.run).collect();
    assert_eq!(starts[0].task, run.task);
    let task = site.workload.task(run.task);
    assert_eq!(task.map(|task| task.all_crashes()), Some(0), "no crash");
}

/// Guards against treating a worker as gone that has not announced its end, because nothing listens at its address: for all the leader knows, it may
/// be back in a moment with its runs.
#[test]
fn a_worker_that_did_not_announce_its_end_counts_as_silent() {
    let (mut site, worker, _) = site_with_leaving_worker(step(1, 8), 2_000);
    site.answer_for(&worker, &Answer::NotListening);
    site.advance(500);
    assert!(site.workload.worker(&worker).is_some());
    assert_eq!(site.plan().starts, Vec::new());
}

/// Guards against keeping a worker that announced its end and then fell silent: its runs end when its lease expires, and then it is gone.
#[test]
fn a_silent_worker_that_announced_its_end_is_gone_when_its_lease_expires() {
    let (mut site, worker, _) = site_with_leaving_worker(step(1, 8), 2_000);
    assert_eq!(announce_end(&mut site, &worker), None);
    site.answer_for(&worker, &Answer::Lost);
    site.advance(LAPSED_MS);
    let orders = site.orders();
    assert_eq!(site.open_runs(), Vec::new());
    let probe = orders.iter().find(|order| order.to.worker == worker);
    let gone =
        site.dispatcher
            .note_answer(site.now_ms, probe.unwrap(), &Answer::Lost, &site.workload);
    let expected = WorkerChange::Gone(worker);
    assert_eq!(gone, Some(Command::Workers(vec![expected])));
}

/// Guards against a worker that stays in the record for ever because recording its departure failed: it is probed again, and its departure is
/// recorded then.
#[test]
fn the_departure_of_a_worker_is_recorded_again_after_a_failure() {
    let (mut site, worker, _) = site_with_leaving_worker(step(1, 8), 2_000);
    assert_eq!(announce_end(&mut site, &worker), None);
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

/// Guards against starting a run on a worker whose leave call has been acknowledged, by resending an unanswered start order.
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

/// Guards against running a task twice when its worker's last report is overtaken. The run ends, the worker reports that to a waiting probe and its
/// process ends; the report is still on its way when another order finds nothing listening. The worker is gone only once the probe has its outcome.
#[rstest]
#[case::announced_before(true)]
#[case::announced_after(false)]
fn the_last_report_of_a_worker_that_ended_is_awaited(#[case] announced_before: bool) {
    let (mut site, worker, run) = site_with_leaving_worker(step(2, 4), 2_000);
    let other = site
        .open_runs()
        .into_iter()
        .find(|(_, other)| *other != run);
    let other = other.unwrap().1;
    let probe = site.order_to(&worker, |body| matches!(body, OrderBody::Probe { .. }));
    if announced_before {
        assert_eq!(announce_end(&mut site, &worker), None);
    }
    site.dispatcher.request_stop(&worker, other);
    let stop = site.order_to(&worker, |body| matches!(body, OrderBody::Stop { .. }));
    let refused =
        site.dispatcher
            .note_answer(site.now_ms, &stop, &Answer::NotListening, &site.workload);
    assert_eq!(refused, None, "a report may be on its way");
    if !announced_before {
        assert_eq!(announce_end(&mut site, &worker), None);
    }

    let ended = Ended {
        number: 1,
        run,
        kind: EndKind::Done,
        checkpoint: None,
    };
    let report = Report {
        ended: vec![ended],
        running: vec![Running {
            run: other,
            checkpoint: None,
            percent: 1,
            load: 0,
        }],
        ..Report::default()
    };
    let answer = Answer::Done {
        clock_ms: Some(site.now_ms),
        report: Some(report),
    };
    let ends = site
        .dispatcher
        .note_answer(site.now_ms, &probe, &answer, &site.workload);
    let now_ms = site.wall_ms();
    site.workload.apply(ends.unwrap().at(now_ms));
    site.take_events();
    site.dispatcher
        .note_recorded(&worker, Some(1), RecordOutcome::Recorded);
    site.answer_for(&worker, &Answer::NotListening);
    assert!(site.workload.worker(&worker).is_none());
    let starts = site.plan().starts;
    assert!(starts.iter().all(|start| start.run.task == other.task));
    assert_eq!(
        starts.len(),
        1,
        "only the run that was cut off starts again"
    );
}

/// Guards against waiting for ever for a report that was lost with its worker: the worker is gone as soon as its probe has failed too.
#[test]
fn a_worker_that_ended_is_gone_once_its_probe_has_failed() {
    let (mut site, worker, run) = site_with_leaving_worker(step(1, 8), 2_000);
    let probe = site.order_to(&worker, |body| matches!(body, OrderBody::Probe { .. }));
    assert_eq!(announce_end(&mut site, &worker), None);
    site.dispatcher.request_stop(&worker, run);
    let stop = site.order_to(&worker, |body| matches!(body, OrderBody::Stop { .. }));
    let answers = [(stop, Answer::NotListening), (probe, Answer::Lost)];
    let commands = answers.map(|(order, answer)| {
        site.dispatcher
            .note_answer(site.now_ms, &order, &answer, &site.workload)
    });
    let gone = Command::Workers(vec![WorkerChange::Gone(worker)]);
    assert_eq!(commands, [None, Some(gone)]);
}

/// Guards against waiting for the whole time of a probe whose connection fell silent when its worker ended: once a report would have arrived, the
/// worker is probed again, and is gone when nothing listens there.
#[test]
fn a_silent_probe_of_a_worker_that_ended_is_given_up() {
    let (mut site, worker, run) = site_with_leaving_worker(step(1, 8), 2_000);
    site.order_to(&worker, |body| matches!(body, OrderBody::Probe { .. }));
    assert_eq!(announce_end(&mut site, &worker), None);
    site.dispatcher.request_stop(&worker, run);
    let stop = site.order_to(&worker, |body| matches!(body, OrderBody::Stop { .. }));
    let answer = Answer::NotListening;
    let refused = site
        .dispatcher
        .note_answer(site.now_ms, &stop, &answer, &site.workload);
    assert_eq!(refused, None);
    site.now_ms += 150;
    let probe = site.order_to(&worker, |body| matches!(body, OrderBody::Probe { .. }));
    let gone = site
        .dispatcher
        .note_answer(site.now_ms, &probe, &answer, &site.workload);
    assert_eq!(
        gone,
        Some(Command::Workers(vec![WorkerChange::Gone(worker)]))
    );
}

/// Guards against giving work to a worker that leaves, because a heartbeat from before its announcement was delayed: it arrives when the announcement
/// was acknowledged, at the same leader or at the next one.
#[rstest]
fn a_late_heartbeat_does_not_take_an_announcement_back(#[values(false, true)] new_leader: bool) {
    let mut site = Site::new(1, 1);
    let known: Vec<_> = site.workload.workers().cloned().collect();
    let info = known[0].info.clone();
    let leaves = WorkerChange::Draining(info.id.clone());
    site.workload.apply(Command::Workers(vec![leaves]));
    site.take_events();
    if new_leader {
        site.take_over(2);
    }
    for sequence in [0, 7] {
        let mut info = info.clone();
        info.sequence = sequence;
        let late = WorkerChange::Known(info);
        site.workload.apply(Command::Workers(vec![late]));
        site.take_events();
        site.heartbeats();
        site.submit(0, "other", vec![step(1, 1)]);
        assert!(site.plan().starts.is_empty());
    }
}
