//! Determines which units may use capacity that is held for gangs.
//!
//! A gang that does not fit holds capacity until enough of it is free, and much of what is held is free before that. Under a queue of wide
//! gangs a large part of a pool would be idle. A unit that ends before the gang starts can use it without delaying the gang.

use super::Runtimes;
use super::Unit;
use super::place;
use crate::state::Workload;

/// The time of a unit is rounded up to a multiple of this, in milliseconds, so that a search that failed for one unit rules out the search for
/// similar ones. Runs that are short enough to backfill take a few seconds.
const STEP_MS: u64 = 2_000;
/// Longest time of a unit that may backfill, in milliseconds. Gangs start within a few run times, so longer units would hardly find a place and
/// each search for one would look at all workers.
const MAX_MS: u64 = 12_000;

/// Sets the time within which each unit ends, if that is known well enough to let it use held capacity.
pub fn set_times(units: &mut [Unit], workload: &Workload, runtimes: &Runtimes) {
    for unit in units {
        unit.backfill_ms = time_ms(unit, workload, runtimes);
    }
}

/// Returns the time within which a unit ends, in milliseconds, or `None` if it may not use held capacity. A unit that prefers one rack takes a
/// multiple of its time elsewhere, a service does not end, and declared times are wrong by factors.
fn time_ms(unit: &Unit, workload: &Workload, runtimes: &Runtimes) -> Option<u64> {
    if place::prefers_one_rack(unit) || unit.spec.long_running || unit.is_suspect() {
        return None;
    }
    let job = workload.job(unit.step.job)?;
    let tail_ms = runtimes.tail_ms(&job.queue.name, unit.step, &unit.spec)?;
    Some(tail_ms.next_multiple_of(STEP_MS)).filter(|ms| *ms <= MAX_MS)
}
