//! Chooses what starts on capacity that is likely to be reclaimed.

use super::Room;
use super::Unit;
use super::peak_accelerators;
use crate::job::JobId;
use crate::state::Workload;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Slack that a unit must have to let others go first, as a multiple of its run time. Capacity for it becomes free about once in that time,
/// so a unit with less slack could be late.
const MIN_SLACK_RUNS: u64 = 1;

/// Reorders the units that would start on the unused part of the guarantees whose customers have covered work now, because those customers
/// are likely to claim the rest soon: units that write checkpoints come first, then those that end soonest. The least work is then lost when the capacity is reclaimed. Each unit trades places
/// only with others of the same pool and priority that have time to spare; all others keep their places. `guaranteed` are the jobs that
/// guarantees cover.
pub(super) fn order_by_exposure(
    units: &mut [Unit],
    rooms: &[Room],
    workload: &Workload,
    guaranteed: &BTreeSet<JobId>,
    wall_ms: u64,
) {
    let mut safe = safe_accelerators(rooms, workload, guaranteed);
    let mut exposed: BTreeMap<(Arc<str>, u32), Vec<usize>> = BTreeMap::new();
    for (at, unit) in units.iter().enumerate() {
        let Some(safe) = safe.get_mut(&unit.pool) else {
            continue;
        };
        let accelerators = unit.needs.accelerators * unit.count();
        if accelerators == 0 || unit.may_use_headroom() {
            continue;
        }
        if accelerators <= *safe {
            *safe -= accelerators;
            continue;
        }
        *safe = 0;
        if has_choice(unit, wall_ms) {
            let key = (unit.pool.clone(), unit.priority);
            exposed.entry(key).or_default().push(at);
        }
    }
    for places in exposed.into_values() {
        let mut order = places.clone();
        order.sort_by_key(|at| (!units[*at].spec.checkpoints, units[*at].expected_ms));
        let ordered: Vec<Unit> = order.into_iter().map(|at| units[at].clone()).collect();
        for (at, unit) in places.into_iter().zip(ordered) {
            units[at] = unit;
        }
    }
}

/// Whether a unit may wait for others that lose less when they are stopped.
fn has_choice(unit: &Unit, wall_ms: u64) -> bool {
    !unit.guaranteed
        && !unit.spec.long_running
        && !unit.is_suspect()
        && unit.on_time
        && wall_ms + unit.expected_ms * (1 + MIN_SLACK_RUNS) <= unit.due_ms
}

/// Returns how many available accelerators of each pool would remain free of claims if all guarantees were used. Leaves out pools in which
/// there is nothing to claim. Capacity that is kept for urgent work serves such claims first.
fn safe_accelerators(
    rooms: &[Room],
    workload: &Workload,
    guaranteed: &BTreeSet<JobId>,
) -> BTreeMap<Arc<str>, u64> {
    let unused = unused_guarantees(workload, guaranteed);
    let queues = workload.rules.iter().flat_map(|rules| &rules.queues);
    let urgent_queues = queues.filter(|queue| queue.priority == 0);
    let mut pools: BTreeMap<Arc<str>, (u64, u64)> = urgent_queues
        .map(|queue| (queue.pool.clone(), (0, 0)))
        .collect();
    for room in rooms.iter().filter(|room| room.usable) {
        if let Some((open, kept)) = pools.get_mut(&room.pool) {
            let available = room.available().accelerators;
            *(if room.urgent_only { kept } else { open }) += available;
        }
    }
    pools
        .into_iter()
        .map(|(pool, (open, kept))| {
            let claimed = unused.saturating_sub(kept);
            (pool, claimed, open)
        })
        .filter(|(_, claimed, _)| *claimed > 0)
        .map(|(pool, claimed, open)| (pool, open.saturating_sub(claimed)))
        .collect()
}

/// Returns the guaranteed accelerators that no covered job takes, over all customers that have covered jobs. The guarantees of other
/// customers are left out: if they counted, nearly all capacity of a pool could seem claimed while nobody asks for it. All work that loses
/// little would then run first, and none of it would be left to be stopped later.
fn unused_guarantees(workload: &Workload, guaranteed: &BTreeSet<JobId>) -> u64 {
    let mut used: BTreeMap<&Arc<str>, u64> = BTreeMap::new();
    for job in guaranteed.iter().filter_map(|id| workload.job(*id)) {
        if let Some(customer) = &job.customer {
            *used.entry(customer).or_default() += peak_accelerators(job);
        }
    }
    let Some(rules) = &workload.rules else {
        return 0;
    };
    used.into_iter()
        .map(|(customer, used)| rules.guaranteed(customer).saturating_sub(used))
        .sum()
}
