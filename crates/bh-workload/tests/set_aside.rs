//! Workers that are set aside: they get no work for a while because they refused or failed tasks.
mod support;

use bh_protocol::Incarnation;
use bh_workload::state::Start;
use rstest::rstest;
use std::collections::BTreeSet;
use support::Site;
use support::step;

const WORKERS: usize = 6;
/// One task for each worker.
const TASKS: u32 = 6;

/// Returns the workers that get a task on a site where `set_aside` workers are set aside and a task for each worker waits.
fn workers_used(set_aside: usize) -> BTreeSet<Incarnation> {
    let mut site = Site::new(WORKERS, 2);
    site.advance(60_000);
    let workers: Vec<Incarnation> = site
        .workload
        .workers()
        .map(|worker| worker.info.id.clone())
        .collect();
    for worker in workers.iter().take(set_aside) {
        site.dispatcher.set_aside(site.now_ms, worker);
    }
    site.submit(1, "other", vec![step(TASKS, 8)]);
    let starts = site.plan().starts;
    starts
        .into_iter()
        .map(|Start { worker, .. }| worker)
        .collect()
}

/// Guards against leaving most workers idle for half a minute while callers wait. If some workers refuse tasks, the others get the work. If
/// most do, the tasks or the load are the more likely cause, and all workers are used.
#[rstest]
#[case(1, 5)]
#[case(2, 4)]
#[case(3, 6)]
#[case(6, 6)]
fn workers_set_aside_get_no_work_unless_there_are_many(
    #[case] set_aside: usize,
    #[case] used: usize,
) {
    assert_eq!(workers_used(set_aside).len(), used);
}
