//! Keeps units off workers on which they would be late, while a faster worker becomes free in time.

use super::Placement;
use super::Room;
use super::Unit;
use super::pass::Pass;
use super::place;
use super::worker_speeds::SLOW_PERCENT;
use crate::job::Resources;
use bh_protocol::Incarnation;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Step to which limits of the run time are rounded down, in percent. It leaves a margin for the estimates, and few distinct limits mean that
/// a failed search rules out many others.
const LIMIT_STEP_PERCENT: u64 = 50;
/// Time before its latest start at which a unit no longer waits for a faster worker, in milliseconds. Plans are made at least every 200 ms,
/// and one of them may be deferred.
const START_MARGIN_MS: u64 = 400;

/// What became of a gang that would be late on some workers.
pub(super) enum InTime {
    /// It started.
    Started,
    /// It waits for faster workers, whose capacity is held for it.
    Waits,
    /// It does not fit now, also not on slow workers.
    NoRoom,
}

/// Resources that become free on workers up to a speed, in the order of time: until when (on the leader's clock in milliseconds), and how
/// much from now until then.
type FreedResources = Vec<(u64, Resources)>;

/// Capacity that becomes free during the next seconds, and what waiting units will take of it.
#[derive(Default)]
pub(super) struct FutureCapacity {
    /// By pool and by the limit of the run time, in percent.
    freed: BTreeMap<(Arc<str>, u64), FreedResources>,
    /// Resources that units wait for in this pass, by pool.
    promised: BTreeMap<Arc<str>, Resources>,
}

/// Marks the units as ranked by workers, and limits those that would be late on some workers to the others.
pub(super) fn limit_units(units: &mut [Unit], rooms: &[Room], wall_ms: u64) {
    let percents = rooms.iter().map(|room| room.runtime_percent);
    let slowest_percent = percents.max().unwrap_or(0);
    for unit in units {
        unit.by_worker = true;
        // Away from their data, tasks are slower than on any worker beside it.
        let prefers_data = unit.spec.near_rack.is_some() && !unit.spec.gang;
        if !unit.on_time || unit.spec.long_running || unit.is_suspect() || prefers_data {
            continue;
        }
        let slack_ms = unit.due_ms.saturating_sub(wall_ms);
        let in_time_percent = slack_ms.saturating_mul(100) / unit.expected_ms.max(1);
        let limit = in_time_percent / LIMIT_STEP_PERCENT * LIMIT_STEP_PERCENT;
        // Workers that do not count as slow are never left out: their differences are within the error of the estimates.
        let limit = limit.max(SLOW_PERCENT - 1);
        if limit < slowest_percent {
            unit.max_runtime_percent = limit;
        }
    }
}

impl Pass<'_> {
    /// Starts a gang whose run time is limited on workers on which it is on time, or else on others unless faster ones become free in time.
    /// Guaranteed work never waits for them. Capacity is held only if `may_hold`.
    pub fn start_gang_in_time(
        &mut self,
        unit: &Unit,
        avoid: &BTreeSet<Incarnation>,
        may_hold: bool,
    ) -> InTime {
        let unlimited = unit.without_limit();
        let Some(placement) = self.place_gang(&unlimited, avoid) else {
            return InTime::NoRoom;
        };
        let is_in_time =
            |(at, _): &(usize, u64)| self.rooms[*at].runtime_percent <= unit.max_runtime_percent;
        if placement.iter().all(is_in_time) {
            self.start(unit, &placement);
        } else if let Some(placement) = place::place_limited_gang(unit, &self.rooms, avoid) {
            self.start(unit, &placement);
        } else if !unit.guaranteed && may_hold && self.hold_in_time(unit, avoid) {
            return InTime::Waits;
        } else {
            self.start(unit, &placement);
        }
        InTime::Started
    }

    /// Starts as many tasks as possible of a unit whose run time is limited, on workers on which they are on time. Returns the tasks that may
    /// also start on others: those for which no faster worker becomes free in time, and guaranteed ones.
    pub fn start_tasks_in_time(
        &mut self,
        unit: &Unit,
        avoid: &BTreeSet<Incarnation>,
    ) -> Option<Unit> {
        let class = (unit.may_use_headroom(), unit.max_runtime_percent);
        let placement = if self.failed_limited.rules_out(&class, unit, 1) {
            Placement::new()
        } else {
            place::place_tasks(unit, &self.rooms, avoid, self.wall_ms)
        };
        if placement.is_empty() && avoid.is_empty() {
            self.failed_limited.record(class, unit, 1);
        }
        let placed = placement.iter().map(|(_, count)| count).sum();
        self.start(unit, &placement);
        let rest = unit.without_first(placed);
        if rest.count() == 0 {
            return None;
        }
        let unlimited = rest.without_limit();
        if rest.guaranteed || !self.frees_in_time(&rest) {
            return Some(unlimited);
        }
        // Urgent work may stop others where there is no capacity at all.
        let may_preempt = rest.priority == 0 && self.place_tasks(&unlimited, avoid).is_empty();
        may_preempt.then_some(unlimited)
    }

    /// Returns whether enough capacity becomes free on workers on which the tasks are on time, beside what other units wait for. If so, the
    /// tasks wait for it too.
    fn frees_in_time(&mut self, unit: &Unit) -> bool {
        // Only some workers of the pool may run such a unit.
        if unit.spec.required_label.is_some() || unit.advised.is_some() {
            return false;
        }
        let key = (unit.pool.clone(), unit.max_runtime_percent);
        if !self.future.freed.contains_key(&key) {
            let freed = self.freed_resources(unit);
            self.future.freed.insert(key.clone(), freed);
        }
        let latest_ms = (self.now_ms + unit.due_ms.saturating_sub(self.wall_ms))
            .saturating_sub(unit.expected_ms + START_MARGIN_MS);
        let freed = self.future.freed.get(&key).map_or(&[][..], Vec::as_slice);
        let until = freed.partition_point(|(end_ms, _)| *end_ms <= latest_ms);
        let Some((_, mut left)) = until.checked_sub(1).map(|last| freed[last]) else {
            return false;
        };
        let promised = self.future.promised.entry(unit.pool.clone()).or_default();
        left.subtract(promised);
        if unit.needs.count_in(&left, unit.count()) < unit.count() {
            return false;
        }
        for _ in 0..unit.count() {
            promised.add(&unit.needs);
        }
        true
    }

    /// Returns what becomes free on the workers of the unit's pool that are fast enough for it. Runs that should have ended by now are left
    /// out: nothing tells when they end.
    fn freed_resources(&mut self, unit: &Unit) -> FreedResources {
        let mut ends: Vec<(u64, Resources)> = Vec::new();
        for at in 0..self.rooms.len() {
            let room = &self.rooms[at];
            if room.usable
                && room.pool == unit.pool
                && room.runtime_percent <= unit.max_runtime_percent
            {
                let on_worker = self.cached_ends(at);
                let later = on_worker.iter().filter(|(end_ms, _)| *end_ms > self.now_ms);
                ends.extend(later.copied());
            }
        }
        ends.sort_unstable_by_key(|(end_ms, _)| *end_ms);
        let mut freed = Resources::default();
        for (_, resources) in &mut ends {
            freed.add(resources);
            *resources = freed;
        }
        ends
    }

    /// Holds capacity of workers on which a gang is on time, if it becomes free soon enough for that. Returns whether it does.
    fn hold_in_time(&mut self, unit: &Unit, avoid: &BTreeSet<Incarnation>) -> bool {
        if place::prefers_one_rack(unit) && place::large_enough_racks(unit, &self.rooms).is_empty()
        {
            return false;
        }
        let Some((free_ms, rooms)) = self.earliest_for_gang(unit, avoid) else {
            return false;
        };
        let percents = rooms.iter().map(|at| self.rooms[*at].runtime_percent);
        let run_ms = unit.expected_ms * percents.max().unwrap_or(100) / 100;
        let start_ms = self.wall_ms + free_ms.saturating_sub(self.now_ms) + START_MARGIN_MS;
        if start_ms + run_ms > unit.due_ms {
            return false;
        }
        for at in rooms {
            self.rooms[at].held_for_gangs.add(&unit.needs);
        }
        true
    }
}
