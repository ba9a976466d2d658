//! Chooses workers for a unit among those with free capacity.

use super::Room;
use super::Unit;
use crate::dispatch::Steadiness;
use crate::job::Resources;
use bh_protocol::Incarnation;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Number of tasks for each worker, which is given by its position among the rooms.
pub type Placement = Vec<(usize, u64)>;

/// How long a unit waits for a rack that it prefers, as a multiple of its expected run time. Elsewhere it takes three times as long and
/// thus three times the capacity, so waiting for at least twice its run time is better for its caller and for all others. The limit
/// prevents starvation.
const RACK_PATIENCE_RUNS: u64 = 4;
/// How long guaranteed work waits for a preferred rack, in milliseconds. It must start within a few seconds, on any rack.
const GUARANTEED_PATIENCE_MS: u64 = 1_200;

/// A unit is spread over several racks only if its last chance to be on time that way is less than this far away, in milliseconds. Plans
/// are made at least every 200 ms.
const SPREAD_MARGIN_MS: u64 = 400;
/// Share of the pool's accelerators that must stay available when a unit is spread before it has waited its full time for a rack, in
/// percent.
const MIN_OPEN_PERCENT: u64 = 30;

/// A worker that can run some of the unit's tasks.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    room: usize,
    places: u64,
    free_accelerators: u64,
    /// Preference for the worker; lower is better.
    rank: u64,
    /// Whether the worker is cold or set aside.
    last_resort: bool,
    /// Whether capacity of the worker is held for gangs that do not fit yet.
    held_for_gangs: bool,
}

impl Candidate {
    /// Fuller workers come first, so that empty ones stay available for large tasks. Cold workers and those set aside come last, because one
    /// slow member delays a whole gang. Workers held for a gang look full, but come after the others, or that gang would never start.
    fn precedence(&self) -> (bool, bool, u64, u64, usize) {
        (
            self.last_resort,
            self.held_for_gangs,
            self.rank,
            self.free_accelerators,
            self.room,
        )
    }
}

/// Why a gang can't be placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementFailure {
    /// There is too little free capacity.
    NoRoom,
    /// There is enough free capacity, but waiting for one rack is better.
    WaitForRack,
}

/// Finds workers for the whole gang.
///
/// # Errors
///
/// Returns why the gang can't be placed now.
pub fn place_gang(
    unit: &Unit,
    rooms: &[Room],
    avoid: &BTreeSet<Incarnation>,
    wall_ms: u64,
) -> Result<Placement, PlacementFailure> {
    let candidates = candidates(unit, rooms, avoid);
    if places(&candidates) < unit.count() {
        return Err(PlacementFailure::NoRoom);
    }
    if prefers_one_rack(unit) {
        if let Some(candidates) = best_rack(unit, &candidates, rooms) {
            return Ok(fill(candidates, unit.count()));
        }
        if waits_for_rack(unit, rooms, wall_ms) && !must_spread_now(unit, rooms, wall_ms) {
            return Err(PlacementFailure::WaitForRack);
        }
    }
    Ok(fill(candidates, unit.count()))
}

/// Finds workers that are fast enough for the whole gang, in one rack if the gang prefers that. It is not spread over several racks, where it
/// would be slower than on a slow worker.
pub fn place_limited_gang(
    unit: &Unit,
    rooms: &[Room],
    avoid: &BTreeSet<Incarnation>,
) -> Option<Placement> {
    let mut candidates = candidates(unit, rooms, avoid);
    if prefers_one_rack(unit) {
        candidates = best_rack(unit, &candidates, rooms)?;
    }
    (places(&candidates) >= unit.count()).then(|| fill(candidates, unit.count()))
}

/// Returns the candidates of the best rack that has enough places for the whole unit.
fn best_rack(unit: &Unit, candidates: &[Candidate], rooms: &[Room]) -> Option<Vec<Candidate>> {
    by_rack(unit, candidates, rooms)
        .into_iter()
        .filter(|candidates| places(candidates) >= unit.count())
        .min_by_key(|candidates| {
            let rank = if unit.by_worker {
                worst_used_rank(candidates, unit.count())
            } else {
                let ranks = candidates.iter().map(|candidate| candidate.rank);
                ranks.max().unwrap_or(0)
            };
            (
                needs_last_resort(candidates, unit.count()),
                rank,
                free_accelerators(candidates),
            )
        })
}

/// Returns whether the unit must start now, spread over several racks, to be on time, and whether the pool is idle enough for the extra
/// capacity that this takes.
fn must_spread_now(unit: &Unit, rooms: &[Room], wall_ms: u64) -> bool {
    let end_ms = wall_ms + unit.expected_spread_ms;
    if end_ms > unit.due_ms || end_ms + SPREAD_MARGIN_MS <= unit.due_ms {
        return false;
    }
    let in_pool = || {
        rooms
            .iter()
            .filter(|room| room.usable && room.pool == unit.pool)
    };
    let open: u64 = in_pool().map(|room| room.available().accelerators).sum();
    let all: u64 = in_pool().map(|room| room.capacity.accelerators).sum();
    let left = open.saturating_sub(unit.needs.accelerators * unit.count());
    left * 100 >= all * MIN_OPEN_PERCENT
}

/// Returns whether the unit is slower on some racks, or when it is spread over several.
pub fn prefers_one_rack(unit: &Unit) -> bool {
    unit.spec.near_rack.is_some() || (unit.spec.gang && unit.spec.rack_local)
}

/// Returns whether the unit runs at full speed on this rack.
pub fn is_preferred_rack(unit: &Unit, rack: &Arc<str>) -> bool {
    unit.spec.near_rack.as_ref().is_none_or(|near| near == rack)
}

/// Returns the numbers of the preferred racks that could hold the unit if they were empty.
pub fn large_enough_racks(unit: &Unit, rooms: &[Room]) -> BTreeSet<usize> {
    let mut places_by_rack = vec![0; Room::count_racks(rooms)];
    let eligible = rooms
        .iter()
        .filter(|room| room.accepts(unit) && is_preferred_rack(unit, &room.rack));
    for room in eligible {
        places_by_rack[room.rack_number] +=
            unit.needs.count_in(&room.capacity, room.max_tasks(unit));
    }
    let min_places = if unit.spec.gang { unit.count() } else { 1 };
    let racks = places_by_rack.into_iter().enumerate();
    racks
        .filter(|(_, places)| *places >= min_places)
        .map(|(rack, _)| rack)
        .collect()
}

/// Finds workers for as many of the unit's tasks as can start now.
pub fn place_tasks(
    unit: &Unit,
    rooms: &[Room],
    avoid: &BTreeSet<Incarnation>,
    wall_ms: u64,
) -> Placement {
    let candidates = candidates(unit, rooms, avoid);
    let Some(near) = &unit.spec.near_rack else {
        return fill(candidates, unit.count());
    };
    let (close, far): (Vec<Candidate>, Vec<Candidate>) = candidates
        .into_iter()
        .partition(|candidate| rooms[candidate.room].rack == *near);
    let mut placement = fill(close, unit.count());
    let placed: u64 = placement.iter().map(|(_, count)| count).sum();
    if placed < unit.count() && !waits_for_rack(unit, rooms, wall_ms) {
        placement.extend(fill(far, unit.count() - placed));
    }
    placement
}

/// Returns whether the unit waits for a preferred rack: one is large enough, and the unit has not waited too long.
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

/// Returns the workers that can run some of the unit's tasks, in no particular order.
fn candidates(unit: &Unit, rooms: &[Room], avoid: &BTreeSet<Incarnation>) -> Vec<Candidate> {
    let candidate = |(index, room): (usize, &Room)| {
        let places = room.places(unit, avoid);
        (places > 0).then(|| Candidate {
            room: index,
            places,
            free_accelerators: room.available().accelerators,
            rank: rank(unit, room),
            last_resort: room.cold || room.set_aside,
            held_for_gangs: room.held_for_gangs != Resources::default(),
        })
    };
    rooms.iter().enumerate().filter_map(candidate).collect()
}

/// Returns the preference for a worker; lower is better. Units with tight deadlines, and gangs if workers are ranked by their speeds, go where runs are fastest. Others have time to spare
/// and go where runs are slowest, which leaves the fast workers free.
fn rank(unit: &Unit, room: &Room) -> u64 {
    const SLOWEST_PERCENT: u64 = 1_000;
    /// More than the number of runs on any worker.
    const MAX_RUNS: u64 = 1 << 32;
    if unit.is_suspect() {
        // A crash of a worker that had been sound is evidence against the task. Among such workers, the fewest runs are lost if the suspect task
        // crashes the worker.
        let runs: u64 = room.runs.values().sum();
        runs + if room.steadiness == Steadiness::Clean {
            0
        } else {
            MAX_RUNS
        }
    } else if unit.spec.fills_idle {
        // Next to a service that is near its latency objective, the tasks would be slowed down too.
        SLOWEST_PERCENT.saturating_sub(room.fill_percent)
    } else if unit.prefers_fast_workers() {
        room.runtime_percent
    } else {
        SLOWEST_PERCENT.saturating_sub(room.runtime_percent)
    }
}

/// Returns the worst rank among the candidates that [`fill`] takes for `count` tasks.
fn worst_used_rank(candidates: &[Candidate], count: u64) -> u64 {
    let mut candidates = candidates.to_vec();
    candidates.sort_unstable_by_key(Candidate::precedence);
    let mut placed = 0;
    let used = candidates.iter().take_while(|candidate| {
        placed += candidate.places;
        placed < count + candidate.places
    });
    used.map(|candidate| candidate.rank).max().unwrap_or(0)
}

/// Groups the candidates on racks that the unit prefers by rack, in the order of the racks' names.
fn by_rack(unit: &Unit, candidates: &[Candidate], rooms: &[Room]) -> Vec<Vec<Candidate>> {
    let mut racks = vec![Vec::new(); Room::count_racks(rooms)];
    let preferred = candidates
        .iter()
        .filter(|candidate| is_preferred_rack(unit, &rooms[candidate.room].rack));
    for candidate in preferred {
        racks[rooms[candidate.room].rack_number].push(*candidate);
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

/// Returns whether `count` tasks need more capacity than the workers have that are neither cold nor set aside.
fn needs_last_resort(candidates: &[Candidate], count: u64) -> bool {
    let preferred = candidates.iter().filter(|candidate| !candidate.last_resort);
    preferred.map(|candidate| candidate.places).sum::<u64>() < count
}

/// Takes workers in the order of precedence until `count` tasks are placed.
fn fill(mut candidates: Vec<Candidate>, count: u64) -> Placement {
    // Each candidate takes a task at least, so no more than `count` of them matter. Sorting all workers of a large fleet takes longer than
    // all the rest of a search.
    let most = usize::try_from(count).unwrap_or(usize::MAX);
    if 0 < most && most < candidates.len() {
        candidates.select_nth_unstable_by_key(most - 1, Candidate::precedence);
        candidates.truncate(most);
    }
    candidates.sort_unstable_by_key(Candidate::precedence);
    let mut left = count;
    let mut placement = Vec::new();
    for candidate in &candidates {
        if left == 0 {
            break;
        }
        let take = candidate.places.min(left);
        placement.push((candidate.room, take));
        left -= take;
    }
    placement
}
