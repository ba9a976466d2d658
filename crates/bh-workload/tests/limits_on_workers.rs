//! Limits on the tasks of a step on one worker hold across plans.

mod support;

use bh_workload::job::StepSpec;
use bh_workload::state::Command;
use bh_workload::state::EndKind;
use bh_workload::state::Reply;
use bh_workload::state::Start;
use std::collections::BTreeMap;
use support::Site;
use support::step;

/// Returns the number of open runs, which have started and not ended, on each worker.
fn runs_by_worker(site: &Site) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for (worker, _) in site.open_runs() {
        *counts.entry(worker.to_string()).or_default() += 1;
    }
    counts
}

/// Guards against counting only the tasks of one plan against the limit. A caller allows at most two tasks of a step on one worker. One task ends
/// and another takes its slot while the rest still run: if tasks of earlier plans did not count, one worker would get three.
#[test]
fn tasks_placed_earlier_count_against_most_per_worker() {
    // Three workers with eight accelerators each, all in one rack.
    let mut site = Site::new(3, 8);
    // After this time no capacity is kept for urgent work.
    site.advance(60_000);
    let limited = StepSpec {
        most_per_worker: Some(2),
        // Nine tasks with one accelerator each.
        ..step(9, 1)
    };
    site.submit(2, "other", vec![limited]);
    site.plan_and_start();
    assert!(runs_by_worker(&site).values().all(|count| *count == 2));
    assert_eq!(site.open_runs().len(), 6);
    let (worker, run) = site.open_runs()[0].clone();
    site.end(run, EndKind::Done);
    let plan = site.plan_and_start();
    assert_eq!(plan.starts.len(), 1);
    assert_eq!(plan.starts[0].worker, worker);
    assert!(runs_by_worker(&site).values().all(|count| *count <= 2));
}

/// Guards against a plan made from outdated state: another command may be applied before its starts. The record, which is the
/// replicated state, refuses a start that would put one task too many of the step on a worker: its reply lists the steps with refused starts.
#[test]
fn the_record_refuses_one_task_too_many_on_a_worker() {
    let mut site = Site::new(1, 8);
    let limited = StepSpec {
        most_per_worker: Some(1),
        ..step(2, 1)
    };
    site.submit(2, "other", vec![limited]);
    let plan = site.plan_and_start();
    assert_eq!(plan.starts.len(), 1);
    let mut second = plan.starts[0].clone();
    second.run.task.index = 1;
    let step = second.run.task.step;
    let reply = site
        .workload
        .apply(Command::Starts(vec![Start { ..second }]));
    assert_eq!(reply, Reply::Started(vec![step]));
}
