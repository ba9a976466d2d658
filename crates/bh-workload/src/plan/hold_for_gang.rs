//! Holds capacity for gangs that do not fit yet.

use super::Room;
use super::Unit;
use super::pass::Pass;
use super::place;
use crate::job::Resources;
use bh_protocol::Incarnation;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;

impl Pass<'_> {
    /// Holds the capacity that becomes free soonest for a gang that does not fit yet, so that no later unit in the order takes it. Without
    /// this, small tasks would take each slot that becomes free, and a gang that needs several slots at once would never start. For a gang
    /// that prefers one rack, the capacity is held in the rack that has enough of it soonest. Nothing is held on workers in `avoid`, where
    /// the gang would not start.
    pub fn hold_for_gang(&mut self, unit: &Unit, avoid: &BTreeSet<Incarnation>) {
        let Some((start_ms, rooms)) = self.earliest_for_gang(unit, avoid) else {
            return;
        };
        for at in rooms {
            self.rooms[at].hold(&unit.needs, start_ms);
        }
    }

    /// Returns when a gang is expected to fit, on the leader's clock in milliseconds, and the position of the worker of each task.
    pub(super) fn earliest_for_gang(
        &mut self,
        unit: &Unit,
        avoid: &BTreeSet<Incarnation>,
    ) -> Option<(u64, Vec<usize>)> {
        let large_racks = if place::prefers_one_rack(unit) {
            place::large_enough_racks(unit, &self.rooms)
        } else {
            BTreeSet::new()
        };
        let one_rack = !large_racks.is_empty();
        let mut racks: BTreeMap<usize, Vec<(u64, usize)>> = BTreeMap::new();
        for at in 0..self.rooms.len() {
            let room = &self.rooms[at];
            let is_candidate =
                room.accepts(unit) && (!one_rack || large_racks.contains(&room.rack_number));
            if !is_candidate || avoid.contains(&room.worker) {
                continue;
            }
            let rack = if one_rack { room.rack_number } else { 0 };
            let ends = self.cached_ends(at);
            racks
                .entry(rack)
                .or_default()
                .extend(self.future_places(unit, at, &ends));
        }
        racks
            .into_values()
            .filter_map(|places| earliest_places(places, unit.count()))
            .min_by_key(|(free_ms, _)| *free_ms)
    }

    /// Returns when each slot for a task of `unit` on a worker is expected to be free, on the leader's clock in milliseconds, with the
    /// worker's position.
    fn future_places(
        &self,
        unit: &Unit,
        at: usize,
        ends: &[(u64, Resources)],
    ) -> Vec<(u64, usize)> {
        let room = &self.rooms[at];
        let max_tasks = room.max_tasks(unit);
        let mut places: Vec<(u64, usize)> = Vec::new();
        let mut freed = Resources::default();
        let mut add_places = |free_ms: u64, freed: &Resources| {
            let count = unit.needs.count_in(&room.available_after(freed), max_tasks);
            while u64::try_from(places.len()).is_ok_and(|known| known < count) {
                places.push((free_ms, at));
            }
        };
        add_places(self.now_ms, &freed);
        for (end_ms, needs) in ends {
            freed.add(needs);
            add_places(*end_ms, &freed);
        }
        places
    }

    /// Returns when each run on the worker at `at` is expected to end, in order, with its resources. The result is cached for the pass.
    pub(super) fn cached_ends(&mut self, at: usize) -> Rc<[(u64, Resources)]> {
        if let Some(ends) = self.run_ends.get(&at) {
            return ends.clone();
        }
        let ends: Rc<[(u64, Resources)]> = self.expected_ends(&self.rooms[at]).into();
        self.run_ends.insert(at, ends.clone());
        ends
    }

    /// Computes the expected ends. Services are left out because they run until they are cancelled.
    fn expected_ends(&self, room: &Room) -> Vec<(u64, Resources)> {
        let worker = &room.worker;
        let (Some(recorded), Some(target)) =
            (self.workload.worker(worker), self.dispatcher.view(worker))
        else {
            return Vec::new();
        };
        // Learnt run times are those of a usual worker if workers are ranked by their speeds.
        let runtime_percent = if self.by_worker {
            room.runtime_percent
        } else {
            100
        };
        let mut ends: Vec<(u64, Resources)> = recorded
            .runs
            .iter()
            .filter_map(|(run, needs)| {
                let since_ms = target.runs.get(run)?.since_ms;
                let job = self.workload.job(run.task.step.job)?;
                let spec = job.step_spec(run.task.step)?;
                if spec.long_running && self.workload.should_run(*run) {
                    return None;
                }
                let expected_ms = self
                    .runtimes
                    .expected_ms(&job.queue.name, run.task.step, spec)
                    * runtime_percent
                    / 100;
                Some(((since_ms + expected_ms).max(self.now_ms), *needs))
            })
            .collect();
        ends.sort_by_key(|(end_ms, _)| *end_ms);
        ends
    }
}

/// Returns the `count` slots that become free first, and when the last of them does.
fn earliest_places(mut places: Vec<(u64, usize)>, count: u64) -> Option<(u64, Vec<usize>)> {
    let count = usize::try_from(count).ok()?;
    places.sort_unstable();
    let last = places.get(count.checked_sub(1)?)?.0;
    let rooms = places.into_iter().take(count).map(|(_, at)| at).collect();
    Some((last, rooms))
}
