//! One pass of planning.

use super::Placement;
use super::Plan;
use super::Room;
use super::Runtimes;
use super::Speeds;
use super::Unclaimed;
use super::Unit;
use super::borrowers::Borrowers;
use super::claim::Claim;
use super::place;
use super::place::Unplaced;
use super::tried::Tried;
use crate::dispatch::Dispatcher;
use crate::job::JobId;
use crate::job::Needs;
use crate::job::RunId;
use crate::job::StepId;
use crate::job::TaskId;
use crate::state::Start;
use crate::state::Workload;
use bh_protocol::Incarnation;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;

/// One pass of planning.
pub(super) struct Pass<'a> {
    pub(super) now_ms: u64,
    pub(super) wall_ms: u64,
    pub(super) workload: &'a Workload,
    pub(super) dispatcher: &'a Dispatcher,
    pub(super) runtimes: &'a Runtimes,
    /// Jobs that guarantees cover.
    pub(super) entitled: &'a BTreeSet<JobId>,
    /// Workers as this pass sees them.
    pub rooms: Vec<Room>,
    pub(super) index: BTreeMap<Incarnation, usize>,
    /// Recorded runs, once somebody asks for room that they take.
    pub(super) borrowers: Option<Borrowers>,
    /// When runs of each worker are expected to end, once somebody asks.
    pub(super) ends: BTreeMap<usize, Rc<[(u64, Needs)]>>,
    /// What finds no free room; told apart by whether it may use kept room.
    pub(super) unplaceable: Tried<bool>,
    /// What finds no room even if all were stopped that give way to it; told apart by guarantee, service and priority.
    pub(super) unclaimable: Tried<(bool, bool, u32)>,
    /// What was decided so far.
    pub plan: Plan,
}

impl<'a> Pass<'a> {
    /// A pass at a time of the leader's clock and of the wall clock, both in milliseconds.
    pub fn new(
        (now_ms, wall_ms): (u64, u64),
        workload: &'a Workload,
        dispatcher: &'a Dispatcher,
        (runtimes, speeds): (&'a Runtimes, &Speeds),
        entitled: &'a BTreeSet<JobId>,
    ) -> Self {
        let rooms = Room::of_all(workload, dispatcher, speeds, now_ms);
        let index = rooms
            .iter()
            .enumerate()
            .map(|(index, room)| (room.worker.clone(), index))
            .collect();
        Self {
            now_ms,
            wall_ms,
            workload,
            dispatcher,
            runtimes,
            entitled,
            rooms,
            index,
            borrowers: None,
            ends: BTreeMap::new(),
            unplaceable: Tried::new(),
            unclaimable: Tried::new(),
            plan: Plan::default(),
        }
    }

    /// Drops claims that have become pointless.
    pub fn drop_claims(
        &mut self,
        claims: &mut BTreeMap<StepId, Claim>,
        waiting: &BTreeSet<StepId>,
    ) {
        let (now_ms, rooms, index) = (self.now_ms, &self.rooms, &self.index);
        let usable = |worker: &Incarnation| index.get(worker).is_some_and(|at| rooms[*at].usable);
        let unclaimed = &mut self.plan.unclaimed;
        claims.retain(|step, claim| {
            let why = if !waiting.contains(step) {
                Unclaimed::NotWaiting
            } else if now_ms >= claim.until_ms {
                Unclaimed::TooSlow
            } else if !claim.places.iter().all(|(worker, _)| usable(worker)) {
                Unclaimed::WorkerUnusable
            } else {
                return true;
            };
            unclaimed.push((*step, why));
            false
        });
    }

    /// Takes the claimed room away from everybody else.
    pub fn hold_claims(&mut self, claims: &BTreeMap<StepId, Claim>, units: &[Unit]) {
        for unit in units {
            let Some(claim) = claims.get(&unit.step) else {
                continue;
            };
            for (worker, count) in &claim.places {
                if let Some(at) = self.index.get(worker) {
                    for _ in 0..*count {
                        self.rooms[*at].promised.add(&unit.needs);
                    }
                }
            }
        }
    }

    /// The claimed places, once all of them are free.
    pub fn placement_of(&self, claim: &Claim, unit: &Unit) -> Option<Placement> {
        claim
            .places
            .iter()
            .map(|(worker, count)| {
                let at = *self.index.get(worker)?;
                let fits = unit.needs.times_in(&self.rooms[at].free, *count) >= *count;
                fits.then_some((at, *count))
            })
            .collect()
    }

    /// Asks the unit's adviser about more workers when those it allows have not enough room.
    pub fn ask(&mut self, unit: &Unit) {
        let Some(advice) = &unit.advised else {
            return;
        };
        let anywhere = Unit {
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
            .filter(|room| room.admits(&anywhere))
            .map(|room| (places(&anywhere, room), room))
            .collect();
        candidates.sort_by_key(|(places, _)| std::cmp::Reverse(*places));
        let candidates = candidates.into_iter().map(|(_, room)| room.worker.clone());
        let question =
            self.dispatcher
                .permissions
                .question(self.now_ms, unit.step, advice, candidates);
        self.plan.questions.extend(question);
    }

    /// Finds workers for a whole gang; `None` when it shall wait.
    pub fn place_gang(&mut self, unit: &Unit, avoid: &BTreeSet<Incarnation>) -> Option<Placement> {
        let class = unit.may_use_kept();
        if self.unplaceable.covers(&class, unit, unit.count()) {
            return None;
        }
        match place::place_gang(unit, &self.rooms, avoid, self.wall_ms) {
            Ok(placement) => Some(placement),
            Err(why) => {
                if why == Unplaced::NoRoom && avoid.is_empty() {
                    self.unplaceable.note(class, unit, unit.count());
                }
                None
            }
        }
    }

    /// Finds workers for a unit that has stood still for long, whatever they are kept for; those that it avoids only where no others are left.
    pub fn place_anywhere(
        &mut self,
        unit: &Unit,
        avoid: &BTreeSet<Incarnation>,
    ) -> Option<Placement> {
        let unit = Unit {
            takes_any: true,
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

    /// Finds workers for as many of a unit's tasks as may begin now.
    pub fn place_tasks(&mut self, unit: &Unit, avoid: &BTreeSet<Incarnation>) -> Placement {
        /// What did not even find this many places.
        const ONE: u64 = 1;
        let class = unit.may_use_kept();
        if self.unplaceable.covers(&class, unit, ONE) {
            return Placement::new();
        }
        let placement = place::place_tasks(unit, &self.rooms, avoid, self.wall_ms);
        // One that has a rack of its own may only have waited for that.
        let no_room = placement.is_empty() && unit.spec.near_rack.is_none();
        if no_room && avoid.is_empty() {
            self.unplaceable.note(class, unit, ONE);
        }
        placement
    }

    /// Starts a unit in room that was promised to it.
    pub fn start_promised(&mut self, unit: &Unit, placement: &Placement) {
        for (at, count) in placement {
            for _ in 0..*count {
                self.rooms[*at].promised.subtract(&unit.needs);
            }
        }
        self.start(unit, placement);
    }

    /// Starts a unit where it was placed.
    pub fn start(&mut self, unit: &Unit, placement: &Placement) {
        let mut tasks = unit.indices.iter().zip(&unit.attempts);
        for (at, count) in placement {
            self.rooms[*at].just_begun = true;
            self.rooms[*at].usable &= !unit.is_suspect();
            self.rooms[*at].aside &= !unit.is_suspect();
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
