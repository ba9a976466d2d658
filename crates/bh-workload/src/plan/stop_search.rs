//! Chooses runs to stop so that a unit fits, counting each gang once.
//!
//! Stopping one member of a gang ends all of them. A search that counts the whole gang on each of its workers stops members of many gangs
//! where stopping one gang would do, and the work of all of them is lost.

use super::Placement;
use super::PreemptionCandidate;
use super::Room;
use super::Unit;
use super::preemption::with_gang;
use super::stop_group::StopGroup;
use crate::job::Resources;
use crate::job::RunId;
use crate::job::StepId;
use crate::state::Workload;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;

/// The next places that a worker can offer, and the groups to stop for them.
struct Offer {
    places: u64,
    loss: u64,
    /// The part of the loss that falls on the worker.
    shared_loss: u64,
    stops: Vec<usize>,
}

/// Chosen places and stops on one worker.
#[derive(Clone, Debug, Default)]
struct Chosen {
    places: u64,
    stopped: BTreeSet<usize>,
}

/// A choice in progress.
#[derive(Clone, Debug, Default)]
struct Choice {
    rooms: BTreeMap<usize, Chosen>,
    gangs: BTreeSet<StepId>,
    runs: Vec<RunId>,
    loss: u64,
}

/// The workers that accept a unit, and what may be stopped there.
pub(super) struct StopSearch<'a> {
    unit: &'a Unit,
    rooms: &'a [Room],
    groups: Vec<Vec<StopGroup>>,
    gang_rooms: BTreeMap<StepId, Vec<usize>>,
}

impl<'a> StopSearch<'a> {
    /// Prepares a search among `candidates`, the runs that may be stopped for the unit.
    pub fn new(unit: &'a Unit, rooms: &'a [Room], candidates: &[&PreemptionCandidate]) -> Self {
        let mut gang_rooms = BTreeMap::new();
        let groups = StopGroup::collect(unit, rooms, candidates, &mut gang_rooms);
        Self {
            unit,
            rooms,
            groups,
            gang_rooms,
        }
    }

    /// Returns how many tasks of the unit a worker could take if everything that may be stopped there were.
    pub fn most_places(&self, room: usize) -> u64 {
        let mut freed = Resources::default();
        for group in &self.groups[room] {
            freed.add(&group.needs);
        }
        self.places(room, &freed)
    }

    fn places(&self, room: usize, freed: &Resources) -> u64 {
        let room = &self.rooms[room];
        let available = room.available_after(freed);
        self.unit
            .needs
            .count_in(&available, room.max_tasks(self.unit))
    }

    /// Chooses places for the whole unit among `rooms`, those that lose the least first. Returns `None` if there are too few.
    pub fn cheapest(&self, rooms: Vec<usize>) -> Option<Found> {
        let mut choice = Choice::default();
        let mut left = self.unit.count();
        // Offers are computed again when they are taken: they may have become worse since fewer places are left to fill. Those that have
        // become better since a gang is stopped are added again.
        let mut queue: BinaryHeap<Reverse<(u64, usize)>> = BinaryHeap::new();
        let allowed: BTreeSet<usize> = rooms.into_iter().collect();
        for room in &allowed {
            let offer = self.offer(*room, &choice, left);
            queue.extend(offer.map(|offer| Reverse((self.price(*room, &offer, left), *room))));
        }
        while left > 0 {
            let Reverse((price, room)) = queue.pop()?;
            let Some(offer) = self.offer(room, &choice, left) else {
                continue;
            };
            let now = self.price(room, &offer, left);
            if now > price {
                queue.push(Reverse((now, room)));
                continue;
            }
            left -= offer.places.min(left);
            let changed = self.take(room, offer, &mut choice);
            for room in changed.into_iter().filter(|room| allowed.contains(room)) {
                let offer = self.offer(room, &choice, left);
                queue.extend(offer.map(|offer| Reverse((self.price(room, &offer, left), room))));
            }
        }
        Some(Found {
            placement: choice
                .rooms
                .iter()
                .map(|(room, chosen)| (*room, chosen.places))
                .collect(),
            stops: choice.runs,
            loss: choice.loss,
        })
    }

    /// Returns the loss of an offer for each place that is used, on a worker as slow as `room`.
    fn price(&self, room: usize, offer: &Offer, left: u64) -> u64 {
        let percent = self.rooms[room].runtime_percent;
        offer.shared_loss.saturating_mul(percent) / offer.places.min(left).max(1)
    }

    /// Returns the next places of a worker: those that are free, or else those that the cheapest stops make free.
    fn offer(&self, room: usize, choice: &Choice, left: u64) -> Option<Offer> {
        let none = Chosen::default();
        let chosen = choice.rooms.get(&room).unwrap_or(&none);
        let groups = &self.groups[room];
        let is_freed = |at: usize, group: &StopGroup| {
            group.stopping
                || chosen.stopped.contains(&at)
                || group.gang.is_some_and(|gang| choice.gangs.contains(&gang))
        };
        let mut freed = Resources::default();
        let mut stops = Vec::new();
        for (at, group) in groups.iter().enumerate() {
            if is_freed(at, group) {
                freed.add(&group.needs);
            }
        }
        let gained = |freed: &Resources| self.places(room, freed).saturating_sub(chosen.places);
        let free = gained(&freed);
        if free > 0 {
            return Some(Offer {
                places: free.min(left),
                loss: 0,
                shared_loss: 0,
                stops,
            });
        }
        for (at, group) in groups.iter().enumerate() {
            if is_freed(at, group) {
                continue;
            }
            freed.add(&group.needs);
            stops.push(at);
            if gained(&freed) > 0 {
                break;
            }
        }
        if gained(&freed) == 0 {
            return None;
        }
        drop_needless(groups, &mut stops, &mut freed, &gained);
        let loss = stops.iter().map(|at| groups[*at].loss);
        let shared_loss = stops.iter().map(|at| groups[*at].shared_loss(left));
        Some(Offer {
            places: gained(&freed).min(left),
            loss: loss.fold(0, u64::saturating_add),
            shared_loss: shared_loss.fold(0, u64::saturating_add),
            stops,
        })
    }

    /// Takes an offer. Returns the workers whose next offer may have become better.
    fn take(&self, room: usize, offer: Offer, choice: &mut Choice) -> BTreeSet<usize> {
        let mut changed = BTreeSet::from([room]);
        let groups = &self.groups[room];
        let percent = self.rooms[room].runtime_percent;
        choice.loss = choice
            .loss
            .saturating_add(offer.loss.saturating_mul(percent) / 100);
        for at in &offer.stops {
            choice.runs.push(groups[*at].run);
            if let Some(gang) = groups[*at].gang {
                choice.gangs.insert(gang);
                changed.extend(self.gang_rooms.get(&gang).into_iter().flatten());
            }
        }
        let chosen = choice.rooms.entry(room).or_default();
        chosen.places += offer.places;
        chosen.stopped.extend(offer.stops);
        changed
    }
}

/// Drops the stops without which there would still be a place, the most costly ones first.
fn drop_needless(
    groups: &[StopGroup],
    stops: &mut Vec<usize>,
    freed: &mut Resources,
    gained: &impl Fn(&Resources) -> u64,
) {
    let mut costly_first = stops.clone();
    costly_first.sort_by_key(|at| Reverse(groups[*at].loss));
    for at in costly_first {
        let mut without = *freed;
        without.subtract(&groups[at].needs);
        if gained(&without) > 0 {
            *freed = without;
            stops.retain(|other| *other != at);
        }
    }
}

/// Places for a unit, and what to stop for them.
pub(super) struct Found {
    pub placement: Placement,
    /// One run of each gang, or a single run.
    stops: Vec<RunId>,
    /// Work lost, in thousandths of core-milliseconds.
    pub loss: u64,
}

impl Found {
    /// Returns all runs to stop, with all members of each gang.
    pub fn evictions(&self, workload: &Workload) -> BTreeSet<RunId> {
        let stops = self.stops.iter();
        stops.flat_map(|run| with_gang(*run, workload)).collect()
    }
}
