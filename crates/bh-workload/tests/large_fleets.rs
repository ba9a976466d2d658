//! Work of the leader whose time must not grow faster than the fleet.
#![expect(
    clippy::unwrap_used,
    reason = "a test that meets the unexpected shall end"
)]

mod support;

use bh_workload::admission::Backlog;
use bh_workload::dispatch::Dispatcher;
use bh_workload::dispatch::OrderBody;
use bh_workload::dispatch::Timing;
use bh_workload::job::StepSpec;
use bh_workload::plan::FleetLoad;
use bh_workload::plan::Planner;
use bh_workload::plan::Policy;
use bh_workload::state::Command;
use bh_workload::state::End;
use bh_workload::state::EndKind;
use bh_workload::state::WaveSpec;
use bh_workload::state::Workload;
use bh_workload::upkeep::WaveScheduler;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;
use support::Site;
use support::step;
use support::uneven_fleet::UnevenFleet;

const RACK: usize = 12;
/// Sizes that are compared, in workers.
const SMALL: usize = 300;
const GROWTH: usize = 8;
/// Growth in time that is accepted for work on all of the fleet: between that of the fleet, 8, and its square, 64, since the time to search
/// a map grows too.
const MAX_GROWTH: u32 = 32;
/// Growth in time that is accepted for work on a part of the fleet.
const MAX_PARTIAL_GROWTH: u32 = 5;
const MEMBERS: u32 = 6;

/// A site of `workers` workers, each of which runs one member of a gang.
fn site_with_gangs(workers: usize) -> Site {
    let mut site = Site::new(workers, RACK);
    for _ in 0..workers / usize::try_from(MEMBERS).unwrap() {
        let gang = StepSpec {
            gang: true,
            rack_local: true,
            ..step(MEMBERS, 8)
        };
        site.submit(0, "other", vec![gang]);
    }
    site.plan_and_start();
    site.send_starts();
    site.report();
    site.advance(50);
    assert!(site.open_runs().len() * 10 > workers * 9);
    site
}

/// Returns the time of the fastest of several passes: other load on the machine only makes passes slower.
fn fastest(mut pass: impl FnMut() -> Duration) -> Duration {
    (0..9).map(|_| pass()).min().unwrap()
}

/// Tests that measure time take turns: one beside another slows it down.
static TURN: Mutex<()> = Mutex::new(());

fn take_turn() -> MutexGuard<'static, ()> {
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Checks that the time of `pass` on what `build` returns for a number of workers grows at most by `max_growth` in a fleet that is [`GROWTH`]
/// times as large.
fn assert_growth(
    max_growth: u32,
    build: impl Fn(usize) -> Site,
    pass: impl Fn(&mut Site) -> Duration,
) {
    let _turn = take_turn();
    let time = |workers| {
        let site = build(workers);
        fastest(|| pass(&mut site.clone()))
    };
    let (small, large) = (time(SMALL), time(SMALL * GROWTH));
    assert!(
        large < small * max_growth,
        "{large:?} with {GROWTH} times the fleet, {small:?} before"
    );
}

/// A site of `workers` idle workers.
fn idle_site(workers: usize) -> Site {
    Site::new(workers, RACK)
}

/// Guards against scans of the fleet for each run that is checked: the leader then answers no call for as long as the check takes.
#[test]
fn checks_for_overdue_runs_grow_with_the_fleet() {
    assert_growth(MAX_GROWTH, site_with_gangs, |site| {
        let started = Instant::now();
        site.planner
            .overdue(site.now_ms, &site.workload, &site.dispatcher);
        started.elapsed()
    });
}

/// Guards against scans of the fleet for each job in the report of the load, which the leader computes whenever its metrics are read.
#[test]
fn the_report_of_the_load_grows_with_the_fleet() {
    assert_growth(MAX_GROWTH, site_with_gangs, |site| {
        let started = Instant::now();
        FleetLoad::new(&site.workload, site.wall_ms());
        started.elapsed()
    });
}

/// Guards against scans of the fleet for each gang that breaks, which every replica would make.
#[test]
fn recording_the_ends_of_gangs_grows_with_the_fleet() {
    assert_growth(MAX_GROWTH, site_with_gangs, |site| {
        let runs = site.open_runs();
        let first_members = runs.iter().filter(|(_, run)| run.task.index == 0);
        let ends = first_members.map(|(worker, run)| End {
            run: *run,
            worker: worker.clone(),
            kind: EndKind::Failed,
            checkpoint: None,
        });
        let ends = Command::ends(ends.collect());
        let started = Instant::now();
        site.workload.apply(ends);
        started.elapsed()
    });
}

/// Guards against sweeps that visit all workers although most of them only wait for an end of a run: they take a third of a small VM's
/// processor with six thousand workers.
#[test]
fn sweeps_leave_out_workers_whose_probes_are_in_flight() {
    assert_growth(MAX_PARTIAL_GROWTH, site_with_gangs, |site| {
        let (probes, _) = site.dispatcher.orders(site.now_ms, &site.workload, true);
        assert!(
            probes
                .iter()
                .all(|order| matches!(order.body, OrderBody::Probe { .. }))
        );
        site.advance(100);
        let started = Instant::now();
        let (orders, _) = site.dispatcher.orders(site.now_ms, &site.workload, true);
        let time = started.elapsed();
        assert!(orders.is_empty());
        time
    });
}

/// Guards against a scan of all runs for each unit where workers are ranked by their speeds. A quarter of the workers is slow and the others
/// are full, so that each of as many units as there are workers has to decide whether it waits for a fast worker. The plan is compared with
/// one of a planner that does not rank workers.
#[test]
fn ranked_workers_cost_no_scan_for_each_unit() {
    /// Cost that is accepted for the ranks, relative to a plan without them. A scan of the runs for each unit takes far more, since there
    /// are six times as many runs as workers.
    const MAX_FACTOR: u32 = 4;
    let _turn = take_turn();
    let workers = SMALL * 2;
    let mut fleet = UnevenFleet::new(workers, Policy::new().with_ranked_workers());
    let tasks = |count, declared_ms| StepSpec {
        declared_ms,
        ..step(count, 1)
    };
    for _ in 0..workers {
        fleet.submit(2, (2_000, 0), tasks(8, 2_000));
    }
    fleet.play(5_500);
    for _ in 0..workers {
        fleet.submit(1, (20_000, 0), tasks(6, 20_000));
    }
    fleet.play(100);
    for _ in 0..workers {
        fleet.submit(2, (2_000, 0), tasks(1, 2_000));
    }
    fleet.site.advance(3_500);
    let mut plain = fleet.site.clone();
    plain.planner = Planner::new();
    let time = |site: &Site| {
        fastest(|| {
            let mut site = site.clone();
            let started = Instant::now();
            let plan = site.plan();
            let time = started.elapsed();
            assert!(!plan.starts.is_empty());
            time
        })
    };
    let (ranked, plain) = (time(&fleet.site), time(&plain));
    assert!(
        ranked < plain * MAX_FACTOR,
        "{ranked:?} with ranks, {plain:?} without"
    );
}

/// Guards against a comparison of each new worker with all others: a data centre that comes back registers all its workers at once.
#[test]
fn registering_workers_grows_with_the_fleet() {
    assert_growth(MAX_GROWTH, idle_site, |site| {
        let workload = &mut site.workload;
        let mut dispatcher = Dispatcher::new(Timing::DEFAULT, 1, 1, &Workload::default());
        let mut events = workload.take_events();
        events.workers = workload
            .workers()
            .map(|worker| worker.info.id.clone())
            .collect();
        let started = Instant::now();
        dispatcher.note_events(1, &events, workload);
        started.elapsed()
    });
}

/// Guards against a scan of the fleet for each waiting job, since calls wait while the leader takes a snapshot of the waiting work.
#[test]
fn snapshots_of_the_waiting_work_grow_with_the_fleet() {
    let busy_site = |workers: usize| {
        let mut site = site_with_gangs(workers);
        for _ in 0..workers / usize::try_from(MEMBERS).unwrap() {
            site.submit(1, "other", vec![step(1, 8)]);
        }
        site
    };
    assert_growth(MAX_GROWTH, busy_site, |site| {
        let started = Instant::now();
        Backlog::new(site.wall_ms(), &site.workload, &site.planner);
        started.elapsed()
    });
}

/// Guards against a scan of the fleet for each VM of a wave, ten times a second and more for as long as the wave lasts.
#[test]
fn waves_of_upkeep_grow_with_the_fleet() {
    assert_growth(MAX_GROWTH, idle_site, |site| {
        let vms = site
            .workload
            .workers()
            .filter_map(|worker| worker.info.vm.clone());
        let spec = WaveSpec {
            id: 1,
            vms: vms.collect(),
            within_ms: 60_000,
            most_at_once: 1,
        };
        let now_ms = site.wall_ms();
        site.workload.apply(Command::StartWave { spec, now_ms });
        let mut waves = WaveScheduler::new("core".into(), 1, 1, &Timing::DEFAULT);
        let times = (site.now_ms, site.wall_ms());
        let started = Instant::now();
        waves.actions(times, &site.workload, &site.dispatcher);
        started.elapsed()
    });
}

/// Guards against a scan of the fleet or of all customers' usage for each waiting unit when capacity is shared, in each pass of the planner.
#[test]
fn shares_of_customers_grow_with_the_fleet() {
    let build = |workers: usize| {
        let mut site = idle_site(workers);
        for number in 0..workers / 4 {
            let customer = ["other", "guaranteed"][number % 2];
            site.submit(2, customer, vec![step(1, 8)]);
        }
        site
    };
    assert_growth(MAX_GROWTH, build, |site| {
        let started = Instant::now();
        let shares = site
            .planner
            .customer_shares(site.wall_ms(), &site.workload, &site.dispatcher);
        let time = started.elapsed();
        assert!(shares.iter().all(|share| share.waits));
        time
    });
}

/// Guards against a search for runs to stop whose time grows with the square of the fleet: under a limit on displacements, the costs of the
/// stops share what they depend on, and each gang is looked up once.
#[test]
fn preemption_under_a_limit_grows_with_the_fleet() {
    let full_site = |workers| {
        let mut site = Site::new(workers, RACK);
        let limited = Policy::new().with_max_displacements(3);
        site.planner = Planner::new().with_policy(limited);
        site.advance(60_000);
        for _ in 0..workers / usize::try_from(MEMBERS).unwrap() {
            let gang = StepSpec {
                gang: true,
                ..step(MEMBERS, 8)
            };
            site.submit(2, "other", vec![gang]);
        }
        site.plan_and_start();
        site.send_starts();
        site.report();
        site.advance(50);
        let urgent = StepSpec {
            gang: true,
            ..step(MEMBERS, 4)
        };
        site.submit(0, "other", vec![urgent]);
        site
    };
    assert_growth(MAX_GROWTH, full_site, |site| {
        let started = Instant::now();
        let plan = site.plan();
        let took = started.elapsed();
        assert!(!plan.evictions.is_empty());
        took
    });
}
