//! Explains the state of a job.

use super::Planner;
use super::Unit;
use super::WaitReason;
use super::collect;
use super::guaranteed_jobs;
use super::planner::is_uncertain;
use super::wait_explainer::WaitExplainer;
use crate::dispatch::Dispatcher;
use crate::dispatch::RunPhase;
use crate::job::JobId;
use crate::job::StepId;
use crate::state::GiveUp;
use crate::state::JobState;
use crate::state::Task;
use crate::state::Workload;
use bh_protocol::Incarnation;
use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;

/// State of a job, as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobReport {
    /// Name of the job.
    pub job: String,
    /// Name of its queue.
    pub queue: Arc<str>,
    /// Priority of the queue.
    pub priority: u32,
    /// Name of the customer, if known.
    pub customer: Option<Arc<str>>,
    /// Whether the customer's guarantee covers the job.
    pub is_guaranteed: bool,
    /// State that the caller sees.
    pub state: JobState,
    /// Why the job was given up; `None` if it was not.
    pub given_up: Option<GiveUp>,
    /// When the job was accepted, in milliseconds since 1970.
    pub accepted_ms: u64,
    /// Steps that are not done.
    pub steps: Vec<StepReport>,
}

/// State of a step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepReport {
    /// Name of the step, `JOB.OCCURRENCE.STEP`.
    pub step: String,
    /// Number of tasks.
    pub tasks: u32,
    /// Number of tasks that are done.
    pub done: u32,
    /// Number of failed runs of one task; the maximum over the tasks.
    pub failures: u32,
    /// Number of workers that crashed under one task; the maximum over the tasks.
    pub crashes: u32,
    /// Last runs of the service's tasks that are not started any more, because workers crashed under them.
    #[serde(default)]
    pub given_up: Vec<String>,
    /// Recorded runs of the step.
    pub runs: Vec<RunReport>,
    /// Why the tasks without a run wait.
    pub wait: Option<WaitReason>,
    /// The earlier run that the tasks wait for, the one that has been in its phase for longest. `None` if they don't wait for a run.
    #[serde(default)]
    pub held_by: Option<BlockingRun>,
}

/// State of a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunReport {
    /// Name of the run, `JOB.OCCURRENCE.STEP.INDEX#ATTEMPT`.
    pub run: String,
    /// Worker of the run.
    pub worker: Incarnation,
    /// Progress in the worker's last report, in percent.
    pub percent: u64,
    /// Age of that report, in milliseconds.
    pub report_age_ms: u64,
    /// Whether the run is being stopped.
    pub is_stopping: bool,
    /// Phase of the run; `None` if the report comes from a core of an older version.
    #[serde(default)]
    pub phase: Option<RunPhase>,
}

/// The recorded run that waiting tasks wait for: a run of an earlier attempt of their gang, or a run of one of the tasks themselves that is
/// not known to be running.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockingRun {
    /// Name of the run, `JOB.OCCURRENCE.STEP.INDEX#ATTEMPT`.
    pub run: String,
    /// Worker of the run.
    pub worker: Incarnation,
    /// Phase of the run.
    pub phase: RunPhase,
    /// For how long this leader has known the run to be in this phase, in milliseconds.
    pub held_ms: u64,
}

impl Planner {
    /// Returns the state of a job at `now_ms` on the leader's clock, which is `wall_ms` since 1970. Returns `None` for an unknown job.
    pub fn explain(
        &self,
        (now_ms, wall_ms): (u64, u64),
        workload: &Workload,
        dispatcher: &Dispatcher,
        id: JobId,
    ) -> Option<JobReport> {
        let job = workload.job(id)?;
        let queue = workload.queue_of(job);
        let guaranteed = guaranteed_jobs(workload);
        let units = collect::collect(
            workload,
            &self.runtimes,
            &guaranteed,
            (wall_ms, dispatcher.timing().remote_percent),
        );
        let unheard = dispatcher.unheard_attempts(now_ms);
        let explainer = WaitExplainer::new(self, (now_ms, wall_ms), workload, dispatcher);
        let mut steps = Vec::new();
        for occurrence in 0..job.spec.occurrences() {
            for (spec, position) in job.spec.steps.iter().zip(0..) {
                let step = StepId {
                    job: id,
                    occurrence,
                    step: position,
                };
                let mut unit = units.iter().find(|unit| unit.step == step).cloned();
                if let Some(unit) = unit.as_mut().filter(|unit| unit.advised.is_some()) {
                    unit.permitted = Some(dispatcher.permissions.permitted(step, now_ms));
                }
                let wait = if wall_ms < job.spec.due_ms(occurrence).unwrap_or(0) {
                    let due_ms = job.spec.due_ms(occurrence).unwrap_or(0);
                    Some(WaitReason::NotDue { due_ms })
                } else if !job.is_unblocked(step) {
                    let steps = spec.after.clone();
                    Some(WaitReason::EarlierSteps { steps })
                } else if let Some(unit) = &unit {
                    let uncertain = is_uncertain(step, &unheard, workload);
                    Some(wait_of_unit(unit, uncertain, &explainer))
                } else {
                    job.is_broken_gang(step).then_some(WaitReason::EarlierRuns)
                };
                let times = (now_ms, wait);
                steps.extend(step_report(times, workload, dispatcher, step));
            }
        }
        Some(JobReport {
            job: id.to_string(),
            queue: queue.name.clone(),
            priority: queue.priority,
            customer: job.customer.clone(),
            is_guaranteed: guaranteed.contains(&id),
            state: job.state(),
            given_up: job.given_up,
            accepted_ms: job.accepted_ms,
            steps,
        })
    }
}

/// Returns why a unit waits. The planner leaves out `uncertain` gangs, which may have used up their attempts.
pub(super) fn wait_of_unit(unit: &Unit, uncertain: bool, explainer: &WaitExplainer) -> WaitReason {
    if uncertain {
        WaitReason::UncertainFailures
    } else {
        explainer.wait(unit)
    }
}

/// Returns the state of a step, or `None` if the step is done.
fn step_report(
    (now_ms, wait): (u64, Option<WaitReason>),
    workload: &Workload,
    dispatcher: &Dispatcher,
    step: StepId,
) -> Option<StepReport> {
    let progress = workload.job(step.job)?.step(step)?;
    if progress.is_done() {
        return None;
    }
    let mut runs = Vec::new();
    let mut blocking: Option<BlockingRun> = None;
    for worker in workload.workers() {
        let target = dispatcher.view(&worker.info.id);
        for run in worker.runs.keys().filter(|run| run.task.step == step) {
            let run_state = target.and_then(|target| target.runs.get(run));
            let at = (&worker.info.id, *run);
            let (phase, since_ms) = RunPhase::of(now_ms, workload, dispatcher, at);
            let held_ms = now_ms.saturating_sub(since_ms);
            let longest = blocking
                .as_ref()
                .is_none_or(|other| held_ms > other.held_ms);
            if wait == Some(WaitReason::EarlierRuns) && longest {
                blocking = Some(BlockingRun {
                    run: run.to_string(),
                    worker: worker.info.id.clone(),
                    phase,
                    held_ms,
                });
            }
            runs.push(RunReport {
                run: run.to_string(),
                worker: worker.info.id.clone(),
                percent: run_state.map_or(0, |run_state| run_state.percent),
                report_age_ms: target.map_or(0, |t| now_ms.saturating_sub(t.reported_ms)),
                is_stopping: !workload.should_run(*run)
                    || run_state.is_some_and(|run_state| run_state.stop_requested),
                phase: Some(phase),
            });
        }
    }
    let given_up = progress.tasks.iter().filter_map(|task| task.given_up);
    let given_up = given_up.map(|run| run.to_string()).collect();
    let crashes = progress.tasks.iter().map(Task::all_crashes).max();
    let failed = progress.tasks.iter().map(|task| task.failures).max();
    Some(StepReport {
        step: step.to_string(),
        tasks: u32::try_from(progress.tasks.len()).unwrap_or(u32::MAX),
        done: progress.done,
        failures: failed.unwrap_or(0).max(progress.failures),
        crashes: crashes.unwrap_or(0),
        given_up,
        runs,
        wait,
        held_by: blocking,
    })
}
