//! Which runs are stopped, and what starts, under a policy that limits displacements.
#![expect(
    clippy::unwrap_used,
    reason = "a test that meets the unexpected shall end"
)]

mod support;

use bh_workload::job::JobId;
use bh_workload::job::RunId;
use bh_workload::job::StepSpec;
use bh_workload::plan::Plan;
use bh_workload::plan::Planner;
use bh_workload::plan::Policy;
use bh_workload::state::Command;
use bh_workload::state::EndKind;
use bh_workload::state::Reply;
use bh_workload::state::Start;
use std::collections::BTreeSet;
use support::Site;
use support::run_of;
use support::step;
use support::task;
use support::worker_id;

const LIMIT: u32 = 2;

fn gang(count: u32, accelerators: u64) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(count, accelerators)
    }
}

fn limited() -> Policy {
    Policy::new().with_max_displacements(LIMIT)
}

/// A site where urgent work has been absent for so long that no capacity is kept for it.
fn lending_site(workers: usize, policy: Policy) -> Site {
    let mut site = Site::new(workers, workers);
    site.planner = Planner::new().with_policy(policy);
    site.advance(60_000);
    site
}

/// Jobs of which the plan stops runs.
fn stopped_jobs(plan: &Plan) -> BTreeSet<JobId> {
    let runs = plan.evictions.iter();
    runs.map(|(_, run)| run.task.step.job).collect()
}

/// A new leader that has heard of all runs, under the same policy.
fn take_over(site: &mut Site) {
    site.take_over(2);
    site.planner = Planner::new().with_policy(limited());
    site.report();
    site.advance(10);
    site.report();
}

/// Stops the run of the job's first task and starts it again, this many times.
fn displace(site: &mut Site, job: JobId, times: u32) {
    for _ in 0..times {
        let run = run_of(site, job, 0);
        site.end(run, EndKind::Stopped);
        site.plan_and_start();
        site.send_starts();
    }
}

/// A worker reports the progress of a run.
fn report_percent(site: &mut Site, run: RunId, percent: u64) {
    let worker = site.workload.holder(run).unwrap().info.id.clone();
    site.report_percent(&worker, run, percent);
}

/// Guards against stopping the same task again and again: one that was displaced as often as the limit allows is left alone, also by the
/// next leader.
#[test]
fn a_task_at_the_limit_is_not_stopped_for_urgent_work() {
    for changes_leader in [false, true] {
        let mut site = lending_site(1, limited());
        let job = site.submit(2, "other", vec![step(1, 8)]);
        site.plan_and_start();
        site.send_starts();
        displace(&mut site, job, LIMIT - 1);
        let urgent = |site: &Site| {
            let mut trial = site.clone();
            trial.submit(0, "other", vec![gang(1, 8)]);
            trial.plan().evictions.len()
        };
        assert_eq!(urgent(&site), 1, "one displacement is left");
        displace(&mut site, job, 1);
        if changes_leader {
            take_over(&mut site);
        }
        assert_eq!(urgent(&site), 0);
    }
}

/// Guards against guaranteed work that waits because of the limit: it stops a task at the limit, but only if it finds capacity in no other
/// way.
#[test]
fn a_task_at_the_limit_is_stopped_for_guaranteed_work_as_a_last_resort() {
    let mut site = lending_site(2, limited());
    let at_limit = site.submit(2, "other", vec![step(1, 8)]);
    site.plan_and_start();
    site.send_starts();
    displace(&mut site, at_limit, LIMIT);
    let other = site.submit(2, "other", vec![step(1, 8)]);
    site.plan_and_start();
    site.send_starts();
    site.advance(4_000);
    displace(&mut site, at_limit, 1);
    site.submit(0, "guaranteed", vec![gang(1, 8)]);
    // The other one loses four seconds of work, the one at the limit almost nothing.
    assert_eq!(stopped_jobs(&site.clone().plan()), BTreeSet::from([other]));
    let mut both = site.clone();
    both.submit(0, "guaranteed", vec![gang(1, 8)]);
    assert_eq!(
        stopped_jobs(&both.plan()),
        BTreeSet::from([other, at_limit])
    );
}

/// Guards against stopping a task that was stopped before where an equal one was not.
#[test]
fn an_earlier_displacement_makes_a_stop_more_costly() {
    let mut site = lending_site(2, limited());
    let displaced = site.submit(2, "other", vec![step(1, 8)]);
    site.plan_and_start();
    displace(&mut site, displaced, 1);
    let other = site.submit(2, "other", vec![step(1, 8)]);
    site.plan_and_start();
    site.send_starts();
    site.advance(1_000);
    site.submit(0, "guaranteed", vec![gang(1, 8)]);
    assert_eq!(stopped_jobs(&site.plan()), BTreeSet::from([other]));
}

/// Guards against a new leader that takes all runs for equally young, since it does not know when they started: it stops the one that reports
/// less progress.
#[test]
fn a_new_leader_stops_the_run_with_less_progress() {
    for advanced in 0..2 {
        let mut site = lending_site(2, limited());
        let jobs = [0, 1].map(|_| site.submit(2, "other", vec![step(1, 8)]));
        site.plan_and_start();
        site.send_starts();
        site.advance(1_000);
        take_over(&mut site);
        let run = run_of(&site, jobs[advanced], 0);
        report_percent(&mut site, run, 60);
        site.submit(0, "guaranteed", vec![gang(1, 8)]);
        let plan = site.plan();
        assert_eq!(stopped_jobs(&plan), BTreeSet::from([jobs[1 - advanced]]));
    }
}

/// Guards against making a job late where another one has time to start again. The run that loses more work belongs to a new job; the other
/// job has waited and would be late if it started again.
#[test]
fn a_job_that_a_stop_would_make_late_is_spared() {
    let mut site = lending_site(2, limited());
    let filler = site.submit(1, "other", vec![step(2, 8)]);
    site.plan_and_start();
    let has_waited = site.submit(2, "other", vec![step(1, 8)]);
    // The objective is three times the run time of 5 s and 1 s more.
    site.advance(9_500);
    for index in 0..2 {
        let run = run_of(&site, filler, index);
        site.end(run, EndKind::Done);
    }
    let with_time = site.submit(2, "other", vec![step(1, 8)]);
    site.plan_and_start();
    site.send_starts();
    assert_eq!(site.open_runs().len(), 2);
    site.advance(1_000);
    let run = run_of(&site, with_time, 0);
    report_percent(&mut site, run, 40);
    site.submit(0, "guaranteed", vec![gang(1, 8)]);
    assert_eq!(stopped_jobs(&site.plan()), BTreeSet::from([with_time]));
    assert!(site.workload.job(has_waited).unwrap().has_open_runs());
}

/// Starts a gang of two tasks on these workers.
fn start_gang(site: &mut Site, workers: [&str; 2]) -> JobId {
    let job = site.submit(2, "other", vec![gang(2, 4)]);
    let starts = workers.iter().zip(0..).map(|(worker, index)| Start {
        run: RunId {
            task: task(job, 0, index),
            attempt: 1,
        },
        worker: worker_id(worker),
    });
    let reply = site.workload.apply(Command::Starts(starts.collect()));
    assert_eq!(reply, Reply::Started(Vec::new()));
    site.take_events();
    site.send_starts();
    job
}

/// Guards against stopping several gangs where stopping one would do. Each of three workers runs half of each of two gangs, and an urgent
/// gang needs half of two workers. The youngest gang is on two of them. If each worker were looked at by itself, the youngest gang of each
/// of the first two would be stopped, and these are two gangs.
#[test]
fn one_gang_is_stopped_where_that_frees_enough() {
    let mut site = lending_site(3, limited());
    start_gang(&mut site, ["w00", "w01"]);
    site.advance(500);
    start_gang(&mut site, ["w01", "w02"]);
    site.advance(100);
    start_gang(&mut site, ["w00", "w02"]);
    site.advance(500);
    site.submit(0, "guaranteed", vec![gang(2, 4)]);
    let plan = site.plan();
    assert_eq!((stopped_jobs(&plan).len(), plan.evictions.len()), (1, 2));
}

/// Guards against stopping runs that need not be stopped. The large task frees the whole worker, so the small one beside it, which loses less,
/// goes on.
#[test]
fn a_run_is_not_stopped_where_another_one_frees_enough() {
    let mut site = lending_site(1, limited());
    let small = site.submit(2, "other", vec![step(1, 1)]);
    let large = site.submit(2, "other", vec![step(1, 7)]);
    site.plan_and_start();
    site.send_starts();
    site.advance(500);
    site.submit(0, "guaranteed", vec![gang(1, 6)]);
    let stopped = stopped_jobs(&site.plan());
    assert_eq!(stopped, BTreeSet::from([large]));
    assert!(!stopped.contains(&small));
}

/// Starts one of three tasks that wait for the last free worker: the first and the second one write no checkpoints, the third one does.
/// Returns which one starts. Of the other two workers, guaranteed work takes `guaranteed`, and other work the rest.
fn first_start(policy: Policy, guaranteed: u32) -> Vec<usize> {
    let mut site = lending_site(3, policy);
    if guaranteed > 0 {
        site.submit(0, "guaranteed", vec![gang(guaranteed, 8)]);
    }
    if guaranteed < 2 {
        site.submit(0, "other", vec![gang(2 - guaranteed, 8)]);
    }
    site.plan_and_start();
    site.send_starts();
    // No capacity is kept for urgent work after this time.
    site.advance(60_000);
    assert_eq!(site.open_runs().len(), 2);
    let checkpoints = [false, false, true];
    let jobs = checkpoints.map(|checkpoints| {
        let spec = StepSpec {
            checkpoints,
            ..step(1, 8)
        };
        site.submit(2, "other", vec![spec])
    });
    let plan = site.plan();
    let started = plan.starts.iter().map(|start| start.run.task.step.job);
    started
        .filter_map(|job| jobs.iter().position(|other| *other == job))
        .collect()
}

/// Guards against starting work that loses much on capacity that a guarantee is likely to claim. The customer `guaranteed` may claim 16
/// accelerators and uses 8; what writes checkpoints starts first on the others. Nothing changes without the policy, while the guarantee is
/// in use, or while its customer has no work.
#[test]
fn what_checkpoints_starts_first_on_unused_guarantees() {
    assert_eq!(first_start(limited(), 1), [2]);
    assert_eq!(first_start(Policy::new(), 1), [0]);
    assert_eq!(first_start(limited(), 2), [0]);
    assert_eq!(first_start(limited(), 0), [0]);
}
