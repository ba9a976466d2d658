//! Estimates what is lost when a run is stopped.

use super::Runtimes;
use super::collect;
use super::preempt::room_value;
use crate::dispatch::Dispatcher;
use crate::dispatch::RunState;
use crate::job::RunId;
use crate::job::StepId;
use crate::state::Task;
use crate::state::Workload;
use bh_protocol::number::floor_to_u64;
use std::collections::BTreeMap;

/// What the cost of a stop depends on besides the run itself. All runs of a step share it.
#[derive(Clone, Copy, Debug)]
struct StepFacts {
    /// Expected run time of a task, in milliseconds.
    expected_ms: u64,
    /// Worth of a millisecond of the whole gang, or of a single task, in thousandths of cores.
    weight: u64,
    checkpoints: bool,
    long_running: bool,
    /// When the job was accepted or the occurrence was due, in milliseconds since 1970.
    ready_ms: u64,
    /// Completion objective of the job, in milliseconds from `ready_ms`.
    allowed_ms: u64,
    /// Worth of the whole job if it is on time, in thousandths of core-milliseconds.
    job_value: f64,
}

/// Costs of stops during one pass.
///
/// The facts of a step are cached, because computing the objective of a job for each of its runs would take longer than the rest of the
/// search for runs to stop.
pub(super) struct StopCosts<'a> {
    times: (u64, u64),
    workload: &'a Workload,
    dispatcher: &'a Dispatcher,
    runtimes: &'a Runtimes,
    steps: BTreeMap<StepId, Option<StepFacts>>,
}

impl<'a> StopCosts<'a> {
    /// Creates the costs at `times`: the leader's clock and the wall clock, both in milliseconds.
    pub fn new(
        times: (u64, u64),
        workload: &'a Workload,
        dispatcher: &'a Dispatcher,
        runtimes: &'a Runtimes,
    ) -> Self {
        Self {
            times,
            workload,
            dispatcher,
            runtimes,
            steps: BTreeMap::new(),
        }
    }

    /// Returns the cost of stopping a run, together with its gang, in thousandths of core-milliseconds: the work since its last checkpoint,
    /// and the value that its job loses if the stop makes it late. The cost grows with the number of earlier displacements, because a task
    /// that is stopped again and again uses capacity without ever being done.
    pub fn cost(&mut self, run: RunId, run_state: Option<&RunState>) -> u64 {
        let Some(facts) = self.facts(run.task.step) else {
            return 0;
        };
        let worked_ms = run_state.map_or(0, |run_state| self.worked_ms(&facts, run_state));
        let restore_ms = self.dispatcher.timing().restore_ms;
        // The progress is saved when the run is stopped, so only the time to restore it is lost.
        let lost_ms = if facts.checkpoints {
            worked_ms.min(restore_ms)
        } else {
            worked_ms
        };
        let displacements = self.workload.task(run.task).map_or(0, displacements);
        facts
            .weight
            .saturating_mul(lost_ms.max(1))
            .saturating_add(self.lateness_loss(&facts, worked_ms))
            .saturating_mul(displacements + 1)
    }

    /// Returns the work that a run has done, as a time at the expected pace: the reported progress, and the time since the report. A run that
    /// reports no progress counts by its run time. A new leader knows the progress from the first report on, but not the start time.
    fn worked_ms(&self, facts: &StepFacts, run_state: &RunState) -> u64 {
        let now_ms = self.times.0;
        // The progress of a service is its readiness.
        if facts.long_running {
            return now_ms.saturating_sub(run_state.since_ms);
        }
        let reported_ms = facts.expected_ms * run_state.percent.min(100) / 100;
        reported_ms + now_ms.saturating_sub(run_state.progress_ms)
    }

    /// Returns the value that the job loses if the run would end in time, and is late if it is stopped and starts again at once.
    fn lateness_loss(&self, facts: &StepFacts, worked_ms: u64) -> u64 {
        if facts.long_running {
            return 0;
        }
        let timing = self.dispatcher.timing();
        let left_ms = facts.expected_ms.saturating_sub(worked_ms);
        let restarted_left_ms = if facts.checkpoints {
            left_ms + timing.restore_ms
        } else {
            facts.expected_ms
        };
        let wall_ms = self.times.1;
        let value = |end_ms| collect::lateness_value(end_ms, facts.ready_ms, facts.allowed_ms);
        let lost =
            value(wall_ms + left_ms) - value(wall_ms + timing.stop_timeout_ms + restarted_left_ms);
        floor_to_u64(lost.max(0.0) * facts.job_value)
    }

    fn facts(&mut self, step: StepId) -> Option<StepFacts> {
        if let Some(facts) = self.steps.get(&step) {
            return *facts;
        }
        let facts = self.compute_facts(step);
        self.steps.insert(step, facts);
        facts
    }

    fn compute_facts(&self, step: StepId) -> Option<StepFacts> {
        let job = self.workload.job(step.job)?;
        let spec = job.step_spec(step)?;
        let queue = self.workload.queue_of(job);
        let members = if spec.gang { u64::from(spec.count) } else { 1 };
        let room_value = room_value(queue.priority);
        // The conversion is precise to one part in 2^53, far finer than the estimates.
        #[expect(clippy::cast_precision_loss, reason = "an estimate")]
        let job_value = collect::job_work(step.job, job, self.runtimes) * room_value as f64;
        Some(StepFacts {
            expected_ms: self.runtimes.expected_ms(&job.queue.name, step, spec),
            weight: spec.needs.weight() * members * room_value,
            checkpoints: spec.checkpoints,
            long_running: spec.long_running,
            ready_ms: job.spec.due_ms(step.occurrence).unwrap_or(job.accepted_ms),
            allowed_ms: collect::objective_ms(step.job, job, queue, self.runtimes),
            job_value,
        })
    }
}

fn displacements(task: &Task) -> u64 {
    u64::from(task.displacements)
}
