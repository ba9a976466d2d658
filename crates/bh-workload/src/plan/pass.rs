//! One pass of the planner: the state from which one plan is made.

use super::Placement;
use super::Plan;
use super::Policy;
use super::ReleaseReason;
use super::Room;
use super::Runtimes;
use super::Speeds;
use super::Unit;
use super::failed_searches::FailedSearches;
use super::in_time::FutureCapacity;
use super::place;
use super::place::PlacementFailure;
use super::preemption_candidates::PreemptionCandidates;
use super::reservation::Reservation;
use super::shares::Shares;
use crate::dispatch::Dispatcher;
use crate::job::JobId;
use crate::job::Resources;
use crate::job::RunId;
use crate::job::StepId;
use crate::job::TaskId;
use crate::state::Start;
use crate::state::Workload;
use bh_protocol::Incarnation;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;

/// State of one pass of the planner.
pub(super) struct Pass<'a> {
    pub(super) now_ms: u64,
    pub(super) wall_ms: u64,
    pub(super) workload: &'a Workload,
    pub(super) dispatcher: &'a Dispatcher,
    pub(super) runtimes: &'a Runtimes,
    /// Whether workers are ranked by their own speeds.
    pub(super) by_worker: bool,
    /// The optional decisions in use.
    pub(super) policy: Policy,
    /// Jobs that are covered by a customer's guarantee.
    pub(super) guaranteed: &'a BTreeSet<JobId>,
    /// Shares of the customers in the capacity.
    pub(super) shares: Shares,
    /// Workers and their free capacity, ordered by worker. The pass updates them as it places work.
    pub rooms: Vec<Room>,
    /// All recorded runs, collected when the first unit attempts to preempt others.
    pub(super) preemption_candidates: Option<PreemptionCandidates>,
    /// Expected end and resources of the runs on each worker, computed on first use.
    pub(super) run_ends: BTreeMap<usize, Rc<[(u64, Resources)]>>,
    /// Placements that failed for lack of free capacity, by whether the unit may use the urgent headroom, and by the time in milliseconds
    /// within which it ends if it may use capacity that is held for gangs.
    pub(super) failed_placements: FailedSearches<(bool, Option<u64>)>,
    /// Placements on workers up to a speed that failed, by whether the unit may use the urgent headroom, and by the limit of the run time in
    /// percent.
    pub(super) failed_limited: FailedSearches<(bool, u64)>,
    /// Capacity that becomes free soon, computed on first use.
    pub(super) future: FutureCapacity,
    /// Preemptions that failed because stopping every run that may be stopped for the unit would not free enough, by whether the unit is
    /// guaranteed, whether it belongs to a service, and its priority.
    pub(super) failed_preemptions: FailedSearches<(bool, bool, u32)>,
    /// Decisions made so far.
    pub plan: Plan,
}

impl<'a> Pass<'a> {
    /// Starts a pass at a time on the leader's clock and on the wall clock, both in milliseconds.
    pub fn new(
        (now_ms, wall_ms): (u64, u64),
        workload: &'a Workload,
        dispatcher: &'a Dispatcher,
        (runtimes, speeds): (&'a Runtimes, &Speeds),
        guaranteed: &'a BTreeSet<JobId>,
    ) -> Self {
        let rooms = Room::for_all_workers(workload, dispatcher, speeds, now_ms);
        Self {
            now_ms,
            wall_ms,
            workload,
            dispatcher,
            runtimes,
            by_worker: speeds.ranks_workers(),
            policy: Policy::new(),
            guaranteed,
            shares: Shares::default(),
            rooms,
            preemption_candidates: None,
            run_ends: BTreeMap::new(),
            failed_placements: FailedSearches::new(),
            failed_limited: FailedSearches::new(),
            future: FutureCapacity::default(),
            failed_preemptions: FailedSearches::new(),
            plan: Plan::default(),
        }
    }

    /// Sets the shares of the customers, which discount the loss of runs of customers above theirs.
    pub fn with_shares(mut self, shares: Shares) -> Self {
        self.shares = shares;
        self
    }

    /// Sets the optional decisions in use.
    pub fn with_policy(mut self, policy: Policy) -> Self {
        self.policy = policy;
        self
    }

    /// Drops reservations that are no longer needed, have timed out or include an unusable worker.
    pub fn drop_stale_reservations(
        &mut self,
        reservations: &mut BTreeMap<StepId, Reservation>,
        waiting: &BTreeSet<StepId>,
    ) {
        let (now_ms, rooms) = (self.now_ms, &self.rooms);
        let usable =
            |worker: &Incarnation| Room::position(rooms, worker).is_some_and(|at| rooms[at].usable);
        let released = &mut self.plan.released;
        reservations.retain(|step, reservation| {
            let why = if !waiting.contains(step) {
                ReleaseReason::NotWaiting
            } else if now_ms >= reservation.until_ms {
                ReleaseReason::TooSlow
            } else if !reservation.places.iter().all(|(worker, _)| usable(worker)) {
                ReleaseReason::WorkerUnusable
            } else {
                return true;
            };
            released.push((*step, why));
            false
        });
    }

    /// Takes the reserved capacity off what other units can use.
    pub fn apply_reservations(
        &mut self,
        reservations: &BTreeMap<StepId, Reservation>,
        units: &[Unit],
    ) {
        for unit in units {
            let Some(reservation) = reservations.get(&unit.step) else {
                continue;
            };
            for (worker, count) in &reservation.places {
                if let Some(at) = Room::position(&self.rooms, worker) {
                    for _ in 0..*count {
                        self.rooms[at].reserved_capacity.add(&unit.needs);
                    }
                }
            }
        }
    }

    /// Returns the reserved placement once all its capacity is free.
    pub fn reserved_placement(&self, reservation: &Reservation, unit: &Unit) -> Option<Placement> {
        reservation
            .places
            .iter()
            .map(|(worker, count)| {
                let at = Room::position(&self.rooms, worker)?;
                let fits = unit.needs.count_in(&self.rooms[at].free, *count) >= *count;
                fits.then_some((at, *count))
            })
            .collect()
    }

    /// Asks the unit's adviser about more workers if the permitted ones have too little capacity.
    pub fn ask_adviser(&mut self, unit: &Unit) {
        let Some(timing) = &unit.advised else {
            return;
        };
        let unrestricted = Unit {
            permitted: None,
            ..unit.clone()
        };
        let none = BTreeSet::new();
        let places = |unit: &Unit, room: &Room| room.places(unit, &none);
        let allowed: u64 = self.rooms.iter().map(|room| places(unit, room)).sum();
        if allowed >= unit.count() {
            return;
        }
        let mut candidates: Vec<(u64, &Room)> = self
            .rooms
            .iter()
            .filter(|room| room.accepts(&unrestricted))
            .map(|room| (places(&unrestricted, room), room))
            .collect();
        candidates.sort_by_key(|(places, _)| std::cmp::Reverse(*places));
        let candidates = candidates.into_iter().map(|(_, room)| room.worker.clone());
        let question =
            self.dispatcher
                .permissions
                .question(self.now_ms, unit.step, timing, candidates);
        self.plan.questions.extend(question);
    }

    /// Finds workers for a whole gang. Returns `None` if the gang must wait.
    pub fn place_gang(&mut self, unit: &Unit, avoid: &BTreeSet<Incarnation>) -> Option<Placement> {
        // A failed search rules out others only if they may use the same workers.
        let class = (unit.may_use_headroom(), unit.backfill_ms);
        if self.failed_placements.rules_out(&class, unit, unit.count()) {
            return None;
        }
        match place::place_gang(unit, &self.rooms, avoid, self.wall_ms) {
            Ok(placement) => Some(placement),
            Err(why) => {
                if why == PlacementFailure::NoRoom && avoid.is_empty() {
                    self.failed_placements.record(class, unit, unit.count());
                }
                None
            }
        }
    }

    /// Finds workers for a unit that has been stalled for long, without regard to capacity that is held or kept for others. Workers in
    /// `avoid` are used only if there are no others.
    pub fn place_relaxed(
        &mut self,
        unit: &Unit,
        avoid: &BTreeSet<Incarnation>,
    ) -> Option<Placement> {
        let unit = Unit {
            relaxed: true,
            ..unit.clone()
        };
        let none = BTreeSet::new();
        [avoid, &none].into_iter().find_map(|avoid| {
            if unit.spec.gang {
                self.place_gang(&unit, avoid)
            } else {
                Some(self.place_tasks(&unit, avoid)).filter(|placement| !placement.is_empty())
            }
        })
    }

    /// Finds workers for as many of the unit's tasks as can start now.
    pub fn place_tasks(&mut self, unit: &Unit, avoid: &BTreeSet<Incarnation>) -> Placement {
        /// Smallest number of tasks for which the search has failed.
        const ONE: u64 = 1;
        let class = (unit.may_use_headroom(), unit.backfill_ms);
        if self.failed_placements.rules_out(&class, unit, ONE) {
            return Placement::new();
        }
        let placement = place::place_tasks(unit, &self.rooms, avoid, self.wall_ms);
        // A unit that prefers a rack may only be waiting for it.
        let no_room = placement.is_empty() && unit.spec.near_rack.is_none();
        if no_room && avoid.is_empty() {
            self.failed_placements.record(class, unit, ONE);
        }
        placement
    }

    /// Starts a unit on the capacity that was reserved for it.
    pub fn start_reserved(&mut self, unit: &Unit, placement: &Placement) {
        for (at, count) in placement {
            for _ in 0..*count {
                self.rooms[*at].reserved_capacity.subtract(&unit.needs);
            }
        }
        self.start(unit, placement);
    }

    /// Starts the unit's tasks on the workers of the placement.
    pub fn start(&mut self, unit: &Unit, placement: &Placement) {
        let mut tasks = unit.indices.iter().zip(&unit.attempts);
        for (at, count) in placement {
            self.rooms[*at].has_recent_start = true;
            // Nothing else may start beside a suspect task, so that a crash can be attributed.
            self.rooms[*at].usable &= !unit.is_suspect();
            self.rooms[*at].set_aside &= !unit.is_suspect();
            for _ in 0..*count {
                self.rooms[*at].free.subtract(&unit.needs);
                let Some((index, attempt)) = tasks.next() else {
                    return;
                };
                self.plan.starts.push(Start {
                    run: RunId {
                        task: TaskId {
                            step: unit.step,
                            index: *index,
                        },
                        attempt: *attempt,
                    },
                    worker: self.rooms[*at].worker.clone(),
                });
            }
        }
    }
}
