//! Capacity that is kept for gangs that do not fit yet, or for urgent work.
mod support;

use bh_workload::job::JobId;
use bh_workload::job::StepSpec;
use std::sync::Arc;
use support::Site;
use support::live_worker::LiveWorker;
use support::stalled_steps::stalled_steps;
use support::step;

/// Accelerators of a worker.
const WHOLE_WORKER: u64 = 8;
/// Time without urgent work after which no capacity is kept for it, in milliseconds.
const QUIET_MS: u64 = 60_000;
/// Time after which a job of `support` is late, in milliseconds.
const LATE_MS: u64 = 17_000;

fn gang(count: u32) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(count, WHOLE_WORKER)
    }
}

/// Plans every 200 ms until the job runs, for `limit_ms` at most; returns how long the job was stalled although there was capacity for it, in
/// milliseconds.
fn time_stalled_ms(site: &mut Site, job: JobId, limit_ms: u64) -> u64 {
    const PLAN_INTERVAL_MS: u64 = 200;
    let mut stalled_ms = 0;
    while stalled_ms < limit_ms {
        site.plan_and_start();
        site.send_starts();
        let workers: Vec<LiveWorker> = site
            .workload
            .workers()
            .map(|worker| LiveWorker {
                info: worker.info.clone(),
                runs: worker.runs.keys().copied().collect(),
            })
            .collect();
        let found = stalled_steps(&site.workload, &workers);
        if !found.iter().any(|stalled| stalled.step.job == job) {
            return stalled_ms;
        }
        site.advance(PLAN_INTERVAL_MS);
        stalled_ms += PLAN_INTERVAL_MS;
    }
    stalled_ms
}

/// Guards against a late gang that is stalled in a mostly idle pool: it became late while there was no leader, and all free capacity was kept for a
/// larger gang that was on time and waited for long runs.
#[test]
fn a_late_gang_starts_while_capacity_is_kept_for_a_larger_one() {
    const BOUND_MS: u64 = 3_000;
    let mut site = Site::new(12, 12);
    site.advance(QUIET_MS);
    let long = StepSpec {
        declared_ms: 60_000,
        ..step(3, WHOLE_WORKER)
    };
    site.submit(1, "other", vec![long]);
    site.plan_and_start();
    site.send_starts();
    let small = site.submit(1, "other", vec![gang(2)]);
    site.advance(LATE_MS);
    site.submit(1, "other", vec![gang(10)]);
    let stalled_ms = time_stalled_ms(&mut site, small, 20 * BOUND_MS);
    assert!(stalled_ms <= BOUND_MS, "stalled for {stalled_ms} ms");
}

/// Number of workers in a rack.
const PER_RACK: usize = 12;

/// A site of four racks; `taken` says how many workers of each rack have a long run.
fn site_with_long_runs(taken: [u32; 4]) -> Site {
    let mut site = Site::new(taken.len() * PER_RACK, PER_RACK);
    site.advance(QUIET_MS);
    for (taken, rack) in taken.into_iter().zip(0..) {
        let long = StepSpec {
            declared_ms: 60_000,
            required_label: Some(Arc::from(format!("rack{rack}"))),
            ..step(taken, WHOLE_WORKER)
        };
        site.submit(1, "other", vec![long]);
    }
    site.plan_and_start();
    site.send_starts();
    site
}

/// Guards against a gang that waits for a single rack although there is capacity for it twice over. No rack had enough free workers, and there was no
/// leader during the 400 ms in which the gang could have been spread and still be on time. It waited for a rack for four times its run time.
#[test]
fn a_gang_that_prefers_one_rack_is_spread_after_a_change_of_leader() {
    const BOUND_MS: u64 = 3_000;
    const WITHOUT_LEADER_MS: u64 = 2_000;
    let mut site = site_with_long_runs([4, 4, 4, 4]);
    let spec = StepSpec {
        rack_local: true,
        ..gang(10)
    };
    let job = site.submit(1, "other", vec![spec]);
    site.advance(WITHOUT_LEADER_MS);
    site.take_over(2);
    site.report();
    let stalled_ms = time_stalled_ms(&mut site, job, 20 * BOUND_MS);
    assert!(stalled_ms <= BOUND_MS, "stalled for {stalled_ms} ms");
}

/// Guards against tasks that are stalled because the rack of their data is full, while other racks are free.
#[test]
fn tasks_near_a_full_rack_start_elsewhere_in_time() {
    const BOUND_MS: u64 = 3_000;
    let mut site = site_with_long_runs([12, 1, 1, 1]);
    let spec = StepSpec {
        near_rack: Some(Arc::from("rack0")),
        ..step(2, WHOLE_WORKER)
    };
    let job = site.submit(1, "other", vec![spec]);
    let stalled_ms = time_stalled_ms(&mut site, job, 20 * BOUND_MS);
    assert!(stalled_ms <= BOUND_MS, "stalled for {stalled_ms} ms");
}

/// Guards against a task that is stalled in an idle pool because the only rack that may run it is kept for urgent work that has not arrived.
#[test]
fn a_task_starts_on_its_only_rack_while_that_is_kept_for_urgent_work() {
    const BOUND_MS: u64 = 3_000;
    let mut site = Site::new(48, 6);
    let spec = StepSpec {
        required_label: Some(Arc::from("rack0")),
        ..step(1, 1)
    };
    let job = site.submit(1, "other", vec![spec]);
    let stalled_ms = time_stalled_ms(&mut site, job, 20 * BOUND_MS);
    assert!(stalled_ms <= BOUND_MS, "stalled for {stalled_ms} ms");
}
