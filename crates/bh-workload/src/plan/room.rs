//! Workers as the planner sees them.

use super::Speeds;
use super::Unit;
use super::UnusableReason;
use crate::dispatch::Dispatcher;
use crate::dispatch::RunWatch;
use crate::dispatch::Target;
use crate::dispatch::apart_ms;
use crate::job::Resources;
use crate::job::StepId;
use crate::state::Task;
use crate::state::Worker;
use crate::state::Workload;
use bh_protocol::Incarnation;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

/// What has just begun on a worker.
struct RecentStarts {
    /// Whether anything has.
    any: bool,
    /// Whether a task has under which a worker crashed before: nothing else may begin there until it was seen at work.
    suspect: bool,
}

impl RecentStarts {
    /// What has just begun on `worker`, of which `target` is known.
    fn new(worker: &Worker, target: Option<&Target>, workload: &Workload) -> Self {
        let mut recent = Self {
            any: false,
            suspect: false,
        };
        for run in worker.runs.keys() {
            let watch = target.and_then(|target| target.runs.get(run));
            let at_work_ms = watch.map_or(0, RunWatch::at_work_ms);
            let crashes = workload.task(run.task).map_or(0, Task::all_crashes);
            recent.any |= watch.is_none_or(RunWatch::has_just_begun);
            recent.suspect |= at_work_ms < apart_ms(crashes);
        }
        recent
    }
}

/// Free room of one worker.
#[derive(Clone, Debug)]
pub struct Room {
    /// The worker.
    pub worker: Incarnation,
    /// Its rack.
    pub rack: Arc<str>,
    /// Its pool.
    pub pool: Arc<str>,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Whether its data centre is under evacuation.
    pub evacuated: bool,
    /// Its labels.
    pub labels: Vec<Arc<str>>,
    /// What it has in all.
    pub capacity: Resources,
    /// What no recorded run takes.
    pub free: Resources,
    /// What recorded runs take beyond what it has, since it has shrunk.
    pub excess: Resources,
    /// What is promised to work that waits for it, free already or not.
    pub reserved_capacity: Resources,
    /// What is kept for gangs that do not fit yet, free already or not.
    pub held_for_gangs: Resources,
    /// Recorded runs by step.
    pub runs: BTreeMap<StepId, u64>,
    /// Times as long as in the fastest data centre that runs take here, in percent.
    pub runtime_percent: u64,
    /// Speed at which tasks that only use idle processors work here, in percent.
    pub fill_percent: u64,
    /// Whether only work of priority 0 may use it, and gangs that are late unless they begin soon.
    pub urgent_only: bool,
    /// Whether something has just begun there, which may yet crash the worker.
    pub has_recent_start: bool,
    /// Whether it is slow since it has just started.
    pub cold: bool,
    /// Whether it may be given work now.
    pub usable: bool,
    /// Why it may not, before the pass.
    pub unusable: Option<UnusableReason>,
    /// Whether it could be, but is left to itself since it fails what it is given, or is slow.
    pub set_aside: bool,
}

/// Whether so many workers are set aside that what they were given is the likelier cause. Left out, they stand idle for half a minute and more
/// while work waits.
fn too_many_set_aside(workload: &Workload, dispatcher: &Dispatcher, now_ms: u64) -> bool {
    /// Share of the workers that may be at fault at a time, in percent.
    const MAX_SET_ASIDE_PERCENT: usize = 34;
    dispatcher.count_aside(now_ms) * 100 > workload.worker_count() * MAX_SET_ASIDE_PERCENT
}

/// Why the worker behind `target` can't be given work, as far as its answers tell.
fn not_ready_reason(
    target: &Target,
    dispatcher: &Dispatcher,
    now_ms: u64,
) -> Option<UnusableReason> {
    if target.is_failing() || target.carrier_lost {
        Some(UnusableReason::Silent)
    } else if !target.answers() {
        Some(UnusableReason::Unheard)
    } else if !target.is_verified() {
        Some(UnusableReason::Unverified)
    } else if !target.is_current(now_ms, dispatcher.timing()) {
        Some(UnusableReason::Unheard)
    } else {
        None
    }
}

impl Room {
    /// The room of `worker` at `now_ms`.
    fn new(
        worker: &Worker,
        workload: &Workload,
        dispatcher: &Dispatcher,
        speeds: &Speeds,
        (now_ms, ignore_set_aside): (u64, bool),
    ) -> Self {
        let view = dispatcher.view(&worker.info.id);
        let recent = RecentStarts::new(worker, view, workload);
        let evacuated = workload.is_evacuated(&worker.info);
        let unusable = if worker.draining {
            Some(UnusableReason::Draining)
        } else if workload.has_other_incarnation(&worker.info.id) {
            Some(UnusableReason::Replaced)
        } else if evacuated {
            Some(UnusableReason::Evacuated)
        } else if recent.suspect {
            Some(UnusableReason::BesideSuspect)
        } else if dispatcher.is_emptied(&worker.info.id) {
            Some(UnusableReason::Emptied)
        } else if let Some(why) = view.map_or(Some(UnusableReason::Unheard), |target| {
            not_ready_reason(target, dispatcher, now_ms)
        }) {
            Some(why)
        } else if speeds.is_slow(&worker.info.id, now_ms) {
            Some(UnusableReason::Slow)
        } else {
            let is_aside =
                |target: &Target| !ignore_set_aside && now_ms < target.set_aside_until_ms;
            view.is_some_and(is_aside)
                .then_some(UnusableReason::SetAside)
        };
        let set_aside = matches!(
            unusable,
            Some(UnusableReason::Slow | UnusableReason::SetAside)
        );
        let mut runs = BTreeMap::new();
        for run in worker.runs.keys() {
            *runs.entry(run.task.step).or_default() += 1;
        }
        Self {
            worker: worker.info.id.clone(),
            rack: worker.info.rack.clone(),
            pool: worker.info.pool.clone(),
            data_centre: worker.info.data_centre.clone(),
            evacuated,
            labels: worker.info.labels.clone(),
            capacity: worker.info.capacity,
            free: worker.free(),
            excess: worker.excess(),
            reserved_capacity: Resources::default(),
            held_for_gangs: Resources::default(),
            runs,
            fill_percent: view.map_or(100, |target| target.filling.percent()),
            urgent_only: false,
            has_recent_start: recent.any,
            cold: view.is_some_and(|target| now_ms < target.cold_until_ms),
            runtime_percent: speeds.data_centre_percent(&worker.info.data_centre),
            usable: unusable.is_none(),
            unusable,
            set_aside,
        }
    }

    /// The rooms of all workers.
    pub fn for_all_workers(
        workload: &Workload,
        dispatcher: &Dispatcher,
        speeds: &Speeds,
        now_ms: u64,
    ) -> Vec<Room> {
        let times = (now_ms, too_many_set_aside(workload, dispatcher, now_ms));
        let workers = workload.workers();
        workers
            .map(|worker| Room::new(worker, workload, dispatcher, speeds, times))
            .collect()
    }

    /// Whether the worker has the label that a step asks for.
    fn has_label(&self, label: Option<&Arc<str>>) -> bool {
        label.is_none_or(|label| self.labels.contains(label))
    }

    /// Whether it could be given work now, left to itself or not.
    pub fn is_reachable(&self) -> bool {
        self.usable || self.set_aside
    }

    /// Whether tasks of a unit may be here at all, whatever room there is.
    pub fn accepts(&self, unit: &Unit) -> bool {
        (self.usable || self.set_aside && unit.relaxed) && self.is_eligible(unit)
    }

    /// Whether tasks of a unit may be here once the worker can be given work.
    pub fn is_eligible(&self, unit: &Unit) -> bool {
        self.pool == unit.pool
            && self.has_label(unit.spec.required_label.as_ref())
            && unit
                .permitted
                .as_ref()
                .is_none_or(|permitted| permitted.contains(&self.worker))
    }

    /// What is free, and neither promised nor kept.
    pub fn available(&self) -> Resources {
        self.available_after(&Resources::default())
    }

    /// What would be open if runs that take `more` were gone as well. On a worker that has shrunk the first of them leave no room.
    pub fn available_after(&self, more: &Resources) -> Resources {
        let mut gained = *more;
        gained.subtract(&self.excess);
        let mut available = self.free;
        available.add(&gained);
        available.subtract(&self.reserved_capacity);
        available.subtract(&self.held_for_gangs);
        available
    }

    /// What is open to a unit.
    fn available_to(&self, unit: &Unit) -> Resources {
        if !unit.relaxed {
            return self.available();
        }
        let mut available = self.free;
        available.subtract(&self.reserved_capacity);
        available
    }

    /// How many more of a unit's tasks may be on this worker, whatever room it has: those already there count.
    pub fn max_tasks(&self, unit: &Unit) -> u64 {
        // Two on one worker that crashes would tell nothing of either.
        let suspect = unit.is_suspect() && !unit.spec.gang;
        let at_once = if suspect || self.starts_one_at_a_time(unit) {
            1
        } else {
            unit.count()
        };
        let there = self.runs.get(&unit.step).copied().unwrap_or(0);
        unit.spec
            .most_on_worker()
            .saturating_sub(there)
            .min(at_once)
    }

    /// Whether tasks of a unit begin here one after the other. A worker that has just started and is filled at once is slow for all that it got, while
    /// others stand idle a moment later. A gang begins together or not at all, and what a guarantee covers must begin in time.
    fn starts_one_at_a_time(&self, unit: &Unit) -> bool {
        self.cold && !unit.spec.gang && !unit.guaranteed && !unit.relaxed
    }

    /// How many of a unit's tasks may be placed here now.
    pub fn places(&self, unit: &Unit, avoid: &BTreeSet<Incarnation>) -> u64 {
        let excluded = self.urgent_only && !unit.may_use_headroom();
        let too_recent =
            self.has_recent_start && (unit.isolated || self.starts_one_at_a_time(unit));
        if !self.accepts(unit) || excluded || too_recent || avoid.contains(&self.worker) {
            return 0;
        }
        unit.needs
            .count_in(&self.available_to(unit), self.max_tasks(unit))
    }
}
