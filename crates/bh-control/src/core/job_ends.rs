//! What is told of jobs that ended.

use super::core_node::CoreNode;
use super::leadership::Leadership;
use bh_workload::job::JobId;
use bh_workload::state::Workload;
use std::collections::BTreeSet;
use std::rc::Rc;

/// One line for each job that ended: how, how long it took since it was accepted, and within which time it was on time. A job with a schedule has no
/// objective of its own: each of its occurrences has.
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
            objective_ms = objective_ms.unwrap_or(0), slack_factor = queue.slack_factor, target_ms = queue.target_latency_ms;
            "job over"
        );
    }
}
