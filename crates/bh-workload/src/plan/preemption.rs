//! Chooses runs to stop so that a unit fits.

use super::Placement;
use super::Room;
use super::Unit;
use super::place;
use crate::job::Resources;
use crate::job::RunId;
use crate::job::TaskId;
use crate::state::TaskState;
use crate::state::Workload;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// A recorded run that may be preempted, and the cost of stopping it.
#[derive(Clone, Debug)]
pub struct PreemptionCandidate {
    /// The run.
    pub run: RunId,
    /// Position of its worker among the rooms.
    pub room: usize,
    /// Resources that the run takes.
    pub needs: Resources,
    /// Work lost if the run is stopped, in thousandths of core-milliseconds; 0 if it is already being stopped.
    pub loss: u64,
    /// Whether the run is already being stopped.
    pub stopping: bool,
    /// Whether a guarantee covers its job.
    pub guaranteed: bool,
    /// Whether the run is a task of a service.
    pub is_service: bool,
    /// Whether its step limits how many of its tasks may be unavailable at the same time.
    pub has_disruption_limit: bool,
    /// Priority of its queue.
    pub priority: u32,
    /// Whether its task was displaced as often as the policy allows.
    pub at_limit: bool,
    /// Whether it is a member of a gang.
    pub gang: bool,
}

impl PreemptionCandidate {
    /// Returns whether the run may be stopped for `unit`.
    pub fn yields_to(&self, unit: &Unit) -> bool {
        if self.guaranteed {
            return false;
        }
        let outranked = unit.spec.long_running || self.priority > unit.priority;
        unit.guaranteed || !self.is_service && outranked
    }
}

/// A choice of workers for a unit and of runs to stop there.
#[derive(Clone, Debug, Default)]
pub struct Preemption {
    /// Workers for the unit.
    pub placement: Placement,
    /// Runs to stop.
    pub evictions: BTreeSet<RunId>,
    /// Work lost with the stopped runs, in thousandths of core-milliseconds.
    pub loss: u64,
}

/// Why no choice is possible.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PreemptionFailure {
    /// There is too little capacity even if all candidates are stopped.
    NoRoom,
    /// There is too little capacity in each of the preferred racks.
    NoRack,
}

/// Chooses workers for the whole unit as if all candidates could be stopped, preferring workers where the least work is lost. If `waits`, a
/// unit that prefers one rack is not spread over several.
pub fn plan_preemption(
    unit: &Unit,
    rooms: &[Room],
    candidates: &[&PreemptionCandidate],
    workload: &Workload,
    waits: bool,
) -> Result<Preemption, PreemptionFailure> {
    let by_room = by_room(rooms.len(), candidates);
    let mut offers: Vec<Offer> = Vec::new();
    for (index, room) in rooms.iter().enumerate() {
        if !room.accepts(unit) {
            continue;
        }
        offers.extend(offer(unit, index, room, &by_room[index]));
    }
    if offers.iter().map(|offer| offer.places).sum::<u64>() < unit.count() {
        return Err(PreemptionFailure::NoRoom);
    }
    let large_racks = if place::prefers_one_rack(unit) {
        place::large_enough_racks(unit, rooms)
    } else {
        BTreeSet::new()
    };
    let in_rack = cheapest_in_one_rack(unit, &offers, rooms, &large_racks);
    // Spread over several racks, the unit would be so slow that it would be late. It is only spread once it has waited its full time for a
    // rack.
    if in_rack.is_none() && !large_racks.is_empty() && waits {
        return Err(PreemptionFailure::NoRack);
    }
    let chosen = in_rack
        .or_else(|| cheapest(unit, &offers))
        .ok_or(PreemptionFailure::NoRoom)?;
    let evictions = evictions(unit, &chosen.0, rooms, &by_room, workload);
    Ok(Preemption {
        placement: chosen.0,
        evictions,
        loss: chosen.1,
    })
}

/// Returns the cheapest choice within one of the racks in `large_racks`.
fn cheapest_in_one_rack(
    unit: &Unit,
    offers: &[Offer],
    rooms: &[Room],
    large_racks: &BTreeSet<usize>,
) -> Option<(Placement, u64)> {
    let mut racks: BTreeMap<usize, Vec<Offer>> = BTreeMap::new();
    for offer in offers {
        let rack = rooms[offer.room].rack_number;
        if large_racks.contains(&rack) {
            racks.entry(rack).or_default().push(offer.clone());
        }
    }
    racks
        .values()
        .filter_map(|offers| cheapest(unit, offers))
        .min_by_key(|chosen| chosen.1)
}

/// How many tasks a worker could take, and the cost of that.
#[derive(Clone, Debug)]
struct Offer {
    room: usize,
    /// Preference for the worker among those of the same cost; lower is better.
    rank: u64,
    runtime_percent: u64,
    places: u64,
    loss: u64,
}

/// Groups the candidates by worker, the cheapest to stop first. `rooms` is the number of workers.
fn by_room<'a>(
    rooms: usize,
    candidates: &[&'a PreemptionCandidate],
) -> Vec<Vec<&'a PreemptionCandidate>> {
    let mut by_room: Vec<Vec<&PreemptionCandidate>> = vec![Vec::new(); rooms];
    for candidate in candidates {
        by_room[candidate.room].push(candidate);
    }
    for list in &mut by_room {
        list.sort_by_key(|candidate| (!candidate.stopping, candidate.loss));
    }
    by_room
}

fn offer(
    unit: &Unit,
    index: usize,
    room: &Room,
    candidates: &[&PreemptionCandidate],
) -> Option<Offer> {
    let max_tasks = room.max_tasks(unit);
    let mut freed = Resources::default();
    let (mut places, mut loss) = (unit.needs.count_in(&room.available(), max_tasks), 0);
    for candidate in candidates {
        if places >= max_tasks {
            break;
        }
        freed.add(&candidate.needs);
        loss += candidate.loss;
        places = unit
            .needs
            .count_in(&room.available_after(&freed), max_tasks);
    }
    (places > 0).then_some(Offer {
        room: index,
        rank: if unit.by_worker && unit.prefers_fast_workers() {
            room.runtime_percent
        } else {
            0
        },
        runtime_percent: room.runtime_percent,
        places,
        loss,
    })
}

fn cheapest(unit: &Unit, offers: &[Offer]) -> Option<(Placement, u64)> {
    let mut offers: Vec<&Offer> = offers.iter().collect();
    offers.sort_by_key(|offer| {
        (
            offer.loss * offer.runtime_percent / offer.places,
            offer.rank,
            offer.room,
        )
    });
    let (mut left, mut loss) = (unit.count(), 0);
    let mut placement = Vec::new();
    for offer in offers {
        if left == 0 {
            break;
        }
        let take = offer.places.min(left);
        placement.push((offer.room, take));
        loss += offer.loss * offer.runtime_percent / 100;
        left -= take;
    }
    (left == 0).then_some((placement, loss))
}

fn evictions(
    unit: &Unit,
    placement: &Placement,
    rooms: &[Room],
    by_room: &[Vec<&PreemptionCandidate>],
    workload: &Workload,
) -> BTreeSet<RunId> {
    let mut stopped: BTreeSet<RunId> = BTreeSet::new();
    for (index, count) in placement {
        let on_worker = &by_room[*index];
        let mut freed = Resources::default();
        for candidate in on_worker {
            if candidate.stopping || stopped.contains(&candidate.run) {
                freed.add(&candidate.needs);
            }
        }
        for candidate in on_worker {
            let places = unit
                .needs
                .count_in(&rooms[*index].available_after(&freed), *count);
            if places >= *count {
                break;
            }
            if candidate.stopping || stopped.contains(&candidate.run) {
                continue;
            }
            freed.add(&candidate.needs);
            stopped.extend(with_gang(candidate.run, workload));
        }
    }
    stopped
}

/// Returns the run and the other members of its gang. Stopping one member ends all of them and frees the resources of all.
pub(crate) fn with_gang(run: RunId, workload: &Workload) -> BTreeSet<RunId> {
    let gang = workload
        .step_spec(run.task.step)
        .is_some_and(|spec| spec.gang);
    if !gang {
        return BTreeSet::from([run]);
    }
    let step = run.task.step;
    let tasks = workload
        .job(step.job)
        .and_then(|job| job.step(step))
        .map_or(&[][..], |progress| &progress.tasks);
    let open = tasks
        .iter()
        .zip(0..)
        .filter_map(|(task, index)| match task.state {
            TaskState::Open(attempt) => Some(RunId {
                task: TaskId { step, index },
                attempt,
            }),
            TaskState::Waiting | TaskState::Done => None,
        });
    open.collect()
}
