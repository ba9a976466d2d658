//! Checks for runs beyond the tail of their kind.

use super::OverdueRun;
use super::Runtimes;
use super::runtimes::Kind;
use super::slow_limits::SlowLimits;
use crate::dispatch::RunState;
use std::collections::BTreeMap;

/// Largest number of runs of a kind that are beyond its tail at a time, in percent of the runs that have ended. About two in a hundred runs are
/// longer than the tail. If more are, the tail is that of the short runs, which ended first.
const MAX_BEYOND_PERCENT: u64 = 5;

/// Runs of kinds whose tail is known, in one check.
#[derive(Debug, Default)]
pub(super) struct TailCheck {
    /// Number of runs beyond the tail, by kind.
    beyond: BTreeMap<Kind, u64>,
    /// Runs that are slow by the tail of their kind, or by the fixed limits.
    slow: Vec<SlowRun>,
}

#[derive(Debug)]
struct SlowRun {
    kind: Kind,
    run: OverdueRun,
    by_tail: bool,
    by_fixed: bool,
}

impl TailCheck {
    /// Adds a run, with its limits by the tail of its kind and the fixed ones.
    pub fn add(
        &mut self,
        now_ms: u64,
        kind: Kind,
        (run, run_state): (OverdueRun, &RunState),
        (tail, fixed): (SlowLimits, SlowLimits),
    ) {
        let by_tail = tail.is_slow(now_ms, run_state);
        let by_fixed = fixed.is_slow(now_ms, run_state);
        if tail.is_reached(now_ms, run_state) {
            *self.beyond.entry(kind.clone()).or_default() += 1;
        }
        if by_tail || by_fixed {
            self.slow.push(SlowRun {
                kind,
                run,
                by_tail,
                by_fixed,
            });
        }
    }

    /// Returns the slow runs. The fixed limits hold for kinds of which too many runs are beyond the tail.
    pub fn into_slow(self, runtimes: &Runtimes) -> Vec<OverdueRun> {
        let Self { beyond, slow } = self;
        let is_known = |kind: &Kind| {
            let beyond = beyond.get(kind).copied().unwrap_or(0);
            beyond <= (runtimes.count(kind) * MAX_BEYOND_PERCENT / 100).max(1)
        };
        slow.into_iter()
            .filter(|slow| {
                if is_known(&slow.kind) {
                    slow.by_tail
                } else {
                    slow.by_fixed
                }
            })
            .map(|slow| slow.run)
            .collect()
    }
}
