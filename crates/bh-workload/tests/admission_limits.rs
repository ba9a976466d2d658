//! Limits of waiting jobs, expected waits, and refusal of submissions that cannot end while they are worth anything.
#![expect(
    clippy::unwrap_used,
    reason = "a test that meets the unexpected shall end"
)]

mod support;

use bh_workload::admission::AdmissionController;
use bh_workload::admission::AdmissionPolicy;
use bh_workload::admission::RefusalReason;
use bh_workload::admission::ShedLevel;
use bh_workload::job::JobId;
use bh_workload::job::JobSpec;
use bh_workload::job::Schedule;
use bh_workload::job::StepSpec;
use bh_workload::plan::Planner;
use bh_workload::plan::Policy;
use bh_workload::state::Command;
use bh_workload::state::Place;
use bh_workload::state::Reply;
use rstest::rstest;
use std::num::NonZeroU32;
use std::sync::Arc;
use support::admitting::Admitting;
use support::admitting::FIRST_ID;
use support::admitting::spec;
use support::admitting::whole_site;
use support::modelled_leader::LOOP_MS;
use support::place;
use support::rules;
use support::step;

fn limit(jobs: u32) -> AdmissionPolicy {
    AdmissionPolicy::new().with_max_waiting_jobs(NonZeroU32::new(jobs).unwrap())
}

fn hopeless() -> AdmissionPolicy {
    AdmissionPolicy::new().with_hopeless_refused()
}

/// Load pattern: 200 waiting jobs, which take 1,000 s, and a late loop. Guards against decisions that a deployment has not switched on.
#[test]
fn nothing_is_refused_without_a_policy() {
    let mut admitting = Admitting::new(AdmissionPolicy::new(), 200);
    let controller = &mut admitting.controller;
    for now_ms in (0..20_000).step_by(2_000) {
        controller.note_iteration(now_ms, Some(0));
        controller.note_call(now_ms + 1_000, Some(0));
    }
    assert_eq!(controller.level(), ShedLevel::Nothing);
    assert!(!controller.needs_backlog(20_000));
    for priority in 0..3 {
        assert_eq!(admitting.reason(priority, "other", whole_site()), None);
    }
}

/// Load pattern: one customer has 10 waiting jobs. Guards against a limit that holds for others too, or for jobs that already run.
#[test]
fn a_customer_at_its_limit_is_refused_and_others_are_not() {
    let mut admitting = Admitting::new(limit(10), 10);
    let reason = admitting.reason(1, "other", step(1, 1));
    assert_eq!(reason, Some(RefusalReason::TooManyWaiting));
    assert_eq!(admitting.reason(1, "guaranteed", step(1, 1)), None);
    admitting.site.plan_and_start();
    admitting.take_snapshot();
    assert_eq!(admitting.reason(1, "other", step(1, 1)), None);
}

/// Load pattern: 10 submissions of one customer within the life of one snapshot. Guards against bursts that pass the limit.
#[test]
fn submissions_since_the_snapshot_count() {
    let mut admitting = Admitting::new(limit(3), 0);
    let admitted = (0..10).filter(|job| {
        let place = place(1, "other", JobId(FIRST_ID + job));
        if admitting.check(&place, &spec(step(1, 1))).is_some() {
            return false;
        }
        admitting
            .controller
            .note_admitted(&place, &admitting.site.workload);
        true
    });
    assert_eq!(admitted.count(), 3);
}

/// Load pattern: one customer has 10 waiting jobs of lower priority, and its limit is 1. Guards against refusing the work that the customer's
/// guarantee covers, and against refusing it as hopeless.
#[test]
fn guaranteed_work_is_not_refused() {
    let policy = limit(1).with_hopeless_refused();
    let mut admitting = Admitting::new(policy, 100);
    for _ in 0..10 {
        admitting.site.submit(1, "guaranteed", vec![whole_site()]);
    }
    admitting.take_snapshot();
    assert_eq!(admitting.reason(0, "guaranteed", step(16, 1)), None);
    // One accelerator more than the guarantee.
    let reason = admitting.reason(0, "guaranteed", step(17, 1));
    assert_eq!(reason, Some(RefusalReason::TooManyWaiting));
    // Another job takes the guarantee.
    admitting.site.submit(0, "guaranteed", vec![step(16, 1)]);
    admitting.take_snapshot();
    let reason = admitting.reason(0, "guaranteed", step(1, 1));
    assert_eq!(reason, Some(RefusalReason::TooManyWaiting));
}

/// Load pattern: waiting jobs that take 5 s each. A job has an objective of 16 s and is worth something for 48 s, so that after its run of 5
/// s it may wait for 43 s, and for 86 s by an estimate that is twice too high. Guards against refusing work that could be served.
#[rstest]
#[case(0, None)]
#[case(10, None)]
#[case(17, None)]
#[case(18, Some(RefusalReason::Hopeless))]
#[case(60, Some(RefusalReason::Hopeless))]
fn only_work_that_is_worth_nothing_at_its_end_is_hopeless(
    #[case] jobs: usize,
    #[case] expected: Option<RefusalReason>,
) {
    let admitting = Admitting::new(hopeless(), jobs);
    assert_eq!(admitting.reason(1, "other", whole_site()), expected);
    // Work of a higher precedence does not wait for the others: that of another priority, and smaller jobs.
    assert_eq!(admitting.reason(0, "other", whole_site()), None);
    assert_eq!(admitting.reason(1, "other", step(1, 1)), None);
}

/// Load pattern: 60 waiting jobs that have become late. Guards against refusing work that would pass them, since it is worth more.
#[test]
fn late_work_does_not_make_new_work_hopeless() {
    let mut admitting = Admitting::new(hopeless(), 60);
    admitting.site.advance(20_000);
    admitting.take_snapshot();
    assert_eq!(admitting.reason(1, "other", whole_site()), None);
}

/// Load pattern: 60 waiting jobs, which take 300 s. Guards against refusing jobs that do not start now or do not end, and jobs of a pool
/// whose VMs are switched on when there is work.
#[test]
fn repeated_jobs_services_and_standby_pools_are_not_hopeless() {
    let mut admitting = Admitting::new(hopeless(), 60);
    let place = place(1, "other", JobId(FIRST_ID));
    let repeated = JobSpec {
        schedule: Some(Schedule {
            first_due_ms: admitting.site.wall_ms() + 3_600_000,
            interval_ms: 1_000,
            times: 3,
        }),
        ..spec(whole_site())
    };
    assert_eq!(admitting.check(&place, &repeated), None);
    let service = StepSpec {
        long_running: true,
        ..whole_site()
    };
    assert_eq!(admitting.reason(1, "other", service), None);
    assert!(admitting.reason(1, "other", whole_site()).is_some());
    let mut standby = rules(2);
    Arc::make_mut(&mut standby.pools[0]).standby = true;
    let command = Command::SetRules(Box::new(standby));
    assert_eq!(admitting.site.workload.apply(command), Reply::Done);
    admitting.take_snapshot();
    assert_eq!(admitting.reason(1, "other", whole_site()), None);
}

/// A caller sends a job again while its first submission is being recorded, or after its record got no answer. Guards against telling it that
/// the job was not run. Also, once the first submission is known to have failed, the job is judged like any other.
#[test]
fn a_job_that_may_be_recorded_is_not_refused() {
    let mut admitting = Admitting::new(limit(1), 1);
    let place = place(1, "other", JobId(FIRST_ID));
    let job = spec(step(1, 1));
    assert!(admitting.check(&place, &job).is_some());
    let workload = &admitting.site.workload;
    admitting.controller.note_admitted(&place, workload);
    admitting.controller.note_admitted(&place, workload);
    assert_eq!(admitting.check(&place, &job), None);
    admitting.take_snapshot();
    assert_eq!(admitting.check(&place, &job), None);
    let workload = &admitting.site.workload;
    admitting.controller.note_not_recorded(&place, workload);
    assert_eq!(admitting.check(&place, &job), None);
    admitting.controller.note_not_recorded(&place, workload);
    assert!(admitting.check(&place, &job).is_some());
}

/// The leader changes after a job was accepted; the next leader is at the same limit. Guards against refusing the resend of a job that only
/// the record knows, also when the job has ended.
#[test]
fn the_next_leader_knows_accepted_jobs() {
    let mut admitting = Admitting::new(limit(1), 1);
    let id = admitting.site.submit(1, "other", vec![step(1, 1)]);
    let resent = place(1, "other", id);
    admitting.site.take_over(2);
    admitting.controller = AdmissionController::new(limit(1), LOOP_MS);
    admitting.take_snapshot();
    assert!(admitting.reason(1, "other", step(1, 1)).is_some());
    assert_eq!(admitting.check(&resent, &spec(step(1, 1))), None);
    admitting.site.cancel(1, "other", id);
    assert_eq!(admitting.check(&resent, &spec(step(1, 1))), None);
}

/// Guards against callers of invalid submissions who retry again and again, instead of learning that these can never succeed.
#[test]
fn invalid_submissions_are_not_told_to_retry() {
    let admitting = Admitting::new(limit(1), 1);
    let valid = place(1, "other", JobId(FIRST_ID));
    assert!(admitting.check(&valid, &spec(step(1, 1))).is_some());
    assert_eq!(admitting.check(&valid, &spec(step(0, 1))), None);
    let unnamed = Place {
        path: Arc::from("/p1/unnamed"),
        ..valid.clone()
    };
    assert_eq!(admitting.check(&unnamed, &spec(step(1, 1))), None);
    let without_key = Place { key: None, ..valid };
    assert_eq!(admitting.check(&without_key, &spec(step(1, 1))), None);
}

/// Load pattern: 4 waiting jobs, which take 20 s, one job that runs, and three refused submissions. Guards against reports that leave a queue
/// or a refusal out, and against retries before the work ahead is done.
#[test]
fn the_report_has_the_load_of_each_queue() {
    let mut admitting = Admitting::new(limit(4), 0);
    let site = &mut admitting.site;
    site.submit(2, "other", vec![step(1, 1)]);
    site.plan_and_start();
    for _ in 0..4 {
        site.submit(1, "other", vec![whole_site()]);
    }
    admitting.take_snapshot();
    for job in 0..3 {
        let place = place(1, "other", JobId(FIRST_ID + job));
        let refused = admitting.check(&place, &spec(step(1, 1))).unwrap();
        assert!((5_000..=10_000).contains(&refused.retry_after_ms));
        admitting.controller.note_refused(&refused);
    }
    let site = &admitting.site;
    let report = admitting
        .controller
        .report(site.wall_ms(), &site.workload, &site.planner);
    let queues: Vec<(&str, u64, u64, u64)> = report
        .queues
        .iter()
        .map(|queue| {
            (
                &*queue.queue,
                queue.waiting_jobs,
                queue.running_jobs,
                queue.expected_wait_ms,
            )
        })
        .collect();
    let expected = [("q0", 0, 0, 0), ("q1", 4, 0, 20_000), ("q2", 0, 1, 20_000)];
    assert_eq!(queues, expected);
    let refused = &report.queues[1].refused;
    assert_eq!(refused.get(&RefusalReason::TooManyWaiting), Some(&3));
    assert_eq!(report.refused_by_customer.get("other"), Some(&3));
    let text = serde_json::to_string(&report).unwrap();
    assert!(text.contains(r#""level":"nothing""#) && text.contains(r#""too_many_waiting":3"#));
    assert_eq!(serde_json::from_str(&text).ok(), Some(report));
}

/// A job is recorded, ends and is forgotten before the next submission, as in a quiet night. Guards against counting it as waiting for as long
/// as the leader leads, so that a customer reaches its limit without any waiting job.
#[test]
fn a_forgotten_job_does_not_count_as_waiting() {
    let mut admitting = Admitting::new(limit(1), 0);
    let place = place(1, "other", JobId(FIRST_ID + 1));
    let workload = &mut admitting.site.workload;
    admitting.controller.note_admitted(&place, workload);
    let accepted = workload.apply(Command::Accept {
        place: place.clone(),
        spec: spec(step(1, 1)),
        now_ms: 1,
    });
    assert_eq!(accepted, Reply::Done);
    admitting.controller.note_recorded(&place, workload);
    workload.apply(Command::Cancel {
        place,
        now_ms: 2,
        bars_late_submission: true,
    });
    workload.apply(Command::Forget { before_ms: 3 });
    admitting.take_snapshot();
    assert_eq!(admitting.reason(1, "other", step(1, 1)), None);
}

/// A guaranteed job ends after the last snapshot, and the customer, which is at its limit, submits the next one. Guards against refusing work
/// that the guarantee covers because an outdated snapshot still counts the job that has ended.
#[test]
fn a_guarantee_that_became_free_since_the_snapshot_covers_work() {
    let mut admitting = Admitting::new(limit(1), 0);
    admitting.site.submit(1, "guaranteed", vec![step(1, 1)]);
    let guaranteed = admitting.site.submit(0, "guaranteed", vec![step(16, 1)]);
    admitting.take_snapshot();
    let reason = admitting.reason(0, "guaranteed", step(16, 1));
    assert_eq!(reason, Some(RefusalReason::TooManyWaiting));
    admitting.site.cancel(0, "guaranteed", guaranteed);
    assert_eq!(admitting.reason(0, "guaranteed", step(16, 1)), None);
}

/// Load pattern: one customer uses all capacity and has 60 more jobs waiting, and capacity is shared. Guards against refusing the work of
/// another customer, which would pass those jobs because it is below its share. If it were refused, it would never wait, and the customer
/// with the burst would never count as above its share.
#[test]
fn work_that_sharing_puts_first_is_not_hopeless() {
    let mut admitting = Admitting::new(hopeless(), 0);
    let policy = Policy::new().with_fair_sharing(2.0);
    admitting.site.planner = Planner::new().with_policy(policy);
    admitting.site.advance(60_000);
    for _ in 0..61 {
        admitting.site.submit(1, "other", vec![whole_site()]);
    }
    admitting.site.plan_and_start();
    assert_eq!(admitting.site.open_runs().len(), 32);
    let refused = Some(RefusalReason::Hopeless);
    admitting.take_snapshot();
    assert_eq!(admitting.reason(1, "other", whole_site()), refused);
    assert_eq!(admitting.reason(1, "guaranteed", whole_site()), None);
    // The same holds for its next job, while the first one waits.
    admitting.site.submit(1, "guaranteed", vec![whole_site()]);
    admitting.take_snapshot();
    assert_eq!(admitting.reason(1, "other", whole_site()), refused);
    assert_eq!(admitting.reason(1, "guaranteed", whole_site()), None);
}

/// Load pattern: 60 waiting jobs that cannot start on the workers that are there, which are idle. Guards against one caller's mistake that
/// makes the work of all others hopeless.
#[rstest]
#[case::missing_label(StepSpec { required_label: Some(Arc::from("missing")), ..whole_site() })]
#[case::gang_wider_than_the_pool(StepSpec { gang: true, ..step(33, 1) })]
#[case::task_larger_than_a_worker(step(4, 9))]
fn work_that_cannot_start_makes_nothing_hopeless(#[case] stuck: StepSpec) {
    let mut admitting = Admitting::new(hopeless(), 0);
    for _ in 0..60 {
        admitting.site.submit(1, "other", vec![stuck.clone()]);
    }
    admitting.take_snapshot();
    assert_eq!(admitting.reason(1, "other", stuck), None);
    assert_eq!(admitting.reason(1, "other", whole_site()), None);
}
