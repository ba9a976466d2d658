//! Workers of different speeds, and tasks of which a few take much longer than the others.

mod support;

use bh_protocol::Incarnation;
use bh_workload::job::JobId;
use bh_workload::job::StepSpec;
use bh_workload::plan::Planner;
use bh_workload::plan::Policy;
use bh_workload::plan::Speeds;
use std::collections::BTreeSet;
use std::sync::Arc;
use support::step;
use support::uneven_fleet::UnevenFleet;
use support::worker_id;

const WORKERS: usize = 40;
/// Expected time of the runs that are recorded directly, in milliseconds.
const EXPECTED_MS: u64 = 1_000;

fn ranked() -> Policy {
    Policy::new().with_ranked_workers()
}

/// Tasks of one accelerator each, which are declared to take four times the time that they take.
fn small_tasks(count: u32) -> StepSpec {
    StepSpec {
        declared_ms: 8_000,
        ..step(count, 1)
    }
}

/// Lets every worker run tasks that have time.
fn learn(fleet: &mut UnevenFleet) {
    for _ in 0..3 {
        fleet.submit(2, (2_000, 0), small_tasks(320));
        fleet.play(6_000);
    }
}

/// Returns the workers of what runs of a job.
fn workers_of(fleet: &UnevenFleet, job: JobId) -> BTreeSet<Incarnation> {
    let own = fleet.running().filter(|(run, _)| run.task.step.job == job);
    own.map(|(_, worker)| worker.clone()).collect()
}

/// Records runs on a worker, with their times in percent of the expected time.
fn record(speeds: &mut Speeds, worker: &str, now_ms: u64, percents: &[u64]) {
    let dc = Arc::from("dc");
    for percent in percents {
        let times = (EXPECTED_MS * percent / 100, EXPECTED_MS);
        speeds.record_rank(&dc, &worker_id(worker), now_ms, times);
    }
    speeds.update(now_ms);
}

/// Speeds of four workers, of which `slow` has taken 2.2 times as long as the others.
fn known_speeds() -> Speeds {
    let mut speeds = Speeds::default().with_ranked_workers();
    for worker in ["a", "b", "c"] {
        record(&mut speeds, worker, 0, &[100, 110, 90, 95, 105, 100]);
    }
    record(&mut speeds, "slow", 0, &[220, 240, 200, 210, 230, 220]);
    speeds
}

fn percent(speeds: &Speeds, worker: &str, now_ms: u64) -> u64 {
    speeds.runtime_percent(&worker_id(worker), "dc", now_ms)
}

/// Guards against a rank by the data centre only, where slow workers are spread over all data centres. A worker without runs stays between
/// the two: nothing is known of it but its data centre.
#[test]
fn each_worker_ranks_by_its_own_runs() {
    let speeds = known_speeds();
    assert_eq!(percent(&speeds, "a", 1), 100);
    assert!(percent(&speeds, "slow", 1) >= 150);
    let unknown = percent(&speeds, "new", 1);
    assert!(100 < unknown && unknown < 150, "{unknown}");
}

/// Guards against a worker that counts as slow after one run that takes seven times as long, be it its first run or a later one.
#[test]
fn one_long_run_makes_no_worker_slow() {
    let mut speeds = known_speeds();
    record(&mut speeds, "a", 1, &[700]);
    record(&mut speeds, "new", 1, &[700]);
    assert_eq!(percent(&speeds, "a", 1), 100);
    assert!(percent(&speeds, "new", 1) < 150);
}

/// Guards against a worker that stays slow after it has become fast, whether it gets work or not.
#[test]
fn a_worker_that_becomes_fast_ranks_as_fast() {
    let mut speeds = known_speeds();
    record(&mut speeds, "slow", 1, &[100; 8]);
    assert_eq!(percent(&speeds, "slow", 1), 100);
    let speeds = known_speeds();
    assert!(percent(&speeds, "slow", 60_000) < 150);
}

/// Failure: a worker restarts under its id. Its earlier speed says nothing about it, since it may be on another machine.
#[test]
fn a_restarted_worker_has_no_known_speed() {
    let mut speeds = known_speeds();
    record(&mut speeds, "w@5", 1, &[220; 6]);
    let restarted = percent(&speeds, "w@9", 1);
    assert!(percent(&speeds, "w@5", 1) >= 150);
    assert!(restarted < 150, "{restarted}");
}

/// Guards against ranks that follow chance where workers are alike.
#[test]
fn workers_that_are_alike_have_the_same_rank() {
    let mut speeds = Speeds::default().with_ranked_workers();
    let workers = ["a", "b", "c", "d"];
    for (number, worker) in workers.into_iter().enumerate() {
        let longer = u64::try_from(number).unwrap() * 8;
        record(
            &mut speeds,
            worker,
            0,
            &[85 + longer, 95, 120, 80 + longer, 100],
        );
    }
    for worker in workers {
        assert_eq!(percent(&speeds, worker, 1), 100);
    }
}

/// Load: waves of 320 small tasks on 320 accelerators, a quarter of them slow. Tasks with a tight deadline then start on fast workers, and
/// those that have time on slow ones.
#[test]
fn tight_tasks_go_to_fast_workers_and_others_to_slow_ones() {
    let mut fleet = UnevenFleet::new(WORKERS, ranked());
    learn(&mut fleet);
    let tight = fleet.submit(0, (1_000, 0), small_tasks(8));
    let patient = fleet.submit(2, (2_000, 0), small_tasks(8));
    fleet.play(100);
    assert!(workers_of(&fleet, tight).is_disjoint(&fleet.slow));
    let patient = workers_of(&fleet, patient);
    assert!(!patient.is_empty() && patient.is_subset(&fleet.slow));
}

/// Failure: declared run times are off by a factor of four. Speeds are relative to learnt run times, so the workers whose runs end first are
/// not left out for being slow.
#[test]
fn wrong_declared_times_make_no_worker_slow() {
    let mut fleet = UnevenFleet::new(WORKERS, ranked());
    let understated = StepSpec {
        declared_ms: 500,
        ..step(1, 4)
    };
    let submit = |fleet: &mut UnevenFleet, jobs: usize| {
        for _ in 0..jobs {
            fleet.submit(2, (2_000, 0), understated.clone());
        }
    };
    // Four runs, two on each of two workers, precede the first learnt run time.
    submit(&mut fleet, 4);
    fleet.play(6_000);
    submit(&mut fleet, 2 * WORKERS);
    fleet.play(100);
    let used: BTreeSet<&Incarnation> = fleet.running().map(|(_, worker)| worker).collect();
    assert_eq!(used.len(), WORKERS);
}

/// Failure: change of leader. The new leader knows no speeds and ranks the workers as without the policy. Once it has seen some runs end, it
/// knows the speeds by the progress of others, among them runs that the previous leader started, before a run on a slow worker has ended.
#[test]
fn a_new_leader_learns_the_speeds_from_progress() {
    let mut fleet = UnevenFleet::new(WORKERS, ranked());
    learn(&mut fleet);
    fleet.submit(2, (2_000, 0), small_tasks(640));
    fleet.play(200);
    fleet.change_leader(2);
    let mut plain = fleet.clone();
    plain.site.planner = Planner::new();
    let mut fresh = fleet.clone();
    for fleet in [&mut plain, &mut fresh] {
        fleet.submit(0, (1_000, 0), small_tasks(8));
    }
    assert_eq!(plain.site.plan(), fresh.site.plan());

    fleet.play(5_000);
    let tight = fleet.submit(0, (1_000, 0), small_tasks(8));
    fleet.play(100);
    let workers = workers_of(&fleet, tight);
    assert!(!workers.is_empty() && workers.is_disjoint(&fleet.slow));
}
