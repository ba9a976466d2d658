//! Decides whether a run is so slow that it ends sooner if it is restarted elsewhere.

use crate::dispatch::RunState;
use crate::dispatch::StartPhase;
use crate::dispatch::Timing;

/// A run is checked for slowness after this share of its expected run time, in percent.
const SLOW_AFTER_PERCENT: u64 = 200;
/// A slow run is restarted if its remaining time, at its pace so far, exceeds this share of the expected run time, in percent. Below that
/// it ends sooner where it is.
const SLOW_LEFT_PERCENT: u64 = 160;

/// From when a run counts as slow.
#[derive(Clone, Copy, Debug)]
pub(super) struct SlowLimits {
    /// Time that it has run at least, in milliseconds.
    after_ms: u64,
    /// Time that a restart elsewhere takes, in milliseconds: the remaining time of a slow run is longer.
    restart_ms: u64,
}

impl SlowLimits {
    /// Limits at fixed shares of the learnt run time.
    pub fn fixed(learnt_ms: u64) -> Self {
        Self {
            after_ms: learnt_ms * SLOW_AFTER_PERCENT / 100,
            restart_ms: learnt_ms * SLOW_LEFT_PERCENT / 100,
        }
    }

    /// Limits by the tail of the run's kind on its worker. Elsewhere the task takes `usual_ms` after it was stopped.
    pub fn by_tail(tail_ms: u64, usual_ms: u64, timing: &Timing) -> Self {
        Self {
            after_ms: tail_ms,
            restart_ms: timing.stop_timeout_ms + usual_ms,
        }
    }

    /// Returns whether a run has run for at least the time after which it may count as slow.
    pub fn is_reached(&self, now_ms: u64, run_state: &RunState) -> bool {
        let StartPhase::Confirmed { at_ms } = run_state.start else {
            return false;
        };
        // The start time of a run is unknown if a previous leader ordered it or if its start order had no answer.
        !run_state.was_unconfirmed && now_ms.saturating_sub(at_ms) >= self.after_ms
    }

    /// Returns whether a run has run that long, and its remaining time exceeds that of a restart.
    pub fn is_slow(&self, now_ms: u64, run_state: &RunState) -> bool {
        let StartPhase::Confirmed { at_ms } = run_state.start else {
            return false;
        };
        if run_state.percent == 0 || !self.is_reached(now_ms, run_state) {
            return false;
        }
        // The pace is computed at the time of the report that brought the last progress.
        let reported_ms = run_state.progress_ms.saturating_sub(at_ms);
        let left_ms = reported_ms * (100 - run_state.percent.min(100)) / run_state.percent;
        left_ms > self.restart_ms
    }
}
