//! Where a unit goes.

use super::Room;
use super::Unit;
use crate::job::Resources;
use bh_protocol::Incarnation;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Tasks on each worker: position among the rooms, and number.
pub type Placement = Vec<(usize, u64)>;

/// Expected run times after which a unit no longer waits for a rack that suits it. Elsewhere it takes three times as long and three
/// times the room, so waiting is better for its caller and for all others for twice its run time at least; the rest is against starving.
const RACK_PATIENCE_RUNS: u64 = 4;
/// The same for work that a guarantee covers, in milliseconds: it must begin within a bound of some seconds, wherever that is.
const GUARANTEED_PATIENCE_MS: u64 = 1_200;

/// Time before a unit's last chance to be on time though spread, in milliseconds: plans are made every 200 ms at the latest.
const SPREAD_MARGIN_MS: u64 = 400;
/// Share of the pool that must stay open when a unit is spread before its patience is over, in percent.
const MIN_OPEN_PERCENT: u64 = 30;

/// A worker that could take some of a unit's tasks.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    room: usize,
    places: u64,
    free_accelerators: u64,
    /// Lower where the unit would rather be.
    rank: u64,
    /// Whether the worker is slow since it has just started, or left to itself.
    last_resort: bool,
    /// Whether room there is kept for a gang that does not fit yet.
    held_for_gangs: bool,
}

/// Why a gang is not placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementFailure {
    /// There is too little room for it.
    NoRoom,
    /// There is room, but it is better to wait for some in one rack.
    WaitForRack,
}

/// Finds workers for the whole gang.
///
/// # Errors
///
/// [`Unplaced`].
pub fn place_gang(
    unit: &Unit,
    rooms: &[Room],
    avoid: &BTreeSet<Incarnation>,
    wall_ms: u64,
) -> Result<Placement, PlacementFailure> {
    let candidates = candidates(unit, rooms, avoid);
    let total: u64 = candidates.iter().map(|candidate| candidate.places).sum();
    if total < unit.count() {
        return Err(PlacementFailure::NoRoom);
    }
    let racks = by_rack(&candidates, rooms);
    if prefers_one_rack(unit) {
        let best_rack = racks
            .iter()
            .filter(|(rack, candidates)| {
                is_preferred_rack(unit, rack) && places(candidates) >= unit.count()
            })
            .min_by_key(|(_, candidates)| {
                (
                    needs_last_resort(candidates, unit.count()),
                    worst_rank(candidates),
                    free_accelerators(candidates),
                )
            });
        if let Some((_, candidates)) = best_rack {
            return Ok(fill(candidates, unit.count()));
        }
        if waits_for_rack(unit, rooms, wall_ms) && !must_spread_now(unit, rooms, wall_ms) {
            return Err(PlacementFailure::WaitForRack);
        }
    }
    Ok(fill(&candidates, unit.count()))
}

/// Whether the unit is on time if it is spread over several racks now, hardly if it waits any longer, and the pool is idle enough to bear
/// that it takes so much room.
fn must_spread_now(unit: &Unit, rooms: &[Room], wall_ms: u64) -> bool {
    let end_ms = wall_ms + unit.expected_spread_ms;
    if end_ms > unit.due_ms || end_ms + SPREAD_MARGIN_MS <= unit.due_ms {
        return false;
    }
    let own = || {
        rooms
            .iter()
            .filter(|room| room.usable && room.pool == unit.pool)
    };
    let open: u64 = own().map(|room| room.available().accelerators).sum();
    let all: u64 = own().map(|room| room.capacity.accelerators).sum();
    let left = open.saturating_sub(unit.needs.accelerators * unit.count());
    left * 100 >= all * MIN_OPEN_PERCENT
}

/// Whether the unit is slower on some racks, or on several.
pub fn prefers_one_rack(unit: &Unit) -> bool {
    unit.spec.near_rack.is_some() || (unit.spec.gang && unit.spec.rack_local)
}

/// Whether a rack is as fast as any for the unit.
pub fn is_preferred_rack(unit: &Unit, rack: &Arc<str>) -> bool {
    unit.spec.near_rack.as_ref().is_none_or(|near| near == rack)
}

/// Racks that suit the unit and could hold it if they were empty.
pub fn large_enough_racks(unit: &Unit, rooms: &[Room]) -> BTreeSet<Arc<str>> {
    let mut capacity: BTreeMap<&Arc<str>, u64> = BTreeMap::new();
    let eligible = rooms
        .iter()
        .filter(|room| room.accepts(unit) && is_preferred_rack(unit, &room.rack));
    for room in eligible {
        *capacity.entry(&room.rack).or_default() +=
            unit.needs.count_in(&room.capacity, room.max_tasks(unit));
    }
    let min_places = if unit.spec.gang { unit.count() } else { 1 };
    capacity
        .into_iter()
        .filter(|(_, places)| *places >= min_places)
        .map(|(rack, _)| rack.clone())
        .collect()
}

/// Finds workers for as many of the unit's tasks as may begin now.
pub fn place_tasks(
    unit: &Unit,
    rooms: &[Room],
    avoid: &BTreeSet<Incarnation>,
    wall_ms: u64,
) -> Placement {
    let candidates = candidates(unit, rooms, avoid);
    let Some(near) = &unit.spec.near_rack else {
        return fill(&candidates, unit.count());
    };
    let (close, far): (Vec<Candidate>, Vec<Candidate>) = candidates
        .into_iter()
        .partition(|candidate| rooms[candidate.room].rack == *near);
    let mut placement = fill(&close, unit.count());
    let placed: u64 = placement.iter().map(|(_, count)| count).sum();
    if placed < unit.count() && !waits_for_rack(unit, rooms, wall_ms) {
        placement.extend(fill(&far, unit.count() - placed));
    }
    placement
}

/// Whether a rack that suits the unit could hold it once it is free, and waiting for that is still worth it.
pub fn waits_for_rack(unit: &Unit, rooms: &[Room], wall_ms: u64) -> bool {
    let patience_ms = if unit.guaranteed {
        GUARANTEED_PATIENCE_MS
    } else {
        unit.expected_ms * RACK_PATIENCE_RUNS
    };
    !unit.relaxed
        && wall_ms < unit.ready_ms + patience_ms
        && !large_enough_racks(unit, rooms).is_empty()
}

fn candidates(unit: &Unit, rooms: &[Room], avoid: &BTreeSet<Incarnation>) -> Vec<Candidate> {
    let mut candidates: Vec<Candidate> = rooms
        .iter()
        .enumerate()
        .map(|(index, room)| Candidate {
            room: index,
            places: room.places(unit, avoid),
            free_accelerators: room.available().accelerators,
            rank: rank(unit, room),
            last_resort: room.cold || room.set_aside,
            held_for_gangs: room.held_for_gangs != Resources::default(),
        })
        .filter(|candidate| candidate.places > 0)
        .collect();
    // The fullest workers first: whole free ones are kept for large tasks. Cold ones and those left to themselves last: one slow member holds a
    // whole gang up. What is kept for a gang looks full, and is taken only where nothing else is left, or that gang would never begin.
    candidates.sort_by_key(|candidate| {
        (
            candidate.last_resort,
            candidate.held_for_gangs,
            candidate.rank,
            candidate.free_accelerators,
            candidate.room,
        )
    });
    candidates
}

/// Tight work goes where runs are fastest, the rest where they are slowest: it has time to spare, and leaves the fast room to others.
fn rank(unit: &Unit, room: &Room) -> u64 {
    const SLOWEST_PERCENT: u64 = 1_000;
    if unit.is_suspect() {
        // Where least is lost should it crash the worker.
        room.runs.values().sum()
    } else if unit.spec.fills_idle {
        // Beside a service that is near its bound they would be held back as well.
        SLOWEST_PERCENT.saturating_sub(room.fill_percent)
    } else if unit.tight_deadline {
        room.runtime_percent
    } else {
        SLOWEST_PERCENT.saturating_sub(room.runtime_percent)
    }
}

fn worst_rank(candidates: &[Candidate]) -> u64 {
    candidates
        .iter()
        .map(|candidate| candidate.rank)
        .max()
        .unwrap_or(0)
}

fn by_rack(candidates: &[Candidate], rooms: &[Room]) -> BTreeMap<Arc<str>, Vec<Candidate>> {
    let mut racks: BTreeMap<Arc<str>, Vec<Candidate>> = BTreeMap::new();
    for candidate in candidates {
        racks
            .entry(rooms[candidate.room].rack.clone())
            .or_default()
            .push(*candidate);
    }
    racks
}

fn places(candidates: &[Candidate]) -> u64 {
    candidates.iter().map(|candidate| candidate.places).sum()
}

fn free_accelerators(candidates: &[Candidate]) -> u64 {
    candidates
        .iter()
        .map(|candidate| candidate.free_accelerators)
        .sum()
}

/// Whether `count` places are more than the workers have that are not shunned.
fn needs_last_resort(candidates: &[Candidate], count: u64) -> bool {
    let preferred = candidates.iter().filter(|candidate| !candidate.last_resort);
    preferred.map(|candidate| candidate.places).sum::<u64>() < count
}

fn fill(candidates: &[Candidate], count: u64) -> Placement {
    let mut left = count;
    let mut placement = Vec::new();
    for candidate in candidates {
        if left == 0 {
            break;
        }
        let take = candidate.places.min(left);
        placement.push((candidate.room, take));
        left -= take;
    }
    placement
}
