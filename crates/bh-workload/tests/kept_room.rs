//! Room that is kept for gangs that do not fit yet.
mod support;

use bh_workload::job::JobId;
use bh_workload::job::StepSpec;
use std::sync::Arc;
use support::Site;
use support::live_worker::LiveWorker;
use support::stalled_steps::stalled_steps;
use support::step;

const WHOLE_WORKER: u64 = 8;
/// Time after which no room is kept for urgent work, in milliseconds.
const QUIET_MS: u64 = 60_000;
/// Time after which a job of `support` is late, in milliseconds.
const LATE_MS: u64 = 17_000;

fn gang(count: u32) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(count, WHOLE_WORKER)
    }
}

/// Plans every 200 ms until the job runs, for `most_ms` at most; returns how long it stood still though there was room, in milliseconds.
fn stands_ms(site: &mut Site, job: JobId, most_ms: u64) -> u64 {
    const PLAN_MS: u64 = 200;
    let mut stands_ms = 0;
    while stands_ms < most_ms {
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
            return stands_ms;
        }
        site.advance(PLAN_MS);
        stands_ms += PLAN_MS;
    }
    stands_ms
}

/// A job stood still in a pool that was mostly idle: it had become late while nobody led, and all free room was kept for a wide gang that was on time and
/// waited for runs that went on for long.
#[test]
fn a_late_gang_begins_though_a_wide_one_waits_for_room() {
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
    let stands_ms = stands_ms(&mut site, small, 20 * BOUND_MS);
    assert!(stands_ms <= BOUND_MS, "stands still for {stands_ms} ms");
}

/// Workers of a rack.
const PER_RACK: usize = 12;

/// A site of four racks, in each of which as many workers are taken for long.
fn taken_racks(taken: [u32; 4]) -> Site {
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

/// A gang stood still though there was room for it twice over: no rack had it all, it could be spread in time for 400 ms only, and nobody led then. It waited
/// for a rack for four times its run time.
#[test]
fn a_gang_that_wants_one_rack_begins_elsewhere_after_a_change_of_leader() {
    const BOUND_MS: u64 = 3_000;
    const UNLED_MS: u64 = 2_000;
    let mut site = taken_racks([4, 4, 4, 4]);
    let spec = StepSpec {
        rack_local: true,
        ..gang(10)
    };
    let job = site.submit(1, "other", vec![spec]);
    site.advance(UNLED_MS);
    site.take_over(2);
    site.report();
    let stands_ms = stands_ms(&mut site, job, 20 * BOUND_MS);
    assert!(stands_ms <= BOUND_MS, "stands still for {stands_ms} ms");
}

/// Tasks whose data is in a rack that is taken stood still while the others were free.
#[test]
fn tasks_near_a_taken_rack_begin_elsewhere_in_time() {
    const BOUND_MS: u64 = 3_000;
    let mut site = taken_racks([12, 1, 1, 1]);
    let spec = StepSpec {
        near_rack: Some(Arc::from("rack0")),
        ..step(2, WHOLE_WORKER)
    };
    let job = site.submit(1, "other", vec![spec]);
    let stands_ms = stands_ms(&mut site, job, 20 * BOUND_MS);
    assert!(stands_ms <= BOUND_MS, "stands still for {stands_ms} ms");
}

/// A task that only the workers of one rack may run stood still in an idle pool: all of that rack was kept for urgent work that had not come.
#[test]
fn a_task_begins_though_the_only_rack_for_it_is_kept() {
    const BOUND_MS: u64 = 3_000;
    let mut site = Site::new(48, 6);
    let spec = StepSpec {
        required_label: Some(Arc::from("rack0")),
        ..step(1, 1)
    };
    let job = site.submit(1, "other", vec![spec]);
    let stands_ms = stands_ms(&mut site, job, 20 * BOUND_MS);
    assert!(stands_ms <= BOUND_MS, "stands still for {stands_ms} ms");
}
