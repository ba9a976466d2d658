//! Runs that end together when one of them is stopped.

use super::PreemptionCandidate;
use super::Room;
use super::Unit;
use super::place;
use crate::job::Resources;
use crate::job::RunId;
use crate::job::StepId;
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
    /// Collects the groups of the workers that accept the unit, for each room, those that lose the least first. Adds the rooms of each gang to
    /// `gang_rooms`.
    pub fn collect(
        unit: &Unit,
        rooms: &[Room],
        candidates: &[&PreemptionCandidate],
        gang_rooms: &mut BTreeMap<StepId, Vec<usize>>,
    ) -> Vec<Vec<StopGroup>> {
        let accepts: Vec<bool> = rooms.iter().map(|room| room.accepts(unit)).collect();
        let mut groups: Vec<Vec<StopGroup>> = vec![Vec::new(); rooms.len()];
        for candidate in candidates {
            let room = candidate.room;
            if !accepts[room] {
                continue;
            }
            // Members that are being stopped already are freed in any case.
            let step = candidate.run.task.step;
            let gang = (candidate.gang && !candidate.stopping).then_some(step);
            let mut of_room = groups[room].iter_mut();
            // A worker has few groups.
            if let Some(known) = of_room.find(|group| gang.is_some() && group.gang == gang) {
                known.needs.add(&candidate.needs);
                continue;
            }
            groups[room].push(StopGroup {
                run: candidate.run,
                gang,
                needs: candidate.needs,
                loss: candidate.loss,
                stopping: candidate.stopping,
                places: (0, 0),
            });
            if let Some(step) = gang {
                gang_rooms.entry(step).or_default().push(room);
            }
        }
        count_places(unit, rooms, &mut groups, gang_rooms);
        for of_room in &mut groups {
            of_room.sort_unstable_by_key(StopGroup::precedence);
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
        self.loss.saturating_mul(here) / used
    }
}

/// Counts the places that stopping each group would make. A unit that prefers one rack uses only those in the same rack.
fn count_places(
    unit: &Unit,
    rooms: &[Room],
    groups: &mut [Vec<StopGroup>],
    gang_rooms: &BTreeMap<StepId, Vec<usize>>,
) {
    for group in groups.iter_mut().flatten() {
        let here = unit.needs.count_in(&group.needs, unit.count());
        group.places = (here, here);
    }
    let one_rack = place::prefers_one_rack(unit);
    let rack = |room: usize| one_rack.then_some(rooms[room].rack_number);
    let mut by_rack: BTreeMap<Option<usize>, u64> = BTreeMap::new();
    for (gang, of_gang) in gang_rooms {
        by_rack.clear();
        let is_member = |group: &&mut StopGroup| group.gang == Some(*gang);
        for room in of_gang {
            if let Some(group) = groups[*room].iter_mut().find(is_member) {
                *by_rack.entry(rack(*room)).or_default() += group.places.0;
            }
        }
        for room in of_gang {
            if let Some(group) = groups[*room].iter_mut().find(is_member) {
                group.places.1 = by_rack.get(&rack(*room)).copied().unwrap_or(0);
            }
        }
    }
}
