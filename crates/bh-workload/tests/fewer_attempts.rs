//! Tests of a change of rules to fewer allowed failures.
mod support;

use bh_workload::job::JobId;
use bh_workload::job::StepSpec;
use bh_workload::rules::Rules;
use bh_workload::state::Command;
use bh_workload::state::EndKind;
use bh_workload::state::Outcome;
use rstest::rstest;
use support::Site;
use support::rules_with_attempts;
use support::step;

/// Returns rules that allow a single failure.
fn strict_rules() -> Rules {
    rules_with_attempts(2, 1)
}

/// Creates a site with a task or a gang that has failed once of two allowed failures.
fn failed_once(gang: bool) -> (Site, JobId) {
    let mut site = Site::new(2, 2);
    let spec = StepSpec { gang, ..step(1, 1) };
    let job = site.submit(0, "other", vec![spec]);
    site.plan_and_start();
    let run = site.open_runs()[0].1;
    site.end(run, EndKind::Failed);
    (site, job)
}

fn outcome(site: &Site, job: JobId) -> Option<Outcome> {
    site.workload.job(job).and_then(|job| job.outcome)
}

/// A task has failed, and new rules allow no more failures: the task does not start again, and its job is reported as failed.
#[rstest]
fn a_job_without_allowed_failures_left_is_given_up(#[values(false, true)] gang: bool) {
    let (mut site, job) = failed_once(gang);
    let strict = Command::SetRules(Box::new(strict_rules()));
    site.workload.apply(strict);
    site.take_events();
    assert_eq!(outcome(&site, job), Some(Outcome::Failed));
    assert_eq!(site.plan().starts, Vec::new());
}

/// New rules allow no more failures while the next run of a failed task is running. The run may still be done; if it is lost, nothing of
/// the job starts again.
#[rstest]
#[case(EndKind::Done, Outcome::Completed)]
#[case(EndKind::Lost, Outcome::Failed)]
fn a_run_in_progress_decides_the_outcome(#[case] end: EndKind, #[case] expected: Outcome) {
    let (mut site, job) = failed_once(false);
    site.plan_and_start();
    let run = site.open_runs()[0].1;
    let strict = Command::SetRules(Box::new(strict_rules()));
    site.workload.apply(strict);
    assert_eq!(outcome(&site, job), None);
    site.end(run, end);
    assert_eq!(outcome(&site, job), Some(expected));
}
