//! Where a unit goes.

use super::Room;
use super::Unit;
use crate::job::Needs;
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
const ENTITLED_PATIENCE_MS: u64 = 1_200;

/// Time before a unit's last chance to be on time though spread, in milliseconds: plans are made every 200 ms at the latest.
const LAST_CHANCE_MS: u64 = 400;
/// Share of the pool that must stay open when a unit is spread before its patience is over, in percent.
const IDLE_PERCENT: u64 = 30;

/// A worker that could take some of a unit's tasks.
#[derive(Clone, Copy, Debug)]
struct Site {
    room: usize,
    places: u64,
    spare: u64,
    /// Lower where the unit would rather be.
    rank: u64,
    /// Whether the worker is slow since it has just started, or left to itself.
    shunned: bool,
    /// Whether room there is kept for a gang that does not fit yet.
    held: bool,
}

/// Why a gang is not placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unplaced {
    /// There is too little room for it.
    NoRoom,
    /// There is room, but it is better to wait for some in one rack.
    Waits,
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
) -> Result<Placement, Unplaced> {
    let sites = sites(unit, rooms, avoid);
    let total: u64 = sites.iter().map(|site| site.places).sum();
    if total < unit.count() {
        return Err(Unplaced::NoRoom);
    }
    let racks = by_rack(&sites, rooms);
    if wants_rack(unit) {
        let tightest = racks
            .iter()
            .filter(|(rack, sites)| suits(unit, rack) && places(sites) >= unit.count())
            .min_by_key(|(_, sites)| {
                (
                    needs_shunned(sites, unit.count()),
                    rank_of(sites),
                    spare(sites),
                )
            });
        if let Some((_, sites)) = tightest {
            return Ok(fill_some(sites, unit.count()));
        }
        if waits_for_rack(unit, rooms, wall_ms) && !spreads_in_time(unit, rooms, wall_ms) {
            return Err(Unplaced::Waits);
        }
    }
    Ok(fill_some(&sites, unit.count()))
}

/// Whether the unit is on time if it is spread over several racks now, hardly if it waits any longer, and the pool is idle enough to bear
/// that it takes so much room.
fn spreads_in_time(unit: &Unit, rooms: &[Room], wall_ms: u64) -> bool {
    let over_ms = wall_ms + unit.spread_ms;
    if over_ms > unit.due_ms || over_ms + LAST_CHANCE_MS <= unit.due_ms {
        return false;
    }
    let own = || {
        rooms
            .iter()
            .filter(|room| room.usable && room.pool == unit.pool)
    };
    let open: u64 = own().map(|room| room.open().accelerators).sum();
    let all: u64 = own().map(|room| room.capacity.accelerators).sum();
    let left = open.saturating_sub(unit.needs.accelerators * unit.count());
    left * 100 >= all * IDLE_PERCENT
}

/// Whether the unit is slower on some racks, or on several.
pub fn wants_rack(unit: &Unit) -> bool {
    unit.spec.near_rack.is_some() || (unit.spec.gang && unit.spec.rack_local)
}

/// Whether a rack is as fast as any for the unit.
pub fn suits(unit: &Unit, rack: &Arc<str>) -> bool {
    unit.spec.near_rack.as_ref().is_none_or(|near| near == rack)
}

/// Racks that suit the unit and could hold it if they were empty.
pub fn able_racks(unit: &Unit, rooms: &[Room]) -> BTreeSet<Arc<str>> {
    let mut empty: BTreeMap<&Arc<str>, u64> = BTreeMap::new();
    let suited = rooms
        .iter()
        .filter(|room| room.admits(unit) && suits(unit, &room.rack));
    for room in suited {
        *empty.entry(&room.rack).or_default() +=
            unit.needs.times_in(&room.capacity, room.most(unit));
    }
    let least = if unit.spec.gang { unit.count() } else { 1 };
    empty
        .into_iter()
        .filter(|(_, places)| *places >= least)
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
    let sites = sites(unit, rooms, avoid);
    let Some(near) = &unit.spec.near_rack else {
        return fill_some(&sites, unit.count());
    };
    let (close, far): (Vec<Site>, Vec<Site>) = sites
        .into_iter()
        .partition(|site| rooms[site.room].rack == *near);
    let mut placement = fill_some(&close, unit.count());
    let placed: u64 = placement.iter().map(|(_, count)| count).sum();
    if placed < unit.count() && !waits_for_rack(unit, rooms, wall_ms) {
        placement.extend(fill_some(&far, unit.count() - placed));
    }
    placement
}

/// Whether a rack that suits the unit could hold it once it is free, and waiting for that is still worth it.
pub fn waits_for_rack(unit: &Unit, rooms: &[Room], wall_ms: u64) -> bool {
    let patience_ms = if unit.entitled {
        ENTITLED_PATIENCE_MS
    } else {
        unit.expected_ms * RACK_PATIENCE_RUNS
    };
    !unit.takes_any && wall_ms < unit.ready_ms + patience_ms && !able_racks(unit, rooms).is_empty()
}

fn sites(unit: &Unit, rooms: &[Room], avoid: &BTreeSet<Incarnation>) -> Vec<Site> {
    let mut sites: Vec<Site> = rooms
        .iter()
        .enumerate()
        .map(|(index, room)| Site {
            room: index,
            places: room.places(unit, avoid),
            spare: room.open().accelerators,
            rank: rank(unit, room),
            shunned: room.cold || room.aside,
            held: room.held != Needs::default(),
        })
        .filter(|site| site.places > 0)
        .collect();
    // The fullest workers first: whole free ones are kept for large tasks. Cold ones and those left to themselves last: one slow member holds a
    // whole gang up. What is kept for a gang looks full, and is taken only where nothing else is left, or that gang would never begin.
    sites.sort_by_key(|site| (site.shunned, site.held, site.rank, site.spare, site.room));
    sites
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
    } else if unit.tight {
        room.pace_percent
    } else {
        SLOWEST_PERCENT.saturating_sub(room.pace_percent)
    }
}

fn rank_of(sites: &[Site]) -> u64 {
    sites.iter().map(|site| site.rank).max().unwrap_or(0)
}

fn by_rack(sites: &[Site], rooms: &[Room]) -> BTreeMap<Arc<str>, Vec<Site>> {
    let mut racks: BTreeMap<Arc<str>, Vec<Site>> = BTreeMap::new();
    for site in sites {
        racks
            .entry(rooms[site.room].rack.clone())
            .or_default()
            .push(*site);
    }
    racks
}

fn places(sites: &[Site]) -> u64 {
    sites.iter().map(|site| site.places).sum()
}

fn spare(sites: &[Site]) -> u64 {
    sites.iter().map(|site| site.spare).sum()
}

/// Whether `count` places are more than the workers have that are not shunned.
fn needs_shunned(sites: &[Site], count: u64) -> bool {
    let sound = sites.iter().filter(|site| !site.shunned);
    sound.map(|site| site.places).sum::<u64>() < count
}

fn fill_some(sites: &[Site], count: u64) -> Placement {
    let mut left = count;
    let mut placement = Vec::new();
    for site in sites {
        if left == 0 {
            break;
        }
        let take = site.places.min(left);
        placement.push((site.room, take));
        left -= take;
    }
    placement
}
