//! Plans for a full fleet with a long queue.
#![expect(
    clippy::unwrap_used,
    reason = "a test that meets the unexpected shall end"
)]

mod support;

use bh_workload::job::Resources;
use bh_workload::job::StepSpec;
use std::time::Duration;
use std::time::Instant;
use support::Site;
use support::step;

const WORKERS: usize = 540;
const RACK: usize = 12;

/// A site whose workers each run one task that leaves one accelerator and a few cores free.
fn nearly_full_site() -> Site {
    let mut site = Site::new(WORKERS, RACK);
    let each = StepSpec {
        needs: Resources {
            cpu_millis: 120_000,
            memory_mb: 1_000,
            accelerators: 7,
        },
        ..step(u32::try_from(WORKERS).unwrap(), 7)
    };
    site.submit(0, "other", vec![each]);
    site.plan_and_start();
    site.send_starts();
    assert_eq!(site.open_runs().len(), WORKERS);
    site.advance(50);
    site
}

/// Returns the time of the fastest of several passes over the same state: other load on the machine only makes passes slower.
fn plan_time(site: &mut Site) -> Duration {
    let before = site.planner.clone();
    let passes = (0..7).map(|_| {
        site.planner = before.clone();
        let started = Instant::now();
        site.plan();
        started.elapsed()
    });
    passes.min().unwrap()
}

/// Guards against a pass that takes too long when a burst of urgent jobs meets a fleet full of batch work. The pass chooses runs to stop for each
/// job, and all callers wait until it ends. If it looked up all runs of the fleet for each job and compared them with all runs that are being
/// stopped, it would take as long as an urgent job's whole latency target.
#[test]
fn a_pass_that_stops_work_for_many_urgent_jobs_is_fast() {
    let mut site = Site::new(WORKERS, RACK);
    for _ in 0..60 {
        site.submit(2, "other", vec![step(38, 1)]);
    }
    site.plan_and_start();
    site.send_starts();
    assert!(site.open_runs().len() > 2_000);
    // No worker is large enough for this job, so every pass has something to place.
    site.submit(2, "other", vec![step(1, 9)]);
    site.advance(50);
    let without_urgent = plan_time(&mut site);
    for _ in 0..100 {
        let gang = StepSpec {
            gang: true,
            ..step(5, 8)
        };
        site.submit(0, "other", vec![gang]);
    }
    let with_urgent = plan_time(&mut site);
    assert!(
        with_urgent < without_urgent * 100,
        "a pass takes {with_urgent:?} with 100 urgent jobs, {without_urgent:?} with none"
    );
}

/// Guards against jobs that are too large for the free capacity blocking smaller ones behind them. A smaller job still starts at once, whether the
/// jobs before it need more accelerators or more cores.
#[test]
fn work_that_fits_starts_before_earlier_work_that_does_not() {
    let mut site = nearly_full_site();
    let gang = |count, accelerators, cpu_millis| StepSpec {
        gang: true,
        needs: Resources {
            cpu_millis,
            memory_mb: 1_000,
            accelerators,
        },
        ..step(count, accelerators)
    };
    let too_large = [gang(20, 2, 1_000), gang(20, 1, 9_000)];
    for spec in too_large {
        site.submit(0, "other", vec![spec]);
    }
    // A job with less work comes first, so this one is declared long to come last.
    let long = StepSpec {
        declared_ms: 600_000,
        ..gang(20, 1, 1_000)
    };
    let smaller = site.submit(0, "other", vec![long]);
    let plan = site.plan_and_start();
    let started_tasks = plan
        .starts
        .iter()
        .filter(|start| start.run.task.step.job == smaller)
        .count();
    assert_eq!(started_tasks, 20);
    assert_eq!(plan.starts.len(), 20);
}
