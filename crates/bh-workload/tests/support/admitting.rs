//! A site whose waiting work an admission controller judges submissions by.

use super::Site;
use super::modelled_leader::LOOP_MS;
use super::place;
use super::step;
use bh_workload::admission::AdmissionController;
use bh_workload::admission::AdmissionPolicy;
use bh_workload::admission::Backlog;
use bh_workload::admission::RefusalReason;
use bh_workload::admission::RefusedSubmission;
use bh_workload::job::JobId;
use bh_workload::job::JobSpec;
use bh_workload::job::StepSpec;
use bh_workload::state::Place;
use std::sync::Arc;

/// Number of accelerators of the site's workers.
const ACCELERATORS: u32 = 32;
/// Id of the first job that is submitted to the admission controller, above those of the site's own jobs.
pub const FIRST_ID: u64 = 1_000;

/// A site, and a controller with the snapshot of its waiting work.
pub struct Admitting {
    pub site: Site,
    pub controller: AdmissionController,
}

impl Admitting {
    /// A site with `jobs` waiting jobs in the queue of priority 1, each of which takes all accelerators for 5 s.
    pub fn new(policy: AdmissionPolicy, jobs: usize) -> Self {
        let mut site = Site::new(4, 4);
        for _ in 0..jobs {
            site.submit(1, "other", vec![whole_site()]);
        }
        let mut admitting = Self {
            site,
            controller: AdmissionController::new(policy, LOOP_MS),
        };
        admitting.take_snapshot();
        admitting
    }

    pub fn take_snapshot(&mut self) {
        let site = &self.site;
        let backlog = Backlog::new(site.wall_ms(), &site.workload, &site.planner);
        self.controller
            .set_backlog((site.now_ms, 0), backlog, &site.workload);
    }

    pub fn check(&self, place: &Place, spec: &JobSpec) -> Option<RefusedSubmission> {
        let site = &self.site;
        let wall_ms = site.wall_ms();
        self.controller
            .check(wall_ms, (place, spec), &site.workload, &site.planner)
    }

    /// Returns why a new job of `customer` is refused.
    pub fn reason(&self, priority: u32, customer: &str, step: StepSpec) -> Option<RefusalReason> {
        let place = place(priority, customer, JobId(FIRST_ID));
        let refused = self.check(&place, &spec(step))?;
        Some(refused.reason)
    }
}

/// A step of tasks that take all accelerators of the site for 5 s.
pub fn whole_site() -> StepSpec {
    step(ACCELERATORS, 1)
}

pub fn spec(step: StepSpec) -> JobSpec {
    JobSpec {
        text: Arc::from("text"),
        steps: vec![step],
        schedule: None,
    }
}
