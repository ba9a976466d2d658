//! Load by customer and by queue, derived from the record.

use super::CustomerLoad;
use super::LoadCounts;
use super::QueueLoad;
use crate::job::JobId;
use crate::job::StepId;
use crate::state::Job;
use crate::state::Step;
use crate::state::Workload;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Load of every customer and queue. It contains those in the rules, and those that were removed from the rules but still have jobs or
/// runs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetLoad {
    /// Customers, those with the largest guarantees first, then by the accelerators in use, the waiting tasks and the name. Callers who were
    /// not identified come last.
    pub customers: Vec<CustomerLoad>,
    /// Queues by priority and name.
    pub queues: Vec<QueueLoad>,
}

/// Loads by name, while they are being summed up.
struct Sums<'a> {
    workload: &'a Workload,
    customers: BTreeMap<Option<Arc<str>>, CustomerLoad>,
    queues: BTreeMap<Arc<str>, QueueLoad>,
}

impl FleetLoad {
    /// Computes the load at `wall_ms`, in milliseconds since 1970, in one pass over the active jobs and one over the recorded runs.
    pub fn new(workload: &Workload, wall_ms: u64) -> Self {
        let mut sums = Sums::new(workload);
        for (id, job) in workload.active_jobs() {
            let waiting_tasks = waiting_tasks(id, job, wall_ms);
            let is_waiting = waiting_tasks > 0 && !job.has_open_runs();
            let counts = LoadCounts {
                active_jobs: 1,
                waiting_jobs: u64::from(is_waiting),
                waiting_tasks,
                ..LoadCounts::default()
            };
            sums.add(Some(job), &counts);
            sums.add_displacements(job);
        }
        // Added up by job first: there are many more runs than jobs, and each addition to the sums searches several maps.
        let mut runs: BTreeMap<JobId, LoadCounts> = BTreeMap::new();
        for worker in workload.workers() {
            for (run, needs) in &worker.runs {
                let counts = runs.entry(run.task.step.job).or_default();
                counts.runs += 1;
                counts.accelerators += needs.accelerators;
            }
        }
        for (id, counts) in &runs {
            sums.add(workload.job(*id), counts);
        }
        sums.into_load()
    }
}

impl<'a> Sums<'a> {
    /// Creates empty sums for the customers and queues in the rules.
    fn new(workload: &'a Workload) -> Self {
        let (mut customers, mut queues) = (BTreeMap::new(), BTreeMap::new());
        if let Some(rules) = &workload.rules {
            for customer in &rules.customers {
                let load = CustomerLoad::new(customer);
                customers.insert(load.customer.clone(), load);
            }
            for queue in &rules.queues {
                queues.insert(queue.name.clone(), QueueLoad::new(queue, true));
            }
        }
        Self {
            workload,
            customers,
            queues,
        }
    }

    /// Adds `counts` to the customer and the queue of `job`. A run whose job is no longer recorded has no known customer and queue.
    fn add(&mut self, job: Option<&Job>, counts: &LoadCounts) {
        let customer = job.and_then(|job| job.customer.clone());
        let load = self.customers.entry(customer.clone());
        let load = load.or_insert_with(|| CustomerLoad::not_in_rules(customer));
        load.counts.add(counts);
        if let Some(job) = job {
            let queue = self.workload.queue_of(job);
            let load = self.queues.entry(queue.name.clone());
            let load = load.or_insert_with(|| QueueLoad::new(queue, false));
            load.counts.add(counts);
        }
    }

    /// Adds the displacements of the tasks of an active job to its customer.
    fn add_displacements(&mut self, job: &Job) {
        let tasks = job.steps.iter().flat_map(|step| &step.tasks);
        let displaced: u64 = tasks.map(|task| u64::from(task.displacements)).sum();
        if let Some(load) = self.customers.get_mut(&job.customer) {
            *load.displaced_runs.get_or_insert(0) += displaced;
        }
    }

    fn into_load(self) -> FleetLoad {
        let mut customers: Vec<CustomerLoad> = self.customers.into_values().collect();
        // The sort is stable, so customers with equal figures stay ordered by name.
        customers.sort_by_key(|load| {
            (
                load.customer.is_none(),
                Reverse(load.guaranteed_accelerators),
                Reverse(load.counts.accelerators),
                Reverse(load.counts.waiting_tasks),
            )
        });
        let mut queues: Vec<QueueLoad> = self.queues.into_values().collect();
        queues.sort_by_key(|load| load.priority);
        FleetLoad { customers, queues }
    }
}

/// Returns the number of tasks of a job without a run that could start at `wall_ms`: their occurrence is due and the steps before them are
/// done.
fn waiting_tasks(id: JobId, job: &Job, wall_ms: u64) -> u64 {
    let is_due = |occurrence: &u32| {
        let due_ms = job.spec.due_ms(*occurrence);
        due_ms.is_none_or(|due_ms| due_ms <= wall_ms)
    };
    // Later occurrences are due later still.
    let due = (0..job.spec.occurrences()).take_while(is_due);
    let steps = due.flat_map(|occurrence| {
        let positions = (0u32..).zip(&job.spec.steps);
        positions.map(move |(step, _)| StepId {
            job: id,
            occurrence,
            step,
        })
    });
    steps
        .filter_map(|step| Some((step, job.step(step)?)))
        .filter(|(step, progress)| !progress.is_done() && job.is_unblocked(*step))
        .map(|(_, progress)| tasks_without_run(progress))
        .sum()
}

fn tasks_without_run(progress: &Step) -> u64 {
    let tasks = progress.tasks.iter();
    let waiting = tasks.filter(|task| task.is_waiting());
    u64::try_from(waiting.count()).unwrap_or(u64::MAX)
}
