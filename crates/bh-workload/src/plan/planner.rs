//! The planner, which decides what starts and what stops.

use super::OverdueReason;
use super::OverdueRun;
use super::Plan;
use super::Policy;
use super::ReleaseReason;
use super::Room;
use super::Runtimes;
use super::Speeds;
use super::Unit;
use super::backfill;
use super::collect;
use super::guaranteed_jobs;
use super::in_time::InTime;
use super::in_time::limit_units;
use super::last_pass::LastPass;
use super::leaving;
use super::overdue::overdue;
use super::pass::Pass;
use super::reclaimable::order_by_exposure;
use super::reservation::Reservation;
use super::shares::Shares;
use super::stall_tracker::StallTracker;
use super::urgent_headroom::UrgentHeadroom;
use super::worker_learning::ObservedProgress;
use crate::dispatch::Dispatcher;
use crate::dispatch::Steadiness;
use crate::job::JobId;
use crate::job::RunId;
use crate::job::StepId;
use crate::job::TaskId;
use crate::state::Workload;
use bh_protocol::Incarnation;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// Capacity is held at the same time for at most this many waiting gangs, or for as many as there are racks if that is more. If it were held
/// for one gang at a time, the next large gang would starve behind it. If it were held for many gangs in a small fleet, much of the fleet
/// would be idle. If it were held for few gangs in a large fleet, gangs that need most of a rack would starve, because capacity becomes free
/// in some rack all the time and smaller work takes it.
const MIN_HELD_GANGS: usize = 8;

/// Longest time for which a unit under which a worker has crashed waits for workers without recent starts, in milliseconds. Workers report
/// every second or two, so a worker without recent starts is found within this time unless tasks start everywhere all the time. A service
/// that lacks a task must not wait longer.
const MAX_ISOLATION_WAIT_MS: u64 = 2_000;

/// Decides for the leader which tasks start on which workers, and which runs stop.
///
/// What the planner learns is lost when its leader loses the leadership, and the next leader learns it again.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    /// The optional decisions in use.
    pub(super) policy: Policy,
    pub(super) runtimes: Runtimes,
    pub(super) speeds: Speeds,
    /// Runs whose progress has been used to learn the speeds of their workers; only with [`Policy::ranks_workers`].
    pub(super) observed_progress: BTreeMap<RunId, ObservedProgress>,
    headroom: UrgentHeadroom,
    pub(super) reservations: BTreeMap<StepId, Reservation>,
    /// Workers on which a task failed or was overdue. The next attempts of the task prefer other workers.
    pub(super) failed_on: BTreeMap<TaskId, BTreeSet<Incarnation>>,
    /// Tasks that were restarted because they were slow. Each is restarted for this reason only once: otherwise a task that is slow on every
    /// worker would never end.
    pub(super) restarted_slow: BTreeSet<TaskId>,
    /// When each unit under which a worker has crashed began to wait, on the leader's clock in milliseconds.
    isolated_since_ms: BTreeMap<StepId, u64>,
    /// Outcome of the last pass, to explain why work waits.
    pub(super) last_pass: LastPass,
    stall_tracker: StallTracker,
}

impl Planner {
    /// Creates a planner that has learnt nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the optional decisions in use.
    pub fn with_policy(mut self, policy: Policy) -> Self {
        self.policy = policy;
        if policy.ranks_workers {
            self.speeds = Speeds::default().with_ranked_workers();
        }
        self
    }

    /// Returns the overdue runs, which are to be restarted on other workers. Their tasks avoid the current workers from now on.
    pub fn overdue(
        &mut self,
        now_ms: u64,
        workload: &Workload,
        dispatcher: &Dispatcher,
    ) -> Vec<OverdueRun> {
        if self.policy.ranks_workers {
            self.learn_progress(now_ms, workload, dispatcher);
        }
        let mut overdue = overdue(now_ms, workload, dispatcher, (&self.runtimes, &self.speeds));
        overdue.retain(|overdue_run| {
            overdue_run.why == OverdueReason::Still
                || self.restarted_slow.insert(overdue_run.run.task)
        });
        for overdue_run in &overdue {
            self.failed_on
                .entry(overdue_run.run.task)
                .or_default()
                .insert(overdue_run.worker.clone());
        }
        overdue
    }

    /// Returns the runs to stop because their workers leave before the runs can end. `times` are the leader's clock and the wall clock,
    /// both in milliseconds.
    pub fn cut_short(
        &self,
        times: (u64, u64),
        workload: &Workload,
        dispatcher: &Dispatcher,
    ) -> BTreeSet<(Incarnation, RunId)> {
        leaving::cut_short(times, workload, dispatcher, &self.runtimes)
    }

    /// Returns the time in which a job must be done to be on time, in milliseconds, based on the run times learnt so far. Returns `None`
    /// for an unknown job.
    pub fn objective_ms(&self, workload: &Workload, id: JobId) -> Option<u64> {
        let job = workload.job(id)?;
        let queue = workload.queue_of(job);
        Some(collect::objective_ms(id, job, queue, &self.runtimes))
    }

    /// Returns whether a plan at `now_ms` would make `unit` wait for workers without recent starts.
    pub(super) fn isolates(&self, now_ms: u64, unit: &Unit) -> bool {
        let since_ms = self.isolated_since_ms.get(&unit.step).copied();
        unit.is_suspect() && is_isolation_pending(now_ms, since_ms.unwrap_or(now_ms))
    }

    /// Plans what starts and what stops at `now_ms` on the leader's clock, which is `wall_ms` since 1970.
    pub fn plan(
        &mut self,
        now_ms: u64,
        wall_ms: u64,
        workload: &Workload,
        dispatcher: &Dispatcher,
    ) -> Plan {
        let Self {
            policy,
            runtimes,
            speeds,
            observed_progress: _,
            headroom,
            reservations,
            failed_on,
            restarted_slow: _,
            isolated_since_ms,
            last_pass,
            stall_tracker,
        } = self;
        let policy = &policy.in_fleet_of(workload.worker_count());
        let guaranteed = guaranteed_jobs(workload);
        let mut units = collect::collect(
            workload,
            runtimes,
            &guaranteed,
            (wall_ms, dispatcher.timing().remote_percent),
        );
        drop_uncertain_gangs(now_ms, &mut units, workload, dispatcher);
        let permissions = &dispatcher.permissions;
        for unit in units.iter_mut().filter(|unit| unit.advised.is_some()) {
            unit.permitted = Some(permissions.permitted(unit.step, now_ms));
        }
        let waiting = collect::steps_of(&units);
        if policy.backfills {
            backfill::set_times(&mut units, workload, runtimes);
        }
        isolate_suspects(now_ms, &mut units, isolated_since_ms);
        if units.is_empty() {
            // Most passes follow the end of a run when nothing waits. They do not look at the workers.
            let released = std::mem::take(reservations).into_keys();
            let nothing_started = BTreeSet::new();
            stall_tracker.record(now_ms, (&[], &nothing_started), &[], (workload, dispatcher));
            *last_pass = LastPass::default();
            return Plan {
                released: released
                    .map(|step| (step, ReleaseReason::NotWaiting))
                    .collect(),
                ..Plan::default()
            };
        }
        let shares = Shares::new(policy, workload, &units);
        if shares.discount_units(workload, &mut units) {
            collect::sort(&mut units);
        }
        speeds.update(now_ms);
        let mut pass = Pass::new(
            (now_ms, wall_ms),
            workload,
            dispatcher,
            (runtimes, speeds),
            &guaranteed,
        )
        .with_shares(shares)
        .with_policy(*policy);
        require_steady_workers(&mut units, &pass.rooms);
        if pass.by_worker {
            limit_units(&mut units, &pass.rooms, wall_ms);
        }
        pass.drop_stale_reservations(reservations, &waiting);
        pass.apply_reservations(reservations, &units);
        headroom.assume_arrivals(dispatcher.elected_ms(), workload, &pass.rooms);
        headroom.record_arrivals(now_ms, &units);
        let stop_ms = dispatcher.timing().stop_timeout_ms;
        headroom.mark_rooms((now_ms, stop_ms), &mut pass.rooms);
        if policy.max_displacements.is_some() {
            order_by_exposure(&mut units, &pass.rooms, workload, &guaranteed, wall_ms);
        }
        let mut held_gangs = 0;
        let mut held_for = BTreeSet::new();
        let max_held_gangs = Room::count_racks(&pass.rooms).max(MIN_HELD_GANGS);
        for limited in &units {
            let unlimited;
            let unit = if limited.is_limited() {
                unlimited = limited.without_limit();
                &unlimited
            } else {
                limited
            };
            if let Some(reservation) = reservations.get(&unit.step) {
                if let Some(placement) = pass.reserved_placement(reservation, unit) {
                    pass.start_reserved(unit, &placement);
                    reservations.remove(&unit.step);
                }
                continue;
            }
            pass.ask_adviser(unit);
            let avoid = avoided_workers(failed_on, unit, &pass.rooms);
            let stalled_long = stall_tracker.is_stalled_long(now_ms, unit.step);
            let is_limited = limited.is_limited() && !stalled_long;
            if unit.spec.gang {
                if is_limited {
                    match pass.start_gang_in_time(limited, &avoid, held_gangs < max_held_gangs) {
                        InTime::Started => continue,
                        InTime::Waits => {
                            held_gangs += 1;
                            held_for.insert(unit.step);
                            continue;
                        }
                        InTime::NoRoom => {}
                    }
                }
                let placement = pass.place_gang(unit, &avoid);
                let relaxed_placement = || pass.place_relaxed(unit, &avoid);
                if let Some(placement) =
                    placement.or_else(|| stalled_long.then(relaxed_placement).flatten())
                {
                    pass.start(unit, &placement);
                } else if pass.try_preempt(reservations, limited) {
                    continue;
                } else if held_gangs < max_held_gangs {
                    held_gangs += 1;
                    held_for.insert(unit.step);
                    pass.hold_for_gang(unit, &avoid);
                }
                continue;
            }
            let rest;
            let unit = if is_limited {
                let Some(tasks) = pass.start_tasks_in_time(limited, &avoid) else {
                    continue;
                };
                rest = tasks;
                &rest
            } else {
                unit
            };
            let mut placement = pass.place_tasks(unit, &avoid);
            if placement.is_empty() && stalled_long {
                // A service needs all its tasks. For any other step, one task is enough for the job to make progress, and the other tasks
                // may wait for better workers.
                let subset = if unit.spec.long_running {
                    unit.clone()
                } else {
                    unit.first_task()
                };
                placement = pass.place_relaxed(&subset, &avoid).unwrap_or_default();
            }
            let placed = placement.iter().map(|(_, count)| count).sum();
            pass.start(unit, &placement);
            if placed < unit.count() {
                pass.try_preempt(reservations, &unit.without_first(placed));
            }
        }
        let has_withheld = |step| held_for.contains(&step) || reservations.contains_key(&step);
        *last_pass = LastPass::new(&units, &pass.rooms, &pass.plan.starts, has_withheld);
        stall_tracker.record(
            now_ms,
            (&units, &last_pass.started),
            &pass.rooms,
            (workload, dispatcher),
        );
        pass.plan
    }
}

/// Returns whether a unit under which a worker has crashed, and which has waited since `since_ms`, still waits for workers without recent
/// starts.
fn is_isolation_pending(now_ms: u64, since_ms: u64) -> bool {
    now_ms < since_ms + MAX_ISOLATION_WAIT_MS
}

/// Marks the units under which a worker has crashed as isolated for as long as they wait for workers without recent starts.
fn isolate_suspects(now_ms: u64, units: &mut [Unit], since_ms: &mut BTreeMap<StepId, u64>) {
    let before = std::mem::take(since_ms);
    for unit in units.iter_mut().filter(|unit| unit.is_suspect()) {
        let since = before.get(&unit.step).copied().unwrap_or(now_ms);
        since_ms.insert(unit.step, since);
        unit.isolated = is_isolation_pending(now_ms, since);
    }
}

/// Marks the units under which a worker has crashed, and which wait for a worker that has not crashed in the last few seconds. They don't where all
/// workers that may run them have: nothing better will come.
fn require_steady_workers(units: &mut [Unit], rooms: &[Room]) {
    for unit in units.iter_mut().filter(|unit| unit.is_suspect()) {
        unit.needs_steady_worker = may_have_steady_worker(unit, rooms);
    }
}

/// Returns whether there are workers that may run the unit, whether they have room or not, and that have not crashed in the last few seconds.
pub(super) fn may_have_steady_worker(unit: &Unit, rooms: &[Room]) -> bool {
    let mut eligible = rooms.iter().filter(|room| room.is_eligible(unit));
    eligible.any(|room| room.steadiness < Steadiness::Unsteady)
}

/// Returns the workers on which tasks of the unit have failed or were overdue. Returns none if the other workers that accept the unit could
/// not hold the whole gang even if they were empty, or not a single task if the unit is not a gang.
pub(super) fn avoided_workers(
    failed_on: &BTreeMap<TaskId, BTreeSet<Incarnation>>,
    unit: &Unit,
    rooms: &[Room],
) -> BTreeSet<Incarnation> {
    let mut avoid = BTreeSet::new();
    if unit.relaxed {
        return avoid;
    }
    for index in &unit.indices {
        let task = TaskId {
            step: unit.step,
            index: *index,
        };
        if let Some(workers) = failed_on.get(&task) {
            avoid.extend(workers.iter().cloned());
        }
    }
    if avoid.is_empty() {
        return avoid;
    }
    let others = rooms
        .iter()
        .filter(|room| room.accepts(unit) && !avoid.contains(&room.worker));
    let places: u64 = others
        .map(|room| unit.needs.count_in(&room.capacity, room.max_tasks(unit)))
        .fold(0, u64::saturating_add);
    let min_places = if unit.spec.gang { unit.count() } else { 1 };
    if places >= min_places {
        avoid
    } else {
        BTreeSet::new()
    }
}

/// Removes gangs that may have used up their attempts, because some attempts ended without a report and may have failed. The gangs wait
/// until the workers report the outcome or the leases of the workers expire.
fn drop_uncertain_gangs(
    now_ms: u64,
    units: &mut Vec<Unit>,
    workload: &Workload,
    dispatcher: &Dispatcher,
) {
    let unheard = dispatcher.unheard_attempts(now_ms);
    units.retain(|unit| !is_uncertain(unit.step, &unheard, workload));
}

/// Returns whether a gang has used up its attempts, assuming that all its attempts in `unheard` have failed. These attempts ended without a
/// report.
pub(super) fn is_uncertain(
    step: StepId,
    unheard: &BTreeMap<StepId, BTreeSet<u32>>,
    workload: &Workload,
) -> bool {
    let Some(attempts) = unheard.get(&step) else {
        return false;
    };
    let job = workload.job(step.job);
    let known = job.and_then(|job| Some((job, job.step_spec(step)?, job.step(step)?)));
    let Some((job, spec, progress)) = known else {
        return false;
    };
    let Some(limit) = workload.failure_limit(job, spec) else {
        return false;
    };
    let counted = [progress.failed_attempt, progress.late_failed_attempt];
    let uncertain = attempts.iter().filter(|attempt| !counted.contains(attempt));
    let uncertain = u32::try_from(uncertain.count()).unwrap_or(u32::MAX);
    progress.failures.saturating_add(uncertain) >= limit
}
