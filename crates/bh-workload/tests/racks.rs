//! Gangs that run slowly on several racks, and gangs that need a whole rack.

mod support;

use bh_protocol::Incarnation;
use bh_workload::job::RunId;
use bh_workload::job::StepSpec;
use bh_workload::state::EndKind;
use std::collections::BTreeSet;
use std::sync::Arc;
use support::Site;
use support::step;

/// A site of six racks with two workers each, one of which in each rack has a long run.
fn site_with_half_of_each_rack_in_use() -> Site {
    let mut site = Site::new(12, 2);
    site.advance(60_000);
    let long = StepSpec {
        declared_ms: 600_000,
        ..step(12, 8)
    };
    site.submit(2, "other", vec![long]);
    site.plan_and_start();
    let mut seen: BTreeSet<Arc<str>> = BTreeSet::new();
    let runs: Vec<(Incarnation, RunId)> = site.open_runs();
    for (worker, run) in runs {
        let rack = site.workload.worker(&worker).map(|w| w.info.rack.clone());
        if rack.is_some_and(|rack| !seen.insert(rack)) {
            site.end(run, EndKind::Done);
        }
    }
    site
}

/// Guards against a gang that waits for one rack until it must be late. One worker of each rack has a long run. The gang waits for a rack at first,
/// since it takes three times as long when it is spread. Just before spreading would be too late, it is spread if the pool is idle enough.
#[test]
fn a_gang_is_spread_when_that_is_its_last_chance_in_an_idle_pool() {
    let mut site = site_with_half_of_each_rack_in_use();
    let local = StepSpec {
        gang: true,
        rack_local: true,
        ..step(2, 8)
    };
    // It is on time within 3 times 5 s plus 1 s; spread, it takes 15 s.
    site.submit(1, "other", vec![local]);
    assert!(site.plan().starts.is_empty());
    site.advance(800);
    assert_eq!(site.plan().starts.len(), 2);
    site.advance(400);
    assert!(site.plan().starts.is_empty(), "too late to be on time");
}

/// Guards against a gang that is late because capacity is kept for urgent work in the emptiest rack, the only one where a gang that needs a
/// whole rack fits. The gang waits while it has time to spare, since urgent work may arrive, and takes the kept capacity when it would be
/// late otherwise. If it could not, it would wait until urgent work has been absent for long, and be served last of all.
#[test]
fn a_gang_takes_capacity_kept_for_urgent_work_when_that_is_its_last_chance() {
    let mut site = Site::new(4, 4);
    let whole_rack = StepSpec {
        gang: true,
        ..step(4, 8)
    };
    // It is on time within 3 times 5 s plus 1 s.
    site.submit(1, "other", vec![whole_rack]);
    assert!(site.plan().starts.is_empty());
    site.advance(5_500);
    assert!(site.plan().starts.is_empty(), "it has time to spare");
    site.advance(1_000);
    assert_eq!(site.plan().starts.len(), 4);
    site.advance(5_000);
    assert!(site.plan().starts.is_empty(), "it is late whatever happens");
}

/// Guards against small tasks that keep gangs from ever getting a rack. A fleet of twenty racks is full, and twenty gangs wait that need a whole rack
/// each. One worker becomes free in every rack, and small tasks wait as well. If capacity were kept for a few gangs only, small tasks would take the
/// rest as it becomes free, and the other gangs would find no rack until nothing else waits; their callers would get no answer at all.
#[test]
fn in_a_large_fleet_every_rack_is_kept_for_a_gang_that_waits_for_one() {
    const RACKS: usize = 20;
    const PER_RACK: usize = 12;
    let mut site = Site::new(RACKS * PER_RACK, PER_RACK);
    // Urgent work has been absent for so long that no capacity is kept for it.
    site.advance(20_000);
    let whole = step(u32::try_from(RACKS * PER_RACK).unwrap(), 8);
    site.submit(2, "other", vec![whole]);
    site.plan_and_start();
    site.send_starts();
    for _ in 0..RACKS {
        let rack = StepSpec {
            gang: true,
            rack_local: true,
            ..step(u32::try_from(PER_RACK).unwrap(), 8)
        };
        site.submit(1, "other", vec![rack]);
    }
    site.submit(2, "other", vec![step(400, 1)]);
    assert!(site.plan_and_start().starts.is_empty());
    for (worker, run) in site.open_runs() {
        let number: usize = worker.id[1..].parse().unwrap();
        if number.is_multiple_of(PER_RACK) {
            site.end(run, EndKind::Done);
        }
    }
    site.advance(50);
    assert_eq!(site.plan_and_start().starts, Vec::new());
}
