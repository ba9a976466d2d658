//! Preempts runs to make room for more important work.

use super::PreemptionCandidate;
use super::Room;
use super::Unit;
use super::disruption_budget::DisruptionBudget;
use super::pass::Pass;
use super::place;
use super::preemption;
use super::preemption::Preemption;
use super::preemption::PreemptionFailure;
use super::preemption::with_gang;
use super::preemption_candidates::PreemptionCandidates;
use super::reservation::Reservation;
use super::shared_stops::plan_shared_stops;
use super::stop_costs::StopCosts;
use crate::dispatch::RunState;
use crate::job::RunId;
use crate::job::StepId;
use crate::state::Worker;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

/// Maximum work that may be lost for a unit of priority 0, as a multiple of the unit's own work. Such a unit is worth about ten times as
/// much per capacity as the work that it displaces, and is late within a second or two. A factor of four leaves a margin for what the
/// displaced jobs lose beside their work.
const MAX_LOSS_FACTOR: u64 = 4;
/// Time beyond the longest stop after which a reservation is dropped if its capacity has not become free, in milliseconds. The planner then
/// chooses other workers.
const RESERVATION_GRACE_MS: u64 = 1_500;

/// Maximum number of choices that are tried for one unit because the cheapest ones stop too many tasks of a service.
const MAX_CHOICES: usize = 64;

impl Pass<'_> {
    /// Stops other runs to make room for `unit`, if it may preempt any, and adds a reservation. Returns whether it did.
    pub fn try_preempt(
        &mut self,
        reservations: &mut BTreeMap<StepId, Reservation>,
        unit: &Unit,
    ) -> bool {
        let Some(reservation) = self.preempt(unit) else {
            return false;
        };
        self.plan
            .reserved
            .push((unit.step, reservation.places.len()));
        reservations.insert(unit.step, reservation);
        true
    }

    /// Stops runs to make room for guaranteed work, for a service that lacks a task, or for work of priority 0 that is worth more than the
    /// work lost.
    fn preempt(&mut self, unit: &Unit) -> Option<Reservation> {
        // Healthy runs are not stopped for a unit that may crash the worker.
        let is_urgent = unit.priority == 0 && unit.on_time && !unit.is_suspect();
        if !unit.guaranteed && !unit.spec.long_running && !is_urgent {
            return None;
        }
        let class = (unit.guaranteed, unit.spec.long_running, unit.priority);
        if self
            .failed_preemptions
            .rules_out(&class, unit, unit.count())
        {
            return None;
        }
        let all = match self.preemption_candidates.take() {
            Some(candidates) => candidates,
            None => PreemptionCandidates::new(self.collect_candidates()),
        };
        let made = self.make_room_within_limits(unit, &all.runs);
        self.preemption_candidates = Some(all);
        let preemption_plan = match made {
            Ok(preemption_plan) => preemption_plan,
            Err(PreemptionFailure::NoRoom) => {
                self.failed_preemptions.record(class, unit, unit.count());
                return None;
            }
            Err(PreemptionFailure::NoRack) => return None,
        };
        let weighs_loss = !unit.guaranteed && !unit.spec.long_running;
        if weighs_loss && preemption_plan.loss > unit.work() * MAX_LOSS_FACTOR {
            return None;
        }
        self.stop(&preemption_plan.evictions);
        // The stopped runs may free more capacity than was reserved.
        self.failed_preemptions.clear();
        for (at, count) in &preemption_plan.placement {
            for _ in 0..*count {
                self.rooms[*at].reserved_capacity.add(&unit.needs);
            }
        }
        let places = preemption_plan
            .placement
            .iter()
            .map(|(at, count)| (self.rooms[*at].worker.clone(), *count))
            .collect();
        Some(Reservation {
            places,
            until_ms: self.now_ms + self.dispatcher.timing().stop_timeout_ms + RESERVATION_GRACE_MS,
        })
    }

    /// Chooses the workers for `unit`. Tasks that were displaced as often as the policy allows are left alone, unless a guarantee covers the
    /// unit and there is no other way.
    fn make_room_within_limits(
        &self,
        unit: &Unit,
        all: &[PreemptionCandidate],
    ) -> Result<Preemption, PreemptionFailure> {
        let may_exceed = unit.guaranteed && self.policy.max_displacements.is_some();
        let waits =
            place::prefers_one_rack(unit) && place::waits_for_rack(unit, &self.rooms, self.wall_ms);
        // A guaranteed gang is not spread over several racks where one rack could be freed beyond the limit.
        let made = self.make_room(unit, all, (waits || may_exceed, false));
        if made.is_err() && may_exceed {
            return self.make_room(unit, all, (waits, true));
        }
        made
    }

    /// Chooses the workers for `unit`, given the available capacity and the runs in `all` that yield to the unit. `waits` tells whether the
    /// unit waits for a rack rather than being spread, `exceeds_limit` whether tasks at the limit of displacements may be stopped.
    ///
    /// The cheapest choice may stop more tasks of a service than may be missing. Then at least one of these runs must be left alone, so each of
    /// them is left out in turn until a choice is allowed.
    fn make_room(
        &self,
        unit: &Unit,
        all: &[PreemptionCandidate],
        (waits, exceeds_limit): (bool, bool),
    ) -> Result<Preemption, PreemptionFailure> {
        let mut budget =
            DisruptionBudget::new(self.workload, self.dispatcher, &self.plan.evictions);
        let may_stop = |candidate: &&PreemptionCandidate| {
            candidate.stopping
                || candidate.yields_to(unit)
                    && (exceeds_limit || !candidate.at_limit)
                    && (!candidate.has_disruption_limit
                        || budget.allows(&with_gang(candidate.run, self.workload)))
        };
        let candidates: Vec<&PreemptionCandidate> = all.iter().filter(may_stop).collect();
        let mut left_out = VecDeque::from([BTreeSet::new()]);
        let mut seen: BTreeSet<BTreeSet<RunId>> = BTreeSet::new();
        let mut failure = PreemptionFailure::NoRoom;
        while let Some(spared) = left_out.pop_front() {
            let tried: Vec<&PreemptionCandidate> = candidates
                .iter()
                .copied()
                .filter(|candidate| candidate.stopping || !spared.contains(&candidate.run))
                .collect();
            let made = match self.choose_places(unit, &tried, waits) {
                Ok(made) => made,
                Err(why) => {
                    failure = why;
                    continue;
                }
            };
            let Some(excess) = budget.excess(&made.evictions) else {
                return Ok(made);
            };
            for run in excess {
                let mut spared = spared.clone();
                spared.insert(run);
                if seen.len() < MAX_CHOICES && seen.insert(spared.clone()) {
                    left_out.push_back(spared);
                }
            }
        }
        Err(failure)
    }

    /// Chooses the workers for `unit`, given the available capacity and the runs that may be stopped.
    fn choose_places(
        &self,
        unit: &Unit,
        candidates: &[&PreemptionCandidate],
        waits: bool,
    ) -> Result<Preemption, PreemptionFailure> {
        let plan = |unit: &Unit| {
            if self.policy.max_displacements.is_some() {
                plan_shared_stops(unit, &self.rooms, candidates, self.workload, waits)
            } else {
                preemption::plan_preemption(unit, &self.rooms, candidates, self.workload, waits)
            }
        };
        // The unit goes where it is on time, if it can. Spread over several racks, it would not be.
        let fits_a_rack = || {
            !place::prefers_one_rack(unit)
                || !place::large_enough_racks(unit, &self.rooms).is_empty()
        };
        if unit.is_limited()
            && fits_a_rack()
            && let Ok(preemption) = plan(unit)
        {
            return Ok(preemption);
        }
        plan(&unit.without_limit())
    }

    fn stop(&mut self, runs: &BTreeSet<RunId>) {
        let Some(candidates) = self.preemption_candidates.as_mut() else {
            return;
        };
        for run in runs {
            let Some(candidate) = candidates.get_mut(*run).filter(|run| !run.stopping) else {
                continue;
            };
            candidate.stopping = true;
            candidate.loss = 0;
            let worker = self.rooms[candidate.room].worker.clone();
            self.plan.evictions.push((worker, candidate.run));
        }
    }

    /// Collects all recorded runs. The result is cached for the pass, because otherwise each unit that attempts to preempt would scan all runs
    /// of the fleet.
    fn collect_candidates(&self) -> Vec<PreemptionCandidate> {
        let workers = self.workload.workers().filter_map(|worker| {
            let room = Room::position(&self.rooms, &worker.info.id)?;
            Some((worker, room))
        });
        let times = (self.now_ms, self.wall_ms);
        let mut costs = (self.policy.max_displacements)
            .map(|_| StopCosts::new(times, self.workload, self.dispatcher, self.runtimes));
        workers
            .flat_map(|(worker, room)| self.candidates_on(worker, room, costs.as_mut()))
            .collect()
    }

    /// Collects the recorded runs on a worker. `costs` is set if the policy limits displacements.
    fn candidates_on(
        &self,
        worker: &Worker,
        room: usize,
        mut costs: Option<&mut StopCosts>,
    ) -> Vec<PreemptionCandidate> {
        let target = self.dispatcher.view(&worker.info.id);
        let runs = worker.runs.iter().map(|(run, needs)| {
            let run_state = target.and_then(|target| target.runs.get(run));
            let stopping = !self.workload.should_run(*run)
                || run_state.is_some_and(|run_state| run_state.stop_requested);
            let priority = self.priority_of(*run);
            let spec = self.workload.step_spec(run.task.step);
            let loss = match costs.as_mut() {
                _ if stopping => 0,
                Some(costs) => costs.cost(*run, run_state),
                None => self.loss(*run, run_state, priority),
            };
            PreemptionCandidate {
                run: *run,
                room,
                needs: *needs,
                loss: self.shares.discount_loss(self.workload, *run, loss),
                stopping,
                guaranteed: self.guaranteed.contains(&run.task.step.job),
                is_service: spec.is_some_and(|spec| spec.long_running),
                has_disruption_limit: spec.is_some_and(|spec| spec.most_unavailable.is_some()),
                priority,
                at_limit: self.is_at_limit(*run),
                gang: spec.is_some_and(|spec| spec.gang),
            }
        });
        runs.collect()
    }

    /// Whether the task of a run was displaced as often as the policy allows.
    fn is_at_limit(&self, run: RunId) -> bool {
        self.policy.max_displacements.is_some_and(|most| {
            let task = self.workload.task(run.task);
            task.is_some_and(|task| task.displacements >= most)
        })
    }

    fn priority_of(&self, run: RunId) -> u32 {
        self.workload
            .job(run.task.step.job)
            .map_or(u32::MAX, |job| self.workload.queue_of(job).priority)
    }

    /// Returns the work that is lost when a run is stopped, together with its gang.
    fn loss(&self, run: RunId, run_state: Option<&RunState>, priority: u32) -> u64 {
        let ran_ms = run_state.map_or(0, |run_state| {
            self.now_ms.saturating_sub(run_state.since_ms)
        });
        let Some(spec) = self.workload.step_spec(run.task.step) else {
            return 0;
        };
        // The progress is saved when the run is stopped, so only the time to restore it is lost.
        let lost_ms = if spec.checkpoints {
            ran_ms.min(self.dispatcher.timing().restore_ms)
        } else {
            ran_ms
        };
        let members = if spec.gang { u64::from(spec.count) } else { 1 };
        spec.needs.weight() * lost_ms.max(1) * members * room_value(priority)
    }
}

/// Returns how much capacity is worth to a queue of this priority, as a multiple of the lowest value. It falls with the square of the rank,
/// which is how users value the kinds of work relative to their capacity.
pub(super) fn room_value(priority: u32) -> u64 {
    const HIGHEST: u64 = 9;
    let rank = u64::from(priority).saturating_add(1);
    (HIGHEST / (rank * rank)).max(1)
}
