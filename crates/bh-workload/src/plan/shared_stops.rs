//! Chooses workers for a unit and the runs to stop there, under a policy that limits displacements.

use super::PreemptionCandidate;
use super::Room;
use super::Unit;
use super::place;
use super::preemption::Preemption;
use super::preemption::PreemptionFailure;
use super::stop_search::StopSearch;
use crate::state::Workload;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// Chooses workers for the whole unit as if all candidates could be stopped, preferring those where the least is lost. If `waits`, a unit
/// that prefers one rack is not spread over several.
pub(super) fn plan_shared_stops(
    unit: &Unit,
    rooms: &[Room],
    candidates: &[&PreemptionCandidate],
    workload: &Workload,
    waits: bool,
) -> Result<Preemption, PreemptionFailure> {
    let search = StopSearch::new(unit, rooms, candidates);
    let accepting: Vec<usize> = (0..rooms.len())
        .filter(|at| rooms[*at].accepts(unit))
        .collect();
    let places = accepting.iter().map(|at| search.most_places(*at));
    if places.fold(0, u64::saturating_add) < unit.count() {
        return Err(PreemptionFailure::NoRoom);
    }
    let large_racks = if place::prefers_one_rack(unit) {
        place::large_enough_racks(unit, rooms)
    } else {
        BTreeSet::new()
    };
    let mut racks: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
    for at in &accepting {
        let rack = rooms[*at].rack_number;
        if large_racks.contains(&rack) {
            racks.entry(rack).or_default().push(*at);
        }
    }
    let in_rack = racks
        .into_values()
        .filter_map(|rooms| search.cheapest(rooms))
        .min_by_key(|found| found.loss);
    // Spread over several racks, the unit would be so slow that it would be late.
    if in_rack.is_none() && !large_racks.is_empty() && waits {
        return Err(PreemptionFailure::NoRack);
    }
    let found = in_rack
        .or_else(|| search.cheapest(accepting))
        .ok_or(PreemptionFailure::NoRoom)?;
    Ok(Preemption {
        evictions: found.evictions(workload),
        placement: found.placement,
        loss: found.loss,
    })
}
