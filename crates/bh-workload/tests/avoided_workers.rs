//! Tests of workers that tasks avoid because they have failed there.

mod support;

use bh_workload::job::StepSpec;
use bh_workload::state::End;
use bh_workload::state::EndKind;
use support::Site;
use support::step;

/// Guards against a free worker staying idle for a gang that avoids it: if the capacity reserved for the gang is on the worker where the
/// gang failed, neither the gang nor any other work starts there.
#[test]
fn no_capacity_is_reserved_on_a_worker_that_the_gang_avoids() {
    let mut site = Site::new(2, 2);
    site.advance(60_000);
    let gang = StepSpec {
        gang: true,
        ..step(1, 8)
    };
    site.submit(1, "other", vec![gang]);
    site.plan_and_start();
    let (failed_on, run) = site.open_runs()[0].clone();
    site.submit(1, "other", vec![step(1, 8)]);
    site.plan_and_start();
    let ends = [End {
        run,
        worker: failed_on.clone(),
        kind: EndKind::Failed,
        checkpoint: None,
    }];
    site.planner
        .note_ends(site.now_ms, &ends, &site.workload, &site.dispatcher);
    site.end(run, EndKind::Failed);
    let small = site.submit(2, "other", vec![step(1, 1)]);
    let starts = site.plan().starts;
    let started: Vec<_> = starts
        .iter()
        .map(|start| (start.run.task.step.job, start.worker.clone()))
        .collect();
    assert_eq!(started, vec![(small, failed_on)]);
}
