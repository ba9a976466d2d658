//! Workers of different speeds, and tasks of which a few take much longer than the others.
#![expect(
    clippy::unwrap_used,
    reason = "a test that meets the unexpected shall end"
)]

mod support;

use bh_protocol::Incarnation;
use bh_workload::job::JobId;
use bh_workload::job::StepSpec;
use bh_workload::plan::Planner;
use bh_workload::plan::Policy;
use bh_workload::plan::Speeds;
use rstest::rstest;
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

/// A gang of tasks with two accelerators each. Its run time is learnt apart from that of the small tasks.
fn gang(count: u32, rack_local: bool) -> StepSpec {
    StepSpec {
        image: Some(Arc::from("gang")),
        gang: true,
        rack_local,
        ..step(count, 2)
    }
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
    let accelerators = fleet.site.workload.worker_count() * 8;
    for _ in 0..3 {
        let count = u32::try_from(accelerators).unwrap();
        fleet.submit(2, (2_000, 0), small_tasks(count));
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

/// Returns the share of the jobs of a priority that ended within an objective of `slack_percent` of the run time and `fixed_ms`, in percent.
fn in_time_percent(
    fleet: &UnevenFleet,
    priority: u32,
    (slack_percent, fixed_ms): (u64, u64),
) -> usize {
    let jobs = fleet.jobs.values();
    let own: Vec<_> = jobs.filter(|job| job.priority == priority).collect();
    let in_time = own.iter().filter(|job| {
        let objective_ms = job.usual_ms * slack_percent / 100 + fixed_ms;
        job.ended_ms
            .is_some_and(|ended_ms| ended_ms - job.submitted_ms <= objective_ms)
    });
    in_time.count() * 100 / own.len()
}

/// Load: an urgent gang of five members every 600 ms, beside small tasks that have time and take about half of the pool. All gangs run on
/// fast workers and are in time.
#[rstest]
#[case(true)]
#[case(false)]
fn urgent_gangs_run_on_fast_workers(#[case] rack_local: bool) {
    let mut fleet = UnevenFleet::new(WORKERS, ranked());
    learn(&mut fleet);
    let mut gangs = Vec::new();
    for turn in 0..40 {
        if turn % 5 == 0 {
            fleet.submit(2, (2_000, 0), small_tasks(160));
        }
        gangs.push(fleet.submit(0, (2_500, 0), gang(5, rack_local)));
        fleet.play(600);
    }
    fleet.play(10_000);
    for id in &gangs {
        let workers = &fleet.jobs[id].workers;
        assert!(
            !workers.is_empty() && workers.is_disjoint(&fleet.slow),
            "{id}"
        );
    }
    assert_eq!(in_time_percent(&fleet, 0, (150, 250)), 100);
    let patient = fleet.jobs.values().filter(|job| job.priority == 2);
    let mut used = patient.flat_map(|job| &job.workers);
    assert!(used.any(|worker| fleet.slow.contains(worker)));
}

/// Guards against a gang that is slowed down by one slow member in a rack, although another rack has enough fast workers. The first rack is
/// fuller and would be preferred otherwise.
#[test]
fn a_gang_takes_the_rack_where_no_member_is_slow() {
    let mut fleet = UnevenFleet::new(16, ranked());
    learn(&mut fleet);
    // Two fast workers are left in the first rack, and six in the second.
    let fast = |fleet: &UnevenFleet, rack: &str, count: usize| -> Vec<Incarnation> {
        let workers = fleet.site.workload.workers();
        workers
            .filter(|worker| &*worker.info.rack == rack)
            .map(|worker| worker.info.id.clone())
            .filter(|id| !fleet.slow.contains(id))
            .take(count)
            .collect()
    };
    for worker in fast(&fleet, "rack0", 4) {
        fleet.site.set_accelerators(&worker, 0);
    }
    let id = fleet.submit(
        1,
        (2_500, 0),
        StepSpec {
            gang: true,
            rack_local: true,
            ..step(3, 8)
        },
    );
    fleet.play(100);
    let workers = workers_of(&fleet, id);
    assert!(workers.len() == 3 && workers.is_disjoint(&fleet.slow));
}

/// Load: three times what the pool can run, of tasks that have time. Slow workers run their share, and no fewer tasks are done and no fewer
/// jobs ended than without the policy.
#[test]
fn throughput_does_not_fall() {
    let play = |policy: Policy| {
        let mut fleet = UnevenFleet::new(WORKERS, policy);
        for _ in 0..30 {
            for _ in 0..30 {
                fleet.submit(2, (2_000, 33), small_tasks(16));
            }
            fleet.play(1_000);
        }
        let jobs = fleet.jobs.values();
        let ended = jobs.filter(|job| job.ended_ms.is_some()).count();
        (fleet, ended)
    };
    let (before, before_ended) = play(Policy::new());
    let (after, after_ended) = play(ranked());
    assert!(after.done >= before.done, "{} {}", after.done, before.done);
    assert!(after_ended >= before_ended, "{after_ended} {before_ended}");
    let mut used = after.jobs.values().flat_map(|job| &job.workers);
    assert!(used.any(|worker| after.slow.contains(worker)));
}

/// Fills the fast workers with tasks of `usual_ms`, and returns a fleet where only slow workers have free capacity.
fn fleet_with_full_fast_workers(usual_ms: u64) -> UnevenFleet {
    let mut fleet = UnevenFleet::new(WORKERS, ranked());
    learn(&mut fleet);
    let fast = u32::try_from(WORKERS - fleet.slow.len()).unwrap();
    // Tight tasks go to fast workers. They are not urgent ones, for which capacity would be kept.
    let tight = StepSpec {
        declared_ms: usual_ms,
        ..step(fast * 8, 1)
    };
    fleet.submit(1, (usual_ms, 0), tight);
    fleet.play(500);
    let slow = fleet.slow.clone();
    assert!(fleet.running().all(|(_, worker)| !slow.contains(worker)));
    fleet
}

/// Creates a fleet where fast workers are busy for `usual_ms` with tasks of one kind, and slow ones are idle. Submits as many tasks of another
/// kind as `count` that can still be in time on a fast worker, but not on a slow one, because most of their time has passed.
fn submit_late(usual_ms: u64, count: u32) -> (UnevenFleet, JobId) {
    let mut fleet = fleet_with_full_fast_workers(usual_ms);
    // Half of the time that the objective leaves passes while the leader makes no plan: three times the run time and one second.
    let id = fleet.submit(2, (2_000, 0), small_tasks(count));
    fleet.site.advance(3_500);
    fleet.play(100);
    (fleet, id)
}

/// Guards against starting on a slow worker what would be late there, although a faster one becomes free in time.
#[test]
fn work_waits_for_a_fast_worker_that_is_free_in_time() {
    let (mut fleet, id) = submit_late(5_000, 8);
    assert_eq!(workers_of(&fleet, id), BTreeSet::new());
    fleet.play(4_500);
    assert!(!fleet.jobs[&id].workers.is_empty());
    assert!(fleet.jobs[&id].workers.is_disjoint(&fleet.slow));
    assert_eq!(in_time_percent(&fleet, 2, (300, 1_000)), 100);
}

/// Guards against work that waits beside free capacity for a fast worker that is free too late: it starts on a slow one.
#[test]
fn work_starts_on_a_slow_worker_if_no_other_is_free_in_time() {
    let (fleet, id) = submit_late(20_000, 8);
    let workers = workers_of(&fleet, id);
    assert!(!workers.is_empty() && workers.is_subset(&fleet.slow));
}

/// Guards against a tight gang that starts on slow workers, where it is late, although fast ones become free in time. If they do not, it
/// starts at once.
#[rstest]
#[case(1_500, true)]
#[case(20_000, false)]
fn a_gang_waits_for_fast_workers_only_if_it_is_in_time_there(
    #[case] busy_ms: u64,
    #[case] waits: bool,
    #[values(true, false)] rack_local: bool,
) {
    let mut fleet = fleet_with_full_fast_workers(busy_ms);
    let id = fleet.submit(1, (5_000, 0), gang(5, rack_local));
    fleet.play(100);
    assert_eq!(workers_of(&fleet, id).is_empty(), waits);
    fleet.play(15_000);
    let workers = &fleet.jobs[&id].workers;
    assert_eq!(workers.is_disjoint(&fleet.slow), waits);
}

/// Guards against a delay of guaranteed work: it starts on slow workers rather than wait for fast ones.
#[test]
fn a_guaranteed_gang_does_not_wait_for_fast_workers() {
    let mut fleet = fleet_with_full_fast_workers(1_500);
    fleet.site.submit(0, "guaranteed", vec![gang(5, true)]);
    assert_eq!(fleet.site.plan().starts.len(), 5);
}

/// Guards against a worker that stays out of use for tight work after it has become fast. Load: small tasks that have time, on half of the
/// pool.
#[test]
fn a_worker_that_becomes_fast_is_used_for_tight_work() {
    let mut fleet = UnevenFleet::new(8, ranked());
    learn(&mut fleet);
    let recovered = std::mem::take(&mut fleet.slow);
    for _ in 0..8 {
        fleet.submit(2, (2_000, 0), small_tasks(32));
        fleet.play(3_000);
    }
    fleet.play(3_000);
    let id = fleet.submit(1, (1_000, 0), small_tasks(64));
    fleet.play(100);
    assert!(workers_of(&fleet, id).is_superset(&recovered));
    assert_eq!(in_time_percent(&fleet, 2, (300, 1_000)), 100);
}

/// Learns the run time of tight tasks, of which every second takes `longer_percent` as long as the others.
fn learn_tight(longer_percent: u64) -> UnevenFleet {
    let mut fleet = UnevenFleet::new(WORKERS, ranked());
    learn(&mut fleet);
    // As many as fit on fast workers, so that each worker runs both kinds of tasks.
    for number in 0..240 {
        let percent = if number % 2 == 0 { 100 } else { longer_percent };
        fleet.submit(1, (2_000 * percent / 100, 0), small_tasks(1));
    }
    fleet.play(15_000);
    assert_eq!(fleet.stopped, 0);
    fleet
}

/// Guards against waiting for the end of a run that is far beyond the tail of its kind: the runs of the kind hardly vary, and it takes 3.5
/// times as long. The remaining time is longer than a restart soon after the usual time.
#[test]
fn a_run_beyond_the_tail_is_restarted() {
    let mut fleet = learn_tight(100);
    fleet.submit(1, (7_000, 0), small_tasks(1));
    fleet.play(3_500);
    assert_eq!(fleet.stopped, 1);
    // It takes as long elsewhere, and is not restarted again.
    fleet.play(9_000);
    assert_eq!(fleet.stopped, 1);
}

/// Guards against restarting runs that are long, but not unusual for their kind, of which half of the tasks take three times as long as the
/// others. The short ones end first, and their tail says nothing about the others.
#[test]
fn a_run_within_the_tail_is_not_restarted() {
    let mut fleet = learn_tight(300);
    fleet.submit(1, (9_000, 0), small_tasks(1));
    fleet.play(13_000);
    assert_eq!(fleet.stopped, 0);
}

/// Guards against restarting what runs on a slow worker in the time that is usual there.
#[test]
fn a_usual_run_on_a_slow_worker_is_not_restarted() {
    let mut fleet = UnevenFleet::new(WORKERS, ranked());
    learn(&mut fleet);
    // Runs on a slow worker vary like others: here by half of the usual time.
    let id = fleet.submit(2, (2_900, 0), small_tasks(1));
    fleet.play(100);
    assert!(workers_of(&fleet, id).is_subset(&fleet.slow));
    fleet.play(8_000);
    assert_eq!((fleet.stopped, fleet.jobs[&id].workers.len()), (0, 1));
}
