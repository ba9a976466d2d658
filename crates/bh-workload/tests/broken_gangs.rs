//! Gangs of which a worker is lost: the others say that the gang is broken, and nothing is heard of the lost one.

mod support;

use Says::Nothing;
use Says::Runs;
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
/// Beyond the lease of a worker, a slow clock included, in milliseconds.
const LAPSED_MS: u64 = 12_000;
/// Time after which workers that were set aside get work again, in milliseconds.
const QUIET_MS: u64 = 60_000;

/// A gang of three members at work on three workers of six.
fn gang_at_work() -> (Site, JobId, Vec<(Incarnation, RunId)>) {
    let mut site = Site::new(6, 3);
    site.advance(60_000);
    let spec = StepSpec {
        gang: true,
        ..step(3, 8)
    };
    let job = site.submit(1, "other", vec![spec]);
    site.plan_and_start();
    site.send_starts();
    site.advance(100);
    let runs = site.open_runs();
    assert_eq!(runs.len(), 3);
    (site, job, runs)
}

/// What a worker says of its run when it is asked.
#[derive(Clone, Copy)]
enum Says {
    Nothing,
    Ended(EndKind),
    Runs,
}

const BROKEN: Says = Says::Ended(EndKind::Broken);
const FAILED: Says = Says::Ended(EndKind::Failed);

/// All workers are asked, and those of `runs` answer so, in their order.
fn asked(site: &mut Site, runs: &[(Incarnation, RunId)], says: &[Says]) {
    /// Time after which every worker is asked again, in milliseconds.
    const AGAIN_MS: u64 = 400;
    site.advance(AGAIN_MS);
    let mut commands = Vec::new();
    for order in site.orders() {
        let known = runs.iter().zip(says);
        let own = known.filter(|((worker, _), _)| *worker == order.to.worker);
        let said = own.map(|((_, run), says)| (*run, *says)).next();
        let answer = match said {
            Some((_, Nothing)) => Answer::Lost,
            Some((run, Says::Ended(kind))) => ended(site, run, kind),
            Some((_, Runs)) | None => site.probe_answer(&order.to.worker, &[]),
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

fn ended(site: &Site, run: RunId, kind: EndKind) -> Answer {
    let ended = Ended {
        number: run.attempt.into(),
        run,
        kind,
        checkpoint: None,
    };
    Answer::Done {
        clock_ms: Some(site.now_ms),
        report: Some(Report {
            ended: vec![ended],
            ..Report::default()
        }),
    }
}

/// Whether the gang begins anew after the longest time that a worker takes to end a run, and far below a lease.
fn begins_anew(site: &mut Site, runs: &[(Incarnation, RunId)], says: &[Says]) -> bool {
    let until_ms = site.now_ms + STOP_MS + 1_000;
    while site.now_ms < until_ms {
        asked(site, runs, says);
    }
    site.plan_and_start().starts.len() == 3
}

/// One worker is lost without a word, and the two others say at once that the gang is broken. So a member on the lost one has ended, and all that it had of the
/// gang; the gang begins anew at once, not when the lease of the lost worker is over five seconds later.
#[test]
fn a_gang_that_lost_one_worker_begins_anew_at_once() {
    let (mut site, _, runs) = gang_at_work();
    let says = [Nothing, BROKEN, BROKEN];
    assert!(begins_anew(&mut site, &runs, &says));
}

/// A member on the lost worker fails, and another one there is ended for that, which takes the worker up to the longest stop. Begun anew sooner, the gang would run beside
/// it.
#[test]
fn members_that_are_being_ended_are_waited_for() {
    let (mut site, _, runs) = gang_at_work();
    asked(&mut site, &runs, &[Nothing, BROKEN, BROKEN]);
    let heard_ms = site.now_ms;
    while site.now_ms + 400 < heard_ms + STOP_MS {
        asked(&mut site, &runs, &[Nothing, BROKEN, BROKEN]);
        assert!(
            site.plan().starts.is_empty(),
            "after {} ms",
            site.now_ms - heard_ms
        );
    }
    assert!(begins_anew(&mut site, &runs, &[Nothing, BROKEN, BROKEN]));
}

/// A worker that answers is not lost: it lists its own end a moment later, and if that is the failure that broke the gang, it counts.
#[test]
fn a_worker_that_answers_is_waited_for() {
    let (mut site, job, runs) = gang_at_work();
    let says = [Runs, BROKEN, BROKEN];
    assert!(!begins_anew(&mut site, &runs, &says));
    asked(&mut site, &runs, &[FAILED, BROKEN, BROKEN]);
    assert_eq!(site.workload.job(job).unwrap().steps[0].failures, 1);
}

/// Two workers are lost, and one says that the gang is broken: a member on one of the two has ended, but nobody knows on which. The other may run on behind a
/// cut, so the gang waits until the leases of both are over.
#[test]
fn with_two_workers_lost_the_gang_waits_for_their_leases() {
    let (mut site, _, runs) = gang_at_work();
    let says = [Nothing, Nothing, BROKEN];
    assert!(!begins_anew(&mut site, &runs, &says));
    site.now_ms += LAPSED_MS;
    assert!(begins_anew(&mut site, &runs, &says));
}

/// A member leaves with its worker, which breaks the gang; another worker is cut off and runs on. Its member has not ended for all anyone knows.
#[test]
fn a_member_that_left_may_be_what_broke_the_gang() {
    let (mut site, _, runs) = gang_at_work();
    let gone = WorkerChange::Gone(runs[0].0.clone());
    site.workload.apply(Command::Workers(vec![gone]));
    site.take_events();
    let says = [Nothing, Nothing, BROKEN];
    assert!(!begins_anew(&mut site, &runs, &says));
}

/// A gang of three members of this size is recorded, and the starts on the first of its workers have no answer but for the first; returns the site and the runs,
/// those on that worker first.
fn gang_with_a_start_unanswered(
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

/// Two members are on the silent worker, and the start of one had no answer, so that it may still be on its way: what broke the gang may be the other one, and it
/// would begin beside the new run of its task.
#[rstest]
#[case::under_the_same_leader(false)]
#[case::under_the_next_leader(true)]
fn a_member_that_may_still_begin_is_waited_for(#[case] take_over: bool) {
    let mut site = Site::new(6, 3);
    site.advance(QUIET_MS);
    let (mut site, runs) = gang_with_a_start_unanswered(site, 4);
    assert_eq!(runs[0].0, runs[1].0);
    if take_over {
        site.take_over(2);
    }
    let says = [Nothing, Nothing, BROKEN];
    assert!(!begins_anew(&mut site, &runs, &says));
}

/// A gang is broken, and the start of the only member left had no answer: it has begun, since nothing else can have broken the gang.
#[test]
fn the_only_member_left_has_ended_though_its_start_had_no_answer() {
    let mut site = Site::new(6, 3);
    site.advance(QUIET_MS);
    let (mut site, runs) = gang_with_a_start_unanswered(site, 8);
    let says = [Nothing, BROKEN, BROKEN];
    assert!(begins_anew(&mut site, &runs, &says));
}

/// The same on workers that restart under their ids. A start of the member left may still be on its way to a later incarnation, or the others may have ended there a
/// second time: it would begin beside the new run of its task.
#[rstest]
#[case::the_silent_worker(true)]
#[case::the_others(false)]
fn a_member_that_may_begin_after_a_restart_is_waited_for(#[case] silent_restarts: bool) {
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
    site.advance(QUIET_MS);
    site.report();
    let (mut site, runs) = gang_with_a_start_unanswered(site, 8);
    assert_eq!(runs[0].0.id, first.id);
    let says = [Nothing, BROKEN, BROKEN];
    assert!(!begins_anew(&mut site, &runs, &says));
}

/// The lost worker was only cut off, and what broke the gang was a failure there. It is heard while the gang runs anew, and counts: a gang that fails whenever it
/// runs would be begun once more than its queue allows.
#[test]
fn a_failure_that_is_heard_late_counts() {
    let (mut site, job, runs) = gang_at_work();
    let says = [Nothing, BROKEN, BROKEN];
    assert!(begins_anew(&mut site, &runs, &says));
    site.send_starts();
    asked(&mut site, &runs[..1], &[FAILED]);
    assert_eq!(site.workload.job(job).unwrap().steps[0].failures, 1);

    let again = site.open_runs();
    asked(&mut site, &again[..1], &[FAILED]);
    let job = site.workload.job(job).unwrap();
    assert_eq!(job.outcome, Some(Outcome::Failed));
}

/// The same, but the lease of the worker had run out before it was heard: then its ends stand for nothing, as everywhere.
#[test]
fn a_failure_that_is_heard_after_the_lease_does_not_count() {
    let (mut site, job, runs) = gang_at_work();
    let says = [Nothing, BROKEN, BROKEN];
    assert!(begins_anew(&mut site, &runs, &says));
    site.send_starts();
    site.now_ms += LAPSED_MS;
    site.heartbeats();
    asked(&mut site, &runs[..1], &[FAILED]);
    assert_eq!(site.workload.job(job).unwrap().steps[0].failures, 0);
}

/// A gang was given up since its other members broke, and another core leads before the silent worker answers: it fails there after all. Were that not
/// counted, a gang that fails whenever it runs would be begun once more for each such change of leader.
#[test]
fn the_next_leader_counts_a_failure_that_comes_late() {
    let (mut site, job, runs) = gang_at_work();
    asked(&mut site, &runs, &[BROKEN, BROKEN, Nothing]);
    site.advance(STOP_MS + 200);
    asked(&mut site, &runs, &[Runs, Runs, Nothing]);
    let lost = runs[2].1;
    let still_open = site.open_runs().into_iter().any(|(_, run)| run == lost);
    assert!(!still_open, "the silent worker's member is given up");
    site.take_over(2);
    asked(&mut site, &runs, &[Runs, Runs, FAILED]);
    let step = site
        .workload
        .job(job)
        .and_then(|job| job.step(lost.task.step));
    assert_eq!(step.map(|step| step.failures), Some(1));
}

/// A gang has failed once of two allowed failures, and was given up once more since its members broke. The silent worker says that it failed there; until that
/// is recorded the gang waits, or it would begin after its last allowed failure.
#[test]
fn a_failure_on_its_way_into_the_record_holds_the_gang() {
    let (mut site, job, runs) = gang_at_work();
    asked(&mut site, &runs, &[FAILED, BROKEN, BROKEN]);
    site.advance(QUIET_MS);
    site.plan_and_start();
    site.send_starts();
    site.advance(100);
    let again = site.open_runs();
    assert_eq!(again.len(), 3);
    asked(&mut site, &again, &[BROKEN, BROKEN, Nothing]);
    site.advance(STOP_MS + 200);
    asked(&mut site, &again, &[Runs, Runs, Nothing]);
    let lost = again[2].1;
    let open = site.open_runs();
    assert!(!open.iter().any(|(_, run)| *run == lost), "it is given up");
    let failed = ended(&site, lost, EndKind::Failed);
    site.advance(400);
    let looks: Vec<_> = site.orders();
    let own = looks.iter().filter(|order| order.to.worker == again[2].0);
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
