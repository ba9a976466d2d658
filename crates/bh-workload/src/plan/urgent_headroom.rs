//! Free capacity that is kept for work of priority 0 that has not arrived yet.

use super::Room;
use super::Unit;
use crate::job::JobId;
use crate::state::Workload;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Weight of the newest arrival in the means.
const NEWEST_WEIGHT: f64 = 0.1;
/// The headroom covers the arrivals of this time, in milliseconds, plus those of [`COVERED_STOPS`]. It is about the time until capacity
/// becomes free by itself, which is half of a short run.
const COVERED_ARRIVALS_MS: u64 = 1_200;
/// Number of longest stops whose arrivals the headroom covers too. Urgent jobs must start within a second or two. Where stopping other runs
/// takes most of that, capacity must be free before they arrive.
const COVERED_STOPS: u64 = 2;
/// Minimum number of jobs for which there is headroom. Two or three may arrive at once by chance, however rare they are.
const MIN_JOBS: f64 = 3.0;
/// Number of jobs that are assumed to take up [`INITIAL_POOL_PERCENT`] before the first ones arrive.
const INITIAL_JOBS: f64 = 5.0;
/// Assumed time between arrivals until the first ones have come, in milliseconds; typical of the users' sites.
const INITIAL_GAP_MS: f64 = 400.0;
/// Time without an arrival after which there is no headroom any more, in milliseconds.
const ARRIVAL_TIMEOUT_MS: u64 = 15_000;
/// Maximum share of a pool that is kept free, in percent.
const MAX_POOL_PERCENT: u64 = 30;
/// Share of a pool that is kept free before the first arrival, in percent; about what two of the users' sites arrive at.
const INITIAL_POOL_PERCENT: u64 = 20;
/// A worker is kept only if its available accelerators are at most this many times those still wanted.
const MAX_OVERSHOOT_FACTOR: u64 = 2;
/// Maximum number of jobs that are remembered at the same time.
const MAX_SEEN_JOBS: usize = 1_024;

/// Statistics of arrivals of priority 0 in one pool.
#[derive(Clone, Debug, Default)]
struct Arrivals {
    /// Mean number of accelerators of a job.
    accelerators: f64,
    /// Mean time between two arrivals, in milliseconds.
    gap_ms: f64,
    /// When the last job arrived, on the leader's clock in milliseconds.
    last_ms: u64,
}

impl Arrivals {
    /// Returns for how many jobs there should be headroom if a stop takes at most `stop_ms`. The number follows the arrival rate: a fixed
    /// number would be too large for rare arrivals, and far too small for a burst or a large pool.
    fn target_jobs(&self, stop_ms: u64) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "far below 2^53")]
        let covered_ms = (COVERED_ARRIVALS_MS + COVERED_STOPS * stop_ms) as f64;
        (covered_ms / self.gap_ms.max(1.0)).max(MIN_JOBS)
    }
}

/// Recent arrivals of priority 0, and the headroom that they call for.
#[derive(Clone, Debug, Default)]
pub struct UrgentHeadroom {
    seen_jobs: BTreeSet<JobId>,
    pools: BTreeMap<Arc<str>, Arrivals>,
}

impl UrgentHeadroom {
    /// Assumes arrivals in the pools that have a queue of priority 0 and where none have been seen. Otherwise the work that fills a pool at
    /// the start would have to be stopped for the first urgent jobs.
    pub fn assume_arrivals(&mut self, elected_ms: u64, workload: &Workload, rooms: &[Room]) {
        let Some(rules) = &workload.rules else {
            return;
        };
        let urgent_queues = rules.queues.iter().filter(|queue| queue.priority == 0);
        for queue in urgent_queues {
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

    /// Learns from the waiting units.
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

    /// Marks the workers that only work of priority 0 may use: those with the most available accelerators, in the rack with the most. A
    /// stop takes at most `stop_ms`.
    pub fn mark_rooms(&self, (now_ms, stop_ms): (u64, u64), rooms: &mut [Room]) {
        for (pool, arrivals) in &self.pools {
            if now_ms >= arrivals.last_ms + ARRIVAL_TIMEOUT_MS {
                continue;
            }
            let in_pool = |room: &&Room| room.usable && room.pool == *pool;
            let total: u64 = rooms
                .iter()
                .filter(in_pool)
                .map(|room| room.capacity.accelerators)
                .sum();
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "a small positive number"
            )]
            let wanted = (arrivals.accelerators * arrivals.target_jobs(stop_ms)) as u64;
            let mut left = wanted.min(total * MAX_POOL_PERCENT / 100);
            let mut available_by_rack = vec![0; Room::count_racks(rooms)];
            for room in rooms.iter().filter(in_pool) {
                available_by_rack[room.rack_number] += room.available().accelerators;
            }
            let mut order: Vec<usize> = (0..rooms.len())
                .filter(|at| in_pool(&&rooms[*at]) && rooms[*at].available().accelerators > 0)
                .collect();
            order.sort_by_cached_key(|at| {
                let room = &rooms[*at];
                let rack_available = available_by_rack[room.rack_number];
                let available = room.available().accelerators;
                (
                    room.runtime_percent,
                    std::cmp::Reverse(rack_available),
                    std::cmp::Reverse(available),
                    *at,
                )
            });
            for at in order {
                // Keeping a whole worker for much less than it has would take more from other work than it gives. In a pool of few workers,
                // none is kept.
                let available = rooms[at].available().accelerators;
                if available <= left * MAX_OVERSHOOT_FACTOR {
                    left = left.saturating_sub(available);
                    rooms[at].urgent_only = true;
                }
            }
        }
    }
}
