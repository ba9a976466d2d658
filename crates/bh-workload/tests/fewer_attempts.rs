//! Tests of a change of rules to fewer allowed failures.
mod support;

use bh_workload::dispatch::Answer;
use bh_workload::dispatch::Order;
use bh_workload::dispatch::OrderBody;
use bh_workload::job::JobId;
use bh_workload::job::StepSpec;
use bh_workload::rules::Rules;
use bh_workload::state::Command;
use bh_workload::state::EndKind;
use bh_workload::state::Outcome;
use bh_workload::state::Reply;
use rstest::rstest;
use support::Site;
use support::rules;
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

/// Sets rules without queues, as an operator does who has removed them.
fn remove_queues(site: &mut Site, version: u64) {
    let without_queues = Rules {
        queues: Vec::new(),
        ..rules(version)
    };
    let command = Command::SetRules(Box::new(without_queues));
    assert_eq!(site.workload.apply(command), Reply::Done);
    site.take_events();
}

/// Sets rules that allow `max_attempts` failures.
fn set_attempts(site: &mut Site, version: u64, max_attempts: u32) {
    let command = Command::SetRules(Box::new(rules_with_attempts(version, max_attempts)));
    assert_eq!(site.workload.apply(command), Reply::Done);
    site.take_events();
}

/// Guards against a job that is given up by an outdated limit after its queue was removed: more failures had been allowed since.
#[test]
fn a_job_keeps_a_raised_limit_when_its_queue_is_removed() {
    let (mut site, job) = failed_once(false);
    set_attempts(&mut site, 2, 4);
    site.plan_and_start();
    let run = site.open_runs()[0].1;
    site.end(run, EndKind::Failed);
    remove_queues(&mut site, 3);
    assert_eq!(outcome(&site, job), None);
    assert_eq!(site.plan().starts.len(), 1);
}

/// Guards against a task that fails more often than last allowed, because its queue was removed after the limit was lowered.
#[test]
fn a_job_keeps_a_lowered_limit_when_its_queue_is_removed() {
    let mut site = Site::new(2, 2);
    let job = site.submit(0, "other", vec![step(1, 1)]);
    site.plan_and_start();
    set_attempts(&mut site, 2, 1);
    remove_queues(&mut site, 3);
    let run = site.open_runs()[0].1;
    site.end(run, EndKind::Failed);
    assert_eq!(outcome(&site, job), Some(Outcome::Failed));
}

/// Returns the runs that the orders due now start.
fn started(site: &mut Site) -> Vec<Order> {
    let orders = site.orders().into_iter();
    let is_start = |order: &Order| matches!(order.body, OrderBody::Start { .. });
    orders.filter(is_start).collect()
}

/// Guards against a start after the last allowed failure: the limit was lowered between the record of the start and its order.
#[rstest]
fn a_recorded_start_is_not_sent_without_allowed_failures_left(#[values(false, true)] gang: bool) {
    let (mut site, job) = failed_once(gang);
    site.plan_and_start();
    set_attempts(&mut site, 2, 1);
    assert_eq!(started(&mut site), Vec::new());
    assert_eq!(outcome(&site, job), Some(Outcome::Failed));
}

/// Guards against a start after the last allowed failure: the answer to the start order was lost, and the limit was lowered before the order was
/// repeated.
#[test]
fn a_start_without_an_answer_is_not_repeated_without_allowed_failures_left() {
    let (mut site, job) = failed_once(false);
    site.plan_and_start();
    let order = started(&mut site).remove(0);
    let (worker, run) = site.open_runs().remove(0);
    let now_ms = site.now_ms;
    site.dispatcher
        .note_answer(now_ms, &order, &Answer::Lost, &site.workload);
    set_attempts(&mut site, 2, 1);
    for _ in 0..20 {
        site.advance(200);
        for order in site.orders() {
            let is_start = matches!(order.body, OrderBody::Start { .. });
            assert!(!is_start, "{order:?}");
            let answer = site.probe_answer(&worker, &[run]);
            let command = site
                .dispatcher
                .note_answer(site.now_ms, &order, &answer, &site.workload);
            if let Some(command) = command {
                let now_ms = site.wall_ms();
                site.workload.apply(command.at(now_ms));
            }
        }
        site.take_events();
    }
    assert_eq!(outcome(&site, job), Some(Outcome::Failed));
}

/// Guards against a run at work that is stopped because the limit was lowered: it may still end well.
#[test]
fn a_run_at_work_goes_on_without_allowed_failures_left() {
    let (mut site, job) = failed_once(false);
    site.plan_and_start();
    site.send_starts();
    let (worker, _) = site.open_runs().remove(0);
    set_attempts(&mut site, 2, 1);
    for _ in 0..20 {
        site.advance(200);
        for order in site.orders() {
            let is_probe = matches!(order.body, OrderBody::Probe { .. });
            assert!(is_probe, "{order:?}");
            let answer = site.probe_answer(&worker, &[]);
            site.dispatcher
                .note_answer(site.now_ms, &order, &answer, &site.workload);
        }
    }
    assert_eq!(outcome(&site, job), None);
}
