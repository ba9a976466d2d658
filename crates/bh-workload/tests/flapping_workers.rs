//! Tests of workers that crash and restart again and again by themselves.
#![expect(
    clippy::unwrap_used,
    reason = "a test that meets the unexpected shall end"
)]

mod support;

use bh_protocol::Incarnation;
use bh_workload::job::JobId;
use bh_workload::job::StepSpec;
use bh_workload::plan::WaitReason;
use rstest::rstest;
use std::collections::BTreeSet;
use support::Site;
use support::start_and_run;
use support::step;
use support::task;

/// Number of workers, of which the last [`FLAPPING`] flap.
const WORKERS: usize = 6;
const FLAPPING: usize = 2;
/// How long workers flap, in milliseconds.
const FLAPPING_MS: u64 = 6_400;
/// Time after the last crash by which all work must run again, in milliseconds.
const RECOVERY_MS: u64 = 7_000;

/// A site on which all workers but the flapping ones are full.
fn site_with_full_workers() -> Site {
    let mut site = Site::new(WORKERS, 2);
    let service = StepSpec {
        long_running: true,
        ..step(u32::try_from(WORKERS - FLAPPING).unwrap(), 8)
    };
    site.submit(0, "other", vec![service]);
    start_and_run(&mut site, 1_500);
    site.advance(40_000);
    site.report();
    site
}

/// Workers without a run of the first job, the one that fills the others.
fn flapping(site: &Site) -> BTreeSet<Incarnation> {
    let is_sound = |id: &Incarnation| {
        let worker = site.workload.worker(id).unwrap();
        worker.runs.keys().any(|run| run.task.step.job == JobId(1))
    };
    let ids = site.workload.workers().map(|worker| worker.info.id.clone());
    ids.filter(|id| !is_sound(id)).collect()
}

/// Guards against sound work that is given up for what its workers do: the only workers with room for it crash every 0.8 s for a while.
#[rstest]
#[case::service(true)]
#[case::batch(false)]
fn sound_work_outlasts_flapping_workers(#[case] long_running: bool) {
    let mut site = site_with_full_workers();
    let spec = StepSpec {
        long_running,
        ..step(2, 8)
    };
    let job = site.submit(0, "other", vec![spec]);
    let end_ms = site.now_ms + FLAPPING_MS;
    while site.now_ms < end_ms {
        start_and_run(&mut site, 10);
        let workers = flapping(&site);
        site.crash_workers(&workers);
        site.advance(400);
    }
    let end_ms = site.now_ms + RECOVERY_MS;
    while site.now_ms < end_ms {
        start_and_run(&mut site, 100);
    }
    assert_eq!(site.workload.job(job).unwrap().outcome, None);
    for index in 0..2 {
        let run = support::run_of(&site, job, index);
        assert!(site.workload.should_run(run), "{run}");
    }
}

/// Guards against a wait that nothing explains: a worker has crashed under the task, and the only workers with room have just crashed.
#[test]
fn the_wait_for_a_steady_worker_is_explained() {
    let mut site = site_with_full_workers();
    let job = site.submit(0, "other", vec![step(2, 8)]);
    start_and_run(&mut site, 10);
    let workers = flapping(&site);
    site.crash_workers(&workers);
    site.advance(400);
    site.report();
    assert_eq!(site.plan().starts, Vec::new());
    let times = (site.now_ms, site.wall_ms());
    let report = site
        .planner
        .explain(times, &site.workload, &site.dispatcher, job);
    let step = report.unwrap().steps.remove(0);
    assert_eq!(step.wait, Some(WaitReason::Apart { crashes: 1 }));
}

/// Guards against a task that is blamed for the crash of a worker that had crashed just before without any cause in sight.
#[test]
fn a_crash_of_a_flapping_worker_is_weak_evidence() {
    let mut site = site_with_full_workers();
    for _ in 0..3 {
        let workers = flapping(&site);
        site.crash_workers(&workers);
    }
    site.advance(400);
    site.report();
    let job = site.submit(0, "other", vec![step(1, 8)]);
    start_and_run(&mut site, 10);
    let workers = flapping(&site);
    site.crash_workers(&workers);
    let task = site.workload.task(task(job, 0, 0)).unwrap();
    assert_eq!((task.crashes, task.possible_crashes), (0, 1));
}
