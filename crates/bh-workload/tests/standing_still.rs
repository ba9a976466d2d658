//! Work that is stalled beside free capacity.
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

/// Longest time for which a job may have nothing running beside ample capacity, in milliseconds.
const STALL_LIMIT_MS: u64 = 3_000;
/// Longest time between two plans, in milliseconds.
const PLAN_INTERVAL_MS: u64 = 200;
/// Time for which a test waits for a start, in milliseconds.
const OBSERVED_MS: u64 = 40_000;
/// Time without urgent work after which no capacity is kept for it, in milliseconds.
const QUIET_MS: u64 = 60_000;
/// Declared run time of tasks that run beyond the end of a test, in milliseconds.
const LONG_MS: u64 = 600_000;
/// Rack of the data of tasks that prefer a rack, and label of its workers.
const NEAR_RACK: &str = "rack0";

/// Advances the clock. The workers in `silent` send no heartbeats and no answers.
fn advance(site: &mut Site, by_ms: u64, silent: &BTreeSet<Incarnation>) {
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

/// Returns whether the workers have free capacity for all tasks of `spec` twice over, and less than half of their accelerators are in use.
fn has_ample_capacity(site: &Site, spec: &StepSpec, silent: &BTreeSet<Incarnation>) -> bool {
    let needs = spec.reserved();
    let (mut slots, mut free, mut total) = (0, 0, 0);
    for worker in site.workload.workers() {
        total += worker.info.capacity.accelerators;
        if silent.contains(&worker.info.id) {
            continue;
        }
        free += worker.free().accelerators;
        let label = spec.required_label.as_ref();
        if label.is_none_or(|label| worker.info.labels.contains(label)) {
            slots += needs.count_in(&worker.free(), u64::MAX);
        }
    }
    slots >= 2 * u64::from(spec.count) && free * 2 > total
}

/// Returns the longest time for which the job has nothing running beside ample capacity until it starts, in milliseconds. The workers in
/// `silent` answer nothing.
fn longest_stall_ms(site: &mut Site, job: JobId, silent: &BTreeSet<Incarnation>) -> u64 {
    let spec = site.workload.job(job).unwrap().spec.steps[0].clone();
    let until_ms = site.now_ms + OBSERVED_MS;
    let (mut longest_ms, mut since_ms) = (0, site.now_ms);
    while site.now_ms < until_ms {
        site.plan_and_start();
        if site.workload.job(job).unwrap().has_open_runs() {
            break;
        }
        if !has_ample_capacity(site, &spec, silent) {
            since_ms = site.now_ms;
        }
        advance(site, PLAN_INTERVAL_MS, silent);
        longest_ms = longest_ms.max(site.now_ms - since_ms);
    }
    longest_ms
}

/// Asserts that the job starts in time beside ample capacity.
fn assert_starts_in_time(site: &mut Site, job: JobId) {
    let stalled_ms = longest_stall_ms(site, job, &BTreeSet::new());
    assert!(stalled_ms < STALL_LIMIT_MS, "stalled for {stalled_ms} ms");
}

/// The step, declared to run beyond the end of a test.
fn with_long_run_time(spec: StepSpec) -> StepSpec {
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

/// A site of six racks with four workers each. A long run takes one accelerator of one worker in each rack, and no capacity is kept for urgent work.
fn site_with_a_run_in_each_rack() -> Site {
    let mut site = Site::new(24, 4);
    let spread = StepSpec {
        most_per_worker: Some(1),
        ..with_long_run_time(step(24, 1))
    };
    site.submit(0, "other", vec![spread]);
    site.plan_and_start();
    for (worker, run) in site.open_runs() {
        let number: usize = worker.id[1..].parse().unwrap();
        if !number.is_multiple_of(4) {
            site.end(run, EndKind::Done);
        }
    }
    advance(&mut site, QUIET_MS, &BTreeSet::new());
    assert_eq!(site.open_runs().len(), 6);
    site
}

/// Guards against a gang that waits for a whole rack in a nearly idle pool after it is too late to be spread in time.
#[test]
fn a_gang_that_cannot_be_on_time_does_not_wait_for_a_rack_in_an_idle_pool() {
    let mut site = site_with_a_run_in_each_rack();
    let job = site.submit(1, "other", vec![local_gang(4)]);
    advance(&mut site, 1_200, &BTreeSet::new());
    assert_starts_in_time(&mut site, job);
}

/// Guards against an urgent gang that waits for a whole rack in a nearly idle pool because it could never be on time when it is spread.
#[test]
fn an_urgent_gang_with_little_slack_does_not_wait_for_a_rack_in_an_idle_pool() {
    let mut site = site_with_a_run_in_each_rack();
    let mut tight = rules(2);
    let mut queue = (*tight.queues[0]).clone();
    queue.slack_factor = 1.5;
    tight.queues[0] = Arc::new(queue);
    site.workload.apply(Command::SetRules(Box::new(tight)));
    let job = site.submit(0, "other", vec![local_gang(4)]);
    assert_starts_in_time(&mut site, job);
}

/// Guards against work that is stalled behind gangs that wait for a rack each: all capacity of the idle pool is kept for them.
#[test]
fn capacity_kept_for_gangs_that_wait_for_racks_does_not_stall_other_work() {
    let mut site = site_with_a_run_in_each_rack();
    for _ in 0..6 {
        site.submit(1, "other", vec![local_gang(4)]);
    }
    advance(&mut site, 1_200, &BTreeSet::new());
    let job = site.submit(2, "other", vec![step(4, 8)]);
    assert_starts_in_time(&mut site, job);
}

/// Guards against tasks that wait for the rack of their data, which is full, while all other racks are idle.
#[test]
fn tasks_do_not_wait_for_a_full_rack_in_an_idle_pool() {
    let mut site = Site::new(24, 4);
    advance(&mut site, QUIET_MS, &BTreeSet::new());
    site.submit(1, "other", vec![near_data(with_long_run_time(step(4, 8)))]);
    site.plan_and_start();
    let job = site.submit(2, "other", vec![near_data(step(4, 1))]);
    assert_starts_in_time(&mut site, job);
}

/// Guards against failed attempts when stalled work starts outside of its rack: workers that are set aside come last, since healthy ones are free.
#[test]
fn stalled_work_prefers_workers_that_are_not_set_aside() {
    let mut site = Site::new(24, 4);
    advance(&mut site, QUIET_MS, &BTreeSet::new());
    site.submit(1, "other", vec![near_data(with_long_run_time(step(4, 8)))]);
    site.plan_and_start();
    let workers = site.workload.workers().skip(4).take(4);
    let set_aside: Vec<Incarnation> = workers.map(|worker| worker.info.id.clone()).collect();
    for id in &set_aside {
        site.dispatcher.set_aside(site.now_ms, id);
    }
    let gang = StepSpec {
        gang: true,
        ..step(4, 1)
    };
    let job = site.submit(2, "other", vec![near_data(gang)]);
    assert_starts_in_time(&mut site, job);
    let runs = site.open_runs().into_iter();
    let own: Vec<_> = runs.filter(|(_, run)| run.task.step.job == job).collect();
    assert_eq!(own.len(), 4);
    assert!(own.iter().all(|(worker, _)| !set_aside.contains(worker)));
}

/// Guards against tasks that wait in an empty pool because the rack of their data is kept for urgent work.
#[test]
fn tasks_do_not_wait_for_a_rack_that_is_kept_for_urgent_work() {
    let mut site = Site::new(24, 4);
    let spec = StepSpec {
        near_rack: Some(Arc::from(NEAR_RACK)),
        ..step(4, 1)
    };
    let job = site.submit(2, "other", vec![spec]);
    assert_starts_in_time(&mut site, job);
}

/// Guards against tasks that need a whole worker and are stalled after a change of leader: all empty workers are kept for urgent work that
/// does not arrive.
#[test]
fn capacity_kept_for_urgent_work_does_not_stall_tasks_that_need_a_whole_worker() {
    let mut site = Site::new(40, 4);
    advance(&mut site, QUIET_MS, &BTreeSet::new());
    let spread = StepSpec {
        most_per_worker: Some(1),
        ..with_long_run_time(step(40, 1))
    };
    site.submit(2, "other", vec![spread]);
    site.plan_and_start();
    for (worker, run) in site.open_runs().into_iter().take(8) {
        assert!(worker.id.starts_with("w0"));
        site.end(run, EndKind::Done);
    }
    advance(&mut site, PLAN_INTERVAL_MS, &BTreeSet::new());
    site.take_over(2);
    advance(&mut site, PLAN_INTERVAL_MS, &BTreeSet::new());
    let job = site.submit(1, "other", vec![step(2, 8)]);
    assert_starts_in_time(&mut site, job);
}

/// Guards against work that is stalled behind a gang that needs workers which services use: the plan keeps capacity for the gang as if the
/// services ended soon, but they never do.
#[test]
fn no_capacity_is_kept_for_a_gang_that_waits_for_services() {
    let mut site = Site::new(8, 4);
    advance(&mut site, QUIET_MS, &BTreeSet::new());
    let service = StepSpec {
        long_running: true,
        ..step(3, 8)
    };
    site.submit(1, "other", vec![service]);
    site.plan_and_start();
    advance(&mut site, PLAN_INTERVAL_MS, &BTreeSet::new());
    let gang = StepSpec {
        gang: true,
        ..step(8, 8)
    };
    site.submit(1, "other", vec![gang]);
    let job = site.submit(2, "other", vec![step(4, 1)]);
    assert_starts_in_time(&mut site, job);
}

/// Guards against tasks that avoid all their eligible workers because their runs stalled there: they may not run on the other workers of the pool.
#[test]
fn tasks_return_to_avoided_workers_when_no_others_are_eligible() {
    let mut site = Site::new(8, 4);
    advance(&mut site, QUIET_MS, &BTreeSet::new());
    let spec = StepSpec {
        required_label: Some(Arc::from(NEAR_RACK)),
        ..step(2, 8)
    };
    let job = site.submit(1, "other", vec![spec]);
    for _ in 0..2 {
        site.plan_and_start();
        assert_eq!(site.open_runs().len(), 2);
        for _ in 0..20 {
            advance(&mut site, PLAN_INTERVAL_MS, &BTreeSet::new());
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
    assert_starts_in_time(&mut site, job);
}

/// Guards against work that is stalled because all its eligible workers are set aside, though these are few of the whole fleet.
#[test]
fn work_starts_on_workers_set_aside_when_no_others_are_eligible() {
    let mut site = Site::new(24, 4);
    advance(&mut site, QUIET_MS, &BTreeSet::new());
    let workers = site.workload.workers().take(4);
    let ids: Vec<Incarnation> = workers.map(|worker| worker.info.id.clone()).collect();
    for id in &ids {
        site.dispatcher.set_aside(site.now_ms, id);
    }
    let spec = StepSpec {
        required_label: Some(Arc::from(NEAR_RACK)),
        ..step(2, 1)
    };
    let job = site.submit(1, "other", vec![spec]);
    assert_starts_in_time(&mut site, job);
}

/// Guards against a gang that the plan does not consider because small tasks before it found no capacity: these start one by one on cold
/// workers, which have just started.
#[test]
fn tasks_that_start_one_by_one_on_cold_workers_leave_their_capacity_to_a_gang() {
    const COLD_MS: u64 = 10_000;
    let mut site = Site::new(8, 4);
    advance(&mut site, QUIET_MS, &BTreeSet::new());
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
    assert_starts_in_time(&mut site, job);
}

/// Guards against a gang that waits for another lease after a change of leader, because workers whose leases expired long before are still silent.
#[test]
fn a_gang_whose_leases_have_expired_does_not_wait_after_a_change_of_leader() {
    let mut site = Site::new(24, 4);
    advance(&mut site, QUIET_MS, &BTreeSet::new());
    let gang = StepSpec {
        gang: true,
        ..step(2, 8)
    };
    let job = site.submit(1, "other", vec![gang]);
    let mut silent: BTreeSet<Incarnation> = BTreeSet::new();
    for _ in 0..2 {
        site.plan_and_start();
        advance(&mut site, PLAN_INTERVAL_MS, &silent);
        let runs = site.open_runs();
        assert_eq!(runs.len(), 2);
        silent.extend(runs.iter().map(|(worker, _)| worker.clone()));
        for _ in 0..60 {
            advance(&mut site, PLAN_INTERVAL_MS, &silent);
        }
        assert!(site.open_runs().is_empty(), "the leases have expired");
    }
    // `Site::take_over` is not used, since it sends heartbeats of all workers.
    site.dispatcher = Dispatcher::new(Timing::DEFAULT, 2, site.now_ms, &site.workload);
    site.planner = Planner::new();
    let stalled_ms = longest_stall_ms(&mut site, job, &silent);
    assert!(stalled_ms < STALL_LIMIT_MS, "stalled for {stalled_ms} ms");
}

/// Guards against work that is stalled for ever because other work takes and releases the capacity beside it again and again.
#[test]
fn a_short_lack_of_capacity_does_not_restart_the_stall_timer() {
    let mut site = site_with_a_run_in_each_rack();
    let job = site.submit(1, "other", vec![local_gang(4)]);
    advance(&mut site, 1_200, &BTreeSet::new());
    let since_ms = site.now_ms;
    while site.now_ms < since_ms + OBSERVED_MS {
        let short_job = site.submit(0, "other", vec![step(11, 8)]);
        site.plan_and_start();
        advance(&mut site, PLAN_INTERVAL_MS, &BTreeSet::new());
        for (_, run) in site.open_runs() {
            if run.task.step.job == short_job {
                site.end(run, EndKind::Done);
            }
        }
        for _ in 0..4 {
            site.plan_and_start();
            if site.workload.job(job).unwrap().has_open_runs() {
                let stalled_ms = site.now_ms - since_ms;
                assert!(stalled_ms < STALL_LIMIT_MS, "stalled for {stalled_ms} ms");
                return;
            }
            advance(&mut site, PLAN_INTERVAL_MS, &BTreeSet::new());
        }
    }
    panic!("stalled for {OBSERVED_MS} ms");
}

/// The step, with its data in `NEAR_RACK`.
fn near_data(spec: StepSpec) -> StepSpec {
    StepSpec {
        near_rack: Some(Arc::from(NEAR_RACK)),
        ..spec
    }
}

/// Guards against a gang that never starts because stalled small tasks take the capacity kept for it: that capacity looks full, so they
/// choose it first.
#[test]
fn stalled_work_takes_kept_capacity_only_if_there_is_no_other() {
    let mut site = Site::new(24, 4);
    advance(&mut site, QUIET_MS, &BTreeSet::new());
    let spread = StepSpec {
        most_per_worker: Some(1),
        ..with_long_run_time(step(24, 1))
    };
    site.submit(0, "other", vec![spread]);
    site.plan_and_start();
    for (worker, run) in site.open_runs() {
        let number: usize = worker.id[1..].parse().unwrap();
        if (4..8).contains(&number) {
            site.end(run, EndKind::Done);
        }
    }
    advance(&mut site, QUIET_MS, &BTreeSet::new());
    site.submit(1, "other", vec![near_data(with_long_run_time(step(4, 7)))]);
    site.plan_and_start();
    let whole_worker = StepSpec {
        required_label: Some(Arc::from("rack1")),
        ..step(1, 8)
    };
    site.submit(1, "other", vec![whole_worker]);
    site.plan_and_start();
    let gang = site.submit(1, "other", vec![local_gang(4)]);
    let from_ms = site.now_ms;
    let mut small = Vec::new();
    while site.now_ms < from_ms + STALL_LIMIT_MS
        && !site.workload.job(gang).unwrap().has_open_runs()
    {
        small.push(site.submit(2, "other", vec![near_data(step(1, 1))]));
        site.plan_and_start();
        advance(&mut site, PLAN_INTERVAL_MS, &BTreeSet::new());
    }
    let is_kept = |worker: &Incarnation| {
        let info = &site.workload.worker(worker).unwrap().info;
        &*info.rack == "rack1"
    };
    let runs = site.open_runs().into_iter();
    let own: Vec<_> = runs
        .filter(|(_, run)| small.contains(&run.task.step.job))
        .collect();
    assert!(!own.is_empty());
    assert!(own.iter().all(|(worker, _)| !is_kept(worker)));
}

/// Guards against a service of which one task runs while the others wait for a rack in an idle pool.
#[test]
fn tasks_of_a_service_do_not_wait_for_a_rack() {
    let mut site = Site::new(24, 4);
    advance(&mut site, QUIET_MS, &BTreeSet::new());
    let service = |count| StepSpec {
        long_running: true,
        ..near_data(with_long_run_time(step(count, 8)))
    };
    site.submit(1, "other", vec![service(3)]);
    site.plan_and_start();
    let job = site.submit(1, "other", vec![service(3)]);
    let since_ms = site.now_ms;
    let open_run_count = |site: &Site| {
        let runs = site.open_runs();
        let own = runs.iter().filter(|(_, run)| run.task.step.job == job);
        own.count()
    };
    while open_run_count(&site) < 3 && site.now_ms < since_ms + OBSERVED_MS {
        site.plan_and_start();
        advance(&mut site, PLAN_INTERVAL_MS, &BTreeSet::new());
    }
    let missed_ms = site.now_ms - since_ms;
    assert!(
        missed_ms < STALL_LIMIT_MS,
        "tasks are missing for {missed_ms} ms"
    );
}

/// Guards against work that is stalled because one run of its job is recorded on a lost worker.
#[test]
fn a_run_on_a_lost_worker_does_not_count_as_running() {
    let mut site = Site::new(24, 4);
    advance(&mut site, QUIET_MS, &BTreeSet::new());
    site.submit(1, "other", vec![near_data(with_long_run_time(step(31, 1)))]);
    site.plan_and_start();
    advance(&mut site, PLAN_INTERVAL_MS, &BTreeSet::new());
    let job = site.submit(1, "other", vec![near_data(with_long_run_time(step(2, 1)))]);
    for _ in 0..10 {
        site.plan_and_start();
        advance(&mut site, PLAN_INTERVAL_MS, &BTreeSet::new());
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
    while !runs_elsewhere(&site) && site.now_ms < since_ms + OBSERVED_MS {
        advance(&mut site, PLAN_INTERVAL_MS, &silent);
        site.plan_and_start();
    }
    let stalled_ms = site.now_ms - since_ms;
    assert!(stalled_ms < STALL_LIMIT_MS, "stalled for {stalled_ms} ms");
}

/// Guards against a job that stands still because its run was lost: the time in which its worker was silent counts as well as the wait after it.
#[test]
fn the_time_on_a_lost_worker_counts_as_standing_still() {
    const SILENT_MS: u64 = 2_000;
    let mut site = Site::new(24, 4);
    advance(&mut site, QUIET_MS, &BTreeSet::new());
    site.submit(1, "other", vec![near_data(with_long_run_time(step(32, 1)))]);
    site.plan_and_start();
    advance(&mut site, PLAN_INTERVAL_MS, &BTreeSet::new());
    let job = site.submit(1, "other", vec![near_data(with_long_run_time(step(1, 1)))]);
    assert_starts_in_time(&mut site, job);
    site.send_starts();
    advance(&mut site, PLAN_INTERVAL_MS, &BTreeSet::new());
    let runs = site.open_runs().into_iter();
    let own = runs.filter(|(_, run)| run.task.step.job == job);
    let (worker, run) = own.last().unwrap();
    let since_ms = site.now_ms;
    let silent = BTreeSet::from([worker.clone()]);
    while site.now_ms < since_ms + SILENT_MS {
        advance(&mut site, PLAN_INTERVAL_MS, &silent);
        site.plan_and_start();
    }
    site.restart_silent_worker(&worker);
    assert!(!site.workload.should_run(run));
    while !site.workload.job(job).unwrap().has_open_runs() {
        site.plan_and_start();
        advance(&mut site, PLAN_INTERVAL_MS, &BTreeSet::new());
        assert!(site.now_ms < since_ms + OBSERVED_MS);
    }
    let stalled_ms = site.now_ms - since_ms;
    assert!(stalled_ms < STALL_LIMIT_MS, "stalled for {stalled_ms} ms");
}
