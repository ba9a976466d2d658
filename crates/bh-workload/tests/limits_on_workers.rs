//! Limits on what runs on one worker, kept over several plans.

mod support;

use bh_workload::job::StepSpec;
use bh_workload::state::Command;
use bh_workload::state::EndKind;
use bh_workload::state::Reply;
use bh_workload::state::Start;
use std::collections::BTreeMap;
use support::Site;
use support::step;

fn runs_by_worker(site: &Site) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for (worker, _) in site.open_runs() {
        *counts.entry(worker.to_string()).or_default() += 1;
    }
    counts
}

/// A caller asks for at most two tasks of a step on one worker. One of them ends and its place is given to another task of the step
/// while the rest still run: the caller would see three on one worker if only the tasks placed together were counted.
#[test]
fn tasks_placed_earlier_count_against_the_most_per_worker() {
    let mut site = Site::new(3, 8);
    // No room is kept for priority 0 any more.
    site.advance(60_000);
    let apart = StepSpec {
        most_per_worker: Some(2),
        ..step(9, 1)
    };
    site.submit(2, "other", vec![apart]);
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

/// A leader plans on what it saw a moment ago; another command may come between. The record refuses a start that would put one task too
/// many of the step on a worker, whatever the plan says.
#[test]
fn the_record_refuses_one_task_too_many_on_a_worker() {
    let mut site = Site::new(1, 8);
    let apart = StepSpec {
        most_per_worker: Some(1),
        ..step(2, 1)
    };
    site.submit(2, "other", vec![apart]);
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
