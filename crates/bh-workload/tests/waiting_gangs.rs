//! Gangs that are stalled although there is enough capacity, because some of it is kept free for urgent work (priority 0) or because they
//! wait for a single rack.

mod support;

use bh_workload::job::StepSpec;
use bh_workload::state::EndKind;
use support::Site;
use support::step;

/// Longest time for which a job may be stalled beside capacity for it twice over while less than half of its pool is in use, in milliseconds.
const STALL_LIMIT_MS: u64 = 3_000;
/// Time between two plans, in milliseconds.
const TURN_MS: u64 = 200;
/// Longer than the time within which a gang of these tests must be done to be on time, in milliseconds: a gang that has waited this long is
/// late.
const LATE_MS: u64 = 60_000;

/// A site of ten racks of four workers. Small tasks run on 18 workers, so 22 workers are free and 18 of 320 accelerators are in use.
fn site_with_a_few_accelerators_in_use() -> Site {
    let mut site = Site::new(40, 4);
    site.advance(LATE_MS);
    let one_per_worker = StepSpec {
        most_per_worker: Some(1),
        declared_ms: 600_000,
        ..step(18, 1)
    };
    site.submit(2, "other", vec![one_per_worker]);
    assert_eq!(site.plan_and_start().starts.len(), 18);
    site.send_starts();
    site
}

/// A gang for which there is capacity twice over.
fn gang() -> StepSpec {
    StepSpec {
        gang: true,
        ..step(11, 8)
    }
}

/// Returns the time until a plan has starts, in milliseconds.
fn time_to_start_ms(site: &mut Site) -> u64 {
    let mut waited_ms = 0;
    while site.plan().starts.is_empty() && waited_ms < LATE_MS {
        site.advance(TURN_MS);
        site.report();
        waited_ms += TURN_MS;
    }
    waited_ms
}

/// Guards against a late gang that is stalled after a change of leader: the new leader keeps capacity for urgent work that has not arrived,
/// and a gang that is already late may not use it.
#[test]
fn a_late_gang_is_not_stalled_after_a_change_of_leader() {
    let mut site = site_with_a_few_accelerators_in_use();
    site.submit(1, "other", vec![gang()]);
    site.advance(LATE_MS);
    site.take_over(2);
    site.report();
    let waited_ms = time_to_start_ms(&mut site);
    assert!(waited_ms <= STALL_LIMIT_MS, "stalled for {waited_ms} ms");
}

/// Guards against a gang with time to spare that is stalled after a change of leader: capacity for the gang twice over is enough for it and
/// for urgent work.
#[test]
fn a_gang_with_time_to_spare_is_not_stalled_after_a_change_of_leader() {
    let mut site = site_with_a_few_accelerators_in_use();
    site.take_over(2);
    site.report();
    site.submit(1, "other", vec![gang()]);
    let waited_ms = time_to_start_ms(&mut site);
    assert!(waited_ms <= STALL_LIMIT_MS, "stalled for {waited_ms} ms");
}

/// Guards against a gang that is stalled after the last urgent job: capacity is kept for further urgent jobs, but none arrives.
#[test]
fn a_gang_is_not_stalled_after_the_last_urgent_job() {
    let mut site = site_with_a_few_accelerators_in_use();
    site.submit(1, "other", vec![gang()]);
    site.advance(LATE_MS);
    for _ in 0..40 {
        let urgent = site.submit(0, "other", vec![step(5, 8)]);
        site.plan();
        site.cancel(0, "other", urgent);
        site.advance(TURN_MS);
    }
    let waited_ms = time_to_start_ms(&mut site);
    assert!(waited_ms <= STALL_LIMIT_MS, "stalled for {waited_ms} ms");
}

/// Guards against a gang that waits for a single rack although each rack has long runs, while there is capacity for it twice over on several
/// racks. Before the gang has waited its full time for a rack, the planner spreads it only shortly before it would be late even if spread, and
/// there may be no leader at that time.
#[test]
fn a_gang_is_not_stalled_for_a_rack() {
    let mut site = Site::new(48, 12);
    site.advance(LATE_MS);
    let one_per_worker = StepSpec {
        most_per_worker: Some(1),
        declared_ms: 600_000,
        ..step(48, 1)
    };
    site.submit(2, "other", vec![one_per_worker]);
    site.plan_and_start();
    site.send_starts();
    for (worker, run) in site.open_runs() {
        let number: usize = worker.id[1..].parse().unwrap_or(0);
        if number % 12 > 2 {
            site.end(run, EndKind::Done);
        }
    }
    let local = StepSpec {
        rack_local: true,
        ..gang()
    };
    site.submit(1, "other", vec![local]);
    // No plan is made during a change of leader, which takes this long.
    site.advance(1_200);
    let waited_ms = time_to_start_ms(&mut site);
    assert!(waited_ms <= STALL_LIMIT_MS, "stalled for {waited_ms} ms");
}
