//! Tasks of services, which run until they are cancelled.

mod support;

use bh_workload::dispatch::Answer;
use bh_workload::dispatch::OrderBody;
use bh_workload::dispatch::Report;
use bh_workload::dispatch::Running;
use bh_workload::job::JobId;
use bh_workload::job::StepSpec;
use bh_workload::state::EndKind;
use support::Site;
use support::step;

/// A step of tasks that run until they are cancelled, of which `most_unavailable` may be missing at a time.
fn service_step(count: u32, accelerators: u64, most_unavailable: Option<u32>) -> StepSpec {
    StepSpec {
        long_running: true,
        most_unavailable,
        ..step(count, accelerators)
    }
}

/// Every worker reports that its runs are fully at work.
fn report_fully_at_work(site: &mut Site) {
    site.send_starts();
    site.advance(100);
    let (orders, _) = site.dispatcher.orders(site.now_ms, &site.workload, true);
    for order in orders {
        let OrderBody::Probe { .. } = order.body else {
            continue;
        };
        let runs = site
            .workload
            .worker(&order.to.worker)
            .map(|w| w.runs.clone());
        let running = runs.unwrap_or_default().into_keys().map(|run| Running {
            run,
            checkpoint: None,
            percent: 100,
            load: 0,
        });
        let report = Report {
            running: running.collect(),
            ..Report::default()
        };
        let answer = Answer::Done {
            clock_ms: Some(site.now_ms),
            report: Some(report),
        };
        site.dispatcher
            .note_answer(site.now_ms, &order, &answer, &site.workload);
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
    report_fully_at_work(&mut site);
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
