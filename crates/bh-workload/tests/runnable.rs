//! Runnable work of which nothing runs: why it waits, and whether its job is stalled.
#![expect(
    clippy::unwrap_used,
    reason = "a test that meets the unexpected shall end"
)]

mod support;

use bh_protocol::Incarnation;
use bh_workload::dispatch::Answer;
use bh_workload::dispatch::Dispatcher;
use bh_workload::dispatch::Ended;
use bh_workload::dispatch::Permission;
use bh_workload::dispatch::Report;
use bh_workload::dispatch::RunPhase;
use bh_workload::dispatch::Timing;
use bh_workload::job::JobId;
use bh_workload::job::Resources;
use bh_workload::job::RunId;
use bh_workload::job::StepSpec;
use bh_workload::plan::RunnableStep;
use bh_workload::plan::StallCheck;
use bh_workload::plan::Survey;
use bh_workload::plan::UnusableReason;
use bh_workload::plan::WaitReason;
use bh_workload::rules::AdviserTiming;
use bh_workload::rules::Queue;
use bh_workload::state::Command;
use bh_workload::state::EndKind;
use bh_workload::state::Outcome;
use bh_workload::state::WorkerChange;
use rstest::rstest;
use std::sync::Arc;
use support::FAR;
use support::Site;
use support::rules;
use support::run_of;
use support::step;
use support::worker_id;

/// Time without urgent work after which no capacity is kept for it, in milliseconds.
const QUIET_MS: u64 = 60_000;

/// A site of `workers` workers in racks of two, where no capacity is kept for urgent work.
fn quiet_site(workers: usize) -> Site {
    let mut site = Site::new(workers, 2);
    site.advance(QUIET_MS);
    site
}

fn gang(count: u32, accelerators: u64) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(count, accelerators)
    }
}

fn survey(site: &Site) -> Survey {
    let times = (site.now_ms, site.wall_ms());
    site.planner.survey(times, &site.workload, &site.dispatcher)
}

/// Returns the runnable steps of a job in the survey.
fn steps_of(site: &Site, job: JobId) -> Vec<RunnableStep> {
    let steps = survey(site).steps.into_iter();
    steps.filter(|known| known.step.job == job).collect()
}

/// Returns the only reason for which a job waits. `core explain` must give the same reason for tasks that wait for capacity.
fn wait_reason(site: &Site, job: JobId) -> WaitReason {
    let steps = steps_of(site, job);
    assert_eq!(steps.len(), 1, "{steps:?}");
    let wait = steps[0].wait.clone();
    let times = (site.now_ms, site.wall_ms());
    let report = site
        .planner
        .explain(times, &site.workload, &site.dispatcher, job)
        .unwrap();
    if !matches!(wait, WaitReason::Ordered { .. }) {
        assert_eq!(report.steps[0].wait, Some(wait.clone()));
    }
    assert!(WaitReason::REASONS.contains(&wait.reason()));
    wait
}

/// A site with a job of one run, brought to a state by `prepare`.
fn site_with_run(prepare: impl Fn(&mut Site, &Incarnation, RunId)) -> (Site, JobId) {
    let mut site = quiet_site(2);
    let job = site.submit(2, "other", vec![step(1, 1)]);
    site.plan_and_start();
    let (worker, run) = site.open_runs()[0].clone();
    prepare(&mut site, &worker, run);
    (site, job)
}

/// Sends no order.
fn leave_unsent(_: &mut Site, _: &Incarnation, _: RunId) {}

/// Sends the start order; no answer arrives yet.
fn send_start(site: &mut Site, _: &Incarnation, _: RunId) {
    site.orders();
}

/// Sends the start order; the worker confirms it.
fn confirm_start(site: &mut Site, _: &Incarnation, _: RunId) {
    site.send_starts();
    site.advance(100);
}

/// Sends the start order, which gets no answer.
fn lose_start(site: &mut Site, worker: &Incarnation, _: RunId) {
    site.answer_for(worker, &Answer::Lost);
}

/// Another core becomes leader after the start is confirmed.
fn change_leader(site: &mut Site, worker: &Incarnation, run: RunId) {
    confirm_start(site, worker, run);
    site.take_over(2);
}

/// The worker lists the run in one report and leaves it out of the next.
fn omit_from_report(site: &mut Site, worker: &Incarnation, run: RunId) {
    confirm_start(site, worker, run);
    let listed = site.probe_answer(worker, &[]);
    site.answer_for(worker, &listed);
    site.advance(100);
    let orders = site.orders();
    // More ends follow and the run's own end may be among them, so the run does not count as ended.
    let answer = Answer::Done {
        clock_ms: Some(site.now_ms),
        report: Some(Report {
            more: true,
            ..Report::default()
        }),
    };
    for order in &orders {
        site.dispatcher
            .note_answer(site.now_ms, order, &answer, &site.workload);
    }
}

/// The worker stops answering after the start is confirmed.
fn silence_worker(site: &mut Site, worker: &Incarnation, run: RunId) {
    confirm_start(site, worker, run);
    site.fall_silent(worker);
}

/// The leader requests a stop after the start is confirmed.
fn stop_run(site: &mut Site, worker: &Incarnation, run: RunId) {
    confirm_start(site, worker, run);
    site.dispatcher.request_stop(worker, run);
}

/// The worker reports the end of the run, which is not recorded.
fn end_without_record(site: &mut Site, _: &Incarnation, run: RunId) {
    site.send_starts();
    site.advance(400);
    let orders = site.orders();
    let ended = Ended {
        number: 1,
        run,
        kind: EndKind::Done,
        checkpoint: None,
    };
    let answer = Answer::Done {
        clock_ms: Some(site.now_ms),
        report: Some(Report {
            ended: vec![ended],
            ..Report::default()
        }),
    };
    for order in &orders {
        let command = site
            .dispatcher
            .note_answer(site.now_ms, order, &answer, &site.workload);
        assert!(command.is_some());
    }
}

/// Guards against reporting a job as running although its recorded run is not at work, or without the worker that holds the run.
#[rstest]
#[case::unsent(leave_unsent, RunPhase::Unsent)]
#[case::in_flight(send_start, RunPhase::InFlight)]
#[case::unanswered(lose_start, RunPhase::Unsure)]
#[case::of_an_earlier_leader(change_leader, RunPhase::Unsure)]
#[case::unreported(omit_from_report, RunPhase::Unreported)]
#[case::on_a_silent_worker(silence_worker, RunPhase::Silent)]
#[case::given_up(stop_run, RunPhase::Stopping)]
#[case::ended(end_without_record, RunPhase::Ending)]
fn a_job_waits_for_its_recorded_run_that_is_not_at_work(
    #[case] prepare: fn(&mut Site, &Incarnation, RunId),
    #[case] phase: RunPhase,
) {
    let (site, job) = site_with_run(prepare);
    assert_eq!(wait_reason(&site, job), WaitReason::Ordered { phase });
    let (worker, run) = site.open_runs()[0].clone();
    let blocking_run = steps_of(&site, job)[0].held_by.clone().unwrap();
    assert_eq!(
        (blocking_run.worker, blocking_run.run),
        (worker, run.to_string())
    );
    assert_eq!(blocking_run.phase, phase);
}

/// Guards against reporting running work as waiting.
#[test]
fn running_work_is_not_in_the_survey() {
    let (mut site, _) = site_with_run(confirm_start);
    assert_eq!(survey(&site), Survey::default());
    site.report();
    assert_eq!(survey(&site), Survey::default());
}

/// Guards against reporting a wait for the leader's own next step as a wait for capacity.
#[test]
fn each_stage_of_a_start_has_its_own_reason() {
    let mut site = quiet_site(2);
    let job = site.submit(2, "other", vec![step(1, 1)]);
    assert_eq!(wait_reason(&site, job), WaitReason::NotPlanned);
    let plan = site.plan();
    assert_eq!(wait_reason(&site, job), WaitReason::StartRecording);
    site.workload.apply(Command::Starts(plan.starts));
    site.take_events();
    let phase = RunPhase::Unsent;
    assert_eq!(wait_reason(&site, job), WaitReason::Ordered { phase });
}

/// Guards against the same reason for a full pool and for one where capacity has become free since the last plan.
#[test]
fn a_full_pool_differs_from_one_that_was_full_at_the_last_plan() {
    let mut site = quiet_site(1);
    let first = site.submit(2, "other", vec![step(1, 8)]);
    site.plan_and_start();
    let job = site.submit(2, "other", vec![step(1, 8)]);
    site.plan_and_start();
    let (tasks, places) = (1, 0);
    assert_eq!(
        wait_reason(&site, job),
        WaitReason::NoRoom { tasks, places }
    );
    site.end(run_of(&site, first, 0), EndKind::Done);
    assert_eq!(wait_reason(&site, job), WaitReason::Placing);
}

/// Guards against reporting a full pool when workers with free capacity get no work.
#[rstest]
#[case::unheard(UnusableReason::Unheard)]
#[case::silent(UnusableReason::Silent)]
#[case::set_aside(UnusableReason::SetAside)]
#[case::emptied(UnusableReason::Emptied)]
fn capacity_on_workers_that_get_no_work_is_reported(#[case] why: UnusableReason) {
    let mut site = quiet_site(4);
    site.submit(2, "other", vec![step(3, 8)]);
    site.plan_and_start();
    site.send_starts();
    let free = |worker: &&bh_workload::state::Worker| worker.runs.is_empty();
    let worker = site.workload.workers().find(free).unwrap();
    let worker = worker.info.id.clone();
    match why {
        UnusableReason::Unheard => {
            let info_ms = site.now_ms;
            site.now_ms += Timing::DEFAULT.current_ms() + 1;
            for (other, _) in site.open_runs() {
                site.dispatcher
                    .note_heartbeat(site.now_ms, &other, Some(site.now_ms));
            }
            let target = site.dispatcher.view(&worker).unwrap();
            assert_eq!(target.info_ms, Some(info_ms));
        }
        UnusableReason::Silent => {
            site.dispatcher.check_incarnations(&worker, &site.workload);
            site.fall_silent(&worker);
        }
        UnusableReason::SetAside => site.dispatcher.set_aside(site.now_ms, &worker),
        _ => site
            .dispatcher
            .set_emptied(std::iter::once(worker).collect()),
    }
    let job = site.submit(2, "other", vec![step(1, 1)]);
    site.plan_and_start();
    assert_eq!(
        wait_reason(&site, job),
        WaitReason::WorkersUnusable { places: 1, why }
    );
}

/// Guards against reporting a lack of capacity while a new leader has received nothing from any worker yet.
#[test]
fn a_new_leader_reports_workers_that_it_has_not_heard() {
    let mut site = quiet_site(2);
    site.dispatcher = Dispatcher::new(Timing::DEFAULT, 2, site.now_ms, &site.workload);
    let job = site.submit(2, "other", vec![step(1, 1)]);
    site.plan_and_start();
    let why = UnusableReason::Unheard;
    assert_eq!(
        wait_reason(&site, job),
        WaitReason::WorkersUnusable { places: 2, why }
    );
}

/// Guards against reporting a refusal while the adviser has not answered yet.
#[test]
fn a_wait_for_the_adviser_differs_from_its_refusal() {
    let mut site = quiet_site(2);
    let mut rules = rules(2);
    for queue in &mut rules.queues {
        *queue = Arc::new(Queue {
            advised: Some(AdviserTiming {
                decision_ms: 200,
                per_worker_ms: 10,
                validity_ms: 5_000,
            }),
            ..(**queue).clone()
        });
    }
    site.workload.apply(Command::SetRules(Box::new(rules)));
    let job = site.submit(2, "other", vec![step(1, 1)]);
    let question = site.plan().questions.remove(0);
    assert_eq!(wait_reason(&site, job), WaitReason::Advice);
    let none: &[Permission] = &[];
    site.dispatcher
        .permissions
        .note_answer(site.now_ms, &question, Some(none));
    site.plan();
    assert_eq!(wait_reason(&site, job), WaitReason::NoWorkerAllowed);
}

/// Guards against reporting capacity as free that is held for a larger gang, or without that gang.
#[test]
fn capacity_held_for_a_gang_is_reported_with_the_gang() {
    let mut site = quiet_site(2);
    site.submit(2, "other", vec![step(1, 8)]);
    site.plan_and_start();
    let larger = site.submit(1, "other", vec![gang(2, 8)]);
    let job = site.submit(2, "other", vec![step(1, 1)]);
    site.plan_and_start();
    let to = vec![support::task(larger, 0, 0).step.to_string()];
    assert_eq!(
        wait_reason(&site, job),
        WaitReason::RoomPromised { places: 0, to }
    );
}

/// Guards against reporting capacity as free that is kept for urgent work.
#[test]
fn capacity_kept_for_urgent_work_is_reported() {
    let mut site = Site::new(10, 10);
    site.submit(2, "other", vec![step(10, 8)]);
    site.plan_and_start();
    let job = site.submit(2, "other", vec![step(1, 8)]);
    site.plan_and_start();
    assert_eq!(wait_reason(&site, job), WaitReason::RoomKept { places: 0 });
}

/// Guards against reporting capacity as free on a worker that the task avoids because it has failed there.
#[test]
fn a_worker_where_the_task_has_failed_is_reported() {
    let mut site = quiet_site(2);
    let job = site.submit(2, "other", vec![step(1, 8)]);
    site.plan_and_start();
    let (worker, run) = site.open_runs()[0].clone();
    site.submit(2, "other", vec![step(1, 8)]);
    site.plan_and_start();
    let end = bh_workload::state::End {
        run,
        worker,
        kind: EndKind::Failed,
        checkpoint: None,
    };
    let ends = [end];
    site.planner
        .note_ends(site.now_ms, &ends, &site.workload, &site.dispatcher);
    site.end(run, EndKind::Failed);
    site.plan_and_start();
    assert_eq!(
        wait_reason(&site, job),
        WaitReason::WorkersAvoided { workers: 1 }
    );
}

/// Guards against reporting that the next plan starts a gang that waits for a rack.
#[test]
fn a_gang_that_waits_for_a_rack_is_reported() {
    let mut site = quiet_site(4);
    site.submit(2, "other", vec![step(4, 8)]);
    site.plan_and_start();
    for (worker, run) in site.open_runs() {
        if worker == worker_id("w00") || worker == worker_id("w02") {
            site.end(run, EndKind::Done);
        }
    }
    let local = StepSpec {
        rack_local: true,
        ..gang(2, 8)
    };
    let job = site.submit(2, "other", vec![local]);
    site.plan_and_start();
    assert_eq!(wait_reason(&site, job), WaitReason::Rack);
}

/// A site with a job under which a worker has crashed. Both workers have free capacity and a run that has just started.
fn suspect_job_beside_new_runs() -> (Site, JobId) {
    let mut site = quiet_site(2);
    let job = site.submit(2, "other", vec![step(1, 1)]);
    site.plan_and_start();
    site.send_starts();
    site.advance(10);
    let worker = site.open_runs()[0].0.clone();
    site.crash(&worker);
    let one_per_worker = StepSpec {
        most_per_worker: Some(1),
        ..step(2, 1)
    };
    site.submit(0, "guaranteed", vec![one_per_worker]);
    site.plan_and_start();
    site.send_starts();
    (site, job)
}

/// Guards against reporting a lack of capacity for a task that is kept apart because a worker crashed under it.
#[test]
fn a_suspect_task_that_is_kept_apart_is_reported() {
    let (site, job) = suspect_job_beside_new_runs();
    assert_eq!(wait_reason(&site, job), WaitReason::Apart { crashes: 1 });
}

/// Guards against reporting a suspect task as kept apart when it no longer is, which would hide the actual reason.
#[test]
fn a_suspect_task_that_is_no_longer_kept_apart_has_another_reason() {
    const ISOLATION_MS: u64 = 2_000;
    let (mut site, job) = suspect_job_beside_new_runs();
    site.advance(ISOLATION_MS);
    assert_eq!(wait_reason(&site, job), WaitReason::Placing);
}

/// Guards against reporting a worker as silent or full that takes no other work while a suspect task runs on it.
#[test]
fn a_worker_with_a_suspect_task_is_reported() {
    let mut site = quiet_site(1);
    site.submit(2, "other", vec![step(1, 1)]);
    site.plan_and_start();
    site.send_starts();
    site.advance(10);
    let worker = site.open_runs()[0].0.clone();
    site.crash(&worker);
    site.plan_and_start();
    assert_eq!(site.open_runs().len(), 1);
    let job = site.submit(2, "other", vec![step(1, 1)]);
    site.plan_and_start();
    let why = UnusableReason::BesideSuspect;
    assert_eq!(
        wait_reason(&site, job),
        WaitReason::WorkersUnusable { places: 1, why }
    );
}

/// Guards against reporting a wait for the end of an evacuation as a wait for workers that do not answer.
#[test]
fn a_wait_for_an_evacuation_is_reported() {
    let mut site = Site::in_two_data_centres(1, 1);
    site.evacuate(FAR);
    site.evacuate("dc");
    let job = site.submit(2, "other", vec![step(1, 1)]);
    site.plan_and_start();
    assert_eq!(wait_reason(&site, job).reason(), "evacuated");
}

/// Guards against reporting a broken gang without the member whose run blocks its restart.
#[test]
fn a_broken_gang_is_reported_with_the_run_that_blocks_it() {
    let mut site = quiet_site(3);
    let job = site.submit(2, "other", vec![gang(3, 8)]);
    site.plan_and_start();
    site.send_starts();
    let runs = site.open_runs();
    site.fall_silent(&runs[2].0);
    site.end(runs[0].1, EndKind::Broken);
    site.end(runs[1].1, EndKind::Broken);
    assert_eq!(wait_reason(&site, job), WaitReason::EarlierRuns);
    let blocking_run = steps_of(&site, job)[0].held_by.clone().unwrap();
    assert_eq!(blocking_run.worker, runs[2].0);
    assert_eq!(blocking_run.run, runs[2].1.to_string());
}

/// Guards against reporting no reason for a gang that may have no attempt left.
#[test]
fn a_gang_whose_attempts_may_have_failed_is_reported() {
    let mut site = quiet_site(3);
    let job = site.submit(2, "other", vec![gang(3, 8)]);
    for kind in [EndKind::Failed, EndKind::Lost] {
        site.plan_and_start();
        site.send_starts();
        for (_, run) in site.open_runs() {
            site.end(run, kind);
        }
    }
    assert_eq!(site.workload.job(job).unwrap().outcome, None);
    site.take_over(2);
    site.plan_and_start();
    assert_eq!(wait_reason(&site, job), WaitReason::UncertainFailures);
}

/// Guards against reporting a job as waiting that its caller has cancelled.
#[test]
fn a_cancelled_job_is_not_in_the_survey() {
    let mut site = quiet_site(1);
    let job = site.submit(2, "other", vec![step(1, 1)]);
    site.cancel(2, "other", job);
    assert_eq!(
        site.workload.job(job).unwrap().outcome,
        Some(Outcome::Cancelled)
    );
    assert_eq!(survey(&site), Survey::default());
}

/// Guards against reporting a job as stalled while one of its steps runs and another waits.
#[test]
fn a_job_of_which_one_step_runs_is_not_stalled() {
    let mut site = quiet_site(4);
    let nowhere = StepSpec {
        required_label: Some(Arc::from("nowhere")),
        ..step(1, 1)
    };
    let job = site.submit(2, "other", vec![step(1, 1), nowhere]);
    site.plan_and_start();
    site.send_starts();
    let steps = steps_of(&site, job);
    assert_eq!(steps.len(), 1);
    assert_eq!(steps[0].wait, WaitReason::NoWorkerAllowed);
    assert_eq!(steps[0].stall_check.runs, 1);
    assert!(!steps[0].stall_check.is_stalled());
}

/// Guards against a job that counts as waiting for capacity while it waits in an idle pool for a run that no worker has.
#[test]
fn a_job_that_waits_for_a_lost_run_is_stalled() {
    let (site, job) = site_with_run(omit_from_report);
    let steps = steps_of(&site, job);
    assert_eq!(steps[0].stall_check.in_use, Resources::default());
    assert!(steps[0].stall_check.is_stalled());
}

/// Figures of a job that is only just stalled.
const STALLED: StallCheck = StallCheck {
    runs: 0,
    tasks: 3,
    places: 6,
    in_use: Resources {
        cpu_millis: 49_999,
        memory_mb: 100_000,
        accelerators: 4,
    },
    capacity: Resources {
        cpu_millis: 100_000,
        memory_mb: 100_000,
        accelerators: 8,
    },
};

/// Guards against counting a job as stalled that runs, whose pool is half in use, or for which there is too little capacity.
#[rstest]
#[case::stalled(STALLED, true)]
#[case::one_runs(StallCheck { runs: 1, ..STALLED }, false)]
#[case::nothing_to_run(StallCheck { tasks: 0, ..STALLED }, false)]
#[case::less_than_twice_the_slots(StallCheck { places: 5, ..STALLED }, false)]
#[case::half_in_use(
    StallCheck { in_use: Resources { cpu_millis: 50_000, ..STALLED.in_use }, ..STALLED },
    false
)]
#[case::most_accelerators_in_use(
    StallCheck { in_use: Resources { accelerators: 5, ..STALLED.in_use }, ..STALLED },
    false
)]
#[case::no_pool(StallCheck { capacity: Resources::default(), ..STALLED }, false)]
fn a_job_is_stalled_beside_ample_capacity_in_an_idle_pool(
    #[case] stall_check: StallCheck,
    #[case] stalled: bool,
) {
    assert_eq!(stall_check.is_stalled(), stalled);
}

/// Guards against a survey of a long queue that delays the leader's loop.
#[test]
fn a_survey_of_a_large_site_is_bounded() {
    const JOBS: usize = 600;
    let mut site = Site::new(350, 10);
    for _ in 0..JOBS {
        site.submit(2, "other", vec![step(4, 1)]);
    }
    let survey = survey(&site);
    assert_eq!(survey.steps.len() + survey.left_out, JOBS);
    assert!(survey.left_out > 0);
}

/// Guards against counting the capacity of a worker that leaves as free for a stalled job.
#[test]
fn capacity_on_a_leaving_worker_does_not_count() {
    let mut site = quiet_site(1);
    let leaving = WorkerChange::Draining(worker_id("w00"));
    site.workload.apply(Command::Workers(vec![leaving]));
    site.take_events();
    let job = site.submit(2, "other", vec![step(1, 1)]);
    let steps = steps_of(&site, job);
    assert_eq!(steps[0].wait, WaitReason::NoWorkerAllowed);
    assert_eq!(steps[0].stall_check.places, 0);
}
