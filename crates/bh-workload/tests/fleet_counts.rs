//! Tests of the counts of workers and recorded runs by condition.

mod support;

use bh_workload::dispatch::Answer;
use bh_workload::dispatch::FleetCounts;
use support::Site;
use support::run_of;
use support::step;

fn counts(site: &Site) -> FleetCounts {
    FleetCounts::new(site.now_ms, &site.workload, &site.dispatcher)
}

/// Guards against counting a run as running although its worker no longer reports it.
#[test]
fn a_run_is_counted_as_unconfirmed_then_unreported() {
    // One worker, in a rack of its own, and one task with one accelerator.
    let mut site = Site::new(1, 1);
    let job = site.submit(0, "other", vec![step(1, 1)]);
    site.plan_and_start();
    let run = run_of(&site, job, 0);
    let worker = site.open_runs()[0].0.clone();
    assert_eq!(counts(&site).runs_unconfirmed, 1);
    site.send_starts();
    assert_eq!(counts(&site), FleetCounts::default());
    site.advance(100);
    let answer_with_run = site.probe_answer(&worker, &[]);
    site.answer_for(&worker, &answer_with_run);
    assert_eq!(counts(&site), FleetCounts::default());
    site.advance(100);
    let orders = site.orders();
    // The second argument has the runs that the worker leaves out of its report.
    let answer_without_run = site.probe_answer(&worker, &[run]);
    for order in &orders {
        site.dispatcher
            .note_answer(site.now_ms, order, &answer_without_run, &site.workload);
    }
    assert_eq!(counts(&site).runs_unreported, 1);
}

/// Guards against runs of unknown state, on a worker that does not answer, being left out of the counts.
#[test]
fn runs_on_a_silent_worker_are_counted() {
    let mut site = Site::new(1, 1);
    site.submit(0, "other", vec![step(2, 1)]);
    site.plan_and_start();
    site.send_starts();
    let worker = site.open_runs()[0].0.clone();
    site.answer_for(&worker, &Answer::Lost);
    let counts = counts(&site);
    assert_eq!(counts.workers_silent, 1);
    assert_eq!(counts.runs_on_silent_workers, 2);
}
