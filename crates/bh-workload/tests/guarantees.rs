//! Guaranteed accelerators are available when their customer needs them, also while others borrow them.

mod support;

use bh_workload::dispatch::Dispatcher;
use bh_workload::dispatch::Timing;
use bh_workload::job::JobId;
use bh_workload::job::StepSpec;
use bh_workload::plan::Plan;
use bh_workload::state::EndKind;
use std::collections::BTreeSet;
use support::Site;
use support::step;

fn gang(count: u32, accelerators: u64) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(count, accelerators)
    }
}

/// A site where guaranteed work has been absent for so long that no capacity is kept for it.
fn lending_site(workers: usize, per_rack: usize) -> Site {
    let mut site = Site::new(workers, per_rack);
    site.advance(60_000);
    site
}

/// Jobs of which the plan stops runs.
fn stopped_jobs(plan: &Plan) -> BTreeSet<JobId> {
    let runs = plan.evictions.iter();
    runs.map(|(_, run)| run.task.step.job).collect()
}

/// Ends the runs that the plan stops, plans again, and returns the jobs that start.
fn stop_and_plan(site: &mut Site, plan: &Plan) -> BTreeSet<JobId> {
    for (worker, run) in &plan.evictions {
        site.dispatcher.request_stop(worker, *run);
    }
    for (_, run) in &plan.evictions {
        site.end(*run, EndKind::Stopped);
    }
    let plan = site.plan_and_start();
    plan.starts
        .iter()
        .map(|start| start.run.task.step.job)
        .collect()
}

/// Guards against reserving the same worker for two guaranteed jobs. Another customer borrows all accelerators when two guaranteed jobs
/// arrive, one just after the other. If one worker were reserved for both, the second job would find it taken once the first has started,
/// and would wait for another round of stops, beyond its deadline.
#[test]
fn capacity_reserved_for_one_job_is_not_reserved_for_another() {
    let mut site = lending_site(4, 4);
    site.submit(2, "other", vec![step(32, 1)]);
    site.plan_and_start();
    assert_eq!(site.open_runs().len(), 32);
    let first = site.submit(0, "guaranteed", vec![gang(1, 8)]);
    let mut plan = site.plan();
    assert_eq!(plan.evictions.len(), 8);
    for (worker, run) in &plan.evictions {
        site.dispatcher.request_stop(worker, *run);
    }
    let second = site.submit(0, "guaranteed", vec![gang(1, 8)]);
    let later = site.plan();
    plan.evictions.extend(later.evictions);
    assert_eq!(plan.evictions.len(), 16);
    let started_jobs = stop_and_plan(&mut site, &plan);
    assert_eq!(started_jobs, BTreeSet::from([first, second]));
}

/// Guards against stopping a task that is nearly done while one that has just started could be stopped: the borrower that loses the least work
/// is stopped.
#[test]
fn the_borrower_that_loses_least_is_stopped() {
    let mut site = lending_site(2, 2);
    let old = site.submit(2, "other", vec![gang(1, 8)]);
    site.plan_and_start();
    site.advance(4_000);
    let young = site.submit(2, "other", vec![gang(1, 8)]);
    site.plan_and_start();
    site.advance(500);
    site.submit(0, "guaranteed", vec![gang(1, 8)]);
    let stopped = stopped_jobs(&site.plan());
    assert_eq!(stopped, BTreeSet::from([young]));
    assert!(!stopped.contains(&old));
}

/// Guards against losing work that no checkpoint saves. A task that writes checkpoints keeps its progress when it is stopped, so it is stopped
/// before one that would have to restart, however long it has run.
#[test]
fn a_borrower_that_saves_its_progress_is_stopped_first() {
    let mut site = lending_site(2, 2);
    let saving = StepSpec {
        checkpoints: true,
        ..gang(1, 8)
    };
    let saving = site.submit(2, "other", vec![saving]);
    site.plan_and_start();
    site.advance(4_000);
    site.submit(2, "other", vec![gang(1, 8)]);
    site.plan_and_start();
    site.advance(500);
    site.submit(0, "guaranteed", vec![gang(1, 8)]);
    let stopped = stopped_jobs(&site.plan());
    assert_eq!(stopped, BTreeSet::from([saving]));
}

/// Guards against stopping work that a guarantee covers for other guaranteed work: each customer's share is its own.
#[test]
fn work_within_the_guarantee_is_not_stopped() {
    let mut site = Site::new(2, 2);
    site.submit(0, "guaranteed", vec![gang(2, 8)]);
    site.plan_and_start();
    assert_eq!(site.open_runs().len(), 2);
    // Beyond the guarantee of 16 accelerators, so it waits like any other work.
    site.submit(0, "guaranteed", vec![gang(1, 8)]);
    let plan = site.plan();
    assert_eq!(plan.evictions, Vec::new());
    assert_eq!(plan.starts, Vec::new());
}

/// Guards against small tasks that fill every worker before the first guaranteed job arrives, so that it would wait for stops. Some capacity is
/// kept for it, and it starts at once.
#[test]
fn capacity_is_kept_for_the_first_guaranteed_job() {
    let mut site = Site::new(8, 4);
    site.submit(2, "other", vec![step(64, 1)]);
    site.plan_and_start();
    let filled = site.open_runs().len();
    assert!(
        (40..=56).contains(&filled),
        "{filled} of 64 accelerators are borrowed"
    );
    let job = site.submit(0, "guaranteed", vec![gang(1, 8)]);
    let plan = site.plan();
    assert_eq!(plan.evictions, Vec::new());
    assert_eq!(plan.starts[0].run.task.step.job, job);
}

/// Guards against spreading a guaranteed gang that runs slowly on several racks. Each rack is partly borrowed when the gang arrives. Spread over
/// the free workers it would start at once, take three times as long and be late; one rack is freed for it instead.
#[test]
fn a_rack_is_freed_before_a_guaranteed_gang_is_spread() {
    let mut site = lending_site(4, 2);
    site.submit(2, "other", vec![gang(1, 8), gang(1, 8)]);
    site.plan_and_start();
    let local = StepSpec {
        rack_local: true,
        ..gang(2, 8)
    };
    site.submit(2, "other", vec![gang(1, 8)]);
    site.plan_and_start();
    let job = site.submit(0, "guaranteed", vec![local]);
    let plan = site.plan();
    let racks: BTreeSet<String> = plan
        .starts
        .iter()
        .map(|start| site.workload.worker(&start.worker).unwrap())
        .map(|worker| worker.info.rack.to_string())
        .collect();
    if plan.starts.is_empty() {
        assert!(!plan.evictions.is_empty());
    } else {
        assert_eq!(racks.len(), 1);
        assert_eq!(plan.starts[0].run.task.step.job, job);
    }
}

/// Guards against stopping borrowers only for gangs: the same time limit holds for guaranteed work that is no gang. One of four such tasks can
/// start at once. Without stops, the others would start only when other work ends, seconds after their deadline.
#[test]
fn borrowers_are_stopped_for_guaranteed_tasks_that_are_no_gang() {
    let mut site = lending_site(2, 2);
    site.submit(2, "other", vec![step(3, 4)]);
    site.plan_and_start();
    let guaranteed = site.submit(0, "guaranteed", vec![step(4, 4)]);
    let plan = site.plan_and_start();
    assert_eq!(plan.starts.len(), 1);
    assert_eq!(plan.evictions.len(), 3);
    let started_jobs = stop_and_plan(&mut site, &plan);
    assert_eq!(started_jobs, BTreeSet::from([guaranteed]));
    assert_eq!(site.open_runs().len(), 4);
}

/// Returns how many accelerators of a pool of 192 small tasks get when urgent jobs of eight accelerators have arrived every `gap_ms`
/// milliseconds until now, and a stop takes at most `stop_timeout_ms`.
fn accelerators_for_small_tasks(gap_ms: u64, stop_timeout_ms: u64) -> usize {
    let mut site = Site::new(24, 8);
    let timing = Timing {
        stop_timeout_ms,
        ..Timing::DEFAULT
    };
    site.dispatcher = Dispatcher::new(timing, 1, site.now_ms, &site.workload);
    for _ in 0..60 {
        site.advance(gap_ms);
        site.submit(0, "guaranteed", vec![step(1, 8)]);
        site.plan_and_start();
        let (_, run) = site.open_runs()[0].clone();
        site.end(run, EndKind::Done);
    }
    site.submit(2, "other", vec![step(192, 1)]);
    site.plan().starts.len()
}

/// Guards against keeping too little or too much capacity for urgent jobs. Some is kept free because stopping other work takes long and throws it
/// away. In a burst it must be enough for the urgent jobs of a second or two, but no more than three tenths of the pool; when they are rare, it
/// must be little.
#[test]
fn capacity_kept_for_urgent_jobs_follows_their_arrival_rate() {
    // At least three jobs of eight accelerators are kept for; at most three tenths of 192, or a little more since only whole workers are kept.
    assert_eq!(accelerators_for_small_tasks(2_000, 400), 192 - 24);
    assert!((192 - 64..=192 - 48).contains(&accelerators_for_small_tasks(200, 400)));
}

/// Guards against keeping the same capacity for urgent jobs whatever a stop takes. Where a stop takes most of the time that an urgent job has, the
/// job cannot wait for one, so more capacity must be free when it arrives.
#[test]
fn more_capacity_is_kept_where_stops_take_long() {
    assert_eq!(accelerators_for_small_tasks(400, 200), 192 - 32);
    assert!(accelerators_for_small_tasks(400, 900) <= 192 - 56);
}
