//! Free capacity of a worker, as the planner sees it.

use super::Speeds;
use super::Unit;
use super::UnusableReason;
use crate::dispatch::Dispatcher;
use crate::dispatch::RunState;
use crate::dispatch::Steadiness;
use crate::dispatch::Target;
use crate::dispatch::isolation_ms;
use crate::job::Resources;
use crate::job::StepId;
use crate::state::Task;
use crate::state::Worker;
use crate::state::Workload;
use bh_protocol::Incarnation;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Starts on a worker that are so recent that they may still crash it.
struct RecentStarts {
    /// Whether there are any.
    any: bool,
    /// Whether one of them is a task under which a worker has crashed before. Nothing else may start on the worker until the task has run
    /// for a while.
    suspect: bool,
}

impl RecentStarts {
    /// Collects the recent starts on `worker`. `target` is what the leader knows about the worker, if anything.
    fn new(worker: &Worker, target: Option<&Target>, workload: &Workload) -> Self {
        let mut recent = Self {
            any: false,
            suspect: false,
        };
        for run in worker.runs.keys() {
            let run_state = target.and_then(|target| target.runs.get(run));
            let run_time_ms = run_state.map_or(0, RunState::run_time_ms);
            let crashes = workload.task(run.task).map_or(0, Task::all_crashes);
            let spec = workload.step_spec(run.task.step);
            recent.any |= run_state.is_none_or(RunState::has_just_started);
            recent.suspect |= run_time_ms < isolation_ms(crashes, spec);
        }
        recent
    }
}

/// A worker, its free capacity, and what the planner must know to place tasks on it.
#[derive(Clone, Debug)]
pub struct Room {
    /// Identity of the worker.
    pub worker: Incarnation,
    /// Rack of the worker.
    pub rack: Arc<str>,
    /// Position of the rack among all racks in the order of their names. It is cheaper to group by than the name.
    pub rack_number: usize,
    /// Pool of the worker.
    pub pool: Arc<str>,
    /// Data centre of the worker.
    pub data_centre: Arc<str>,
    /// Whether the data centre is being evacuated.
    pub evacuated: bool,
    /// Labels of the worker.
    pub labels: Vec<Arc<str>>,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Resources that no recorded run takes.
    pub free: Resources,
    /// Resources that recorded runs take beyond the capacity, after the worker has shrunk.
    pub excess: Resources,
    /// Resources reserved for units that wait for other runs to stop. Some of them may still be in use.
    pub reserved_capacity: Resources,
    /// Resources held for gangs that do not fit yet. Some of them may still be in use.
    pub held_for_gangs: Resources,
    /// Earliest expected start of a gang for which capacity is held here, on the leader's clock in milliseconds; `None` if none is held.
    pub held_until_ms: Option<u64>,
    /// Number of recorded runs, by step.
    pub runs: BTreeMap<StepId, u64>,
    /// Run time here relative to a usual worker of the fastest data centre, in percent.
    pub runtime_percent: u64,
    /// Speed, in percent of the full speed, at which tasks that use only otherwise idle processor time run here.
    pub fill_percent: u64,
    /// Whether the worker is kept for work of priority 0 and for the other units that may use such workers, see [`Unit::may_use_headroom`].
    pub urgent_only: bool,
    /// Whether a task has just started here that may still crash the worker.
    pub has_recent_start: bool,
    /// How far past crashes speak against the worker.
    pub steadiness: Steadiness,
    /// Whether the worker has started recently, and therefore runs tasks slowly.
    pub cold: bool,
    /// Whether the worker gets new work. A pass clears this when it starts a suspect task here.
    pub usable: bool,
    /// Why the worker got no new work when the pass began; `None` if it did.
    pub unusable: Option<UnusableReason>,
    /// Time of the pass on the leader's clock, in milliseconds.
    pub now_ms: u64,
    /// Whether the worker gets no new work only because it is set aside, for [`UnusableReason::SetAside`] or [`UnusableReason::Slow`].
    pub set_aside: bool,
}

/// Returns whether so many workers are set aside that the work is more likely at fault than the workers. If they were all left out, they
/// would be idle for half a minute or longer while work waits.
fn too_many_set_aside(workload: &Workload, dispatcher: &Dispatcher, now_ms: u64) -> bool {
    /// Maximum share of workers that are plausibly at fault at the same time, in percent.
    const MAX_SET_ASIDE_PERCENT: usize = 34;
    dispatcher.count_set_aside(now_ms) * 100 > workload.worker_count() * MAX_SET_ASIDE_PERCENT
}

/// Returns why the worker behind `target` gets no new work, judged by its answers to orders and probes.
fn not_ready_reason(
    target: &Target,
    dispatcher: &Dispatcher,
    now_ms: u64,
) -> Option<UnusableReason> {
    if target.is_silent() || target.carrier_lost {
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

/// Numbers all racks in the order of their names.
fn rack_numbers(workload: &Workload) -> BTreeMap<&str, usize> {
    let names = workload.workers().map(|worker| &*worker.info.rack);
    let mut racks: BTreeMap<&str, usize> = names.map(|name| (name, 0)).collect();
    for (number, rack) in racks.values_mut().enumerate() {
        *rack = number;
    }
    racks
}

/// What the views of all workers depend on.
struct Context<'a> {
    workload: &'a Workload,
    dispatcher: &'a Dispatcher,
    speeds: &'a Speeds,
    now_ms: u64,
    /// Whether workers that are set aside for failures are usable.
    ignores_set_aside: bool,
}

impl Room {
    /// Creates the view of `worker`. `view` is what the leader knows about it.
    fn new(
        worker: &Worker,
        view: Option<&Target>,
        context: &Context<'_>,
        (rack_number, has_other_incarnation): (usize, bool),
    ) -> Self {
        let Context {
            workload,
            dispatcher,
            speeds,
            now_ms,
            ignores_set_aside,
        } = *context;
        let recent = RecentStarts::new(worker, view, workload);
        let evacuated = workload.is_evacuated(&worker.info);
        let unusable = if worker.draining {
            Some(UnusableReason::Draining)
        } else if has_other_incarnation {
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
                |target: &Target| !ignores_set_aside && now_ms < target.set_aside_until_ms;
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
            rack_number,
            pool: worker.info.pool.clone(),
            data_centre: worker.info.data_centre.clone(),
            evacuated,
            labels: worker.info.labels.clone(),
            capacity: worker.info.capacity,
            free: worker.free(),
            excess: worker.excess(),
            reserved_capacity: Resources::default(),
            held_for_gangs: Resources::default(),
            held_until_ms: None,
            runs,
            fill_percent: view.map_or(100, |target| target.fill_pace.percent()),
            urgent_only: false,
            has_recent_start: recent.any,
            steadiness: dispatcher.steadiness(now_ms, worker),
            cold: view.is_some_and(|target| now_ms < target.cold_until_ms),
            runtime_percent: speeds.runtime_percent(
                &worker.info.id,
                &worker.info.data_centre,
                now_ms,
            ),
            usable: unusable.is_none(),
            unusable,
            now_ms,
            set_aside,
        }
    }

    /// Creates the views of all workers, ordered by worker.
    ///
    /// The record and the leader's views of the workers are read side by side in this order: looking up each worker takes longer than all
    /// the rest.
    pub fn for_all_workers(
        workload: &Workload,
        dispatcher: &Dispatcher,
        speeds: &Speeds,
        now_ms: u64,
    ) -> Vec<Room> {
        let context = Context {
            workload,
            dispatcher,
            speeds,
            now_ms,
            ignores_set_aside: too_many_set_aside(workload, dispatcher, now_ms),
        };
        let racks = rack_numbers(workload);
        let mut views = dispatcher.views().peekable();
        let mut rooms: Vec<Room> = Vec::with_capacity(workload.worker_count());
        let mut workers = workload.workers().peekable();
        while let Some(worker) = workers.next() {
            let id = &worker.info.id;
            while views.next_if(|(other, _)| *other < id).is_some() {}
            let view = views.next_if(|(other, _)| *other == id);
            let is_same_worker = |other: &Incarnation| other.id == id.id;
            let has_other_incarnation = rooms
                .last()
                .is_some_and(|room| is_same_worker(&room.worker))
                || workers
                    .peek()
                    .is_some_and(|next| is_same_worker(&next.info.id));
            let rack_number = racks.get(&*worker.info.rack).copied().unwrap_or(0);
            rooms.push(Room::new(
                worker,
                view.map(|(_, target)| target),
                &context,
                (rack_number, has_other_incarnation),
            ));
        }
        rooms
    }

    /// Returns the position of a worker among the views of all workers.
    pub fn position(rooms: &[Room], worker: &Incarnation) -> Option<usize> {
        rooms.binary_search_by(|room| room.worker.cmp(worker)).ok()
    }

    /// Returns the number of racks of all workers.
    pub fn count_racks(rooms: &[Room]) -> usize {
        let last = rooms.iter().map(|room| room.rack_number).max();
        last.map_or(0, |last| last + 1)
    }

    /// Returns whether the worker has the label that a step requires.
    fn has_label(&self, label: Option<&Arc<str>>) -> bool {
        label.is_none_or(|label| self.labels.contains(label))
    }

    /// Returns whether the worker gets new work, or would if it were not set aside.
    pub fn is_reachable(&self) -> bool {
        self.usable || self.set_aside
    }

    /// Returns whether the worker may run tasks of the unit now, and is fast and steady enough for it, without regard to its free capacity.
    pub fn accepts(&self, unit: &Unit) -> bool {
        let is_fast_enough = self.runtime_percent <= unit.max_runtime_percent || unit.relaxed;
        let is_steady_enough = self.steadiness < Steadiness::Unsteady || !unit.needs_steady_worker;
        (self.usable || self.set_aside && unit.relaxed)
            && is_fast_enough
            && is_steady_enough
            && self.is_eligible(unit)
    }

    /// Returns whether the worker may run tasks of the unit while it is usable: its pool and labels match, and the adviser permits it.
    pub fn is_eligible(&self, unit: &Unit) -> bool {
        self.pool == unit.pool
            && self.has_label(unit.spec.required_label.as_ref())
            && unit
                .permitted
                .as_ref()
                .is_none_or(|permitted| permitted.contains(&self.worker))
    }

    /// Returns the resources that are free and neither reserved nor held.
    pub fn available(&self) -> Resources {
        self.available_after(&Resources::default())
    }

    /// Returns the resources that would be available after runs that take `ended` have ended. On a worker that has shrunk, the first of these
    /// runs make nothing available, because the runs take more than the worker still has.
    pub fn available_after(&self, ended: &Resources) -> Resources {
        let mut gained = *ended;
        gained.subtract(&self.excess);
        let mut available = self.free;
        available.add(&gained);
        available.subtract(&self.reserved_capacity);
        available.subtract(&self.held_for_gangs);
        available
    }

    /// Holds resources for a gang that is expected to start at `start_ms` on the leader's clock.
    pub fn hold(&mut self, needs: &Resources, start_ms: u64) {
        self.held_for_gangs.add(needs);
        let until_ms = self.held_until_ms.map_or(start_ms, |ms| ms.min(start_ms));
        self.held_until_ms = Some(until_ms);
    }

    /// Returns whether the unit ends here before a gang starts for which capacity is held. How long it takes on a cold worker is not known.
    fn can_backfill(&self, unit: &Unit) -> bool {
        if self.cold {
            return false;
        }
        let (Some(until_ms), Some(backfill_ms)) = (self.held_until_ms, unit.backfill_ms) else {
            return false;
        };
        self.now_ms + backfill_ms * self.runtime_percent / 100 <= until_ms
    }

    /// Returns the resources that are available to the unit. A relaxed unit also gets what is held for gangs, and so does one that ends before
    /// they start.
    fn available_to(&self, unit: &Unit) -> Resources {
        if !unit.relaxed && !self.can_backfill(unit) {
            return self.available();
        }
        let mut available = self.free;
        available.subtract(&self.reserved_capacity);
        available
    }

    /// Returns how many more tasks of the unit this worker may run, without regard to its free capacity. Tasks of the step that are already
    /// here count towards the limits.
    pub fn max_tasks(&self, unit: &Unit) -> u64 {
        // If two suspect tasks ran on a worker that crashes, the crash could be attributed to neither.
        let suspect = unit.is_suspect() && !unit.spec.gang;
        let at_once = if suspect || self.starts_one_at_a_time(unit) {
            1
        } else {
            unit.count()
        };
        let already_here = self.runs.get(&unit.step).copied().unwrap_or(0);
        unit.spec
            .most_on_worker()
            .saturating_sub(already_here)
            .min(at_once)
    }

    /// Returns whether tasks of the unit start on this worker one at a time. A cold worker that is filled at once is slow for all its new
    /// tasks, while other workers become idle a moment later. Gangs are exempt because they start as a whole, and guaranteed work because
    /// it must start in time.
    fn starts_one_at_a_time(&self, unit: &Unit) -> bool {
        self.cold && !unit.spec.gang && !unit.guaranteed && !unit.relaxed
    }

    /// Returns how many of the unit's tasks can be placed here now.
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
