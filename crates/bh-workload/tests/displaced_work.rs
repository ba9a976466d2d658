//! What is thrown away when room is made for urgent work.

mod support;

use bh_workload::job::JobId;
use bh_workload::job::StepSpec;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use support::Site;
use support::step;

fn saving(count: u32) -> StepSpec {
    StepSpec {
        checkpoints: true,
        ..step(count, 1)
    }
}

/// Many small batch tasks of both sorts fill a pool, some go on from a checkpoint after a stop and some lose everything. Then urgent gangs come
/// that need whole workers. Were the two sorts mixed on each worker, every whole worker that is given up would throw work away; so each
/// worker has one sort, and only those are emptied on which nothing is lost.
#[test]
fn whole_workers_are_given_up_by_runs_that_save_their_work() {
    let mut site = Site::new(8, 4);
    // No urgent work came for long: no room is kept for it.
    site.advance(60_000);
    let mut saves: BTreeMap<JobId, bool> = BTreeMap::new();
    for _ in 0..8 {
        saves.insert(site.submit(2, "other", vec![saving(4)]), true);
        saves.insert(site.submit(2, "other", vec![step(4, 1)]), false);
        site.plan_and_start();
    }
    let mut sorts: BTreeMap<Arc<str>, BTreeSet<bool>> = BTreeMap::new();
    for (worker, run) in site.open_runs() {
        let sort = saves[&run.task.step.job];
        sorts.entry(worker).or_default().insert(sort);
    }
    assert_eq!(sorts.len(), 8);
    assert!(sorts.values().all(|sorts| sorts.len() == 1), "{sorts:?}");

    site.advance(3_000);
    let gang = StepSpec {
        gang: true,
        ..step(2, 8)
    };
    site.submit(0, "guaranteed", vec![gang]);
    let plan = site.plan();
    assert_eq!(plan.evictions.len(), 16);
    let mut stopped = plan.evictions.iter().map(|(_, run)| run.task.step.job);
    assert!(stopped.all(|job| saves[&job]));
}
