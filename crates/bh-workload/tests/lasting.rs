//! Tasks of services, which run until they are cancelled.
#![expect(
    clippy::unwrap_used,
    reason = "a test that meets the unexpected shall end"
)]

mod support;

use bh_protocol::Incarnation;
use bh_workload::job::JobId;
use bh_workload::job::StepSpec;
use bh_workload::state::Command;
use bh_workload::state::EndKind;
use bh_workload::state::WorkerChange;
use rstest::rstest;
use std::sync::Arc;
use support::Site;
use support::step;
use support::worker_id;

/// A step of tasks that run until they are cancelled, of which `most_unavailable` may be missing at a time.
fn service_step(count: u32, accelerators: u64, most_unavailable: Option<u32>) -> StepSpec {
    StepSpec {
        long_running: true,
        most_unavailable,
        ..step(count, accelerators)
    }
}

/// Returns how many runs of a job the plan stops.
fn stopped_runs(plan: &bh_workload::plan::Plan, job: JobId) -> usize {
    plan.evictions
        .iter()
        .filter(|(_, run)| run.task.step.job == job)
        .count()
}

/// Guards against stopping more tasks of a service than may be missing. A service of four tasks may miss one at a time. Two guaranteed gangs
/// need the workers' capacity: only one task is stopped, even if the guaranteed customer must wait. If two were stopped, half of the
/// service's callers would be without it.
#[test]
fn a_service_loses_no_more_tasks_than_may_be_missing() {
    let mut site = Site::new(2, 2);
    site.advance(60_000);
    let service = site.submit(2, "other", vec![service_step(4, 4, Some(1))]);
    site.plan_and_start();
    assert_eq!(site.open_runs().len(), 4);
    site.report_fully_at_work();
    let gang = StepSpec {
        gang: true,
        ..step(1, 4)
    };
    site.submit(0, "guaranteed", vec![gang.clone()]);
    let first = site.plan();
    assert_eq!(stopped_runs(&first, service), 1);
    for (worker, run) in &first.evictions {
        site.dispatcher.request_stop(worker, *run);
    }
    site.submit(0, "guaranteed", vec![gang]);
    assert_eq!(stopped_runs(&site.plan(), service), 0);
}

/// The workers on which the plan stops runs of a job.
fn workers_of_stops(plan: &bh_workload::plan::Plan, job: JobId) -> Vec<Incarnation> {
    let stops = plan.evictions.iter();
    stops
        .filter(|(_, run)| run.task.step.job == job)
        .map(|(worker, _)| worker.clone())
        .collect()
}

/// A site on whose `workers` workers a service of as many tasks is at work, one on each.
fn site_with_service(workers: u32, spec: StepSpec) -> (Site, JobId) {
    let mut site = Site::new(usize::try_from(workers).unwrap(), 8);
    site.advance(60_000);
    let service = site.submit(1, "other", vec![spec]);
    site.plan_and_start();
    assert_eq!(site.open_runs().len(), usize::try_from(workers).unwrap());
    site.report_fully_at_work();
    (site, service)
}

/// Guards against guaranteed work that never begins, because the one task that may be missing is allowed to be stopped where that does not help.
#[rstest]
fn the_task_that_may_be_missing_is_one_that_makes_room(#[values(0, 1, 2, 3)] labelled: usize) {
    let (mut site, service) = site_with_service(4, service_step(4, 8, Some(1)));
    let id = worker_id(&format!("w{labelled:02}"));
    let mut info = site.workload.worker(&id).unwrap().info.clone();
    info.labels.push(Arc::from("b"));
    let changed = Command::Workers(vec![WorkerChange::Known(info)]);
    site.workload.apply(changed);
    site.take_events();
    let needs_label = StepSpec {
        required_label: Some(Arc::from("b")),
        ..step(1, 8)
    };
    site.submit(0, "guaranteed", vec![needs_label]);
    assert_eq!(workers_of_stops(&site.plan(), service), [id]);
}

/// Guards against guaranteed work that waits although one task of each of two services may be missing: the cheapest choice takes two of one service.
#[test]
fn the_stops_are_spread_over_the_services_that_allow_them() {
    let mut site = Site::new(4, 4);
    site.advance(60_000);
    let services = [1, 2].map(|priority| {
        let service = site.submit(priority, "other", vec![service_step(2, 8, Some(1))]);
        site.plan_and_start();
        service
    });
    site.report_fully_at_work();
    site.submit(0, "guaranteed", vec![step(2, 8)]);
    let plan = site.plan();
    assert_eq!(services.map(|service| stopped_runs(&plan, service)), [1, 1]);
}

/// Guards against a gang of a service that is stopped as a whole though one of its tasks may be missing.
#[rstest]
#[case::one_may_be_missing(Some(1), 0)]
#[case::all_but_one_may_be_missing(Some(3), 0)]
#[case::all_may_be_missing(Some(4), 4)]
#[case::no_limit(None, 4)]
fn a_gang_of_a_service_is_stopped_only_if_all_its_tasks_may_be_missing(
    #[case] most_unavailable: Option<u32>,
    #[case] stops: usize,
) {
    let spec = StepSpec {
        gang: true,
        ..service_step(4, 8, most_unavailable)
    };
    let (mut site, service) = site_with_service(4, spec);
    site.submit(0, "guaranteed", vec![step(1, 8)]);
    assert_eq!(stopped_runs(&site.plan(), service), stops);
}

/// Guards against a gang that is stopped though one of its tasks may be missing, where another task can be stopped in its place.
#[test]
fn a_task_is_stopped_in_the_place_of_a_gang() {
    let mut site = Site::new(5, 8);
    site.advance(60_000);
    let batch = site.submit(1, "other", vec![step(1, 8)]);
    site.plan_and_start();
    let spec = StepSpec {
        gang: true,
        ..service_step(4, 8, Some(1))
    };
    let service = site.submit(1, "other", vec![spec]);
    site.plan_and_start();
    site.report_fully_at_work();
    site.submit(0, "guaranteed", vec![step(1, 8)]);
    let plan = site.plan();
    assert_eq!(stopped_runs(&plan, batch), 1);
    assert_eq!(stopped_runs(&plan, service), 0);
}

/// Guards against a second task of a service that is stopped while the worker of the first one does not answer.
#[rstest]
fn a_task_on_a_silent_worker_counts_as_missing(#[values(0, 3)] silent: usize) {
    let (mut site, service) = site_with_service(4, service_step(4, 8, Some(1)));
    site.fall_silent(&worker_id(&format!("w{silent:02}")));
    site.submit(0, "guaranteed", vec![step(1, 8)]);
    assert_eq!(stopped_runs(&site.plan(), service), 0);
}

/// Guards against a service that waits behind batch work in a full pool. Its callers need it now, so batch work is stopped for it. Left in the
/// queue, its task would be missing until enough of that work ends.
#[test]
fn batch_work_is_stopped_for_a_service_in_a_full_pool() {
    let mut site = Site::new(2, 2);
    site.advance(60_000);
    site.submit(1, "other", vec![step(4, 4)]);
    site.plan_and_start();
    assert_eq!(site.open_runs().len(), 4);
    let service = site.submit(2, "other", vec![service_step(1, 4, None)]);
    let plan = site.plan();
    assert_eq!(plan.evictions.len(), 1);
    let (worker, run) = plan.evictions[0].clone();
    site.dispatcher.request_stop(&worker, run);
    site.end(run, EndKind::Stopped);
    let started: Vec<JobId> = site
        .plan_and_start()
        .starts
        .iter()
        .map(|start| start.run.task.step.job)
        .collect();
    assert_eq!(started, vec![service]);
}

/// Guards against a service that counts as completed because a member of its gang ended by itself: it is restarted like any other service.
#[test]
fn a_gang_of_a_service_is_restarted_when_a_member_is_done() {
    let mut site = Site::new(2, 2);
    site.advance(60_000);
    let gang = StepSpec {
        gang: true,
        ..service_step(2, 8, None)
    };
    let job = site.submit(2, "other", vec![gang]);
    site.plan_and_start();
    site.send_starts();
    let runs = site.open_runs();
    assert_eq!(runs.len(), 2);
    site.end(runs[0].1, EndKind::Done);
    assert_eq!(site.workload.job(job).unwrap().outcome, None);
    assert!(!site.workload.should_run(runs[1].1));
    site.end(runs[1].1, EndKind::Broken);
    assert_eq!(site.plan_and_start().starts.len(), 2);
}
