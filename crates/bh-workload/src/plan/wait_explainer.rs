//! Explains why a unit has not been placed.

use super::Planner;
use super::Room;
use super::Unit;
use super::UnusableReason;
use super::WaitReason;
use super::place;
use super::place::PlacementFailure;
use super::planner::avoided_workers;
use super::planner::may_have_steady_worker;
use crate::dispatch::Dispatcher;
use crate::state::Workload;
use bh_protocol::Incarnation;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

/// The current workers, combined with the capacity that the last pass withheld.
pub(super) struct WaitExplainer<'a> {
    planner: &'a Planner,
    dispatcher: &'a Dispatcher,
    now_ms: u64,
    wall_ms: u64,
    /// All workers.
    rooms: Vec<Room>,
    /// All workers, without what the last pass reserved or held for waiting units.
    after_reservations: Vec<Room>,
    /// The same, also without the workers kept for work of priority 0.
    after_headroom: Vec<Room>,
    /// Workers that are temporarily unusable, marked as usable.
    recoverable: Vec<Room>,
}

/// Returns how many of the unit's tasks can be placed in `rooms`.
fn places(unit: &Unit, rooms: &[Room], avoid: &BTreeSet<Incarnation>) -> u64 {
    rooms.iter().map(|room| room.places(unit, avoid)).sum()
}

/// Returns how many of the unit's tasks must fit for any of them to start: all of a gang, and one of other tasks.
fn min_places(unit: &Unit) -> u64 {
    if unit.spec.gang { unit.count() } else { 1 }
}

impl<'a> WaitExplainer<'a> {
    /// Creates the view of the workers at a time on the leader's clock and on the wall clock, both in milliseconds.
    pub fn new(
        planner: &'a Planner,
        (now_ms, wall_ms): (u64, u64),
        workload: &Workload,
        dispatcher: &'a Dispatcher,
    ) -> Self {
        let rooms = Room::for_all_workers(workload, dispatcher, &planner.speeds, now_ms);
        let last = &planner.last_pass;
        let mut after_reservations = rooms.clone();
        for room in &mut after_reservations {
            room.reserved_capacity = last
                .reserved_capacity
                .get(&room.worker)
                .copied()
                .unwrap_or_default();
        }
        let mut after_headroom = after_reservations.clone();
        for room in &mut after_headroom {
            room.urgent_only = last.urgent_only.contains(&room.worker);
        }
        let is_temporary = |room: &&Room| room.unusable.is_some_and(UnusableReason::is_temporary);
        let recoverable = rooms.iter().filter(is_temporary).map(|room| Room {
            usable: true,
            ..room.clone()
        });
        Self {
            planner,
            dispatcher,
            now_ms,
            wall_ms,
            recoverable: recoverable.collect(),
            after_reservations,
            after_headroom,
            rooms,
        }
    }

    /// Returns why a unit is not placed.
    pub fn wait(&self, unit: &Unit) -> WaitReason {
        if let Some(reservation) = self.planner.reservations.get(&unit.step) {
            let workers = reservation.places.len();
            return WaitReason::RoomIsMade { workers };
        }
        let allowed: Vec<&Room> = self
            .rooms
            .iter()
            .filter(|room| room.accepts(unit))
            .collect();
        if allowed.is_empty() {
            return self.no_worker_wait(unit);
        }
        if allowed
            .iter()
            .all(|room| !unit.needs.fits_in(&room.capacity))
        {
            return WaitReason::NoWorkerLargeEnough;
        }
        let none = BTreeSet::new();
        let tasks = unit.count();
        let free = places(unit, &self.rooms, &none);
        if free < tasks {
            return self
                .adviser_wait(unit)
                .or_else(|| self.unusable_wait(unit, free))
                .unwrap_or(WaitReason::NoRoom {
                    tasks,
                    places: free,
                });
        }
        let isolated = Unit {
            isolated: self.planner.isolates(self.now_ms, unit),
            needs_steady_worker: unit.is_suspect() && may_have_steady_worker(unit, &self.rooms),
            ..unit.clone()
        };
        if places(&isolated, &self.rooms, &none) < min_places(unit) {
            let crashes = unit.crashes;
            return WaitReason::Apart { crashes };
        }
        self.withheld_wait(&isolated)
    }

    /// Returns why a unit is not placed although there are enough slots for it.
    fn withheld_wait(&self, unit: &Unit) -> WaitReason {
        let last = &self.planner.last_pass;
        if last.started.contains(&unit.step) {
            return WaitReason::StartRecording;
        }
        let min_places = min_places(unit);
        let avoid = avoided_workers(&self.planner.failed_on, unit, &self.rooms);
        if places(unit, &self.rooms, &avoid) < min_places {
            let workers = avoid.len();
            return WaitReason::WorkersAvoided { workers };
        }
        let waits_for_rack = if unit.spec.gang {
            let placed = place::place_gang(unit, &self.rooms, &avoid, self.wall_ms);
            placed.is_err_and(|why| why == PlacementFailure::WaitForRack)
        } else {
            place::place_tasks(unit, &self.rooms, &avoid, self.wall_ms).is_empty()
        };
        if waits_for_rack {
            return WaitReason::Rack;
        }
        // What is held for the unit itself has been reported above as waiting for a rack or as a reservation.
        let left = places(unit, &self.after_reservations, &avoid);
        if left < min_places {
            let to = last.reserved_for.iter().map(ToString::to_string).collect();
            return WaitReason::RoomPromised { places: left, to };
        }
        let left = places(unit, &self.after_headroom, &avoid);
        if left < min_places {
            return WaitReason::RoomKept { places: left };
        }
        if !last.considered.contains(&unit.step) {
            return WaitReason::NotPlanned;
        }
        WaitReason::Placing
    }

    /// Returns why no worker accepts a unit.
    fn no_worker_wait(&self, unit: &Unit) -> WaitReason {
        let is_eligible = |room: &&Room| room.is_eligible(unit);
        let evacuated = self.rooms.iter().filter(|room| room.evacuated);
        let data_centres: BTreeSet<Arc<str>> = evacuated
            .filter(is_eligible)
            .map(|room| room.data_centre.clone())
            .collect();
        if let Some(wait) = self.adviser_wait(unit) {
            return wait;
        }
        if let Some(wait) = self.unusable_wait(unit, 0) {
            return wait;
        }
        if data_centres.is_empty() {
            return WaitReason::NoWorkerAllowed;
        }
        WaitReason::Evacuated { data_centres }
    }

    /// Returns [`WaitReason::Advice`] if the unit would have enough slots on workers about which its adviser has not been asked, or whose
    /// permission has expired.
    fn adviser_wait(&self, unit: &Unit) -> Option<WaitReason> {
        let advice = unit.advised.as_ref()?;
        let unrestricted = Unit {
            permitted: None,
            ..unit.clone()
        };
        if places(&unrestricted, &self.rooms, &BTreeSet::new()) < unit.count() {
            return None;
        }
        let candidates = self.rooms.iter().filter(|room| room.accepts(&unrestricted));
        let candidates = candidates.map(|room| room.worker.clone());
        self.dispatcher
            .permissions
            .question(self.now_ms, unit.step, advice, candidates)
            .map(|_| WaitReason::Advice)
    }

    /// Returns [`WaitReason::WorkersUnusable`] if the unit would have enough slots if temporarily unusable workers were usable. `free` is
    /// the number of slots on the other workers.
    fn unusable_wait(&self, unit: &Unit, free: u64) -> Option<WaitReason> {
        let none = BTreeSet::new();
        let mut by_cause: BTreeMap<UnusableReason, u64> = BTreeMap::new();
        for room in &self.recoverable {
            if let Some(why) = room.unusable {
                *by_cause.entry(why).or_default() += room.places(unit, &none);
            }
        }
        let places: u64 = by_cause.values().sum();
        let (why, most) = by_cause.into_iter().max_by_key(|(_, places)| *places)?;
        let enough = most > 0 && free.saturating_add(places) >= unit.count();
        enough.then_some(WaitReason::WorkersUnusable { places, why })
    }
}
