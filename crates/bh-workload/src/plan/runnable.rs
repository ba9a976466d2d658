//! Surveys the steps that could run but have nothing running.

use super::BlockingRun;
use super::Planner;
use super::StallCheck;
use super::Unit;
use super::WaitReason;
use super::collect;
use super::explain::wait_of_unit;
use super::guaranteed_jobs;
use super::planner::is_uncertain;
use super::wait_explainer::WaitExplainer;
use crate::dispatch::Dispatcher;
use crate::dispatch::RunPhase;
use crate::job::JobId;
use crate::job::Resources;
use crate::job::RunId;
use crate::job::StepId;
use crate::job::StepSpec;
use crate::state::Job;
use crate::state::Worker;
use crate::state::Workload;
use bh_protocol::Incarnation;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Maximum number of steps for which a survey finds the reason to wait. Each of them costs a scan of all workers.
const MAX_SURVEYED_STEPS: usize = 512;

/// Tasks of one step that wait for the same reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunnableStep {
    /// The step.
    pub step: StepId,
    /// Number of tasks.
    pub tasks: u64,
    /// Why the tasks wait.
    pub wait: WaitReason,
    /// The recorded run that the tasks wait for, the one that has been in its phase for longest.
    pub held_by: Option<BlockingRun>,
    /// When the job was accepted or the occurrence was due, in milliseconds since 1970.
    pub ready_ms: u64,
    /// Number of runs of the job that have ended with a result. If the number has grown since an earlier survey, some task has run in
    /// between.
    pub results: u64,
    /// Figures that tell whether the job is stalled.
    pub stall_check: StallCheck,
}

/// All steps that could run but have nothing running.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Survey {
    /// The steps. A step appears twice if some of its tasks have recorded runs and others wait for capacity.
    pub steps: Vec<RunnableStep>,
    /// Number of further steps for which the reason was not determined.
    pub left_out: usize,
}

/// A recorded run and its phase.
struct KnownRun<'a> {
    run: RunId,
    worker: &'a Incarnation,
    phase: RunPhase,
    since_ms: u64,
}

/// The workers and what is known to run on them.
struct Fleet<'a> {
    runs: BTreeMap<StepId, Vec<KnownRun<'a>>>,
    /// Number of running tasks, by job.
    running: BTreeMap<JobId, u64>,
    /// Workers that stay, with their capacity beyond what the runs there occupy.
    free: Vec<(&'a Worker, Resources)>,
    /// Resources in use and total resources, by pool.
    pools: BTreeMap<Arc<str>, (Resources, Resources)>,
}

impl<'a> Fleet<'a> {
    fn new(now_ms: u64, workload: &'a Workload, dispatcher: &Dispatcher) -> Self {
        let mut fleet = Self {
            runs: BTreeMap::new(),
            running: BTreeMap::new(),
            free: Vec::new(),
            pools: BTreeMap::new(),
        };
        for worker in workload.workers() {
            let id = &worker.info.id;
            let mut used = Resources::default();
            for (run, needs) in &worker.runs {
                let (phase, since_ms) = RunPhase::of(now_ms, workload, dispatcher, (id, *run));
                if phase.takes_room() {
                    used.add(needs);
                }
                let step = run.task.step;
                let running = fleet.running.entry(step.job).or_default();
                *running += u64::from(phase == RunPhase::Running);
                fleet.runs.entry(step).or_default().push(KnownRun {
                    run: *run,
                    worker: id,
                    phase,
                    since_ms,
                });
            }
            let stays = !worker.draining
                && !workload.has_other_incarnation(id)
                && !workload.is_evacuated(&worker.info);
            if stays {
                let pool = fleet.pools.entry(worker.info.pool.clone()).or_default();
                pool.0.add(&used);
                pool.1.add(&worker.info.capacity);
                let mut free = worker.info.capacity;
                free.subtract(&used);
                fleet.free.push((worker, free));
            }
        }
        fleet
    }

    /// Returns the figures that tell whether a job with `tasks` runnable tasks is stalled. Stops counting slots once there are enough of
    /// them.
    fn stall_check(&self, job: JobId, pool: &Arc<str>, spec: &StepSpec, tasks: u64) -> StallCheck {
        let needs = spec.reserved();
        let enough = tasks.saturating_mul(StallCheck::TIMES_PLACES);
        let mut places = 0;
        for (worker, free) in &self.free {
            let labels = &worker.info.labels;
            let label = spec.required_label.as_ref();
            let is_eligible =
                worker.info.pool == *pool && label.is_none_or(|label| labels.contains(label));
            if is_eligible {
                places += needs.count_in(free, spec.most_on_worker().min(enough));
            }
            if places >= enough {
                break;
            }
        }
        let (in_use, capacity) = self.pools.get(pool).copied().unwrap_or_default();
        StallCheck {
            runs: self.running.get(&job).copied().unwrap_or(0),
            tasks,
            places,
            in_use,
            capacity,
        }
    }
}

/// Returns the number of runs of a job that have ended with a result.
fn results(job: &Job) -> u64 {
    let of_step = job.steps.iter().map(|step| {
        let failures: u64 = step.tasks.iter().map(|task| u64::from(task.failures)).sum();
        failures + u64::from(step.done) + u64::from(step.failures)
    });
    of_step.sum()
}

impl Planner {
    /// Returns all steps that could run at `now_ms` on the leader's clock, which is `wall_ms` since 1970, but have nothing running as far
    /// as is known.
    pub fn survey(
        &self,
        (now_ms, wall_ms): (u64, u64),
        workload: &Workload,
        dispatcher: &Dispatcher,
    ) -> Survey {
        let guaranteed = guaranteed_jobs(workload);
        let mut units: BTreeMap<StepId, Unit> = BTreeMap::new();
        let remote_percent = dispatcher.timing().remote_percent;
        let times = (wall_ms, remote_percent);
        for mut unit in collect::collect(workload, &self.runtimes, &guaranteed, times) {
            if unit.advised.is_some() {
                unit.permitted = Some(dispatcher.permissions.permitted(unit.step, now_ms));
            }
            units.insert(unit.step, unit);
        }
        let unheard = dispatcher.unheard_attempts(now_ms);
        let explainer = WaitExplainer::new(self, (now_ms, wall_ms), workload, dispatcher);
        let fleet = Fleet::new(now_ms, workload, dispatcher);
        let mut survey = Survey::default();
        for (id, job) in workload.active_jobs() {
            let pool = &workload.queue_of(job).pool;
            let results = results(job);
            for (step, spec, ready_ms) in runnable_steps(id, job, wall_ms) {
                let known = fleet.runs.get(&step).map_or(&[][..], Vec::as_slice);
                if known.iter().any(|known| known.phase == RunPhase::Running) {
                    continue;
                }
                if survey.steps.len() >= MAX_SURVEYED_STEPS {
                    survey.left_out += 1;
                    continue;
                }
                let unit = units.get(&step);
                let mut report = |tasks: u64, wait: WaitReason, held_by: Option<BlockingRun>| {
                    survey.steps.push(RunnableStep {
                        step,
                        tasks,
                        wait,
                        held_by,
                        ready_ms,
                        results,
                        stall_check: fleet.stall_check(id, pool, spec, tasks),
                    });
                };
                if let Some(unit) = unit {
                    let uncertain = is_uncertain(step, &unheard, workload);
                    report(
                        unit.count(),
                        wait_of_unit(unit, uncertain, &explainer),
                        None,
                    );
                }
                let Some(longest) = known.iter().min_by_key(|known| known.since_ms) else {
                    if unit.is_none() {
                        report(u64::from(spec.count), WaitReason::Unexplained, None);
                    }
                    continue;
                };
                let blocking = BlockingRun {
                    run: longest.run.to_string(),
                    worker: longest.worker.clone(),
                    phase: longest.phase,
                    held_ms: now_ms.saturating_sub(longest.since_ms),
                };
                if job.is_broken_gang(step) {
                    report(
                        u64::from(spec.count),
                        WaitReason::EarlierRuns,
                        Some(blocking),
                    );
                } else {
                    let phase = longest.phase;
                    let tasks = u64::try_from(known.len()).unwrap_or(u64::MAX);
                    report(tasks, WaitReason::Ordered { phase }, Some(blocking));
                }
            }
        }
        survey
    }
}

/// Returns the steps of a job that are due, unblocked and not done. Each comes with the time since which its job or occurrence was due, in
/// milliseconds since 1970.
fn runnable_steps(
    id: JobId,
    job: &Job,
    wall_ms: u64,
) -> impl Iterator<Item = (StepId, &StepSpec, u64)> {
    let due = (0..job.spec.occurrences()).map_while(move |occurrence| {
        let ready_ms = job.spec.due_ms(occurrence).unwrap_or(job.accepted_ms);
        let is_due = job.spec.due_ms(occurrence).is_none_or(|ms| ms <= wall_ms);
        is_due.then_some((occurrence, ready_ms))
    });
    due.flat_map(move |(occurrence, ready_ms)| {
        let specs = (0u32..).zip(&job.spec.steps);
        specs.filter_map(move |(position, spec)| {
            let step = StepId {
                job: id,
                occurrence,
                step: position,
            };
            let is_runnable = !job.step(step)?.is_done() && job.is_unblocked(step);
            is_runnable.then_some((step, spec, ready_ms))
        })
    })
}
