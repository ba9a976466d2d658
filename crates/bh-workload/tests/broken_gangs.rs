//! Tests of gangs that lose a worker: the other members report that the gang is broken, and the lost worker does not answer.

mod support;

use ProbeAnswer::NoAnswer;
use ProbeAnswer::Running;
use bh_protocol::Incarnation;
use bh_workload::dispatch::Answer;
use bh_workload::dispatch::Ended;
use bh_workload::dispatch::OrderBody;
use bh_workload::dispatch::RecordOutcome;
use bh_workload::dispatch::Report;
use bh_workload::dispatch::Timing;
use bh_workload::job::JobId;
use bh_workload::job::RunId;
use bh_workload::job::StepSpec;
use bh_workload::state::Command;
use bh_workload::state::EndKind;
use bh_workload::state::Outcome;
use bh_workload::state::WorkerChange;
use rstest::rstest;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use support::Site;
use support::step;
use support::worker_info;

/// Longest time that a worker takes to end a run, in milliseconds.
const STOP_MS: u64 = Timing::DEFAULT.stop_timeout_ms;
/// Time after which a worker's lease has run out, even with a slow clock, in milliseconds.
const LEASE_EXPIRY_MS: u64 = 12_000;
/// Time after which workers that were set aside get work again, in milliseconds.
const SET_ASIDE_MS: u64 = 60_000;

/// Creates a site where a gang of three members runs on three of six workers.
fn running_gang() -> (Site, JobId, Vec<(Incarnation, RunId)>) {
    running_gang_of(step(3, 8))
}

/// Creates a site where a gang of three members, each with `spec`, runs on three of six workers.
fn running_gang_of(spec: StepSpec) -> (Site, JobId, Vec<(Incarnation, RunId)>) {
    let mut site = Site::new(6, 3);
    site.advance(60_000);
    let spec = StepSpec { gang: true, ..spec };
    let job = site.submit(1, "other", vec![spec]);
    site.plan_and_start();
    site.send_starts();
    site.advance(100);
    let runs = site.open_runs();
    assert_eq!(runs.len(), 3);
    (site, job, runs)
}

/// How a worker answers a probe about its run.
#[derive(Clone, Copy)]
enum ProbeAnswer {
    NoAnswer,
    Ended(EndKind),
    Running,
}

const BROKEN: ProbeAnswer = ProbeAnswer::Ended(EndKind::Broken);
const FAILED: ProbeAnswer = ProbeAnswer::Ended(EndKind::Failed);

/// Sends the orders that are due. The workers of `runs` answer as `answers` say, in their order; all others report what is recorded.
fn answer_probes(site: &mut Site, runs: &[(Incarnation, RunId)], answers: &[ProbeAnswer]) {
    /// Time after which every worker is probed again, in milliseconds.
    const PROBE_INTERVAL_MS: u64 = 400;
    site.advance(PROBE_INTERVAL_MS);
    let mut commands = Vec::new();
    for order in site.orders() {
        let known = runs.iter().zip(answers);
        let own = known.filter(|((worker, _), _)| *worker == order.to.worker);
        let own_answer = own.map(|((_, run), answer)| (*run, *answer)).next();
        let answer = match own_answer {
            Some((_, NoAnswer)) => Answer::Lost,
            Some((run, ProbeAnswer::Ended(kind))) => end_answer(site, run, kind),
            Some((_, Running)) | None => site.probe_answer(&order.to.worker, &[]),
        };
        let command = site
            .dispatcher
            .note_answer(site.now_ms, &order, &answer, &site.workload);
        commands.extend(command.map(|command| (order.to.worker, command)));
    }
    for (worker, command) in commands {
        let now_ms = site.wall_ms();
        site.workload.apply(command.at(now_ms));
        let listed_to = site.dispatcher.recording_to(&worker);
        site.dispatcher
            .note_recorded(&worker, listed_to, RecordOutcome::Recorded);
    }
    site.take_events();
}

fn end_answer(site: &Site, run: RunId, kind: EndKind) -> Answer {
    let end = Ended {
        number: run.attempt.into(),
        run,
        kind,
        checkpoint: None,
    };
    Answer::Done {
        clock_ms: Some(site.now_ms),
        report: Some(Report {
            ended: vec![end],
            ..Report::default()
        }),
    }
}

/// Returns whether the gang restarts after the longest time that a worker takes to end a run, which is far below a lease.
fn gang_restarts(site: &mut Site, runs: &[(Incarnation, RunId)], answers: &[ProbeAnswer]) -> bool {
    let until_ms = site.now_ms + STOP_MS + 1_000;
    while site.now_ms < until_ms {
        answer_probes(site, runs, answers);
    }
    site.plan_and_start().starts.len() == 3
}

/// One worker is lost without an answer, and the two others report at once that the gang is broken. So the member on the lost worker, which
/// had no other member of the gang, has ended. The gang must restart at once, not when the lease of the lost worker ends over five seconds
/// later.
#[test]
fn a_gang_that_lost_one_worker_restarts_at_once() {
    let (mut site, _, runs) = running_gang();
    let answers = [NoAnswer, BROKEN, BROKEN];
    assert!(gang_restarts(&mut site, &runs, &answers));
}

/// A member on the lost worker fails, and another member there is ended for that, which takes up to the longest stop time. If the gang
/// restarted sooner, it would run beside that member.
#[test]
fn a_gang_waits_for_members_that_are_being_ended() {
    let (mut site, _, runs) = running_gang();
    answer_probes(&mut site, &runs, &[NoAnswer, BROKEN, BROKEN]);
    let broken_ms = site.now_ms;
    while site.now_ms + 400 < broken_ms + STOP_MS {
        answer_probes(&mut site, &runs, &[NoAnswer, BROKEN, BROKEN]);
        assert!(
            site.plan().starts.is_empty(),
            "after {} ms",
            site.now_ms - broken_ms
        );
    }
    assert!(gang_restarts(&mut site, &runs, &[NoAnswer, BROKEN, BROKEN]));
}

/// A worker that answers is not lost: it lists its own end a moment later, and if that is the failure that broke the gang, the failure
/// counts.
#[test]
fn a_gang_waits_for_a_worker_that_answers() {
    let (mut site, job, runs) = running_gang();
    let answers = [Running, BROKEN, BROKEN];
    assert!(!gang_restarts(&mut site, &runs, &answers));
    answer_probes(&mut site, &runs, &[FAILED, BROKEN, BROKEN]);
    assert_eq!(site.workload.job(job).unwrap().steps[0].failures, 1);
}

/// Two workers are lost, and one reports that the gang is broken. A member on one of the two has ended, but it is unknown on which. The
/// other may still run while it is cut off, so the gang waits until both leases have run out.
#[test]
fn with_two_workers_lost_the_gang_waits_for_their_leases() {
    let (mut site, _, runs) = running_gang();
    let answers = [NoAnswer, NoAnswer, BROKEN];
    assert!(!gang_restarts(&mut site, &runs, &answers));
    site.now_ms += LEASE_EXPIRY_MS;
    assert!(gang_restarts(&mut site, &runs, &answers));
}

/// A member leaves with its worker, which breaks the gang, while another worker is cut off and keeps running. The member there may not have
/// ended.
#[test]
fn a_member_that_left_does_not_prove_that_another_has_ended() {
    let (mut site, _, runs) = running_gang();
    let gone = WorkerChange::Gone(runs[0].0.clone());
    site.workload.apply(Command::Workers(vec![gone]));
    site.take_events();
    let answers = [NoAnswer, NoAnswer, BROKEN];
    assert!(!gang_restarts(&mut site, &runs, &answers));
}

/// Records the starts of a gang of three members of this size. Of the starts on the first of its workers the last one has no answer; all
/// others are confirmed. Returns the site and the runs, those on that worker first.
fn gang_with_an_unanswered_start(
    mut site: Site,
    accelerators: u64,
) -> (Site, Vec<(Incarnation, RunId)>) {
    let spec = StepSpec {
        gang: true,
        ..step(3, accelerators)
    };
    site.submit(1, "other", vec![spec]);
    site.plan_and_start();
    let mut runs = site.open_runs();
    assert_eq!(runs.len(), 3);
    let mut counts: BTreeMap<Incarnation, usize> = BTreeMap::new();
    for (worker, _) in &runs {
        *counts.entry(worker.clone()).or_default() += 1;
    }
    runs.sort_by_key(|(worker, run)| (Reverse(counts[worker]), worker.clone(), *run));
    let silent = runs[0].0.clone();
    let own = runs.iter().filter(|(worker, _)| *worker == silent);
    let unanswered = own.map(|(_, run)| *run).max();
    for order in site.orders() {
        let is_unanswered =
            matches!(&order.body, OrderBody::Start { run, .. } if Some(*run) == unanswered);
        let answer = if is_unanswered {
            Answer::Lost
        } else {
            site.done()
        };
        site.dispatcher
            .note_answer(site.now_ms, &order, &answer, &site.workload);
    }
    (site, runs)
}

/// Two members are on the silent worker, and the start of one has had no answer, so it may still be in transit. The other member may be the
/// one that broke the gang, and the member in transit would start beside the new run of its task.
#[rstest]
#[case::under_the_same_leader(false)]
#[case::under_the_next_leader(true)]
fn a_gang_waits_for_a_member_that_may_still_start(#[case] take_over: bool) {
    let mut site = Site::new(6, 3);
    site.advance(SET_ASIDE_MS);
    let (mut site, runs) = gang_with_an_unanswered_start(site, 4);
    assert_eq!(runs[0].0, runs[1].0);
    if take_over {
        site.take_over(2);
    }
    let answers = [NoAnswer, NoAnswer, BROKEN];
    assert!(!gang_restarts(&mut site, &runs, &answers));
}

/// A gang is broken, and the start of the only remaining member has had no answer. The member must have started and ended, since nothing
/// else can have broken the gang.
#[test]
fn the_only_remaining_member_has_ended_though_its_start_had_no_answer() {
    let mut site = Site::new(6, 3);
    site.advance(SET_ASIDE_MS);
    let (mut site, runs) = gang_with_an_unanswered_start(site, 8);
    let answers = [NoAnswer, BROKEN, BROKEN];
    assert!(gang_restarts(&mut site, &runs, &answers));
}

/// On workers that restart under their ids, the start of the remaining member may still be in transit to a later incarnation, or the other
/// members may have ended there a second time. The remaining member would then start beside the new run of its task.
#[rstest]
#[case::the_silent_worker(true)]
#[case::the_others(false)]
fn a_gang_waits_for_a_member_that_may_start_after_a_restart(#[case] silent_restarts: bool) {
    let mut site = Site::new(6, 3);
    let first = worker_info(0, 3).id;
    let infos = (0..6).map(|index| worker_info(index, 3));
    for mut info in infos.filter(|info| (info.id == first) == silent_restarts) {
        let gone = WorkerChange::Gone(info.id.clone());
        info.id.started_ms = Some(1);
        let known = WorkerChange::Known(info);
        site.workload.apply(Command::Workers(vec![gone, known]));
    }
    site.take_events();
    site.advance(SET_ASIDE_MS);
    site.report();
    let (mut site, runs) = gang_with_an_unanswered_start(site, 8);
    assert_eq!(runs[0].0.id, first.id);
    let answers = [NoAnswer, BROKEN, BROKEN];
    assert!(!gang_restarts(&mut site, &runs, &answers));
}

/// The lost worker was only cut off, and a failure there broke the gang. The failure is reported while the restarted gang runs, and counts:
/// otherwise a gang that always fails would be started once more than its queue allows.
#[test]
fn a_failure_reported_late_counts() {
    let (mut site, job, runs) = running_gang();
    let answers = [NoAnswer, BROKEN, BROKEN];
    assert!(gang_restarts(&mut site, &runs, &answers));
    site.send_starts();
    answer_probes(&mut site, &runs[..1], &[FAILED]);
    assert_eq!(site.workload.job(job).unwrap().steps[0].failures, 1);

    let restarted_runs = site.open_runs();
    answer_probes(&mut site, &restarted_runs[..1], &[FAILED]);
    let job = site.workload.job(job).unwrap();
    assert_eq!(job.outcome, Some(Outcome::Failed));
}

/// If the lease of the lost worker ran out before it answers again, its ends do not count, as everywhere.
#[test]
fn a_failure_reported_after_the_lease_does_not_count() {
    let (mut site, job, runs) = running_gang();
    let answers = [NoAnswer, BROKEN, BROKEN];
    assert!(gang_restarts(&mut site, &runs, &answers));
    site.send_starts();
    site.now_ms += LEASE_EXPIRY_MS;
    site.heartbeats();
    answer_probes(&mut site, &runs[..1], &[FAILED]);
    assert_eq!(site.workload.job(job).unwrap().steps[0].failures, 0);
}

/// A gang was given up because its other members broke, and another core leads before the silent worker reports that it failed there. If
/// the failure did not count, a gang that always fails would be started once more for each such change of leader.
#[test]
fn the_next_leader_counts_a_failure_reported_late() {
    let (mut site, job, runs) = running_gang();
    answer_probes(&mut site, &runs, &[BROKEN, BROKEN, NoAnswer]);
    site.advance(STOP_MS + 200);
    answer_probes(&mut site, &runs, &[Running, Running, NoAnswer]);
    let lost = runs[2].1;
    let is_still_open = site.open_runs().into_iter().any(|(_, run)| run == lost);
    assert!(!is_still_open, "the silent worker's member is given up");
    site.take_over(2);
    answer_probes(&mut site, &runs, &[Running, Running, FAILED]);
    let step = site
        .workload
        .job(job)
        .and_then(|job| job.step(lost.task.step));
    assert_eq!(step.map(|step| step.failures), Some(1));
}

/// A gang has failed once of two allowed failures, and was given up a second time because its members broke. The silent worker reports that
/// it failed there. The gang must wait until that is recorded, or it would start after its last allowed failure.
#[test]
fn a_gang_waits_for_a_failure_that_is_being_recorded() {
    let (mut site, job, runs) = running_gang();
    answer_probes(&mut site, &runs, &[FAILED, BROKEN, BROKEN]);
    site.advance(SET_ASIDE_MS);
    site.plan_and_start();
    site.send_starts();
    site.advance(100);
    let restarted_runs = site.open_runs();
    assert_eq!(restarted_runs.len(), 3);
    answer_probes(&mut site, &restarted_runs, &[BROKEN, BROKEN, NoAnswer]);
    site.advance(STOP_MS + 200);
    answer_probes(&mut site, &restarted_runs, &[Running, Running, NoAnswer]);
    let lost = restarted_runs[2].1;
    let open = site.open_runs();
    assert!(!open.iter().any(|(_, run)| *run == lost), "it is given up");
    let failed = end_answer(&site, lost, EndKind::Failed);
    site.advance(400);
    let probes: Vec<_> = site.orders();
    let own = probes
        .iter()
        .filter(|order| order.to.worker == restarted_runs[2].0);
    let pending: Vec<Command> = own
        .filter_map(|order| {
            site.dispatcher
                .note_answer(site.now_ms, order, &failed, &site.workload)
        })
        .collect();
    assert_eq!(pending.len(), 1, "the failure is to be recorded");
    assert_eq!(site.plan().starts, Vec::new(), "not before that");
    for command in pending {
        let now_ms = site.wall_ms();
        site.workload.apply(command.at(now_ms));
    }
    let outcome = site.workload.job(job).and_then(|job| job.outcome);
    assert_eq!(outcome, Some(Outcome::Failed));
}

/// Creates a site like [`running_gang`] whose gang lasts: it restarts however its runs end, and its failures have no limit.
fn lasting_gang() -> (Site, JobId, Vec<(Incarnation, RunId)>) {
    running_gang_of(StepSpec {
        long_running: true,
        ..step(3, 8)
    })
}

/// Guards against a lasting gang that is given up because failures of it were reported late.
#[test]
fn a_lasting_gang_is_not_given_up_for_failures_reported_late() {
    let (mut site, job, mut runs) = lasting_gang();
    for failures in 1..=3 {
        let answers = [NoAnswer, BROKEN, BROKEN];
        assert!(gang_restarts(&mut site, &runs, &answers));
        site.send_starts();
        answer_probes(&mut site, &runs[..1], &[FAILED]);
        let job = site.workload.job(job).unwrap();
        assert_eq!((job.steps[0].failures, job.outcome), (failures, None));
        runs = site.open_runs();
        site.advance(SET_ASIDE_MS);
        answer_probes(&mut site, &runs, &[Running; 3]);
    }
}

/// Guards against a lasting gang that waits for the lease of a silent worker, because a failure there might be one too many.
#[test]
fn a_lasting_gang_restarts_though_a_failure_may_be_unreported() {
    let (mut site, _, mut runs) = lasting_gang();
    for _ in 0..2 {
        answer_probes(&mut site, &runs, &[FAILED, BROKEN, BROKEN]);
        site.advance(SET_ASIDE_MS);
        site.plan_and_start();
        site.send_starts();
        site.advance(100);
        runs = site.open_runs();
        assert_eq!(runs.len(), 3);
    }
    let answers = [BROKEN, BROKEN, NoAnswer];
    assert!(gang_restarts(&mut site, &runs, &answers));
}
