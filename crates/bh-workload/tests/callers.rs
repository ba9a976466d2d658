//! What callers learn of jobs, and what they may do with them.
#![expect(
    clippy::unwrap_used,
    reason = "a test that meets the unexpected shall end"
)]
mod support;

use bh_workload::job::JobId;
use bh_workload::job::JobSpec;
use bh_workload::rules::Queue;
use bh_workload::rules::Rules;
use bh_workload::state::Command;
use bh_workload::state::EndKind;
use bh_workload::state::JobState;
use bh_workload::state::Place;
use bh_workload::state::Refusal;
use bh_workload::state::Reply;
use rstest::rstest;
use std::sync::Arc;
use support::Site;
use support::keyless;
use support::place;
use support::rules;
use support::step;

/// Rules in which the queue of priority 2 is public.
fn rules_with_public_queue(version: u64) -> Rules {
    let mut rules = rules(version);
    let public = Queue {
        public: true,
        ..Queue::clone(&rules.queues[2])
    };
    rules.queues[2] = Arc::new(public);
    rules
}

fn site_with_public_queue() -> Site {
    let mut site = Site::new(2, 2);
    let rules = rules_with_public_queue(2);
    site.workload.apply(Command::SetRules(Box::new(rules)));
    site.take_events();
    site
}

fn state(site: &Site, job: JobId) -> JobState {
    site.workload.job(job).unwrap().state()
}

/// Guards against callers who read or cancel another customer's job through a public queue.
#[rstest]
#[case::without_key(|job| keyless(2, job))]
#[case::with_another_key(|job| place(2, "guaranteed", job))]
fn a_public_queue_gives_no_access_to_the_jobs_of_others(#[case] intruder: fn(JobId) -> Place) {
    let mut site = site_with_public_queue();
    let job = site.submit(1, "other", vec![step(1, 1)]);
    let found = site.workload.find_job(&intruder(job));
    assert_eq!(found.err(), Some(Refusal::NoJob));
    let reply = site.cancel_at(intruder(job));
    assert_eq!(reply, Reply::Refused(Refusal::NoJob));
    assert_eq!(state(&site, job), JobState::Queued);
    assert!(site.workload.find_job(&place(1, "other", job)).is_ok());
}

/// Guards against callers of a public queue who cannot reach their own jobs: they have no key to show.
#[test]
fn a_job_of_a_public_queue_is_reached_by_its_name() {
    let mut site = site_with_public_queue();
    let job = JobId(77);
    assert_eq!(
        site.submit_at(keyless(2, job), vec![step(1, 1)]),
        Reply::Done
    );
    assert!(site.workload.find_job(&keyless(2, job)).is_ok());
    assert_eq!(site.cancel_at(keyless(2, job)), Reply::Done);
}

/// Guards against an accepted job that callers of a public queue can't reach any more, because the operator renamed the queue.
#[test]
fn a_job_of_a_public_queue_is_reached_after_the_queue_is_renamed() {
    let mut site = site_with_public_queue();
    let job = JobId(77);
    site.submit_at(keyless(2, job), vec![step(1, 1)]);
    let mut rules = rules_with_public_queue(3);
    let renamed = Queue {
        name: Arc::from("renamed"),
        ..Queue::clone(&rules.queues[2])
    };
    rules.queues[2] = Arc::new(renamed);
    site.workload.apply(Command::SetRules(Box::new(rules)));
    site.take_events();
    assert!(site.workload.find_job(&keyless(2, job)).is_ok());
    let resent = site.submit_at(keyless(2, job), vec![step(1, 1)]);
    assert_eq!(resent, Reply::Done);
}

/// Guards against a submission that is acknowledged though nothing is recorded for it, because another customer's job has its name.
#[rstest]
#[case::of_another_customer(place(1, "guaranteed", JobId(1)))]
#[case::through_a_public_queue(keyless(2, JobId(1)))]
fn a_name_that_another_customer_uses_is_refused(#[case] second: Place) {
    let mut site = site_with_public_queue();
    let job = site.submit(1, "other", vec![step(1, 1)]);
    assert_eq!(job, JobId(1));
    let reply = site.submit_at(second.clone(), vec![step(1, 1)]);
    assert!(
        matches!(reply, Reply::Refused(Refusal::BadJob(_))),
        "{reply:?}"
    );
    assert!(!site.workload.is_submitted(&second));
    let own = place(1, "other", job);
    let resent = site.submit_at(own.clone(), vec![step(1, 1)]);
    assert_eq!(resent, Reply::Done);
    assert!(site.workload.is_submitted(&own));
}

/// Guards against a key that was taken away and is still served, through a public queue.
#[test]
fn an_unknown_key_is_refused_on_a_public_queue() {
    let site = site_with_public_queue();
    let unknown = place(2, "gone", JobId(1));
    assert_eq!(site.workload.find(&unknown).err(), Some(Refusal::NoKey));
    assert!(site.workload.find(&keyless(2, JobId(1))).is_ok());
    assert!(site.workload.find(&place(2, "other", JobId(1))).is_ok());
}

/// Guards against a job that callers read as running, and that is not counted as pending, although no worker has taken any of its starts.
#[test]
fn a_job_whose_starts_were_all_refused_is_pending() {
    let mut site = Site::new(2, 2);
    let job = site.submit(1, "other", vec![step(2, 1)]);
    for _ in 0..3 {
        assert_eq!(state(&site, job), JobState::Queued);
        assert_eq!(site.workload.pending("q1"), 1);
        site.plan_and_start();
        assert_eq!(state(&site, job), JobState::Running);
        for (_, run) in site.open_runs() {
            site.end(run, EndKind::NotStarted);
        }
    }
    assert_eq!(state(&site, job), JobState::Queued);
    site.plan_and_start();
    let runs = site.open_runs();
    site.end(runs[0].1, EndKind::NotStarted);
    assert_eq!(state(&site, job), JobState::Running);
    site.end(runs[1].1, EndKind::Lost);
    // The run may have begun before its worker was lost.
    assert_eq!(state(&site, job), JobState::Running);
    assert_eq!(site.workload.pending("q1"), 0);
}

/// Guards against a job that takes all the memory of the cores: its tasks in all occurrences are recorded from its acceptance on.
#[test]
fn a_job_with_too_many_tasks_in_all_occurrences_is_refused() {
    let schedule = |times| bh_workload::job::Schedule {
        first_due_ms: 0,
        interval_ms: 1_000,
        times,
    };
    let spec = |count, times| JobSpec {
        text: Arc::from("text"),
        steps: vec![step(count, 1)],
        schedule: Some(schedule(times)),
    };
    assert_eq!(spec(64, 1_024).problem(), None);
    assert_eq!(spec(8_192, 8).problem(), None);
    let problem = Some("the job has too many tasks in all its occurrences");
    assert_eq!(spec(65, 1_024).problem(), problem);
    assert_eq!(spec(8_192, 1_024).problem(), problem);
}
