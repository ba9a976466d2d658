//! Admitted jobs that are not in the snapshot of the waiting work.

use crate::job::JobId;
use crate::state::Workload;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Jobs that were admitted since the snapshot of the waiting work, or whose record had no answer. They may be recorded already, or may still
/// be recorded.
#[derive(Clone, Debug, Default)]
pub(super) struct AdmittedJobs {
    jobs: BTreeMap<JobId, AdmittedJob>,
    /// Number of these jobs by customer.
    by_customer: BTreeMap<Arc<str>, u64>,
}

#[derive(Clone, Debug)]
struct AdmittedJob {
    customer: Option<Arc<str>>,
    /// Number of submissions of the job that are not known to have failed.
    submissions: u32,
    is_recorded: bool,
}

impl AdmittedJobs {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether the job is among them.
    pub fn contains(&self, id: JobId) -> bool {
        self.jobs.contains_key(&id)
    }

    /// Returns the number of jobs of a customer.
    pub fn of_customer(&self, customer: &str) -> u64 {
        self.by_customer.get(customer).copied().unwrap_or(0)
    }

    /// Adds a submission of a job.
    pub fn add(&mut self, id: JobId, customer: Option<Arc<str>>) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.submissions += 1;
            return;
        }
        if let Some(customer) = customer.clone() {
            *self.by_customer.entry(customer).or_default() += 1;
        }
        let job = AdmittedJob {
            customer,
            submissions: 1,
            is_recorded: false,
        };
        self.jobs.insert(id, job);
    }

    /// Takes note that a submission of the job was recorded. The next snapshot contains the job, or the job is forgotten by then.
    pub fn note_recorded(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.is_recorded = true;
        }
    }

    /// Takes note that a submission of the job was certainly not recorded.
    pub fn note_not_recorded(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.submissions = job.submissions.saturating_sub(1);
        if job.submissions == 0 {
            self.remove(id);
        }
    }

    /// Removes the jobs that are recorded, as when a snapshot was taken of `workload`.
    pub fn remove_recorded(&mut self, workload: &Workload) {
        let is_recorded =
            |(id, job): (&JobId, &AdmittedJob)| job.is_recorded || workload.job(*id).is_some();
        let jobs = self.jobs.iter();
        let recorded: Vec<JobId> = jobs
            .filter(|entry| is_recorded(*entry))
            .map(|(id, _)| *id)
            .collect();
        for id in recorded {
            self.remove(id);
        }
    }

    fn remove(&mut self, id: JobId) {
        let customer = self.jobs.remove(&id).and_then(|job| job.customer);
        if let Some(customer) = customer
            && let Some(count) = self.by_customer.get_mut(&customer)
        {
            *count -= 1;
            if *count == 0 {
                self.by_customer.remove(&customer);
            }
        }
    }
}
