//! Log lines about jobs that have ended.

use super::core_node::CoreNode;
use super::leadership::Leadership;
use bh_workload::job::JobId;
use bh_workload::state::Workload;
use std::collections::BTreeSet;
use std::rc::Rc;

/// Logs each job that has ended: its outcome, the time since it was accepted, and its objective for that time. A job with a schedule has no
/// objective of its own; each of its occurrences has one.
pub(super) fn log_job_ends(
    core: &Rc<CoreNode>,
    leadership: &Leadership,
    workload: &Workload,
    ended: &BTreeSet<JobId>,
) {
    for id in ended {
        let Some(job) = workload.job(*id) else {
            continue;
        };
        let queue = workload.queue_of(job);
        let took_ms = job.ended_ms.saturating_sub(job.accepted_ms);
        let objective_ms = match &job.spec.schedule {
            None => leadership.planner.objective_ms(workload, *id),
            Some(_) => None,
        };
        core.metrics.count("jobs_over", 1);
        core.metrics.time_ms("job", took_ms);
        if objective_ms.is_some_and(|objective_ms| took_ms > objective_ms) {
            core.metrics.count("jobs_late", 1);
        }
        log::info!(
            job = id.to_string(), queue = &*queue.name, priority = queue.priority, outcome:? = job.outcome, took_ms,
            objective_ms = objective_ms.unwrap_or(0), slack_factor = queue.slack_factor, target_ms = queue.target_latency_ms,
            customer = job.customer.as_deref().unwrap_or("-");
            "job over"
        );
    }
}

/// Logs each job that is about to be removed because it ended before `before_ms`, in milliseconds since 1970, and adds their number to the
/// metrics. Returns the number.
pub(super) fn log_removed_jobs(core: &Rc<CoreNode>, workload: &Workload, before_ms: u64) -> u64 {
    let mut removed = 0;
    for (id, job) in workload.ended_before(before_ms) {
        removed += 1;
        log::info!(
            job = id.to_string(), outcome:? = job.outcome, accepted_ms = job.accepted_ms, ended_ms = job.ended_ms, before_ms;
            "ended job removed"
        );
    }
    core.metrics.count("jobs_removed", removed);
    removed
}
