//! Since when work waits beside free room.

use super::Room;
use super::StallCheck;
use super::Unit;
use crate::dispatch::Dispatcher;
use crate::job::JobId;
use crate::job::Resources;
use crate::job::StepId;
use crate::state::Worker;
use crate::state::Workload;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Time beside ample room after which a unit begins wherever it may, in milliseconds. Callers bear a second more; recording and ordering its runs
/// takes part of that.
const STALL_PATIENCE_MS: u64 = 2_000;
/// Time for which the room may be short in between, in milliseconds. Where much else waits, runs that end and begin take it and leave it all the time.
const GAP_TOLERANCE_MS: u64 = 1_000;

/// A wait beside ample room, on the leader's clock in milliseconds.
#[derive(Clone, Copy, Debug)]
struct StallPeriod {
    since_ms: u64,
    /// When the room was last ample.
    ample_ms: u64,
}

/// Waits beside ample room: of steps of jobs of which nothing runs, and of services, which miss each of their tasks.
#[derive(Clone, Debug, Default)]
pub(super) struct StallTracker {
    periods: BTreeMap<StepId, StallPeriod>,
}

impl StallTracker {
    /// Whether a step has waited so for too long.
    pub fn is_stalled_long(&self, now_ms: u64, step: StepId) -> bool {
        let period = self.periods.get(&step);
        period.is_some_and(|period| now_ms >= period.since_ms + STALL_PATIENCE_MS)
    }

    /// Notes which units wait beside ample room once a pass has decided what begins. Those in `begun` do not wait, but one whose start comes to nothing
    /// goes on with its wait.
    pub fn record(
        &mut self,
        now_ms: u64,
        (units, started): (&[Unit], &BTreeSet<StepId>),
        rooms: &[Room],
        (workload, dispatcher): (&Workload, &Dispatcher),
    ) {
        self.periods
            .retain(|_, period| now_ms < period.ample_ms + GAP_TOLERANCE_MS);
        let pools = pools(rooms);
        let waiting = units.iter().filter(|unit| {
            !started.contains(&unit.step) && waits_beside_free_capacity(unit, rooms, &pools)
        });
        let mut running = None;
        for unit in waiting {
            let running = running.get_or_insert_with(|| running_jobs(workload, dispatcher));
            if unit.spec.long_running || !running.contains(&unit.step.job) {
                let new_period = StallPeriod {
                    since_ms: now_ms,
                    ample_ms: now_ms,
                };
                self.periods.entry(unit.step).or_insert(new_period).ample_ms = now_ms;
            }
        }
    }
}

/// Jobs with recorded runs on workers that answer. What is on the others may have ended long before the record says so.
fn running_jobs(workload: &Workload, dispatcher: &Dispatcher) -> BTreeSet<JobId> {
    let answers = |worker: &&Worker| dispatcher.answers(&worker.info.id);
    let workers = workload.workers().filter(answers);
    let runs = workers.flat_map(|worker| worker.runs.keys());
    runs.map(|run| run.task.step.job).collect()
}

/// What is in use of each pool, and what it has.
type Pools = BTreeMap<Arc<str>, (Resources, Resources)>;

fn pools(rooms: &[Room]) -> Pools {
    let mut pools = Pools::new();
    for room in rooms {
        let (in_use, capacity) = pools.entry(room.pool.clone()).or_default();
        let mut used = room.capacity;
        used.subtract(&room.free);
        in_use.add(&used);
        capacity.add(&room.capacity);
    }
    pools
}

/// Whether a unit waits beside ample room, whoever that is kept for. Of tasks that need not begin together one is enough.
fn waits_beside_free_capacity(unit: &Unit, rooms: &[Room], pools: &Pools) -> bool {
    let (in_use, capacity) = pools.get(&unit.pool).copied().unwrap_or_default();
    let mut stall_check = StallCheck {
        runs: 0,
        tasks: if unit.spec.gang { unit.count() } else { 1 },
        places: u64::MAX,
        in_use,
        capacity,
    };
    // A service is missed however full the pool is.
    if unit.spec.long_running {
        stall_check.in_use = Resources::default();
    }
    // Most pools are too busy for any of their work to be looked up.
    if !stall_check.is_stalled() {
        return false;
    }
    let wanted = stall_check.tasks.saturating_mul(StallCheck::TIMES_PLACES);
    let eligible = rooms
        .iter()
        .filter(|room| room.is_reachable() && room.is_eligible(unit));
    stall_check.places = 0;
    for room in eligible {
        let most = unit.spec.most_on_worker().min(wanted);
        stall_check.places += unit.needs.count_in(&room.free, most);
        if stall_check.places >= wanted {
            break;
        }
    }
    stall_check.is_stalled()
}
