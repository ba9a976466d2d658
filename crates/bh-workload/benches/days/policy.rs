//! The product's planner and simple policies to compare it with.

use bh_protocol::Incarnation;
use bh_workload::dispatch::Dispatcher;
use bh_workload::job::RunId;
use bh_workload::job::StepId;
use bh_workload::job::TaskId;
use bh_workload::plan::Plan;
use bh_workload::plan::Planner;
use bh_workload::state::Job;
use bh_workload::state::Start;
use bh_workload::state::TaskState;
use bh_workload::state::Workload;
use std::collections::BTreeMap;

/// Order in which work starts, and the workers it starts on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The product's planner.
    Product,
    /// In the order of arrival, on the first workers with capacity.
    FirstComeFirstFit,
    /// By priority of the queue, then arrival.
    StrictPriority,
    /// By declared work, the least first.
    ShortestFirst,
}

pub const POLICIES: [Policy; 4] = [
    Policy::Product,
    Policy::FirstComeFirstFit,
    Policy::StrictPriority,
    Policy::ShortestFirst,
];

impl Policy {
    pub fn name(self) -> &'static str {
        match self {
            Policy::Product => "beechhollow",
            Policy::FirstComeFirstFit => "first come, first fit",
            Policy::StrictPriority => "strict priority",
            Policy::ShortestFirst => "shortest first",
        }
    }

    /// Makes a plan.
    pub fn plan(
        self,
        times: (u64, u64),
        planner: &mut Planner,
        workload: &Workload,
        dispatcher: &Dispatcher,
    ) -> Plan {
        if self == Policy::Product {
            return planner.plan(times.0, times.1, workload, dispatcher);
        }
        let mut jobs: Vec<(u64, StepId, &Job)> = workload
            .active_jobs()
            .map(|(id, job)| {
                let step = StepId {
                    job: id,
                    occurrence: 0,
                    step: 0,
                };
                (self.sort_key(workload, job), step, job)
            })
            .collect();
        jobs.sort_by_key(|(key, step, job)| (*key, job.accepted_ms, *step));
        let mut free: BTreeMap<Incarnation, bh_workload::job::Resources> = workload
            .workers()
            .map(|worker| (worker.info.id.clone(), worker.free()))
            .collect();
        let mut plan = Plan::default();
        for (_, step, job) in jobs {
            first_fit(step, job, &mut free, &mut plan.starts);
        }
        plan
    }

    /// Returns the key by which jobs are sorted, the lowest first; equal keys are sorted by arrival.
    fn sort_key(self, workload: &Workload, job: &Job) -> u64 {
        let spec = &job.spec.steps[0];
        match self {
            Policy::Product | Policy::FirstComeFirstFit => 0,
            Policy::StrictPriority => u64::from(workload.queue_of(job).priority),
            Policy::ShortestFirst => spec.needs.weight() * spec.declared_ms * u64::from(spec.count),
        }
    }
}

/// Places the waiting tasks of a step on the first workers with capacity, a gang as a whole or not at all.
fn first_fit(
    step: StepId,
    job: &Job,
    free: &mut BTreeMap<Incarnation, bh_workload::job::Resources>,
    starts: &mut Vec<Start>,
) {
    let (Some(progress), spec) = (job.step(step), &job.spec.steps[0]) else {
        return;
    };
    if spec.gang && !progress.is_gang_waiting() {
        return;
    }
    let waiting = progress
        .tasks
        .iter()
        .zip(0..)
        .filter(|(task, _)| task.state == TaskState::Waiting);
    let mut remaining = free.clone();
    let mut placed = Vec::new();
    for (task, index) in waiting {
        let Some((worker, capacity)) = remaining
            .iter_mut()
            .find(|(_, capacity)| spec.needs.fits_in(capacity))
        else {
            break;
        };
        capacity.subtract(&spec.needs);
        placed.push(Start {
            run: RunId {
                task: TaskId { step, index },
                attempt: task.attempt + 1,
            },
            worker: worker.clone(),
        });
    }
    if spec.gang && placed.len() < progress.tasks.len() {
        return;
    }
    *free = remaining;
    starts.extend(placed);
}
