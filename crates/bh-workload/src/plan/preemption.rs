//! Makes room for work that a guarantee covers.

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
use std::sync::Arc;

/// A recorded run, for whom it may be stopped, and what that would cost.
#[derive(Clone, Debug)]
pub struct PreemptionCandidate {
    /// The run.
    pub run: RunId,
    /// Position of its worker among the rooms.
    pub room: usize,
    /// What it takes.
    pub needs: Resources,
    /// Work lost if it is stopped, in thousandths of core-milliseconds; 0 when it is being stopped already.
    pub loss: u64,
    /// Whether it is being stopped already.
    pub stopping: bool,
    /// Whether a guarantee covers it.
    pub guaranteed: bool,
    /// Whether it serves callers of its own for as long as it lasts.
    pub is_service: bool,
    /// Whether only so many of its step may be missing at a time.
    pub has_disruption_limit: bool,
    /// Rank of its queue.
    pub priority: u32,
}

impl PreemptionCandidate {
    /// Whether the run gives way to `unit`.
    pub fn yields_to(&self, unit: &Unit) -> bool {
        if self.guaranteed {
            return false;
        }
        let outranked = unit.spec.long_running || self.priority > unit.priority;
        unit.guaranteed || !self.is_service && outranked
    }
}

/// Room made by stopping borrowers.
#[derive(Clone, Debug, Default)]
pub struct Preemption {
    /// Where the unit goes.
    pub placement: Placement,
    /// Runs to stop.
    pub evictions: BTreeSet<RunId>,
    /// Work that is lost with them, in thousandths of core-milliseconds.
    pub loss: u64,
}

/// Why no room can be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PreemptionFailure {
    /// There is too little even if all borrowers are stopped.
    NoRoom,
    /// There is too little in any one rack that suits.
    NoRack,
}

/// Chooses workers for the whole unit as if all borrowers could be stopped, those first where least work is lost. With `waits` a unit
/// that wants one rack is not spread over several.
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
    // Spread over racks the unit is so slow that it is late; that is for later, when its bound to begin comes near.
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

/// The cheapest choice within one of the racks in `able`.
fn cheapest_in_one_rack(
    unit: &Unit,
    offers: &[Offer],
    rooms: &[Room],
    large_racks: &BTreeSet<Arc<str>>,
) -> Option<(Placement, u64)> {
    let mut racks: BTreeMap<&Arc<str>, Vec<Offer>> = BTreeMap::new();
    for offer in offers {
        let rack = &rooms[offer.room].rack;
        if large_racks.contains(rack) {
            racks.entry(rack).or_default().push(offer.clone());
        }
    }
    racks
        .values()
        .filter_map(|offers| cheapest(unit, offers))
        .min_by_key(|chosen| chosen.1)
}

/// What a worker could take, and what that would cost.
#[derive(Clone, Debug)]
struct Offer {
    room: usize,
    runtime_percent: u64,
    places: u64,
    loss: u64,
}

/// The borrowers of each of `rooms` rooms, those first that are cheapest to stop.
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
    let most = room.max_tasks(unit);
    let mut gained = Resources::default();
    let (mut places, mut loss) = (unit.needs.count_in(&room.available(), most), 0);
    for candidate in candidates {
        if places >= most {
            break;
        }
        gained.add(&candidate.needs);
        loss += candidate.loss;
        places = unit.needs.count_in(&room.available_after(&gained), most);
    }
    (places > 0).then_some(Offer {
        room: index,
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
        let own = &by_room[*index];
        let mut gained = Resources::default();
        for candidate in own {
            if candidate.stopping || stopped.contains(&candidate.run) {
                gained.add(&candidate.needs);
            }
        }
        for candidate in own {
            let places = unit
                .needs
                .count_in(&rooms[*index].available_after(&gained), *count);
            if places >= *count {
                break;
            }
            if candidate.stopping || stopped.contains(&candidate.run) {
                continue;
            }
            gained.add(&candidate.needs);
            stopped.extend(with_gang(candidate.run, workload));
        }
    }
    stopped
}

/// A run and the members of its gang: stopping one ends them all, so all their room is gained.
fn with_gang(run: RunId, workload: &Workload) -> Vec<RunId> {
    let gang = workload
        .step_spec(run.task.step)
        .is_some_and(|spec| spec.gang);
    if !gang {
        return vec![run];
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
