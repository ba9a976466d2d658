//! Room that is kept for urgent work, against work that waits beside it.

mod support;

use bh_workload::job::StepSpec;
use bh_workload::state::EndKind;
use support::Site;
use support::step;

/// Longest time for which a job may stand still beside room for it twice over while under half of its pool is in use, in milliseconds.
const LIMIT_MS: u64 = 3_000;
const TURN_MS: u64 = 200;
/// More than a gang of the tests has to be on time.
const LATE_MS: u64 = 60_000;

/// Ten racks of four workers; small tasks are on 18 workers, so that 22 are free, and 18 of 320 accelerators are in use.
fn site_with_a_few_accelerators_in_use() -> Site {
    let mut site = Site::new(40, 4);
    site.advance(LATE_MS);
    let apart = StepSpec {
        most_per_worker: Some(1),
        declared_ms: 600_000,
        ..step(18, 1)
    };
    site.submit(2, "other", vec![apart]);
    assert_eq!(site.plan_and_start().starts.len(), 18);
    site.send_starts();
    site
}

/// A gang for which there is room twice over.
fn gang() -> StepSpec {
    StepSpec {
        gang: true,
        ..step(11, 8)
    }
}

/// Time until something is planned, in milliseconds.
fn waits_ms(site: &mut Site) -> u64 {
    let mut waited_ms = 0;
    while site.plan().starts.is_empty() && waited_ms < LATE_MS {
        site.advance(TURN_MS);
        site.report();
        waited_ms += TURN_MS;
    }
    waited_ms
}

/// Guards against a gang that stands still after a change of leaders: the new one keeps room for urgent work that has not come, and a gang that is
/// late already may not use it.
#[test]
fn a_late_gang_does_not_stand_still_after_a_change_of_leader() {
    let mut site = site_with_a_few_accelerators_in_use();
    site.submit(1, "other", vec![gang()]);
    site.advance(LATE_MS);
    site.take_over(2);
    site.report();
    let waited_ms = waits_ms(&mut site);
    assert!(waited_ms <= LIMIT_MS, "it stands still for {waited_ms} ms");
}

/// Guards against the same with time to spare: room twice over is enough for both.
#[test]
fn a_gang_does_not_stand_still_after_a_change_of_leader() {
    let mut site = site_with_a_few_accelerators_in_use();
    site.take_over(2);
    site.report();
    site.submit(1, "other", vec![gang()]);
    let waited_ms = waits_ms(&mut site);
    assert!(waited_ms <= LIMIT_MS, "it stands still for {waited_ms} ms");
}

/// Guards against a gang that stands still after the last urgent job: room is kept for more, though none comes.
#[test]
fn a_gang_does_not_stand_still_after_the_last_urgent_job() {
    let mut site = site_with_a_few_accelerators_in_use();
    site.submit(1, "other", vec![gang()]);
    site.advance(LATE_MS);
    for _ in 0..40 {
        let urgent = site.submit(0, "other", vec![step(5, 8)]);
        site.plan();
        site.cancel(0, "other", urgent);
        site.advance(TURN_MS);
    }
    let waited_ms = waits_ms(&mut site);
    assert!(waited_ms <= LIMIT_MS, "it stands still for {waited_ms} ms");
}

/// Guards against a gang that stands still for a rack of its own, which others do not leave, while there is room for it twice over on several: it may
/// be spread for a moment only, in which there may be no leader.
#[test]
fn a_gang_does_not_stand_still_for_a_rack() {
    let mut site = Site::new(48, 12);
    site.advance(LATE_MS);
    let apart = StepSpec {
        most_per_worker: Some(1),
        declared_ms: 600_000,
        ..step(48, 1)
    };
    site.submit(2, "other", vec![apart]);
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
    // No plan is made for as long as a change of leader takes.
    site.advance(1_200);
    let waited_ms = waits_ms(&mut site);
    assert!(waited_ms <= LIMIT_MS, "it stands still for {waited_ms} ms");
}
