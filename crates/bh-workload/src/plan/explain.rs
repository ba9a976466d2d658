//! Why a job is where it is.

use super::Planner;
use super::Room;
use super::Unit;
use super::collect;
use super::entitled_jobs;
use crate::dispatch::Dispatcher;
use crate::job::JobId;
use crate::job::StepId;
use crate::job::StepSpec;
use crate::state::GiveUp;
use crate::state::Job;
use crate::state::JobState;
use crate::state::Task;
use crate::state::Workload;
use bh_protocol::Incarnation;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeSet;
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
    pub wait: Option<Wait>,
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
}

/// Why tasks wait.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Wait {
    /// Their time has not come.
    NotDue {
        /// When it comes, in milliseconds since 1970.
        due_ms: u64,
    },
    /// Earlier steps are not done.
    EarlierSteps {
        /// Their positions.
        steps: Vec<u32>,
    },
    /// Some of a gang's earlier runs may still go on.
    EarlierRuns,
    /// All workers that may run them are in data centres under evacuation.
    Evacuated {
        /// The data centres.
        data_centres: BTreeSet<Arc<str>>,
    },
    /// No worker that can be used now may run them: label, pool, or the adviser.
    NoWorkerAllowed,
    /// The workers that may run them are too small.
    NoWorkerLargeEnough,
    /// Room is being made by stopping others.
    RoomIsMade {
        /// On so many workers.
        workers: usize,
    },
    /// There are fewer places free than tasks.
    NoRoom {
        /// Tasks.
        tasks: u64,
        /// Places.
        places: u64,
    },
    /// A worker has crashed under one of the tasks, which wait for workers on which nothing has just begun.
    Apart {
        /// Workers that crashed.
        crashes: u32,
    },
    /// There are places enough; kept for a rack, a larger gang or work that comes first, or taken at the next plan.
    Placing,
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
        let entitled = entitled_jobs(workload);
        let units = collect::collect(
            workload,
            &self.runtimes,
            &entitled,
            (wall_ms, dispatcher.timing().remote_percent),
        );
        let rooms = Room::of_all(workload, dispatcher, &self.speeds, now_ms);
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
                let wait = self.wait(wall_ms, job, spec, step, unit.as_ref(), &rooms);
                steps.extend(step_report(now_ms, workload, dispatcher, step, wait));
            }
        }
        Some(JobReport {
            job: id.to_string(),
            queue: queue.name.clone(),
            priority: queue.priority,
            customer: job.customer.clone(),
            is_guaranteed: entitled.contains(&id),
            state: job.state(),
            given_up: job.given_up,
            accepted_ms: job.accepted_ms,
            steps,
        })
    }

    fn wait(
        &self,
        wall_ms: u64,
        job: &Job,
        spec: &StepSpec,
        step: StepId,
        unit: Option<&Unit>,
        rooms: &[Room],
    ) -> Option<Wait> {
        let due_ms = job.spec.due_ms(step.occurrence).unwrap_or(0);
        if wall_ms < due_ms {
            return Some(Wait::NotDue { due_ms });
        }
        if !job.is_unblocked(step) {
            let steps = spec.after.clone();
            return Some(Wait::EarlierSteps { steps });
        }
        let Some(unit) = unit else {
            let progress = job.step(step)?;
            let held = spec.gang && progress.open_runs > 0 && !progress.is_done();
            let whole = progress
                .tasks
                .first()
                .is_some_and(|task| progress.gang_is_whole(task.attempt));
            return (held && !whole).then_some(Wait::EarlierRuns);
        };
        if let Some(claim) = self.claims.get(&step) {
            let workers = claim.places.len();
            return Some(Wait::RoomIsMade { workers });
        }
        Some(wait_for_room(unit, rooms))
    }
}

fn wait_for_room(unit: &Unit, rooms: &[Room]) -> Wait {
    let allowed: Vec<&Room> = rooms.iter().filter(|room| room.admits(unit)).collect();
    if allowed.is_empty() {
        return no_worker(unit, rooms);
    }
    if allowed.iter().all(|room| !unit.needs.fits(&room.capacity)) {
        return Wait::NoWorkerLargeEnough;
    }
    let none = BTreeSet::new();
    let places = allowed.iter().map(|room| room.places(unit, &none)).sum();
    if places < unit.count() {
        let tasks = unit.count();
        return Wait::NoRoom { tasks, places };
    }
    if unit.is_suspect() {
        let crashes = unit.crashes;
        return Wait::Apart { crashes };
    }
    Wait::Placing
}

/// Why no worker admits a unit.
fn no_worker(unit: &Unit, rooms: &[Room]) -> Wait {
    let closed = rooms
        .iter()
        .filter(|room| room.evacuated && room.suits(unit));
    let data_centres: BTreeSet<Arc<str>> = closed.map(|room| room.data_centre.clone()).collect();
    if data_centres.is_empty() {
        return Wait::NoWorkerAllowed;
    }
    Wait::Evacuated { data_centres }
}

/// The report of a step; `None` when it is done.
fn step_report(
    now_ms: u64,
    workload: &Workload,
    dispatcher: &Dispatcher,
    step: StepId,
    wait: Option<Wait>,
) -> Option<StepReport> {
    let progress = workload.job(step.job)?.step(step)?;
    if progress.is_done() {
        return None;
    }
    let mut runs = Vec::new();
    for worker in workload.workers() {
        let target = dispatcher.view(&worker.info.id);
        for run in worker.runs.keys().filter(|run| run.task.step == step) {
            let watch = target.and_then(|target| target.runs.get(run));
            runs.push(RunReport {
                run: run.to_string(),
                worker: worker.info.id.clone(),
                percent: watch.map_or(0, |watch| watch.percent),
                report_age_ms: target.map_or(0, |t| now_ms.saturating_sub(t.reported_ms)),
                is_stopping: !workload.wants(*run) || watch.is_some_and(|watch| watch.give_up),
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
    })
}
