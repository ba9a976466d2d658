//! Runs that end together when one of them is stopped.

use super::PreemptionCandidate;
use super::Room;
use super::Unit;
use super::place;
use crate::job::Resources;
use crate::job::RunId;
use crate::job::StepId;
use crate::state::Workload;
use std::collections::BTreeMap;

/// Runs on one worker that end together: a single run, or the members of a gang there.
#[derive(Clone, Debug)]
pub(super) struct StopGroup {
    /// The run, or one of them.
    pub run: RunId,
    /// The gang, if it is one.
    pub gang: Option<StepId>,
    /// What the runs take on this worker.
    pub needs: Resources,
    /// Work lost if the group is stopped, with all members of the gang on other workers.
    pub loss: u64,
    /// Whether it is being stopped already.
    pub stopping: bool,
    /// Number of tasks of the unit that fit into `needs`, and into what the whole gang takes where the unit may run.
    places: (u64, u64),
}

impl StopGroup {
    /// Collects the groups of the workers that accept the unit, by position among the rooms, those that lose the least first.
    pub fn collect(
        unit: &Unit,
        rooms: &[Room],
        candidates: &[&PreemptionCandidate],
        workload: &Workload,
    ) -> BTreeMap<usize, Vec<StopGroup>> {
        let mut groups: BTreeMap<usize, Vec<StopGroup>> = BTreeMap::new();
        let mut known: BTreeMap<(usize, StepId), usize> = BTreeMap::new();
        for candidate in candidates {
            if !rooms[candidate.room].accepts(unit) {
                continue;
            }
            let step = candidate.run.task.step;
            let is_gang = workload.step_spec(step).is_some_and(|spec| spec.gang);
            let of_room = groups.entry(candidate.room).or_default();
            // Members that are being stopped already are freed in any case.
            let gang = (is_gang && !candidate.stopping).then_some(step);
            if let Some(step) = gang {
                if let Some(at) = known.get(&(candidate.room, step)) {
                    of_room[*at].needs.add(&candidate.needs);
                    continue;
                }
                known.insert((candidate.room, step), of_room.len());
            }
            of_room.push(StopGroup {
                run: candidate.run,
                gang,
                needs: candidate.needs,
                loss: candidate.loss,
                stopping: candidate.stopping,
                places: (0, 0),
            });
        }
        count_places(unit, rooms, &mut groups);
        for of_room in groups.values_mut() {
            of_room.sort_by_cached_key(StopGroup::precedence);
        }
        groups
    }

    /// Precedence as a run to stop: those that lose the least for what they take come first.
    fn precedence(&self) -> (u64, RunId) {
        /// Precision of the ratio: losses are large multiples of what a run takes.
        const SCALE: u64 = 16;
        let weight = self.needs.weight().max(1);
        let loss = self.shared_loss(self.places.1);
        (loss.saturating_mul(SCALE) / weight, self.run)
    }

    /// Returns the part of the loss that falls on this worker when `left` places are needed: a gang that is stopped also makes places on its
    /// other workers.
    pub fn shared_loss(&self, left: u64) -> u64 {
        let (here, everywhere) = self.places;
        let here = here.max(1);
        let used = everywhere.min(left).max(here);
        u64::try_from(u128::from(self.loss) * u128::from(here) / u128::from(used))
            .unwrap_or(u64::MAX)
    }
}

/// Counts the places that stopping each group would make. A unit that prefers one rack uses only those in the same rack.
fn count_places(unit: &Unit, rooms: &[Room], groups: &mut BTreeMap<usize, Vec<StopGroup>>) {
    let one_rack = place::prefers_one_rack(unit);
    let key = |room: usize, gang| (gang, one_rack.then_some(rooms[room].rack_number));
    let mut by_gang: BTreeMap<(StepId, Option<usize>), u64> = BTreeMap::new();
    for (room, of_room) in groups.iter_mut() {
        for group in of_room {
            let here = unit.needs.count_in(&group.needs, unit.count());
            group.places = (here, here);
            if let Some(gang) = group.gang {
                *by_gang.entry(key(*room, gang)).or_default() += here;
            }
        }
    }
    for (room, of_room) in groups {
        for group in of_room {
            if let Some(gang) = group.gang {
                group.places.1 = by_gang.get(&key(*room, gang)).copied().unwrap_or(0);
            }
        }
    }
}
