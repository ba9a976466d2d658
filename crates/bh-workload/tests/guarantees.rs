//! Guaranteed accelerators are there when their customer asks, whatever was lent.

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

/// A site where no guaranteed work has come for so long that no room is kept for it any more.
fn lending_site(workers: usize, per_rack: usize) -> Site {
    let mut site = Site::new(workers, per_rack);
    site.advance(60_000);
    site
}

/// Jobs of which runs are stopped.
fn stopped_jobs(plan: &Plan) -> BTreeSet<JobId> {
    let runs = plan.evictions.iter();
    runs.map(|(_, run)| run.task.step.job).collect()
}

/// Ends what the plan stops, plans again, and returns the jobs that begin.
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

/// All accelerators are lent to another customer when two guaranteed jobs arrive, one just after the other. Each is promised room
/// that borrowers must give back first. Were the room of one worker promised twice, the second job would find it taken once the first
/// has begun, and would have to wait for another round of stops, past the time its caller was promised.
#[test]
fn room_that_is_being_made_for_one_job_is_not_promised_to_another() {
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
    let begun = stop_and_plan(&mut site, &plan);
    assert_eq!(begun, BTreeSet::from([first, second]));
}

/// Room is taken from whoever loses least: a task that has just begun goes before one that is nearly done.
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

/// A stop saves what a task that saves its progress has done; such a task gives way before one that would have to begin anew, however
/// long it has run.
#[test]
fn a_borrower_that_saves_its_progress_goes_first() {
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

/// What a guarantee covers is never stopped for another guarantee: each customer's share is its own.
#[test]
fn guaranteed_work_is_no_borrower() {
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

/// Before the first guaranteed job comes, small tasks would fill every worker, and that job would have to wait for stops. Some room is
/// kept for it, so that it begins at once.
#[test]
fn room_is_kept_for_the_first_guaranteed_job() {
    let mut site = Site::new(8, 4);
    site.submit(2, "other", vec![step(64, 1)]);
    site.plan_and_start();
    let filled = site.open_runs().len();
    assert!((40..=56).contains(&filled), "{filled} of 64 places lent");
    let job = site.submit(0, "guaranteed", vec![gang(1, 8)]);
    let plan = site.plan();
    assert_eq!(plan.evictions, Vec::new());
    assert_eq!(plan.starts[0].run.task.step.job, job);
}

/// A gang that is slow on several racks comes while every rack is partly lent. Spread over what is free it would begin at once, take
/// three times as long and be late; one rack is freed for it instead.
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

/// A guaranteed job need not be a gang. One of its four tasks finds room at once; for the others borrowers must give way within the same
/// bound as for a gang. Left to wait they would begin when somebody's work ends, seconds after what their caller was promised.
#[test]
fn tasks_that_are_no_gang_are_given_room_too() {
    let mut site = lending_site(2, 2);
    site.submit(2, "other", vec![step(3, 4)]);
    site.plan_and_start();
    let entitled = site.submit(0, "guaranteed", vec![step(4, 4)]);
    let plan = site.plan_and_start();
    assert_eq!(plan.starts.len(), 1);
    assert_eq!(plan.evictions.len(), 3);
    let begun = stop_and_plan(&mut site, &plan);
    assert_eq!(begun, BTreeSet::from([entitled]));
    assert_eq!(site.open_runs().len(), 4);
}

/// Accelerators that small work gets in a pool of 192 when urgent jobs of eight came each `gap_ms` milliseconds until now, and a stop takes
/// `stop_timeout_ms` at most.
fn lent_beside_urgent_jobs(gap_ms: u64, stop_timeout_ms: u64) -> usize {
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

/// Urgent jobs come rarely or in a burst. Room for some is kept free, since stopping others takes long and throws their work away. In a burst that
/// must be room for all that come in a second or two, but no more than three tenths of the pool; when they are rare, others lose little by it.
#[test]
fn room_kept_for_urgent_jobs_follows_how_often_they_come() {
    // Three jobs of eight, as the fewest; three tenths of 192 or a little more, since only whole workers are kept.
    assert_eq!(lent_beside_urgent_jobs(2_000, 400), 192 - 24);
    assert!((192 - 64..=192 - 48).contains(&lent_beside_urgent_jobs(200, 400)));
}

/// The same rate of urgent jobs, where stops are quick and where they take most of the time that such a job has: there it cannot wait for one, so
/// more room must be free when it comes.
#[test]
fn more_room_is_kept_where_stops_take_long() {
    assert_eq!(lent_beside_urgent_jobs(400, 200), 192 - 32);
    assert!(lent_beside_urgent_jobs(400, 900) <= 192 - 56);
}
