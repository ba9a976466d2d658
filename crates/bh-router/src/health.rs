//! Detects targets that fail requests which other targets answer.

use crate::decision::AttemptOutcome;

/// Number of consecutive attempts that must fail before a target is set aside.
const FAILURES_TO_SET_ASIDE: u32 = 3;
/// How long a target is set aside the first time. The time doubles with each further failure.
const FIRST_SET_ASIDE_MS: u64 = 1_000;
/// Upper limit of the time a target is set aside.
const MAX_SET_ASIDE_MS: u64 = 60_000;

/// Failures of attempts on one target.
///
/// A target that fails requests at once is free at once, so it would get most requests. It is set aside, which means that
/// it gets no requests for a while. A failure doesn't count if the same request type fails on other targets as well,
/// because then the request is at fault.
#[derive(Clone, Debug, Default)]
pub(crate) struct TargetHealth {
    consecutive_failures: u32,
    set_aside_count: u32,
    set_aside_until_ms: u64,
    probing: bool,
}

impl TargetHealth {
    /// Records the end of an attempt. `fails_elsewhere` tells that the request type fails on other targets as well.
    pub fn record(&mut self, now_ms: u64, outcome: AttemptOutcome, fails_elsewhere: bool) {
        self.probing = false;
        if !outcome.is_target_failure() {
            if outcome == AttemptOutcome::Answered {
                *self = Self::default();
            }
            return;
        }
        if fails_elsewhere && outcome == AttemptOutcome::Failed {
            return;
        }
        self.consecutive_failures += 1;
        let needed = if self.set_aside_count > 0 {
            1
        } else {
            FAILURES_TO_SET_ASIDE
        };
        if self.consecutive_failures >= needed {
            let set_aside_ms =
                (FIRST_SET_ASIDE_MS << self.set_aside_count.min(16)).min(MAX_SET_ASIDE_MS);
            self.set_aside_until_ms = now_ms + set_aside_ms;
            self.set_aside_count += 1;
            self.consecutive_failures = 0;
        }
    }

    /// Whether the target may get a request now. After it was set aside, it gets one request at a time until it answers one.
    pub fn admits(&self, now_ms: u64) -> bool {
        now_ms >= self.set_aside_until_ms && !(self.set_aside_count > 0 && self.probing)
    }

    /// Whether the target has been set aside and has not answered a request since.
    pub fn is_suspect(&self) -> bool {
        self.set_aside_count > 0
    }

    /// Records that a request is being sent to the target.
    pub fn mark_sent(&mut self) {
        self.probing = self.set_aside_count > 0;
    }
}
