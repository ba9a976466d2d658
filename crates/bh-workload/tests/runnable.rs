//! Work whose turn has come and of which nothing runs: why it waits, and whether its job stands still.
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

/// Time after which no room is kept for urgent work that has not come, in milliseconds.
const QUIET_MS: u64 = 60_000;

/// A site of so many workers in racks of two, where no room is kept for urgent work.
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

fn steps_of(site: &Site, job: JobId) -> Vec<RunnableStep> {
    let steps = survey(site).steps.into_iter();
    steps.filter(|known| known.step.job == job).collect()
}

/// The only reason for which a job waits. `core explain` must give the same for tasks that wait for room.
fn wait(site: &Site, job: JobId) -> WaitReason {
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

/// A job whose run has come as far as `until` lets it.
fn job_with_a_run(until: impl Fn(&mut Site, &Incarnation, RunId)) -> (Site, JobId) {
    let mut site = quiet_site(2);
    let job = site.submit(2, "other", vec![step(1, 1)]);
    site.plan_and_start();
    let (worker, run) = site.open_runs()[0].clone();
    until(&mut site, &worker, run);
    (site, job)
}

fn nothing(_: &mut Site, _: &Incarnation, _: RunId) {}

fn order(site: &mut Site, _: &Incarnation, _: RunId) {
    site.orders();
}

fn confirm(site: &mut Site, _: &Incarnation, _: RunId) {
    site.send_starts();
    site.advance(100);
}

fn lose_the_start(site: &mut Site, worker: &Incarnation, _: RunId) {
    site.answer_for(worker, &Answer::Lost);
}

fn change_the_leader(site: &mut Site, worker: &Incarnation, run: RunId) {
    confirm(site, worker, run);
    site.take_over(2);
}

fn leave_it_out_of_a_report(site: &mut Site, worker: &Incarnation, run: RunId) {
    confirm(site, worker, run);
    let listed = site.probe_answer(worker, &[]);
    site.answer_for(worker, &listed);
    site.advance(100);
    let orders = site.orders();
    // Ends follow that may be its own, so that it is not taken to be over.
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

fn silence_the_worker(site: &mut Site, worker: &Incarnation, run: RunId) {
    confirm(site, worker, run);
    site.fall_silent(worker);
}

fn give_it_up(site: &mut Site, worker: &Incarnation, run: RunId) {
    confirm(site, worker, run);
    site.dispatcher.request_stop(worker, run);
}

fn end_it_without_a_record(site: &mut Site, _: &Incarnation, run: RunId) {
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

/// Guards against a job that stands still with its run recorded being told as running, or without the worker that holds it.
#[rstest]
#[case::unsent(nothing, RunPhase::Unsent)]
#[case::in_flight(order, RunPhase::InFlight)]
#[case::unanswered(lose_the_start, RunPhase::Unsure)]
#[case::of_an_earlier_leader(change_the_leader, RunPhase::Unsure)]
#[case::unreported(leave_it_out_of_a_report, RunPhase::Unreported)]
#[case::on_a_silent_worker(silence_the_worker, RunPhase::Silent)]
#[case::given_up(give_it_up, RunPhase::Stopping)]
#[case::ended(end_it_without_a_record, RunPhase::Ending)]
fn a_recorded_run_that_is_not_at_work_holds_its_job(
    #[case] until: fn(&mut Site, &Incarnation, RunId),
    #[case] phase: RunPhase,
) {
    let (site, job) = job_with_a_run(until);
    assert_eq!(wait(&site, job), WaitReason::Ordered { phase });
    let (worker, run) = site.open_runs()[0].clone();
    let holder = steps_of(&site, job)[0].held_by.clone().unwrap();
    assert_eq!((holder.worker, holder.run), (worker, run.to_string()));
    assert_eq!(holder.phase, phase);
}

/// Guards against running work being told as waiting.
#[test]
fn work_that_runs_is_not_surveyed() {
    let (mut site, _) = job_with_a_run(confirm);
    assert_eq!(survey(&site), Survey::default());
    site.report();
    assert_eq!(survey(&site), Survey::default());
}

/// Guards against a wait for the leader's own next step being told as a wait for room.
#[test]
fn the_way_of_a_start_is_told() {
    let mut site = quiet_site(2);
    let job = site.submit(2, "other", vec![step(1, 1)]);
    assert_eq!(wait(&site, job), WaitReason::NotPlanned);
    let plan = site.plan();
    assert_eq!(wait(&site, job), WaitReason::StartRecording);
    site.workload.apply(Command::Starts(plan.starts));
    site.take_events();
    let phase = RunPhase::Unsent;
    assert_eq!(wait(&site, job), WaitReason::Ordered { phase });
}

/// Guards against a full pool and one whose room is freed after the last plan looking alike.
#[test]
fn a_full_pool_is_told_from_one_that_was_full_at_the_last_plan() {
    let mut site = quiet_site(1);
    let first = site.submit(2, "other", vec![step(1, 8)]);
    site.plan_and_start();
    let job = site.submit(2, "other", vec![step(1, 8)]);
    site.plan_and_start();
    let (tasks, places) = (1, 0);
    assert_eq!(wait(&site, job), WaitReason::NoRoom { tasks, places });
    site.end(run_of(&site, first, 0), EndKind::Done);
    assert_eq!(wait(&site, job), WaitReason::Placing);
}

/// Guards against workers that have room and get no work being told as a full pool.
#[rstest]
#[case::unheard(UnusableReason::Unheard)]
#[case::silent(UnusableReason::Silent)]
#[case::set_aside(UnusableReason::SetAside)]
#[case::emptied(UnusableReason::Emptied)]
fn room_on_workers_that_get_no_work_is_told(#[case] why: UnusableReason) {
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
        wait(&site, job),
        WaitReason::WorkersUnusable { places: 1, why }
    );
}

/// Guards against a new leader that has heard of no worker being told as one without room.
#[test]
fn a_new_leader_that_has_heard_no_worker_says_so() {
    let mut site = quiet_site(2);
    site.dispatcher = Dispatcher::new(Timing::DEFAULT, 2, site.now_ms, &site.workload);
    let job = site.submit(2, "other", vec![step(1, 1)]);
    site.plan_and_start();
    let why = UnusableReason::Unheard;
    assert_eq!(
        wait(&site, job),
        WaitReason::WorkersUnusable { places: 2, why }
    );
}

/// Guards against an adviser that has not answered being told as one that refuses.
#[test]
fn an_answer_of_the_adviser_is_waited_for() {
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
    assert_eq!(wait(&site, job), WaitReason::Advice);
    let none: &[Permission] = &[];
    site.dispatcher
        .permissions
        .note_answer(site.now_ms, &question, Some(none));
    site.plan();
    assert_eq!(wait(&site, job), WaitReason::NoWorkerAllowed);
}

/// Guards against room that the plan holds back for a larger gang being told as free, or without that gang.
#[test]
fn room_that_is_promised_to_a_gang_is_told() {
    let mut site = quiet_site(2);
    site.submit(2, "other", vec![step(1, 8)]);
    site.plan_and_start();
    let larger = site.submit(1, "other", vec![gang(2, 8)]);
    let job = site.submit(2, "other", vec![step(1, 1)]);
    site.plan_and_start();
    let to = vec![support::task(larger, 0, 0).step.to_string()];
    assert_eq!(wait(&site, job), WaitReason::RoomPromised { places: 0, to });
}

/// Guards against room that the plan keeps for urgent work being told as free.
#[test]
fn room_that_is_kept_for_urgent_work_is_told() {
    let mut site = Site::new(10, 10);
    site.submit(2, "other", vec![step(10, 8)]);
    site.plan_and_start();
    let job = site.submit(2, "other", vec![step(1, 8)]);
    site.plan_and_start();
    assert_eq!(wait(&site, job), WaitReason::RoomKept { places: 0 });
}

/// Guards against room on a worker where the task has failed being told as free.
#[test]
fn room_where_a_task_has_failed_is_told() {
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
    assert_eq!(wait(&site, job), WaitReason::WorkersAvoided { workers: 1 });
}

/// Guards against a gang that waits for a rack being told as one that the next plan begins.
#[test]
fn a_gang_that_waits_for_a_rack_says_so() {
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
    assert_eq!(wait(&site, job), WaitReason::Rack);
}

/// A job under which a worker has crashed, beside two workers with room on which something has just begun.
fn suspect_beside_young_runs() -> (Site, JobId) {
    let mut site = quiet_site(2);
    let job = site.submit(2, "other", vec![step(1, 1)]);
    site.plan_and_start();
    site.send_starts();
    site.advance(10);
    let worker = site.open_runs()[0].0.clone();
    site.crash(&worker);
    let apart = StepSpec {
        most_per_worker: Some(1),
        ..step(2, 1)
    };
    site.submit(0, "guaranteed", vec![apart]);
    site.plan_and_start();
    site.send_starts();
    (site, job)
}

/// Guards against a task under which a worker crashed being told as one that has no room.
#[test]
fn a_task_that_may_crash_its_worker_says_so() {
    let (site, job) = suspect_beside_young_runs();
    assert_eq!(wait(&site, job), WaitReason::Apart { crashes: 1 });
}

/// Guards against such a task being told as kept apart when it no longer is, which would hide what it waits for.
#[test]
fn a_task_that_is_kept_apart_no_longer_tells_its_other_reason() {
    const PATIENCE_MS: u64 = 2_000;
    let (mut site, job) = suspect_beside_young_runs();
    site.advance(PATIENCE_MS);
    assert_eq!(wait(&site, job), WaitReason::Placing);
}

/// Guards against workers that are closed for a task that may crash them being told as silent or full.
#[test]
fn a_worker_that_a_suspect_task_closes_is_told() {
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
        wait(&site, job),
        WaitReason::WorkersUnusable { places: 1, why }
    );
}

/// Guards against a wait for the end of an evacuation being told as one for workers that do not answer.
#[test]
fn an_evacuation_is_told() {
    let mut site = Site::in_two_data_centres(1, 1);
    site.evacuate(FAR);
    site.evacuate("dc");
    let job = site.submit(2, "other", vec![step(1, 1)]);
    site.plan_and_start();
    assert_eq!(wait(&site, job).reason(), "evacuated");
}

/// Guards against a broken gang waiting without a word of the member that holds it up.
#[test]
fn a_broken_gang_names_the_member_that_holds_it() {
    let mut site = quiet_site(3);
    let job = site.submit(2, "other", vec![gang(3, 8)]);
    site.plan_and_start();
    site.send_starts();
    let runs = site.open_runs();
    site.fall_silent(&runs[2].0);
    site.end(runs[0].1, EndKind::Broken);
    site.end(runs[1].1, EndKind::Broken);
    assert_eq!(wait(&site, job), WaitReason::EarlierRuns);
    let holder = steps_of(&site, job)[0].held_by.clone().unwrap();
    assert_eq!(holder.worker, runs[2].0);
    assert_eq!(holder.run, runs[2].1.to_string());
}

/// Guards against a gang that may have no attempt left looking like one that the plan forgot.
#[test]
fn a_gang_whose_attempt_may_have_failed_says_so() {
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
    assert_eq!(wait(&site, job), WaitReason::UncertainFailures);
}

/// Guards against a job that its caller took back being told as waiting.
#[test]
fn a_job_that_is_over_is_not_surveyed() {
    let mut site = quiet_site(1);
    let job = site.submit(2, "other", vec![step(1, 1)]);
    site.cancel(2, "other", job);
    assert_eq!(
        site.workload.job(job).unwrap().outcome,
        Some(Outcome::Cancelled)
    );
    assert_eq!(survey(&site), Survey::default());
}

/// Guards against work of which some runs and some waits being told as standing still.
#[test]
fn a_job_of_which_one_step_runs_does_not_stand_still() {
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

/// Guards against a job that waits in an idle pool for a run that no worker has being taken for one that waits for room.
#[test]
fn a_job_held_by_a_run_that_is_gone_stands_still() {
    let (site, job) = job_with_a_run(leave_it_out_of_a_report);
    let steps = steps_of(&site, job);
    assert_eq!(steps[0].stall_check.in_use, Resources::default());
    assert!(steps[0].stall_check.is_stalled());
}

const STILL: StallCheck = StallCheck {
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

/// Guards against the rule counting a job that runs, a pool that is half in use, or too little room.
#[rstest]
#[case::still(STILL, true)]
#[case::one_runs(StallCheck { runs: 1, ..STILL }, false)]
#[case::nothing_to_run(StallCheck { tasks: 0, ..STILL }, false)]
#[case::room_for_less_than_twice(StallCheck { places: 5, ..STILL }, false)]
#[case::half_in_use(
    StallCheck { in_use: Resources { cpu_millis: 50_000, ..STILL.in_use }, ..STILL },
    false
)]
#[case::most_accelerators_in_use(
    StallCheck { in_use: Resources { accelerators: 5, ..STILL.in_use }, ..STILL },
    false
)]
#[case::no_pool(StallCheck { capacity: Resources::default(), ..STILL }, false)]
fn the_rule_of_standing_still(#[case] stall_check: StallCheck, #[case] still: bool) {
    assert_eq!(stall_check.is_stalled(), still);
}

/// Guards against a survey of a long queue holding up the leader's loop.
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

/// Guards against a worker that leaves counting as room for a job that stands still.
#[test]
fn room_on_a_worker_that_leaves_does_not_count() {
    let mut site = quiet_site(1);
    let leaving = WorkerChange::Draining(worker_id("w00"));
    site.workload.apply(Command::Workers(vec![leaving]));
    site.take_events();
    let job = site.submit(2, "other", vec![step(1, 1)]);
    let steps = steps_of(&site, job);
    assert_eq!(steps[0].wait, WaitReason::NoWorkerAllowed);
    assert_eq!(steps[0].stall_check.places, 0);
}
