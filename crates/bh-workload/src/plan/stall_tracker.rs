//! Tracks how long units have waited beside free capacity.

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

/// How long a unit may wait beside ample capacity before it starts on any eligible worker, in milliseconds. Callers tolerate one second
/// more, part of which passes while its runs are recorded and ordered.
const STALL_PATIENCE_MS: u64 = 2_000;
/// How long the capacity may be too small in between without ending the stall, in milliseconds. Where much other work waits, runs that
/// start and end take and free capacity all the time.
const GAP_TOLERANCE_MS: u64 = 1_000;

/// A period of waiting beside ample capacity, on the leader's clock in milliseconds.
#[derive(Clone, Copy, Debug)]
struct StallPeriod {
    since_ms: u64,
    /// When the capacity was last ample.
    ample_ms: u64,
    /// Whether the capacity has been ample since the unit began to wait. Before, its only runs are on a worker that does not answer, and the unit
    /// waits once they are known to have ended.
    is_confirmed: bool,
}

/// Periods of waiting beside ample capacity, of steps of jobs that have nothing running, and of services that lack a task.
#[derive(Clone, Debug, Default)]
pub(super) struct StallTracker {
    periods: BTreeMap<StepId, StallPeriod>,
}

impl StallTracker {
    /// Returns whether a step has waited beside ample capacity for too long.
    pub fn is_stalled_long(&self, now_ms: u64, step: StepId) -> bool {
        let period = self.periods.get(&step);
        period.is_some_and(|period| {
            period.is_confirmed && now_ms >= period.since_ms + STALL_PATIENCE_MS
        })
    }

    /// Records which units wait beside ample capacity after a pass has decided what starts. Units in `started` do not wait now, but if
    /// their start fails, the period that had begun before continues.
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
                    is_confirmed: true,
                };
                let period = self.periods.entry(unit.step).or_insert(new_period);
                period.ample_ms = now_ms;
                period.is_confirmed = true;
            }
        }
        self.record_silent(now_ms, dispatcher);
    }

    /// Records the steps with runs on workers that do not answer. If these runs are lost, their jobs have had nothing running since the workers
    /// were last heard.
    fn record_silent(&mut self, now_ms: u64, dispatcher: &Dispatcher) {
        for (run, since_ms) in dispatcher.silent_runs() {
            let new_period = StallPeriod {
                since_ms,
                ample_ms: now_ms,
                is_confirmed: false,
            };
            let period = self.periods.entry(run.task.step).or_insert(new_period);
            if !period.is_confirmed {
                period.ample_ms = now_ms;
            }
        }
    }
}

/// Returns the jobs with recorded runs on workers that answer. Runs on other workers may have ended long before the record shows it.
fn running_jobs(workload: &Workload, dispatcher: &Dispatcher) -> BTreeSet<JobId> {
    let answers = |worker: &&Worker| dispatcher.answers(&worker.info.id);
    let workers = workload.workers().filter(answers);
    let runs = workers.flat_map(|worker| worker.runs.keys());
    runs.map(|run| run.task.step.job).collect()
}

/// Resources in use and total resources, by pool.
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

/// Returns whether a unit waits beside ample capacity, including capacity that is held or kept for others. For a unit that is not a gang,
/// capacity for one task is ample.
fn waits_beside_free_capacity(unit: &Unit, rooms: &[Room], pools: &Pools) -> bool {
    let (in_use, capacity) = pools.get(&unit.pool).copied().unwrap_or_default();
    let mut stall_check = StallCheck {
        runs: 0,
        tasks: if unit.spec.gang { unit.count() } else { 1 },
        places: u64::MAX,
        in_use,
        capacity,
    };
    // A service lacks the task however busy the pool is.
    if unit.spec.long_running {
        stall_check.in_use = Resources::default();
    }
    // Most pools are so busy that the scan of their workers can be skipped.
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
