//! Where a unit goes.

use super::Room;
use super::Unit;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Tasks on each worker: position among the rooms, and number.
pub type Placement = Vec<(usize, u64)>;

/// Expected run times that a unit waits for the rack it is fast on. Elsewhere it takes three times as long, two run times more.
const RACK_PATIENCE_RUNS: u64 = 2;

/// A worker that could take some of a unit's tasks.
#[derive(Clone, Copy, Debug)]
struct Site {
    room: usize,
    places: u64,
    spare: u64,
}

/// Finds workers for the whole gang; `None` when it shall wait.
pub fn place_gang(
    unit: &Unit,
    rooms: &[Room],
    avoid: &BTreeSet<Arc<str>>,
    wall_ms: u64,
) -> Option<Placement> {
    let sites = sites(unit, rooms, avoid);
    let total: u64 = sites.iter().map(|site| site.places).sum();
    if total < unit.count() {
        return None;
    }
    let racks = by_rack(&sites, rooms);
    if let Some(near) = &unit.spec.near_rack {
        if let Some(placement) = racks.get(near).and_then(|sites| fill(sites, unit.count())) {
            return Some(placement);
        }
        let held = waits_for_rack(unit, rooms, wall_ms, |rack| rack == near);
        if held {
            return None;
        }
    }
    if unit.spec.rack_local {
        let tightest = racks
            .values()
            .filter(|sites| places(sites) >= unit.count())
            .min_by_key(|sites| spare(sites));
        if let Some(sites) = tightest {
            return fill(sites, unit.count());
        }
        if waits_for_rack(unit, rooms, wall_ms, |_| true) {
            return None;
        }
    }
    fill(&sites, unit.count())
}

/// Finds workers for as many of the unit's tasks as may begin now.
pub fn place_tasks(
    unit: &Unit,
    rooms: &[Room],
    avoid: &BTreeSet<Arc<str>>,
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
    if placed < unit.count() && !waits_for_rack(unit, rooms, wall_ms, |rack| rack == near) {
        placement.extend(fill_some(&far, unit.count() - placed));
    }
    placement
}

/// Whether a rack that suits the unit could hold it once it is free, and waiting for that is still worth it.
fn waits_for_rack(
    unit: &Unit,
    rooms: &[Room],
    wall_ms: u64,
    suits: impl Fn(&Arc<str>) -> bool,
) -> bool {
    if unit.entitled || wall_ms >= unit.ready_ms + unit.expected_ms * RACK_PATIENCE_RUNS {
        return false;
    }
    let mut empty: BTreeMap<&Arc<str>, u64> = BTreeMap::new();
    let suited = rooms
        .iter()
        .filter(|room| room.usable && suits(&room.rack) && room.pool == unit.pool)
        .filter(|room| room.has_label(unit.spec.required_label.as_ref()));
    for room in suited {
        *empty.entry(&room.rack).or_default() +=
            unit.needs.times_in(&room.capacity, room.most(unit));
    }
    let least = if unit.spec.gang { unit.count() } else { 1 };
    empty.into_values().any(|places| places >= least)
}

fn sites(unit: &Unit, rooms: &[Room], avoid: &BTreeSet<Arc<str>>) -> Vec<Site> {
    let mut sites: Vec<Site> = rooms
        .iter()
        .enumerate()
        .filter(|(_, room)| room.pool == unit.pool)
        .filter(|(_, room)| room.has_label(unit.spec.required_label.as_ref()))
        .map(|(index, room)| Site {
            room: index,
            places: room.places(unit, avoid),
            spare: room.open().accelerators,
        })
        .filter(|site| site.places > 0)
        .collect();
    // The fullest workers first: whole free ones are kept for large tasks.
    sites.sort_by_key(|site| (site.spare, site.room));
    sites
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

fn fill(sites: &[Site], count: u64) -> Option<Placement> {
    (places(sites) >= count).then(|| fill_some(sites, count))
}
