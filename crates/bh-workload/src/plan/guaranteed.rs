//! Determines the jobs that customers' guarantees cover.

use crate::job::JobId;
use crate::job::StepSpec;
use crate::state::Job;
use crate::state::Workload;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Returns the largest number of accelerators that a step of the job takes.
pub fn peak_accelerators(job: &Job) -> u64 {
    let width = |step: &StepSpec| u64::from(step.count) * step.needs.accelerators;
    job.spec.steps.iter().map(width).max().unwrap_or(0)
}

/// Returns the jobs of priority 0 that fit into their customers' guarantees. Jobs that were accepted earlier take precedence.
pub fn guaranteed_jobs(workload: &Workload) -> BTreeSet<JobId> {
    let Some(rules) = &workload.rules else {
        return BTreeSet::new();
    };
    let mut jobs: Vec<(u64, JobId, &Arc<str>, u64)> = workload
        .active_jobs()
        .filter(|(_, job)| workload.queue_of(job).priority == 0)
        .filter_map(|(id, job)| {
            Some((
                job.accepted_ms,
                id,
                job.customer.as_ref()?,
                peak_accelerators(job),
            ))
        })
        .collect();
    jobs.sort();
    let mut left: BTreeMap<&Arc<str>, u64> = BTreeMap::new();
    let mut covered = BTreeSet::new();
    for (_, id, customer, width) in jobs {
        let left = left
            .entry(customer)
            .or_insert_with(|| rules.guaranteed(customer));
        if width <= *left {
            *left -= width;
            covered.insert(id);
        }
    }
    covered
}
