//! Runs that take long.

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

const USUAL_MS: u64 = 1_000;

/// Plans, begins and ends tasks of the usual time until that is learnt.
fn learnt_site() -> Site {
    let mut site = Site::new(4, 2);
    for _ in 0..6 {
        site.submit(1, "other", vec![short()]);
        site.plan_and_start();
        site.send_starts();
        let (worker, run) = site.open_runs()[0].clone();
        site.advance(USUAL_MS);
        note_end(&mut site, &worker, run, EndKind::Done);
    }
    site
}

fn short() -> StepSpec {
    StepSpec {
        declared_ms: USUAL_MS,
        ..step(1, 8)
    }
}

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

/// The worker reports that a tenth of the run is done for each time it usually takes in all; returns what is overdue then.
fn run_slowly(site: &mut Site, run: RunId) -> Vec<OverdueRun> {
    for turn in 1..4 {
        site.advance(USUAL_MS);
        let (orders, _) = site.dispatcher.orders(site.now_ms, &site.workload, true);
        for order in orders {
            let looks = matches!(order.body, OrderBody::Probe { .. });
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
                report: looks.then_some(report),
            };
            site.dispatcher
                .note_answer(site.now_ms, &order, &answer, &site.workload);
        }
    }
    site.planner
        .overdue(site.now_ms, &site.workload, &site.dispatcher)
}

/// A task takes ten times as long as others of its queue. It is begun anew on another worker, since the first one may be slow, and takes as
/// long there. Begun anew again and again it would never end, and its caller wait for ever; so that happens once.
#[test]
fn a_task_that_takes_long_everywhere_is_begun_anew_once() {
    let mut site = learnt_site();
    site.submit(1, "other", vec![short()]);
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

/// The way to a worker is slow for some seconds, and runs there seem to take ten times as long. It gets no more work, so nothing shows that
/// it is well again: a fleet would lose one worker after the other for as long as its leader leads. After a while it is tried again.
#[test]
fn a_worker_that_was_slow_is_tried_again() {
    /// Longest time for which a worker may be left out for what it did before, in milliseconds.
    const LEFT_OUT_MS: u64 = 20_000;
    let mut site = learnt_site();
    let uses = |site: &Site, worker: &Incarnation| {
        let mut all = site.clone();
        all.submit(1, "other", vec![step(4, 8)]);
        all.plan()
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
    while uses(&site, &slow) {
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
    site.advance(LEFT_OUT_MS);
    assert!(uses(&site, &slow), "{slow} is left out for good");
}

/// A worker has just started and is slow for ten seconds, as it said. A task that it got meanwhile seems to take ten times as long as others; it gets
/// faster by itself, and begun anew elsewhere its caller would wait for longer.
#[test]
fn a_run_on_a_cold_worker_is_not_begun_anew() {
    let mut site = learnt_site();
    site.submit(1, "other", vec![short()]);
    site.plan_and_start();
    let (worker, run) = site.open_runs()[0].clone();
    site.dispatcher
        .note_cold(site.now_ms, &worker, 10 * USUAL_MS);
    site.send_starts();
    assert_eq!(run_slowly(&mut site, run), Vec::new());
}
