//! Which targets fail what others answer.

use crate::decision::AttemptOutcome;

/// Attempts in a row that must fail before a target is set aside.
const FAILURES_TO_SET_ASIDE: u32 = 3;
/// First time aside, in milliseconds; doubles each time.
const FIRST_ASIDE_MS: u64 = 1_000;
/// Longest time aside, in milliseconds.
const LONGEST_ASIDE_MS: u64 = 60_000;

/// How the attempts on one target have ended.
///
/// A target that fails at once is free at once, and would be given most requests. Its failures are weighed against
/// how the same request type fares elsewhere: where everything fails, it is the request, and no target is set aside.
#[derive(Clone, Debug, Default)]
pub(crate) struct TargetHealth {
    failures_in_row: u32,
    times_aside: u32,
    aside_until_ms: u64,
    probing: bool,
}

impl TargetHealth {
    /// Notes the end of an attempt. `elsewhere_fails` says that the type fails on other targets as well.
    pub fn note(&mut self, now_ms: u64, outcome: AttemptOutcome, elsewhere_fails: bool) {
        self.probing = false;
        if !outcome.is_against_target() {
            if outcome == AttemptOutcome::Answered {
                *self = Self::default();
            }
            return;
        }
        if elsewhere_fails && outcome == AttemptOutcome::Failed {
            return;
        }
        self.failures_in_row += 1;
        let needed = if self.times_aside > 0 {
            1
        } else {
            FAILURES_TO_SET_ASIDE
        };
        if self.failures_in_row >= needed {
            let wait_ms = (FIRST_ASIDE_MS << self.times_aside.min(16)).min(LONGEST_ASIDE_MS);
            self.aside_until_ms = now_ms + wait_ms;
            self.times_aside += 1;
            self.failures_in_row = 0;
        }
    }

    /// Whether the target may get a request now. Back from being set aside it gets one at a time until it answers.
    pub fn admits(&self, now_ms: u64) -> bool {
        now_ms >= self.aside_until_ms && !(self.times_aside > 0 && self.probing)
    }

    /// Whether the target is set aside or on probation.
    pub fn is_suspect(&self) -> bool {
        self.times_aside > 0
    }

    /// Notes that a request is being sent.
    pub fn note_sent(&mut self) {
        self.probing = self.times_aside > 0;
    }
}
