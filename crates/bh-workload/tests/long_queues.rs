//! A full fleet with a long queue in front of it.
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

/// Every worker holds one task that takes all of it but one accelerator and a few cores.
fn nearly_full() -> Site {
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

/// The fastest of some passes over the same state: what else the machine does only makes passes longer.
fn plan_time(site: &mut Site) -> Duration {
    let before = site.planner.clone();
    let passes = (0..7).map(|_| {
        site.planner = before.clone();
        let began = Instant::now();
        site.plan();
        began.elapsed()
    });
    passes.min().unwrap()
}

/// A burst of urgent jobs meets a fleet that is full of batch work, and room is made for each of them in one pass. Their callers, and all who
/// call meanwhile, wait until the pass is over: were all runs of the fleet looked up again for each job, and compared with all that are stopped
/// already, it would take as long as such a job's whole objective.
#[test]
fn room_for_many_urgent_jobs_is_made_in_little_time() {
    let mut site = Site::new(WORKERS, RACK);
    for _ in 0..60 {
        site.submit(2, "other", vec![step(38, 1)]);
    }
    site.plan_and_start();
    site.send_starts();
    assert!(site.open_runs().len() > 2_000);
    site.advance(50);
    let alone = plan_time(&mut site);
    for _ in 0..100 {
        let gang = StepSpec {
            gang: true,
            ..step(5, 8)
        };
        site.submit(0, "other", vec![gang]);
    }
    let urgent = plan_time(&mut site);
    assert!(
        urgent < alone * 100,
        "a pass takes {urgent:?} with 100 urgent jobs, {alone:?} with none"
    );
}

/// A job that is too large for what is open comes first; smaller ones behind it still begin at once, in each way in which they are smaller:
/// fewer accelerators, fewer cores, fewer tasks.
#[test]
fn work_that_fits_begins_behind_work_that_does_not() {
    let mut site = nearly_full();
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
    // Of two jobs the one with less work comes first, so this one is long.
    let long = StepSpec {
        declared_ms: 600_000,
        ..gang(20, 1, 1_000)
    };
    let smaller = site.submit(0, "other", vec![long]);
    let plan = site.plan_and_start();
    let begun = plan
        .starts
        .iter()
        .filter(|start| start.run.task.step.job == smaller)
        .count();
    assert_eq!(begun, 20);
    assert_eq!(plan.starts.len(), 20);
}
