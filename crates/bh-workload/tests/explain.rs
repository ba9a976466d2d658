//! Tests of the reasons that an operator reads for a job that waits.
#![expect(
    clippy::unwrap_used,
    reason = "a test that meets the unexpected shall end"
)]

mod support;

use bh_workload::job::JobId;
use bh_workload::job::JobSpec;
use bh_workload::job::Schedule;
use bh_workload::job::StepSpec;
use bh_workload::plan::JobReport;
use bh_workload::plan::WaitReason;
use bh_workload::state::Command;
use std::sync::Arc;
use support::Site;
use support::place;
use support::step;

fn explain(site: &Site, job: JobId) -> JobReport {
    let times = (site.now_ms, site.wall_ms());
    site.planner
        .explain(times, &site.workload, &site.dispatcher, job)
        .unwrap()
}

fn wait_reason(site: &Site, job: JobId) -> Option<WaitReason> {
    explain(site, job).steps[0].wait.clone()
}

/// Each cause of a wait has its own reason. An operator who reads only that a job waits would have to guess between a label that no worker
/// has, a task that is too large, and a pool that is full.
#[test]
fn each_cause_of_a_wait_has_its_own_reason() {
    let mut site = Site::new(2, 2);
    site.advance(60_000);
    let labelled = StepSpec {
        required_label: Some(Arc::from("nowhere")),
        ..step(1, 1)
    };
    let labelled = site.submit(2, "other", vec![labelled]);
    let large = site.submit(2, "other", vec![step(1, 9)]);
    let later = StepSpec {
        after: vec![0],
        ..step(1, 1)
    };
    let chained = site.submit(2, "other", vec![step(1, 8), later]);
    site.submit(2, "other", vec![step(1, 8)]);
    site.plan_and_start();
    let full = site.submit(2, "other", vec![step(1, 8)]);
    assert_eq!(
        wait_reason(&site, labelled),
        Some(WaitReason::NoWorkerAllowed)
    );
    assert_eq!(
        wait_reason(&site, large),
        Some(WaitReason::NoWorkerLargeEnough)
    );
    assert_eq!(
        wait_reason(&site, full),
        Some(WaitReason::NoRoom {
            tasks: 1,
            places: 0
        })
    );
    let report = explain(&site, chained);
    assert_eq!(report.steps[0].wait, None);
    assert_eq!(report.steps[0].runs.len(), 1);
    assert_eq!(
        report.steps[1].wait,
        Some(WaitReason::EarlierSteps { steps: vec![0] })
    );
}

/// Other runs are being stopped to make capacity for a guaranteed job.
#[test]
fn capacity_that_is_being_made_is_reported() {
    let mut site = Site::new(1, 1);
    site.advance(60_000);
    site.submit(2, "other", vec![step(8, 1)]);
    site.plan_and_start();
    let gang = StepSpec {
        gang: true,
        ..step(1, 8)
    };
    let job = site.submit(0, "guaranteed", vec![gang]);
    site.plan();
    let report = explain(&site, job);
    assert!(report.is_guaranteed);
    assert_eq!(
        report.steps[0].wait,
        Some(WaitReason::RoomIsMade { workers: 1 })
    );
}

/// The first occurrence of a job is due in an hour.
#[test]
fn a_job_that_is_not_due_reports_when_it_is() {
    let mut site = Site::new(1, 1);
    let id = JobId(77);
    let due_ms = site.wall_ms() + 3_600_000;
    let spec = JobSpec {
        steps: vec![step(1, 1)],
        schedule: Some(Schedule {
            first_due_ms: due_ms,
            interval_ms: 1_000,
            times: 1,
        }),
        ..JobSpec::default()
    };
    site.workload.apply(Command::Accept {
        place: place(1, "other", id),
        spec,
        now_ms: site.wall_ms(),
    });
    assert_eq!(wait_reason(&site, id), Some(WaitReason::NotDue { due_ms }));
}
