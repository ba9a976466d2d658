//! Room kept free for work of priority 0 that has not come yet.

use super::Room;
use super::Unit;
use crate::job::JobId;
use crate::state::Workload;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Weight of the newest arrival in the mean.
const NEWEST_WEIGHT: f64 = 0.1;
/// Time whose arrivals the kept room holds beside that of stops, in milliseconds: about what it takes until room comes free by itself, half of a
/// short run.
const COVERED_ARRIVALS_MS: u64 = 1_200;
/// Longest stops that are added to that. Urgent jobs have a second or two to begin; where stopping others for them takes most of that, room must be
/// free before they come.
const COVERED_STOPS: u64 = 2;
/// Jobs that the kept room holds at least: two or three at once come by chance, however rarely they come.
const MIN_JOBS: f64 = 3.0;
/// Jobs whose room is taken to make up [`EXPECTED_PERCENT`] before the first ones have come.
const INITIAL_JOBS: f64 = 5.0;
/// Time between them until then, in milliseconds; about what is seen on the users' sites.
const INITIAL_GAP_MS: f64 = 400.0;
/// Time without an arrival after which no room is kept, in milliseconds.
const ARRIVAL_TIMEOUT_MS: u64 = 15_000;
/// Largest share of a pool that is kept free, in percent.
const MAX_POOL_PERCENT: u64 = 30;
/// Share of a pool that is kept before the first arrival, in percent; about what two of the users' sites come to keep.
const INITIAL_POOL_PERCENT: u64 = 20;
/// Times as many accelerators as are still wanted that a worker may have open to be kept for them.
const MAX_OVERSHOOT_FACTOR: u64 = 2;
/// Jobs remembered at a time.
const MAX_SEEN_JOBS: usize = 1_024;

/// Arrivals of work of priority 0 in one pool.
#[derive(Clone, Debug, Default)]
struct Arrivals {
    /// Mean accelerators of a job.
    accelerators: f64,
    /// Mean time between two of them, in milliseconds.
    gap_ms: f64,
    /// When the last one came, on the leader's clock in milliseconds.
    last_ms: u64,
}

impl Arrivals {
    /// Mean jobs that the kept room shall hold where a stop takes `stop_ms` at most. It follows how often they come: a fixed number is too much
    /// when they are rare, and far too little in a burst or in a large pool.
    fn target_jobs(&self, stop_ms: u64) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "far below 2^53")]
        let covered_ms = (COVERED_ARRIVALS_MS + COVERED_STOPS * stop_ms) as f64;
        (covered_ms / self.gap_ms.max(1.0)).max(MIN_JOBS)
    }
}

/// What has come lately.
#[derive(Clone, Debug, Default)]
pub struct UrgentHeadroom {
    seen_jobs: BTreeSet<JobId>,
    pools: BTreeMap<Arc<str>, Arrivals>,
}

impl UrgentHeadroom {
    /// Expects work of priority 0 in the pools that have a queue for it and where none has come yet: what fills a pool at the start
    /// would have to be stopped for the first such jobs.
    pub fn assume_arrivals(&mut self, elected_ms: u64, workload: &Workload, rooms: &[Room]) {
        let Some(rules) = &workload.rules else {
            return;
        };
        let first = rules.queues.iter().filter(|queue| queue.priority == 0);
        for queue in first {
            if self.pools.contains_key(&queue.pool) {
                continue;
            }
            let total: u64 = rooms
                .iter()
                .filter(|room| room.pool == queue.pool)
                .map(|room| room.capacity.accelerators)
                .sum();
            #[expect(clippy::cast_precision_loss, reason = "far below 2^53")]
            let expected = (total * INITIAL_POOL_PERCENT / 100) as f64;
            if total > 0 {
                let arrivals = Arrivals {
                    accelerators: expected / INITIAL_JOBS,
                    gap_ms: INITIAL_GAP_MS,
                    last_ms: elected_ms,
                };
                self.pools.insert(queue.pool.clone(), arrivals);
            }
        }
    }

    /// Learns from the units that wait.
    pub fn record_arrivals(&mut self, now_ms: u64, units: &[Unit]) {
        if self.seen_jobs.len() > MAX_SEEN_JOBS {
            self.seen_jobs.clear();
        }
        for unit in units.iter().filter(|unit| unit.priority == 0) {
            if !self.seen_jobs.insert(unit.step.job) {
                continue;
            }
            #[expect(clippy::cast_precision_loss, reason = "far below 2^53")]
            let accelerators = (unit.needs.accelerators * unit.count()) as f64;
            let arrivals = self.pools.entry(unit.pool.clone()).or_default();
            arrivals.accelerators += (accelerators - arrivals.accelerators) * NEWEST_WEIGHT;
            #[expect(clippy::cast_precision_loss, reason = "far below 2^53")]
            let gap_ms = now_ms
                .saturating_sub(arrivals.last_ms)
                .min(ARRIVAL_TIMEOUT_MS) as f64;
            arrivals.gap_ms += (gap_ms - arrivals.gap_ms) * NEWEST_WEIGHT;
            arrivals.last_ms = now_ms;
        }
    }

    /// Marks the rooms that only work of priority 0 may use: those with most free, in the rack that has most free. A stop takes `stop_ms` at
    /// most.
    pub fn mark_rooms(&self, (now_ms, stop_ms): (u64, u64), rooms: &mut [Room]) {
        for (pool, arrivals) in &self.pools {
            if now_ms >= arrivals.last_ms + ARRIVAL_TIMEOUT_MS {
                continue;
            }
            let own = |room: &&Room| room.usable && room.pool == *pool;
            let total: u64 = rooms
                .iter()
                .filter(own)
                .map(|room| room.capacity.accelerators)
                .sum();
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "a small positive number"
            )]
            let wanted = (arrivals.accelerators * arrivals.target_jobs(stop_ms)) as u64;
            let mut left = wanted.min(total * MAX_POOL_PERCENT / 100);
            let mut racks: BTreeMap<Arc<str>, u64> = BTreeMap::new();
            for room in rooms.iter().filter(own) {
                *racks.entry(room.rack.clone()).or_default() += room.available().accelerators;
            }
            let mut order: Vec<usize> = (0..rooms.len())
                .filter(|at| own(&&rooms[*at]) && rooms[*at].available().accelerators > 0)
                .collect();
            order.sort_by_key(|at| {
                let room = &rooms[*at];
                let rack = racks.get(&room.rack).copied().unwrap_or(0);
                let open = room.available().accelerators;
                (
                    room.runtime_percent,
                    std::cmp::Reverse(rack),
                    std::cmp::Reverse(open),
                    *at,
                )
            });
            for at in order {
                // A whole worker for much less than it has would take more from others than it gives: in a pool of few workers none is kept.
                let open = rooms[at].available().accelerators;
                if open <= left * MAX_OVERSHOOT_FACTOR {
                    left = left.saturating_sub(open);
                    rooms[at].urgent_only = true;
                }
            }
        }
    }
}
