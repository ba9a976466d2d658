//! Tests of tasks that crash the workers that start them.
#![expect(
    clippy::unwrap_used,
    reason = "a test that meets the unexpected shall end"
)]

mod support;

use bh_group::Machine;
use bh_protocol::Incarnation;
use bh_workload::dispatch::Answer;
use bh_workload::dispatch::Ended;
use bh_workload::dispatch::OrderBody;
use bh_workload::dispatch::RecordOutcome;
use bh_workload::dispatch::Report;
use bh_workload::job::JobId;
use bh_workload::job::RunId;
use bh_workload::job::StepSpec;
use bh_workload::job::TaskId;
use bh_workload::state::Command;
use bh_workload::state::Crash;
use bh_workload::state::EndKind;
use bh_workload::state::Evidence;
use bh_workload::state::GiveUp;
use bh_workload::state::JobState;
use bh_workload::state::Outcome;
use bh_workload::state::Suspect;
use bh_workload::state::WorkerChange;
use bh_workload::state::Workload;
use rstest::rstest;
use std::collections::BTreeSet;
use support::Site;
use support::run_of;
use support::start_and_run;
use support::step;
use support::task;
use support::worker_id;

/// Maximum number of workers that may crash under one task.
const MAX_CRASHES: usize = 3;
/// Running time after which the start of a run cannot be the cause of a crash of its worker, in milliseconds.
const NOT_SUSPECT_MS: u64 = 30_000;

/// Guards against a job whose task crashes each worker that starts it, 10 ms later. The worker is back after 3 s under another identity,
/// and the lost run counts as nobody's fault. Without a limit the task starts on worker after worker: the caller waits for ever, and the
/// fleet loses a worker, with all its runs, every few seconds. In two minutes there were 33 starts of one task, at the same rate from the
/// first run on, within one leader's term and with nothing in the record that grew with the crashes.
#[test]
fn a_task_that_crashes_its_workers_is_given_up() {
    const DOWN_MS: u64 = 3_000;
    const ROUNDS: usize = 12;
    let mut site = Site::new(6, 3);
    let job = site.submit(0, "other", vec![step(1, 1)]);
    let mut crashes = 0;
    for _ in 0..ROUNDS {
        site.plan_and_start();
        site.send_starts();
        site.advance(10);
        let open_runs: Vec<_> = site.open_runs();
        for (worker, _) in open_runs {
            crashes += 1;
            site.crash(&worker);
        }
        site.advance(DOWN_MS);
    }
    assert!(
        crashes <= MAX_CRASHES,
        "{crashes} workers crashed under one task"
    );
    let outcome = site.workload.job(job).unwrap().outcome;
    assert_eq!(outcome, Some(Outcome::Failed));
}

fn crashes(site: &Site, task: TaskId) -> u32 {
    site.workload.task(task).unwrap().all_crashes()
}

/// A job that crashes its worker is started beside sound ones, which lose their runs with the worker and restart. If every run lost with a
/// worker counted against its task, a few such jobs would have all their neighbours given up. A run that had run for long is no suspect,
/// and the others are cleared by their next run.
#[test]
fn neighbours_of_a_crashing_task_are_done() {
    let mut site = Site::new(1, 1);
    let long = site.submit(1, "other", vec![step(1, 1)]);
    start_and_run(&mut site, NOT_SUSPECT_MS);
    let young = site.submit(1, "other", vec![step(2, 1)]);
    start_and_run(&mut site, 1_500);
    let crashing = site.submit(0, "other", vec![step(1, 1)]);
    site.plan_and_start();
    site.send_starts();
    site.advance(10);
    site.crash(&worker_id("w00"));
    assert_eq!(crashes(&site, task(long, 0, 0)), 0);
    assert_eq!(crashes(&site, task(young, 0, 0)), 1);
    assert_eq!(crashes(&site, task(crashing, 0, 0)), 1);
    for _ in 0..4 {
        site.advance(3_000);
        start_and_run(&mut site, 1_500);
        for (_, run) in site.open_runs() {
            if run.task.step.job != crashing {
                site.end(run, EndKind::Done);
            }
        }
    }
    for job in [long, young] {
        let outcome = site.workload.job(job).unwrap().outcome;
        assert_eq!(outcome, Some(Outcome::Completed));
    }
}

/// A worker crashed under two tasks that had just started there. Until one of them is seen running, nothing else may start beside it, and
/// they may not both start on one worker: if that one crashed too, its other work would be lost, and nothing would show which task is the
/// cause.
#[test]
fn suspects_start_on_separate_workers() {
    let mut site = Site::new(3, 3);
    let job = site.submit(0, "other", vec![step(2, 1)]);
    site.plan_and_start();
    site.send_starts();
    site.advance(10);
    let (worker, _) = site.open_runs()[0].clone();
    site.crash(&worker);
    assert_eq!(crashes(&site, task(job, 0, 0)), 1);
    assert_eq!(crashes(&site, task(job, 0, 1)), 1);

    let plan = site.plan_and_start();
    let workers: BTreeSet<_> = plan
        .starts
        .iter()
        .map(|start| start.worker.clone())
        .collect();
    assert_eq!(
        (plan.starts.len(), workers.len()),
        (2, 2),
        "one on each worker"
    );
    site.send_starts();
    site.submit(0, "other", vec![step(4, 1)]);
    let plan = site.plan();
    assert_eq!(plan.starts.len(), 4);
    assert!(
        plan.starts
            .iter()
            .all(|start| !workers.contains(&start.worker))
    );

    site.advance(1_100);
    site.report();
    site.submit(0, "other", vec![step(24, 1)]);
    let plan = site.plan();
    assert!(
        plan.starts
            .iter()
            .any(|start| workers.contains(&start.worker))
    );
}

/// Two workers crash under a task that was alone on the second one, so the job is given up at once. The caller can read that it failed, and
/// an operator why.
#[test]
fn a_crash_under_a_task_alone_on_its_worker_is_proof() {
    let mut site = Site::new(4, 2);
    let job = site.submit(0, "other", vec![step(1, 8)]);
    for _ in 0..2 {
        assert_eq!(site.workload.job(job).unwrap().outcome, None);
        site.plan_and_start();
        site.send_starts();
        site.advance(10);
        let (worker, _) = site.open_runs()[0].clone();
        site.crash(&worker);
    }
    let report = site
        .planner
        .explain(
            (site.now_ms, site.wall_ms()),
            &site.workload,
            &site.dispatcher,
            job,
        )
        .unwrap();
    assert_eq!(report.state, JobState::Ended(Outcome::Failed));
    let given_up = report.given_up.unwrap();
    assert!(matches!(given_up, GiveUp::Crashes { run } if run.attempt == 2));
    assert!(
        site.workload.job(job).unwrap().ended_ms > 0,
        "the job is kept for its caller"
    );
}

/// Workers leave, have their upkeep, are cut off past their lease and come back, or crash before an order reaches them, each three times
/// under the same task. None of these is a crash caused by the task, so the job must not be given up.
#[rstest]
#[case::drained(DepartureKind::Drained)]
#[case::left(DepartureKind::Left)]
#[case::silent(DepartureKind::Silent)]
#[case::never_reached(DepartureKind::NeverReached)]
fn departures_that_are_no_crash_do_not_count(#[case] kind: DepartureKind) {
    /// Time that a worker keeps running after it announced that it leaves, in milliseconds.
    const DRAIN_MS: u64 = 2_000;
    let mut site = Site::new(6, 3);
    let job = site.submit(0, "other", vec![step(1, 8)]);
    for _ in 0..3 {
        site.plan_and_start();
        if kind != DepartureKind::NeverReached {
            site.send_starts();
        }
        site.advance(10);
        let (worker, run) = site.open_runs()[0].clone();
        match kind {
            DepartureKind::Drained => {
                let change = WorkerChange::Draining(worker.clone());
                site.workload.apply(Command::Workers(vec![change]));
                site.take_events();
                site.advance(DRAIN_MS);
                site.crash(&worker);
            }
            DepartureKind::Left => {
                let change = WorkerChange::Gone(worker.clone());
                site.workload.apply(Command::Workers(vec![change]));
                site.take_events();
            }
            DepartureKind::Silent => site.end(run, EndKind::Lost),
            DepartureKind::NeverReached => site.crash(&worker),
        }
        assert_eq!(crashes(&site, task(job, 0, 0)), 0);
        site.advance(5_000);
    }
    site.plan_and_start();
    assert_eq!(site.open_runs().len(), 1, "the task restarts");
}

/// Why a worker is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DepartureKind {
    Drained,
    Left,
    Silent,
    NeverReached,
}

/// A worker falls silent while a task runs there, its lease runs out, and only then another incarnation answers at its address. The crash
/// must count: the leader did not know of it when the task restarted, and three such rounds must not go unnoticed.
#[test]
fn a_crash_that_shows_after_the_lease_counts() {
    let mut site = Site::new(2, 2);
    let job = site.submit(0, "other", vec![step(1, 8)]);
    site.plan_and_start();
    site.send_starts();
    site.advance(10);
    let (worker, run) = site.open_runs()[0].clone();
    site.fall_silent(&worker);
    site.now_ms += 12_000;
    let (probes, ends) = site.dispatcher.orders(site.now_ms, &site.workload, true);
    for probe in &probes {
        site.dispatcher
            .note_answer(site.now_ms, probe, &Answer::Lost, &site.workload);
    }
    assert_eq!(ends.len(), 1);
    assert_eq!((ends[0].run, ends[0].kind), (run, EndKind::Lapsed));
    let now_ms = site.wall_ms();
    site.workload.apply(Command::ends(ends).at(now_ms));
    site.take_events();
    site.restart_silent_worker(&worker);
    assert_eq!(crashes(&site, task(job, 0, 0)), 1);
    assert!(
        site.workload.worker(&worker).is_none(),
        "the old incarnation is removed"
    );
}

/// The leader changes, all cores restart from a snapshot, and a deposed leader records the crash once more. The count must stay the same.
#[test]
fn the_crash_count_survives_a_change_of_leader() {
    let mut site = Site::new(3, 3);
    let job = site.submit(0, "other", vec![step(1, 8)]);
    site.plan_and_start();
    site.send_starts();
    site.advance(10);
    let (worker, run) = site.open_runs()[0].clone();
    let suspects = vec![Suspect {
        run,
        evidence: Evidence::Alone,
    }];
    let repeated = Command::Ends {
        ends: Vec::new(),
        now_ms: site.wall_ms(),
        crash: Some(Crash {
            worker: worker.clone(),
            suspects,
        }),
        late_failures: Vec::new(),
        not_displaced: Vec::new(),
        exonerated: Vec::new(),
        cleared: Vec::new(),
    };
    site.crash(&worker);
    site.workload.apply(repeated);
    let machine = Machine::new(site.workload.clone(), Workload::CODEC);
    let snapshot = machine.snapshot().unwrap();
    machine.restore(&snapshot).unwrap();
    site.workload = machine.read().clone();
    site.take_over(2);
    assert_eq!(crashes(&site, task(job, 0, 0)), 1);
}

/// A record written before crashes were counted is read, and has a count of zero.
#[test]
fn a_record_without_crash_counts_is_read() {
    let mut site = Site::new(1, 1);
    let job = site.submit(0, "other", vec![step(1, 8)]);
    let machine = Machine::new(site.workload.clone(), Workload::CODEC);
    let snapshot = String::from_utf8(machine.snapshot().unwrap()).unwrap();
    assert!(!snapshot.contains("crashes") && !snapshot.contains("given_up"));
    machine.restore(snapshot.as_bytes()).unwrap();
    site.workload = machine.read().clone();
    assert_eq!(crashes(&site, task(job, 0, 0)), 0);
}

/// A core of an older version leads or follows beside newer ones during an update of all cores. It reads the record of a crash as the ends
/// of the runs that were there, so that no core takes a run for open that others know to have ended; only the count is missing there.
#[test]
fn older_cores_read_a_crash_as_ends() {
    let mut site = Site::new(1, 1);
    site.submit(0, "other", vec![step(2, 1)]);
    site.plan_and_start();
    site.send_starts();
    site.advance(10);
    let worker = worker_id("w00");
    let runs = site.open_runs();
    let command = site.departure_of(&worker);
    let text = serde_json::to_value(&command).unwrap();
    let ends = text["Ends"]["ends"].as_array().unwrap();
    assert_eq!(ends.len(), runs.len());
    assert!(ends.iter().all(|end| end["kind"] == "Lost"));
    assert!(text["Ends"]["crash"].is_object());
}

/// One member of a gang crashes its worker, and the others are ended with it. Each attempt costs the whole gang, so it is given up after
/// the second one; members on other workers are no suspects.
#[test]
fn a_gang_with_a_crashing_member_is_given_up() {
    let mut site = Site::new(4, 2);
    let gang = StepSpec {
        gang: true,
        ..step(2, 8)
    };
    let job = site.submit(0, "other", vec![gang]);
    for _ in 0..2 {
        assert_eq!(site.workload.job(job).unwrap().outcome, None);
        site.plan_and_start();
        site.send_starts();
        site.advance(10);
        let is_first = |(_, run): &(Incarnation, RunId)| run.task.index == 0;
        let (worker, _) = site.open_runs().into_iter().find(is_first).unwrap();
        site.crash(&worker);
        for (_, run) in site.open_runs() {
            site.end(run, EndKind::Broken);
        }
    }
    assert_eq!(crashes(&site, task(job, 0, 1)), 0);
    let outcome = site.workload.job(job).unwrap().outcome;
    assert_eq!(outcome, Some(Outcome::Failed));
}

/// A service runs for weeks, and its workers crash now and then for other reasons, which must not count against it. A service that crashes
/// each worker as it starts is given up like any other work, since it would take the fleet down.
#[rstest]
#[case::for_long(NOT_SUSPECT_MS, None)]
#[case::for_ten_seconds(10_000, None)]
#[case::at_its_start(10, Some(Outcome::Failed))]
fn a_service_is_given_up_only_for_crashes_at_its_start(
    #[case] running_ms: u64,
    #[case] expected: Option<Outcome>,
) {
    let mut site = Site::new(6, 3);
    let service = StepSpec {
        long_running: true,
        ..step(1, 8)
    };
    let job = site.submit(0, "other", vec![service]);
    for _ in 0..4 {
        start_and_run(&mut site, running_ms);
        if let Some((worker, _)) = site.open_runs().first().cloned() {
            site.crash(&worker);
        }
        site.advance(3_000);
    }
    assert_eq!(site.workload.job(job).unwrap().outcome, expected);
}

/// The leader detects a crash, and recording it fails because no majority answers for a moment. The worker is probed again and the crash
/// recorded then; otherwise its runs would count as running for as long as the leader leads.
#[test]
fn a_crash_that_was_not_recorded_is_detected_again() {
    let mut site = Site::new(1, 1);
    let job = site.submit(0, "other", vec![step(1, 8)]);
    site.plan_and_start();
    site.send_starts();
    site.advance(10);
    let worker = worker_id("w00");
    let lost = site.departure_of(&worker);
    assert!(matches!(lost, Command::Ends { .. }));
    site.advance(1_100);
    let again = site.departure_of(&worker);
    site.workload.apply(again.at(site.wall_ms()));
    assert_eq!(crashes(&site, task(job, 0, 0)), 1);
}

/// Starts the job's task up to `rounds` times; another incarnation answers each repeated start after `answer_ms`. Returns the number of starts.
fn start_on_restarted_workers(site: &mut Site, rounds: usize, answer_ms: u64) -> usize {
    for round in 0..rounds {
        site.plan_and_start();
        let orders = site.orders();
        let mut starts = orders.iter();
        let start = starts.find(|order| matches!(order.body, OrderBody::Start { .. }));
        let Some(start) = start.cloned() else {
            return round;
        };
        site.dispatcher.note_repeated(&start);
        site.advance(answer_ms);
        let answer = Answer::OtherIncarnation;
        let command = site
            .dispatcher
            .note_answer(site.now_ms, &start, &answer, &site.workload);
        let now_ms = site.wall_ms();
        site.workload.apply(command.unwrap().at(now_ms));
        site.take_events();
    }
    rounds
}

/// Guards against giving up a sound job whose start orders reach restarted workers: the kept-alive connection breaks, and another incarnation answers the
/// resent order within milliseconds.
#[test]
fn starts_that_find_a_restarted_worker_are_no_crashes() {
    const ROUNDS: usize = 6;
    let mut site = Site::new(ROUNDS, ROUNDS);
    let job = site.submit(0, "other", vec![step(1, 1)]);
    assert_eq!(start_on_restarted_workers(&mut site, ROUNDS, 30), ROUNDS);
    assert_eq!(crashes(&site, task(job, 0, 0)), 0);
    assert_eq!(site.workload.job(job).unwrap().outcome, None);
}

/// Guards against unlimited restarts of a task that crashes its workers when the workers restart within milliseconds.
#[test]
fn a_task_that_crashes_fast_restarting_workers_is_given_up() {
    const ROUNDS: usize = 20;
    const MAX_STARTS: usize = 12;
    let mut site = Site::new(ROUNDS, ROUNDS);
    let job = site.submit(0, "other", vec![step(1, 1)]);
    assert!(start_on_restarted_workers(&mut site, ROUNDS, 30) <= MAX_STARTS);
    let outcome = site.workload.job(job).unwrap().outcome;
    assert_eq!(outcome, Some(Outcome::Failed));
}

/// Creates a site where a service of three tasks runs, each on a worker of its own.
fn running_service() -> (Site, JobId) {
    let mut site = Site::new(6, 3);
    let service = StepSpec {
        long_running: true,
        most_per_worker: Some(1),
        ..step(3, 1)
    };
    let job = site.submit(0, "other", vec![service]);
    start_and_run(&mut site, NOT_SUSPECT_MS);
    assert_eq!(site.open_runs().len(), 3);
    (site, job)
}

/// The worker on which the task `index` of the job's first step runs.
fn worker_of(site: &Site, job: JobId, index: u32) -> Incarnation {
    let holder = site.workload.holder(run_of(site, job, index));
    holder.unwrap().info.id.clone()
}

/// Crashes the worker of a service's first task 10 ms after each start of the task, until the task is not started any more.
fn crash_first_task(site: &mut Site, job: JobId) {
    site.crash(&worker_of(site, job, 0));
    for _ in 0..6 {
        site.advance(3_000);
        site.report();
        site.plan_and_start();
        site.send_starts();
        site.advance(10);
        let first = task(job, 0, 0);
        if site.open_runs().iter().any(|(_, run)| run.task == first) {
            site.crash(&worker_of(site, job, 0));
        }
    }
}

/// Guards against a service that is stopped as a whole because one of its tasks crashes its workers.
#[test]
fn the_other_tasks_of_a_service_go_on_when_one_is_given_up() {
    let (mut site, job) = running_service();
    crash_first_task(&mut site, job);
    assert_eq!(site.workload.job(job).unwrap().outcome, None);
    assert!(
        site.workload
            .task(task(job, 0, 0))
            .unwrap()
            .given_up
            .is_some()
    );
    for index in [1, 2] {
        let run = run_of(&site, job, index);
        assert!(site.workload.should_run(run), "{run}");
    }
    assert_eq!(site.plan().starts, Vec::new());
    let times = (site.now_ms, site.wall_ms());
    let report = site
        .planner
        .explain(times, &site.workload, &site.dispatcher, job);
    let step = report.unwrap().steps.remove(0);
    assert_eq!(step.given_up.len(), 1, "{step:?}");
    site.cancel(0, "other", job);
    let outcome = site.workload.job(job).unwrap().outcome;
    assert_eq!(outcome, Some(Outcome::Cancelled));
}

/// Guards against a task that is given up for the crash of a worker years after two others, although it has worked soundly since.
#[rstest]
#[case::ended_otherwise(false)]
#[case::crashed_late(true)]
fn sound_work_clears_a_task(#[case] crashes_late: bool) {
    let mut site = Site::new(6, 3);
    let job = site.submit(0, "other", vec![step(1, 8)]);
    for _ in 0..2 {
        start_and_run(&mut site, 1_500);
        site.crash(&worker_of(&site, job, 0));
        site.advance(3_000);
    }
    assert_eq!(crashes(&site, task(job, 0, 0)), 2);
    start_and_run(&mut site, NOT_SUSPECT_MS);
    let (worker, run) = site.open_runs()[0].clone();
    if crashes_late {
        site.crash(&worker);
    } else {
        let ended = Ended {
            number: 1,
            run,
            kind: EndKind::Stopped,
            checkpoint: None,
        };
        let answer = Answer::Done {
            clock_ms: Some(site.now_ms),
            report: Some(Report {
                ended: vec![ended],
                ..Report::default()
            }),
        };
        site.answer_for(&worker, &answer);
        let recorded = RecordOutcome::Recorded;
        site.dispatcher.note_recorded(&worker, Some(1), recorded);
    }
    assert_eq!(crashes(&site, task(job, 0, 0)), 0);
    site.advance(3_000);
    start_and_run(&mut site, 1_500);
    site.crash(&worker_of(&site, job, 0));
    assert_eq!(site.workload.job(job).unwrap().outcome, None);
}

/// All workers crash, and other incarnations answer at their addresses from now on.
fn crash_all(site: &mut Site) {
    let all = site.workload.workers().map(|w| w.info.id.clone()).collect();
    site.crash_workers(&all);
}

/// Guards against sound tasks that are given up because many workers crashed at once, as when a rack loses power.
#[test]
fn a_crash_of_many_workers_at_once_is_no_evidence() {
    const WORKERS: usize = 6;
    let mut site = Site::new(WORKERS, 3);
    let jobs: Vec<JobId> = (0..WORKERS)
        .map(|_| site.submit(0, "other", vec![step(1, 8)]))
        .collect();
    start_and_run(&mut site, 1_500);
    crash_all(&mut site);
    for job in &jobs {
        assert_eq!(crashes(&site, task(*job, 0, 0)), 0);
    }
    for _ in 0..2 {
        site.advance(3_000);
        start_and_run(&mut site, 1_500);
        crash_all(&mut site);
    }
    let given_up = jobs
        .iter()
        .filter(|job| site.workload.job(**job).unwrap().outcome.is_some());
    assert_eq!(given_up.count(), 0);
}

/// Guards against a task whose crashes of workers are all forgotten when many workers crash at once: only the crash of that moment is no evidence.
#[test]
fn a_crash_of_many_workers_leaves_earlier_crashes_counted() {
    const WORKERS: usize = 6;
    let mut site = Site::new(WORKERS, 3);
    let jobs: Vec<JobId> = (0..WORKERS)
        .map(|_| site.submit(0, "other", vec![step(1, 8)]))
        .collect();
    let first = task(jobs[0], 0, 0);
    start_and_run(&mut site, 1_500);
    let worker = worker_of(&site, jobs[0], 0);
    site.crash_workers(&BTreeSet::from([worker]));
    assert_eq!(crashes(&site, first), 1);
    site.advance(3_000);
    start_and_run(&mut site, 1_500);
    crash_all(&mut site);
    assert_eq!(crashes(&site, first), 1);
    assert_eq!(crashes(&site, task(jobs[1], 0, 0)), 0);
}

/// Guards against tasks that crash their workers some seconds after each start, at the same moments: each leader would excuse them once more.
#[test]
fn a_task_is_excused_once_whoever_leads() {
    const WORKERS: usize = 6;
    const TERMS: u32 = 3;
    let mut site = Site::new(WORKERS, 3);
    let jobs: Vec<JobId> = (0..WORKERS)
        .map(|_| site.submit(0, "other", vec![step(1, 8)]))
        .collect();
    for term in 2..2 + TERMS {
        start_and_run(&mut site, 1_500);
        crash_all(&mut site);
        site.take_over(u64::from(term));
        site.advance(3_000);
        site.report();
    }
    for job in jobs {
        assert_eq!(crashes(&site, task(job, 0, 0)), TERMS - 1);
    }
}

/// Guards against a task that is excused because one other worker crashed several times within two seconds, as if three workers had crashed at once.
#[test]
fn a_worker_that_crashes_repeatedly_is_no_loss_of_many() {
    let mut site = Site::new(2, 3);
    let job = site.submit(0, "other", vec![step(1, 8)]);
    start_and_run(&mut site, 1_500);
    let busy = worker_of(&site, job, 0);
    for _ in 0..4 {
        let workers = site.workload.workers().map(|w| w.info.id.clone());
        let idle = workers.filter(|id| *id != busy).collect();
        site.crash_workers(&idle);
    }
    site.crash_workers(&BTreeSet::from([busy]));
    assert_eq!(crashes(&site, task(job, 0, 0)), 1);
}
