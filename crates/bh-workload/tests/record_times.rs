//! Tests of the times at which the record ends jobs and runs.
#![expect(
    clippy::unwrap_used,
    reason = "a test that meets the unexpected shall end"
)]
mod support;

use bh_protocol::Incarnation;
use bh_workload::dispatch::Timing;
use bh_workload::job::JobId;
use bh_workload::state::Command;
use bh_workload::state::Crash;
use bh_workload::state::End;
use bh_workload::state::EndKind;
use bh_workload::state::JobState;
use bh_workload::state::Outcome;
use bh_workload::state::WorkerChange;
use bh_workload::upkeep::UpkeepAnswer;
use bh_workload::upkeep::UpkeepOrder;
use bh_workload::upkeep::WaveScheduler;
use rstest::rstest;
use std::sync::Arc;
use support::Site;
use support::place;
use support::rules_with_attempts;
use support::step;

/// Creates a site with a task that has failed once, and whose second run is open when the rules allow a single failure. Returns the worker
/// of that run too.
fn last_run_open() -> (Site, JobId, Incarnation) {
    let mut site = Site::new(2, 2);
    let job = site.submit(0, "other", vec![step(1, 1)]);
    site.plan_and_start();
    let run = site.open_runs()[0].1;
    site.end(run, EndKind::Failed);
    site.plan_and_start();
    let worker = site.open_runs()[0].0.clone();
    let strict = Command::SetRules(Box::new(rules_with_attempts(2, 1)));
    site.workload.apply(strict);
    site.take_events();
    (site, job, worker)
}

fn state(site: &Site, job: JobId) -> Option<JobState> {
    site.workload.job(job).map(bh_workload::state::Job::state)
}

/// How a worker that is gone is recorded.
#[derive(Clone, Copy, Debug)]
enum Departure {
    /// It left as announced.
    Left,
    /// It crashed; its runs are listed with the crash.
    Crashed,
    /// It crashed; its last run was recorded after the list was made.
    CrashedUnlisted,
    /// Its VM got upkeep.
    Upkeep,
}

impl Departure {
    /// Returns the command that records the departure of `worker`.
    fn command(self, site: &mut Site, worker: &Incarnation) -> Command {
        match self {
            Departure::Left => Command::Workers(vec![WorkerChange::Gone(worker.clone())]),
            Departure::Crashed | Departure::CrashedUnlisted => {
                let runs = site.open_runs().into_iter();
                let end = |(worker, run)| End {
                    run,
                    worker,
                    kind: EndKind::Lost,
                    checkpoint: None,
                };
                let listed = matches!(self, Departure::Crashed);
                Command::Ends {
                    ends: runs.filter(|_| listed).map(end).collect(),
                    now_ms: site.wall_ms(),
                    crash: Some(Crash {
                        worker: worker.clone(),
                        suspects: Vec::new(),
                    }),
                    late_failures: Vec::new(),
                    not_displaced: Vec::new(),
                    exonerated: Vec::new(),
                    cleared: Vec::new(),
                }
            }
            Departure::Upkeep => {
                let order = UpkeepOrder {
                    wave: 1,
                    vm: Arc::from("vm"),
                    worker: Some(worker.clone()),
                    holder: Arc::from("core"),
                    token: 1,
                };
                let mut scheduler =
                    WaveScheduler::new(Arc::from("core"), 1, site.now_ms, &Timing::DEFAULT);
                let answer = UpkeepAnswer::Done;
                let command = scheduler.note_answer(site.now_ms, &order, answer);
                command.unwrap()
            }
        }
    }
}

/// Guards against an accepted job that is forgotten because its last run was lost with its worker.
#[rstest]
fn a_job_that_fails_with_its_worker_is_known_for_the_retention_time(
    #[values(
        Departure::Left,
        Departure::Crashed,
        Departure::CrashedUnlisted,
        Departure::Upkeep
    )]
    departure: Departure,
) {
    let (mut site, job, worker) = last_run_open();
    let command = departure.command(&mut site, &worker);
    site.workload.apply(command);
    let failed = Some(JobState::Ended(Outcome::Failed));
    assert_eq!(state(&site, job), failed);
    site.remove_old();
    assert_eq!(state(&site, job), failed);
    site.now_ms += Timing::DEFAULT.retention_ms + 1;
    site.remove_old();
    assert_eq!(state(&site, job), None);
}

/// Guards against an ended job that is forgotten because the leader that recorded its end had a clock far behind that of the next leader.
#[test]
fn a_job_does_not_end_before_what_was_recorded_earlier() {
    let mut site = Site::new(1, 1);
    let job = site.submit(0, "other", vec![step(1, 1)]);
    let behind_ms = site.wall_ms() - 2 * Timing::DEFAULT.retention_ms;
    let cancel = Command::Cancel {
        place: place(0, "other", job),
        now_ms: behind_ms,
        bars_late_submission: true,
    };
    site.workload.apply(cancel);
    site.remove_old();
    let cancelled = JobState::Ended(Outcome::Cancelled);
    assert_eq!(state(&site, job), Some(cancelled));
}

/// Time in which nothing is recorded, in milliseconds.
const QUIET_MS: u64 = 2 * Timing::DEFAULT.retention_ms;

/// Records a command as the leader proposes it now.
fn record(site: &mut Site, command: Command) {
    let now_ms = site.wall_ms();
    let command = command.at(now_ms);
    let time_update = site.workload.time_update(&command, now_ms);
    for command in time_update.into_iter().chain([command]) {
        site.workload.apply(command);
    }
    site.take_events();
}

/// Guards against an accepted job that is forgotten because new rules ended it after a long time in which nothing was recorded.
#[test]
fn a_job_that_new_rules_end_after_a_quiet_time_is_known_for_the_retention_time() {
    let mut site = Site::new(1, 1);
    let job = site.submit(0, "other", vec![step(1, 1)]);
    site.plan_and_start();
    let run = site.open_runs()[0].1;
    site.end(run, EndKind::Failed);
    site.advance(QUIET_MS);
    let strict = Command::SetRules(Box::new(rules_with_attempts(2, 1)));
    record(&mut site, strict);
    site.remove_old();
    let failed = JobState::Ended(Outcome::Failed);
    assert_eq!(state(&site, job), Some(failed));
}

/// Guards against a job that is forgotten because it failed with its worker after a long time in which nothing was recorded.
#[test]
fn a_job_that_fails_with_its_worker_after_a_quiet_time_is_known_for_the_retention_time() {
    let (mut site, job, worker) = last_run_open();
    site.advance(QUIET_MS);
    let gone = Command::Workers(vec![WorkerChange::Gone(worker)]);
    record(&mut site, gone);
    site.remove_old();
    let failed = JobState::Ended(Outcome::Failed);
    assert_eq!(state(&site, job), Some(failed));
}

/// Accelerators that the customer `other` has used lately, in thousandths.
fn used_thousandths(site: &Site) -> u64 {
    let usage = site.workload.usage().of("other");
    usage.map_or(0, |usage| {
        usage.mean_thousandths(site.wall_ms()).accelerators
    })
}

/// Guards against a customer that is charged for the quiet time before its run started.
#[test]
fn a_run_that_starts_after_a_quiet_time_is_charged_from_its_start() {
    let mut site = Site::new(1, 1);
    site.submit(0, "other", vec![step(1, 4)]);
    site.advance(QUIET_MS);
    let starts = site.plan().starts;
    assert_eq!(starts.len(), 1);
    record(&mut site, Command::Starts(starts));
    assert_eq!(used_thousandths(&site), 0);
}

/// Guards against a customer that is not charged for a run that worked through a quiet time and was lost with its worker.
#[test]
fn a_run_that_is_lost_after_a_quiet_time_is_charged_until_then() {
    let mut site = Site::new(1, 1);
    site.submit(0, "other", vec![step(1, 4)]);
    site.plan_and_start();
    let worker = site.open_runs()[0].0.clone();
    site.advance(QUIET_MS);
    record(
        &mut site,
        Command::Workers(vec![WorkerChange::Gone(worker)]),
    );
    // Nearly all of the usage that counts lies within the quiet time, which is eight half-lives.
    assert!(
        used_thousandths(&site) > 3_950,
        "{}",
        used_thousandths(&site)
    );
}

/// Guards against a record that grows by a time for each command while it is busy.
#[test]
fn the_time_is_recorded_alone_only_after_a_quiet_time() {
    let mut site = Site::new(1, 1);
    let now_ms = site.wall_ms();
    site.submit(0, "other", vec![step(1, 1)]);
    let untimed = Command::Starts(Vec::new());
    assert_eq!(site.workload.time_update(&untimed, now_ms), None);
    site.advance(QUIET_MS);
    let now_ms = site.wall_ms();
    let update = site.workload.time_update(&untimed, now_ms);
    assert_eq!(update, Some(Command::time(now_ms)));
    let timed = Command::ends(Vec::new()).at(now_ms);
    assert_eq!(site.workload.time_update(&timed, now_ms), None);
}
