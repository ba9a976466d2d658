//! Runs that take longer than expected.

mod support;

use bh_protocol::Incarnation;
use bh_workload::dispatch::Answer;
use bh_workload::dispatch::OrderBody;
use bh_workload::dispatch::Report;
use bh_workload::dispatch::Running;
use bh_workload::job::RunId;
use bh_workload::job::StepSpec;
use bh_workload::plan::OverdueReason;
use bh_workload::plan::OverdueRun;
use bh_workload::state::End;
use bh_workload::state::EndKind;
use support::Site;
use support::step;

/// Usual run time of a task, in milliseconds.
const USUAL_MS: u64 = 1_000;

/// A site whose planner has seen enough tasks to know their usual run time.
fn site_with_known_run_time() -> Site {
    let mut site = Site::new(4, 2);
    for _ in 0..6 {
        site.submit(1, "other", vec![usual_task()]);
        site.plan_and_start();
        site.send_starts();
        let (worker, run) = site.open_runs()[0].clone();
        site.advance(USUAL_MS);
        note_end(&mut site, &worker, run, EndKind::Done);
    }
    site
}

/// A step of one task that is declared to take the usual time.
fn usual_task() -> StepSpec {
    StepSpec {
        declared_ms: USUAL_MS,
        ..step(1, 8)
    }
}

/// The planner sees the end of a run, and the end is recorded.
fn note_end(site: &mut Site, worker: &Incarnation, run: RunId, kind: EndKind) {
    let end = End {
        run,
        worker: worker.clone(),
        kind,
        checkpoint: None,
    };
    site.planner
        .note_ends(site.now_ms, &[end], &site.workload, &site.dispatcher);
    site.end(run, kind);
}

/// The worker reports only a tenth of progress in each usual run time; returns the runs that are overdue then.
fn run_slowly(site: &mut Site, run: RunId) -> Vec<OverdueRun> {
    for turn in 1..4 {
        site.advance(USUAL_MS);
        let (orders, _) = site.dispatcher.orders(site.now_ms, &site.workload, true);
        for order in orders {
            let is_probe = matches!(order.body, OrderBody::Probe { .. });
            let running = Running {
                run,
                checkpoint: None,
                percent: 10 * turn,
                load: 0,
            };
            let report = Report {
                running: vec![running],
                ended: Vec::new(),
                more: false,
            };
            let answer = Answer::Done {
                clock_ms: Some(site.now_ms),
                report: is_probe.then_some(report),
            };
            site.dispatcher
                .note_answer(site.now_ms, &order, &answer, &site.workload);
        }
    }
    site.planner
        .overdue(site.now_ms, &site.workload, &site.dispatcher)
}

/// Guards against restarting a slow task for ever. A task takes ten times as long as others of its queue. It is restarted on another
/// worker, since the first one may be slow, and takes as long there. If it were restarted again and again, it would never end, so that
/// happens only once.
#[test]
fn a_task_that_is_slow_on_every_worker_is_restarted_once() {
    let mut site = site_with_known_run_time();
    site.submit(1, "other", vec![usual_task()]);
    site.plan_and_start();
    site.send_starts();
    let (worker, run) = site.open_runs()[0].clone();
    let overdue = run_slowly(&mut site, run);
    assert_eq!(overdue.len(), 1);
    assert_eq!((overdue[0].run, overdue[0].why), (run, OverdueReason::Slow));

    note_end(&mut site, &worker, run, EndKind::Stopped);
    site.plan_and_start();
    site.send_starts();
    let (other, again) = site.open_runs()[0].clone();
    assert_ne!(other, worker);
    assert_eq!(run_slowly(&mut site, again), Vec::new());
}

/// Guards against leaving a worker out for ever after it was slow. The connection to a worker is slow for some seconds, and runs there seem
/// to take ten times as long. The worker gets no more work, so nothing would show that it has recovered, and the fleet would lose one
/// worker after the other until the leader changes. After a while it gets work again.
#[test]
fn a_worker_that_was_slow_gets_work_again() {
    /// Longest time for which a worker may be left out because it was slow, in milliseconds.
    const MAX_LEFT_OUT_MS: u64 = 20_000;
    let mut site = site_with_known_run_time();
    let gets_work = |site: &Site, worker: &Incarnation| {
        let mut trial_site = site.clone();
        trial_site.submit(1, "other", vec![step(4, 8)]);
        trial_site
            .plan()
            .starts
            .iter()
            .any(|start| start.worker == *worker)
    };
    site.submit(1, "other", vec![step(4, 8)]);
    site.plan_and_start();
    site.send_starts();
    let (slow, run) = site.open_runs()[0].clone();
    for (worker, other) in site.open_runs().into_iter().skip(1) {
        note_end(&mut site, &worker, other, EndKind::Stopped);
    }
    site.advance(20 * USUAL_MS);
    note_end(&mut site, &slow, run, EndKind::Done);
    while gets_work(&site, &slow) {
        site.submit(1, "other", vec![step(4, 8)]);
        site.plan_and_start();
        site.send_starts();
        site.advance(40 * USUAL_MS);
        for (worker, run) in site.open_runs() {
            let kind = if worker == slow {
                EndKind::Done
            } else {
                EndKind::Stopped
            };
            note_end(&mut site, &worker, run, kind);
        }
    }
    site.advance(MAX_LEFT_OUT_MS);
    assert!(gets_work(&site, &slow), "{slow} is left out for good");
}

/// Guards against restarting a run on a cold worker. The worker has just started and has announced that it is slow for ten seconds. A task
/// on it seems to take ten times as long as others, but becomes faster by itself; restarted elsewhere, it would end later.
#[test]
fn a_run_on_a_cold_worker_is_not_restarted() {
    let mut site = site_with_known_run_time();
    site.submit(1, "other", vec![usual_task()]);
    site.plan_and_start();
    let (worker, run) = site.open_runs()[0].clone();
    site.dispatcher
        .note_cold(site.now_ms, &worker, 10 * USUAL_MS);
    site.send_starts();
    assert_eq!(run_slowly(&mut site, run), Vec::new());
}
