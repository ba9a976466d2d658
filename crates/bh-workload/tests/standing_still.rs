//! Work that waits beside free room.
#![expect(
    clippy::unwrap_used,
    reason = "a test that meets the unexpected shall end"
)]

mod support;

use bh_protocol::Incarnation;
use bh_workload::dispatch::Answer;
use bh_workload::dispatch::Dispatcher;
use bh_workload::dispatch::Timing;
use bh_workload::job::JobId;
use bh_workload::job::StepSpec;
use bh_workload::plan::OverdueReason;
use bh_workload::plan::Planner;
use bh_workload::state::Command;
use bh_workload::state::EndKind;
use std::collections::BTreeSet;
use std::sync::Arc;
use support::Site;
use support::rules;
use support::step;

/// Longest time that a job may have nothing running beside free room, in milliseconds.
const BOUND_MS: u64 = 3_000;
/// Longest time between two plans, in milliseconds.
const PLAN_MS: u64 = 200;
/// Time that is watched, in milliseconds.
const WATCHED_MS: u64 = 40_000;
/// Time after which no room is kept for urgent work that does not come, in milliseconds.
const QUIET_MS: u64 = 60_000;
/// Declared run time of tasks that outlast the watched time, in milliseconds.
const LONG_MS: u64 = 600_000;
const NEAR: &str = "rack0";

/// Time passes. The workers in `silent` say and answer nothing.
fn pass(site: &mut Site, by_ms: u64, silent: &BTreeSet<Incarnation>) {
    site.now_ms += by_ms;
    let workers = site.workload.workers();
    let ids: Vec<Incarnation> = workers.map(|worker| worker.info.id.clone()).collect();
    for id in ids.iter().filter(|id| !silent.contains(id)) {
        site.dispatcher
            .note_heartbeat(site.now_ms, id, Some(site.now_ms));
    }
    for order in site.orders() {
        let worker = &order.to.worker;
        let answer = if silent.contains(worker) {
            Answer::Lost
        } else {
            site.probe_answer(worker, &[])
        };
        let command = site
            .dispatcher
            .note_answer(site.now_ms, &order, &answer, &site.workload);
        if let Some(command) = command {
            let now_ms = site.wall_ms();
            site.workload.apply(command.at(now_ms));
        }
    }
    site.take_events();
}

/// Whether the workers have room for all tasks of `spec` twice, and under half of what they have is in use.
fn has_ample_room(site: &Site, spec: &StepSpec, silent: &BTreeSet<Incarnation>) -> bool {
    let needs = spec.reserved();
    let (mut places, mut free, mut all) = (0, 0, 0);
    for worker in site.workload.workers() {
        all += worker.info.capacity.accelerators;
        if silent.contains(&worker.info.id) {
            continue;
        }
        free += worker.free().accelerators;
        let label = spec.required_label.as_ref();
        if label.is_none_or(|label| worker.info.labels.contains(label)) {
            places += needs.count_in(&worker.free(), u64::MAX);
        }
    }
    places >= 2 * u64::from(spec.count) && free * 2 > all
}

/// Longest time that the job has nothing running beside ample room until it begins, in milliseconds; the workers in `silent` answer nothing.
fn longest_still_ms(site: &mut Site, job: JobId, silent: &BTreeSet<Incarnation>) -> u64 {
    let spec = site.workload.job(job).unwrap().spec.steps[0].clone();
    let until_ms = site.now_ms + WATCHED_MS;
    let (mut longest_ms, mut since_ms) = (0, site.now_ms);
    while site.now_ms < until_ms {
        site.plan_and_start();
        if site.workload.job(job).unwrap().has_open_runs() {
            break;
        }
        if !has_ample_room(site, &spec, silent) {
            since_ms = site.now_ms;
        }
        pass(site, PLAN_MS, silent);
        longest_ms = longest_ms.max(site.now_ms - since_ms);
    }
    longest_ms
}

/// The job begins in time where it has ample room.
fn assert_begins(site: &mut Site, job: JobId) {
    let still_ms = longest_still_ms(site, job, &BTreeSet::new());
    assert!(still_ms < BOUND_MS, "stands still for {still_ms} ms");
}

fn long(spec: StepSpec) -> StepSpec {
    StepSpec {
        declared_ms: LONG_MS,
        ..spec
    }
}

fn local_gang(count: u32) -> StepSpec {
    StepSpec {
        gang: true,
        rack_local: true,
        ..step(count, 8)
    }
}

/// A site of six racks with four workers each; a long run takes one accelerator of one worker in each rack, and no room is kept for urgent work.
fn site_with_a_run_in_each_rack() -> Site {
    let mut site = Site::new(24, 4);
    let spread = StepSpec {
        most_per_worker: Some(1),
        ..long(step(24, 1))
    };
    site.submit(0, "other", vec![spread]);
    site.plan_and_start();
    for (worker, run) in site.open_runs() {
        let number: usize = worker.id[1..].parse().unwrap();
        if !number.is_multiple_of(4) {
            site.end(run, EndKind::Done);
        }
    }
    pass(&mut site, QUIET_MS, &BTreeSet::new());
    assert_eq!(site.open_runs().len(), 6);
    site
}

/// Guards against a gang that waits for a whole rack in a pool that is nearly idle, where it has missed the moment to be spread in time.
#[test]
fn a_gang_that_cannot_be_in_time_does_not_wait_for_a_rack_in_an_idle_pool() {
    let mut site = site_with_a_run_in_each_rack();
    let job = site.submit(1, "other", vec![local_gang(4)]);
    pass(&mut site, 1_200, &BTreeSet::new());
    assert_begins(&mut site, job);
}

/// Guards against an urgent gang that waits for a whole rack in a pool that is nearly idle, since spread it would never be in time.
#[test]
fn an_urgent_gang_of_little_slack_does_not_wait_for_a_rack_in_an_idle_pool() {
    let mut site = site_with_a_run_in_each_rack();
    let mut tight = rules(2);
    let mut queue = (*tight.queues[0]).clone();
    queue.slack_factor = 1.5;
    tight.queues[0] = Arc::new(queue);
    site.workload.apply(Command::SetRules(Box::new(tight)));
    let job = site.submit(0, "other", vec![local_gang(4)]);
    assert_begins(&mut site, job);
}

/// Guards against work behind gangs that wait for a rack each: all room of the idle pool is kept for them.
#[test]
fn room_kept_for_gangs_that_wait_for_racks_holds_nothing_else_back() {
    let mut site = site_with_a_run_in_each_rack();
    for _ in 0..6 {
        site.submit(1, "other", vec![local_gang(4)]);
    }
    pass(&mut site, 1_200, &BTreeSet::new());
    let job = site.submit(2, "other", vec![step(4, 8)]);
    assert_begins(&mut site, job);
}

/// Guards against tasks that wait for the rack of their data, which is full, while all others are idle.
#[test]
fn tasks_do_not_wait_for_a_full_rack_in_an_idle_pool() {
    let mut site = Site::new(24, 4);
    pass(&mut site, QUIET_MS, &BTreeSet::new());
    site.submit(1, "other", vec![near(long(step(4, 8)))]);
    site.plan_and_start();
    let job = site.submit(2, "other", vec![near(step(4, 1))]);
    assert_begins(&mut site, job);
}

/// Guards against failed attempts where work that has stood still gives up its rack: workers set aside come last, sound ones are free.
#[test]
fn work_that_has_stood_still_prefers_sound_workers() {
    let mut site = Site::new(24, 4);
    pass(&mut site, QUIET_MS, &BTreeSet::new());
    site.submit(1, "other", vec![near(long(step(4, 8)))]);
    site.plan_and_start();
    let workers = site.workload.workers().skip(4).take(4);
    let aside: Vec<Incarnation> = workers.map(|worker| worker.info.id.clone()).collect();
    for id in &aside {
        site.dispatcher.set_aside(site.now_ms, id);
    }
    let gang = StepSpec {
        gang: true,
        ..step(4, 1)
    };
    let job = site.submit(2, "other", vec![near(gang)]);
    assert_begins(&mut site, job);
    let runs = site.open_runs().into_iter();
    let own: Vec<_> = runs.filter(|(_, run)| run.task.step.job == job).collect();
    assert_eq!(own.len(), 4);
    assert!(own.iter().all(|(worker, _)| !aside.contains(worker)));
}

/// Guards against tasks that wait for the rack of their data, which is empty but kept for urgent work, in an empty pool.
#[test]
fn tasks_do_not_wait_for_a_rack_that_is_kept_for_urgent_work() {
    let mut site = Site::new(24, 4);
    let spec = StepSpec {
        near_rack: Some(Arc::from(NEAR)),
        ..step(4, 1)
    };
    let job = site.submit(2, "other", vec![spec]);
    assert_begins(&mut site, job);
}

/// Guards against tasks for whole workers that stand still after a change of leader: all whole ones are kept for urgent work that does not come.
#[test]
fn room_kept_for_urgent_work_does_not_hold_whole_workers_back() {
    let mut site = Site::new(40, 4);
    pass(&mut site, QUIET_MS, &BTreeSet::new());
    let spread = StepSpec {
        most_per_worker: Some(1),
        ..long(step(40, 1))
    };
    site.submit(2, "other", vec![spread]);
    site.plan_and_start();
    for (worker, run) in site.open_runs().into_iter().take(8) {
        assert!(worker.id.starts_with("w0"));
        site.end(run, EndKind::Done);
    }
    pass(&mut site, PLAN_MS, &BTreeSet::new());
    site.take_over(2);
    pass(&mut site, PLAN_MS, &BTreeSet::new());
    let job = site.submit(1, "other", vec![step(2, 8)]);
    assert_begins(&mut site, job);
}

/// Guards against work behind a gang for which room is kept that services take: they are taken to end soon, and never do.
#[test]
fn room_is_not_kept_beside_services_that_never_end() {
    let mut site = Site::new(8, 4);
    pass(&mut site, QUIET_MS, &BTreeSet::new());
    let service = StepSpec {
        long_running: true,
        ..step(3, 8)
    };
    site.submit(1, "other", vec![service]);
    site.plan_and_start();
    pass(&mut site, PLAN_MS, &BTreeSet::new());
    let gang = StepSpec {
        gang: true,
        ..step(8, 8)
    };
    site.submit(1, "other", vec![gang]);
    let job = site.submit(2, "other", vec![step(4, 1)]);
    assert_begins(&mut site, job);
}

/// Guards against tasks that avoid every worker they are allowed on, since runs of them stood still there: others in the pool are no help to them.
#[test]
fn tasks_go_back_to_workers_that_they_avoid_where_no_others_are_allowed() {
    let mut site = Site::new(8, 4);
    pass(&mut site, QUIET_MS, &BTreeSet::new());
    let spec = StepSpec {
        required_label: Some(Arc::from(NEAR)),
        ..step(2, 8)
    };
    let job = site.submit(1, "other", vec![spec]);
    for _ in 0..2 {
        site.plan_and_start();
        assert_eq!(site.open_runs().len(), 2);
        for _ in 0..20 {
            pass(&mut site, PLAN_MS, &BTreeSet::new());
        }
        let overdue = site
            .planner
            .overdue(site.now_ms, &site.workload, &site.dispatcher);
        assert_eq!(overdue.len(), 2);
        for late in overdue {
            assert_eq!(late.why, OverdueReason::Still);
            site.end(late.run, EndKind::Stopped);
        }
    }
    assert_begins(&mut site, job);
}

/// Guards against work that stands still since all workers that it is allowed on are set aside; by their number in the whole fleet they are few.
#[test]
fn work_begins_on_workers_set_aside_where_no_others_are_allowed() {
    let mut site = Site::new(24, 4);
    pass(&mut site, QUIET_MS, &BTreeSet::new());
    let workers = site.workload.workers().take(4);
    let ids: Vec<Incarnation> = workers.map(|worker| worker.info.id.clone()).collect();
    for id in &ids {
        site.dispatcher.set_aside(site.now_ms, id);
    }
    let spec = StepSpec {
        required_label: Some(Arc::from(NEAR)),
        ..step(2, 1)
    };
    let job = site.submit(1, "other", vec![spec]);
    assert_begins(&mut site, job);
}

/// Guards against a gang that is not even looked at, since small tasks before it found no room: these begin one by one on workers that have just started.
#[test]
fn tasks_that_begin_one_by_one_on_cold_workers_do_not_hide_their_room() {
    const COLD_MS: u64 = 10_000;
    let mut site = Site::new(8, 4);
    pass(&mut site, QUIET_MS, &BTreeSet::new());
    let workers = site.workload.workers();
    let ids: Vec<Incarnation> = workers.map(|worker| worker.info.id.clone()).collect();
    for id in ids {
        site.dispatcher.note_cold(site.now_ms, &id, COLD_MS);
    }
    site.submit(1, "other", vec![step(40, 1)]);
    site.submit(1, "other", vec![step(40, 1)]);
    let gang = StepSpec {
        gang: true,
        ..step(4, 2)
    };
    let job = site.submit(2, "other", vec![gang]);
    assert_begins(&mut site, job);
}

/// Guards against a gang that stands still after a change of leader for as long as a lease, since workers are still silent whose leases ran out long before.
#[test]
fn a_gang_lost_with_its_workers_leases_is_not_held_after_a_change_of_leader() {
    let mut site = Site::new(24, 4);
    pass(&mut site, QUIET_MS, &BTreeSet::new());
    let gang = StepSpec {
        gang: true,
        ..step(2, 8)
    };
    let job = site.submit(1, "other", vec![gang]);
    let mut silent: BTreeSet<Incarnation> = BTreeSet::new();
    for _ in 0..2 {
        site.plan_and_start();
        pass(&mut site, PLAN_MS, &silent);
        let runs = site.open_runs();
        assert_eq!(runs.len(), 2);
        silent.extend(runs.iter().map(|(worker, _)| worker.clone()));
        for _ in 0..60 {
            pass(&mut site, PLAN_MS, &silent);
        }
        assert!(site.open_runs().is_empty(), "the leases have run out");
    }
    // Not as `Site::take_over`, by which every worker is heard.
    site.dispatcher = Dispatcher::new(Timing::DEFAULT, 2, site.now_ms, &site.workload);
    site.planner = Planner::new();
    let still_ms = longest_still_ms(&mut site, job, &silent);
    assert!(still_ms < BOUND_MS, "stands still for {still_ms} ms");
}

/// Guards against work that stands still for ever where others take and leave the room beside it all the time.
#[test]
fn room_that_is_short_for_a_moment_does_not_begin_the_wait_anew() {
    let mut site = site_with_a_run_in_each_rack();
    let job = site.submit(1, "other", vec![local_gang(4)]);
    pass(&mut site, 1_200, &BTreeSet::new());
    let since_ms = site.now_ms;
    while site.now_ms < since_ms + WATCHED_MS {
        let short = site.submit(0, "other", vec![step(11, 8)]);
        site.plan_and_start();
        pass(&mut site, PLAN_MS, &BTreeSet::new());
        for (_, run) in site.open_runs() {
            if run.task.step.job == short {
                site.end(run, EndKind::Done);
            }
        }
        for _ in 0..4 {
            site.plan_and_start();
            if site.workload.job(job).unwrap().has_open_runs() {
                let still_ms = site.now_ms - since_ms;
                assert!(still_ms < BOUND_MS, "stands still for {still_ms} ms");
                return;
            }
            pass(&mut site, PLAN_MS, &BTreeSet::new());
        }
    }
    panic!("stands still for {WATCHED_MS} ms");
}

fn near(spec: StepSpec) -> StepSpec {
    StepSpec {
        near_rack: Some(Arc::from(NEAR)),
        ..spec
    }
}

/// Guards against a gang that never begins beside small work that has stood still: kept room looks full, and is taken first.
#[test]
fn work_that_has_stood_still_leaves_kept_room_where_there_is_other() {
    let mut site = Site::new(24, 4);
    pass(&mut site, QUIET_MS, &BTreeSet::new());
    let spread = StepSpec {
        most_per_worker: Some(1),
        ..long(step(24, 1))
    };
    site.submit(0, "other", vec![spread]);
    site.plan_and_start();
    for (worker, run) in site.open_runs() {
        let number: usize = worker.id[1..].parse().unwrap();
        if (4..8).contains(&number) {
            site.end(run, EndKind::Done);
        }
    }
    pass(&mut site, QUIET_MS, &BTreeSet::new());
    site.submit(1, "other", vec![near(long(step(4, 7)))]);
    site.plan_and_start();
    let busy = StepSpec {
        required_label: Some(Arc::from("rack1")),
        ..step(1, 8)
    };
    site.submit(1, "other", vec![busy]);
    site.plan_and_start();
    let gang = site.submit(1, "other", vec![local_gang(4)]);
    let from_ms = site.now_ms;
    let mut small = Vec::new();
    while site.now_ms < from_ms + BOUND_MS && !site.workload.job(gang).unwrap().has_open_runs() {
        small.push(site.submit(2, "other", vec![near(step(1, 1))]));
        site.plan_and_start();
        pass(&mut site, PLAN_MS, &BTreeSet::new());
    }
    let kept = |worker: &Incarnation| {
        let info = &site.workload.worker(worker).unwrap().info;
        &*info.rack == "rack1"
    };
    let runs = site.open_runs().into_iter();
    let own: Vec<_> = runs
        .filter(|(_, run)| small.contains(&run.task.step.job))
        .collect();
    assert!(!own.is_empty());
    assert!(own.iter().all(|(worker, _)| !kept(worker)));
}

/// Guards against a service of which one task runs while the others wait for a rack beside an idle pool.
#[test]
fn a_service_does_not_miss_tasks_for_a_rack() {
    let mut site = Site::new(24, 4);
    pass(&mut site, QUIET_MS, &BTreeSet::new());
    let service = |count| StepSpec {
        long_running: true,
        ..near(long(step(count, 8)))
    };
    site.submit(1, "other", vec![service(3)]);
    site.plan_and_start();
    let job = site.submit(1, "other", vec![service(3)]);
    let since_ms = site.now_ms;
    let at_work = |site: &Site| {
        let runs = site.open_runs();
        let own = runs.iter().filter(|(_, run)| run.task.step.job == job);
        own.count()
    };
    while at_work(&site) < 3 && site.now_ms < since_ms + WATCHED_MS {
        site.plan_and_start();
        pass(&mut site, PLAN_MS, &BTreeSet::new());
    }
    let missed_ms = site.now_ms - since_ms;
    assert!(missed_ms < BOUND_MS, "misses tasks for {missed_ms} ms");
}

/// Guards against work that stands still since one run of its job is recorded on a worker that is lost.
#[test]
fn a_run_on_a_lost_worker_does_not_count_as_running() {
    let mut site = Site::new(24, 4);
    pass(&mut site, QUIET_MS, &BTreeSet::new());
    site.submit(1, "other", vec![near(long(step(31, 1)))]);
    site.plan_and_start();
    pass(&mut site, PLAN_MS, &BTreeSet::new());
    let job = site.submit(1, "other", vec![near(long(step(2, 1)))]);
    for _ in 0..10 {
        site.plan_and_start();
        pass(&mut site, PLAN_MS, &BTreeSet::new());
    }
    let runs = site.open_runs().into_iter();
    let own: Vec<_> = runs.filter(|(_, run)| run.task.step.job == job).collect();
    assert_eq!(own.len(), 1);
    let silent: BTreeSet<Incarnation> = own.into_iter().map(|(worker, _)| worker).collect();
    let since_ms = site.now_ms;
    let runs_elsewhere = |site: &Site| {
        let mut runs = site.open_runs().into_iter();
        runs.any(|(worker, run)| run.task.step.job == job && !silent.contains(&worker))
    };
    while !runs_elsewhere(&site) && site.now_ms < since_ms + WATCHED_MS {
        pass(&mut site, PLAN_MS, &silent);
        site.plan_and_start();
    }
    let still_ms = site.now_ms - since_ms;
    assert!(still_ms < BOUND_MS, "stands still for {still_ms} ms");
}
