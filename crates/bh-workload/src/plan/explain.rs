//! Why a job is where it is.

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

/// What is known of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobReport {
    /// Its name.
    pub job: String,
    /// Its queue.
    pub queue: Arc<str>,
    /// Rank of the queue.
    pub priority: u32,
    /// Whose it is.
    pub customer: Option<Arc<str>>,
    /// Whether its customer's guarantee covers it.
    pub is_guaranteed: bool,
    /// What its caller is told.
    pub state: JobState,
    /// Why it was given up, if it was.
    pub given_up: Option<GiveUp>,
    /// When it was accepted, in milliseconds since 1970.
    pub accepted_ms: u64,
    /// Its steps that are not done.
    pub steps: Vec<StepReport>,
}

/// What is known of one step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepReport {
    /// `JOB.OCCURRENCE.STEP`.
    pub step: String,
    /// Its tasks.
    pub tasks: u32,
    /// Those that are done.
    pub done: u32,
    /// Failed runs, of the task with most of them.
    pub failures: u32,
    /// Workers that crashed under one task, of the task with most of them.
    pub crashes: u32,
    /// Where its runs are.
    pub runs: Vec<RunReport>,
    /// Why the others wait.
    pub wait: Option<WaitReason>,
    /// The earlier run that they wait for, the one that has been so for longest; `None` when they wait for none.
    #[serde(default)]
    pub held_by: Option<BlockingRun>,
}

/// What is known of one run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunReport {
    /// `JOB.OCCURRENCE.STEP.INDEX#ATTEMPT`.
    pub run: String,
    /// Its worker.
    pub worker: Incarnation,
    /// Last progress that the worker reported, in percent.
    pub percent: u64,
    /// How old that report is, in milliseconds.
    pub report_age_ms: u64,
    /// Whether it is being stopped.
    pub is_stopping: bool,
    /// How far it has come; `None` from a core of an older version.
    #[serde(default)]
    pub phase: Option<RunPhase>,
}

/// The recorded run that work waits for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockingRun {
    /// `JOB.OCCURRENCE.STEP.INDEX#ATTEMPT`.
    pub run: String,
    /// Its worker.
    pub worker: Incarnation,
    /// How far it has come.
    pub phase: RunPhase,
    /// For how long this leader has known it to be so, in milliseconds.
    pub held_ms: u64,
}

impl Planner {
    /// What is known of a job at `now_ms` of the leader's clock and `wall_ms` since 1970; `None` when there is no such job.
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

/// Why a unit waits; `uncertain` gangs are left out of the plan.
pub(super) fn wait_of_unit(unit: &Unit, uncertain: bool, explainer: &WaitExplainer) -> WaitReason {
    if uncertain {
        WaitReason::UncertainFailures
    } else {
        explainer.wait(unit)
    }
}

/// The report of a step; `None` when it is done.
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
            let watch = target.and_then(|target| target.runs.get(run));
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
                percent: watch.map_or(0, |watch| watch.percent),
                report_age_ms: target.map_or(0, |t| now_ms.saturating_sub(t.reported_ms)),
                is_stopping: !workload.wants(*run) || watch.is_some_and(|watch| watch.give_up),
                phase: Some(phase),
            });
        }
    }
    let crashes = progress.tasks.iter().map(Task::all_crashes).max();
    let failed = progress.tasks.iter().map(|task| task.failures).max();
    Some(StepReport {
        step: step.to_string(),
        tasks: u32::try_from(progress.tasks.len()).unwrap_or(u32::MAX),
        done: progress.done,
        failures: failed.unwrap_or(0).max(progress.failures),
        crashes: crashes.unwrap_or(0),
        runs,
        wait,
        held_by: blocking,
    })
}
