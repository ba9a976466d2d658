//! The waiting work in the order of its precedence, and forecasts for jobs that are not accepted yet.

use super::Planner;
use super::Unit;
use super::collect;
use super::guaranteed_jobs;
use super::shares::Shares;
use crate::job::JobId;
use crate::rules::Queue;
use crate::state::Job;
use crate::state::Workload;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Waiting tasks of one step.
#[derive(Clone, Debug, PartialEq)]
pub struct WaitingStep {
    /// Name of the pool that runs the tasks.
    pub pool: Arc<str>,
    /// Value of the job relative to its work; infinite if a guarantee covers it. Steps with a larger value come first.
    pub value_density: f64,
    /// Accelerators of one task.
    pub task_accelerators: u64,
    /// Accelerators that must be free at the same time: those of all the tasks of a gang, and else of one task.
    pub at_once_accelerators: u64,
    /// Accelerators of all the tasks times their expected run time, in accelerator-milliseconds.
    pub accelerator_ms: u64,
}

/// The work that waits for placement.
#[derive(Clone, Debug, Default)]
pub struct WaitingWork {
    /// The steps. Services are not among them: they occupy capacity but do not end, so nothing waits for their end. Nor are steps that only
    /// some workers may run, because of a label or an adviser: if none of these is there, nothing waits for such a step either.
    pub steps: Vec<WaitingStep>,
    /// Shares by which the value density of the steps is discounted.
    shares: Shares,
    mean_work: BTreeMap<Arc<str>, f64>,
}

/// Forecast for a job that is not accepted yet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JobForecast {
    /// Expected time of its longest chain of dependent steps, in milliseconds.
    pub run_ms: u64,
    /// Time from its acceptance after which the job is worth nothing, in milliseconds.
    pub worth_ms: u64,
    /// Value of the job relative to its work if it starts at once.
    pub value_density: f64,
}

impl Planner {
    /// Returns the work that waits at `wall_ms`.
    pub fn waiting_work(&self, wall_ms: u64, workload: &Workload) -> WaitingWork {
        /// Slowdown of runs away from their data, in percent: it does not affect precedence or expected times.
        const NO_SLOWDOWN_PERCENT: u64 = 100;
        let guaranteed = guaranteed_jobs(workload);
        let times = (wall_ms, NO_SLOWDOWN_PERCENT);
        let mut units = collect::collect(workload, &self.runtimes, &guaranteed, times);
        let shares = Shares::of_submissions(
            &self.policy.in_fleet_of(workload.worker_count()),
            workload,
            &units,
        );
        shares.discount_units(workload, &mut units);
        let is_restricted =
            |unit: &Unit| unit.spec.required_label.is_some() || unit.advised.is_some();
        let steps = units
            .iter()
            .filter(|unit| !unit.spec.long_running && !is_restricted(unit))
            .map(|unit| WaitingStep {
                pool: unit.pool.clone(),
                value_density: if unit.guaranteed {
                    f64::INFINITY
                } else {
                    unit.value_density
                },
                task_accelerators: unit.needs.accelerators,
                at_once_accelerators: if unit.spec.gang {
                    unit.count().saturating_mul(unit.needs.accelerators)
                } else {
                    unit.needs.accelerators
                },
                accelerator_ms: unit
                    .count()
                    .saturating_mul(unit.needs.accelerators)
                    .saturating_mul(unit.expected_ms),
            });
        WaitingWork {
            steps: steps.collect(),
            shares,
            mean_work: collect::mean_work(workload, &self.runtimes),
        }
    }

    /// Returns the forecast for `job`, which would be accepted into `queue` as `id` while `waiting` waits.
    pub fn forecast(
        &self,
        (id, job): (JobId, &Job),
        queue: &Queue,
        waiting: &WaitingWork,
    ) -> JobForecast {
        let runtimes = &self.runtimes;
        let own_work = collect::job_work(id, job, runtimes);
        let mean_work = waiting.mean_work.get(&queue.name);
        let size_factor = collect::size_factor(mean_work.copied().unwrap_or(own_work), own_work);
        JobForecast {
            run_ms: collect::critical_path_ms(id, job, runtimes),
            worth_ms: collect::objective_ms(id, job, queue, runtimes) * collect::MAX_LATE_FACTOR,
            value_density: waiting.shares.discounted(
                job.customer.as_ref(),
                size_factor / collect::squared_rank(queue.priority),
            ),
        }
    }
}

/// Returns the value density of a job of mean size and of `priority` that is on time.
pub fn priority_density(priority: u32) -> f64 {
    1.0 / collect::squared_rank(priority)
}
