//! The shedding level in force.

use super::ShedLevel;

/// Minimum time between two falls of the level, in milliseconds. Callers are to be served as before within two seconds after an overload: one
/// second of backlog and four levels.
const FALL_INTERVAL_MS: u64 = 250;
/// Time for which the lag must be below that of the level in force before the level falls, in milliseconds: several iterations of the leader's
/// loop, so that one in time among late ones does not lower the level.
const CALM_MS: u64 = 250;

/// The shedding level in force. It rises at once to what the lag calls for, and falls by one at a time.
#[derive(Clone, Debug, Default)]
pub struct LoadShedder {
    level: ShedLevel,
    /// When the level last fell.
    fell_ms: u64,
    /// When the lag last called for the level in force or a higher one.
    called_for_ms: u64,
}

impl LoadShedder {
    /// Creates a shedder that sheds nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the level in force.
    pub fn level(&self) -> ShedLevel {
        self.level
    }

    /// Takes note of the lag at `now_ms`. Returns the level before if the level has changed.
    pub fn observe(&mut self, now_ms: u64, lag_ms: u64) -> Option<ShedLevel> {
        let before = self.level;
        let wanted = ShedLevel::for_lag(lag_ms);
        if wanted >= before {
            self.level = wanted;
            self.called_for_ms = now_ms;
        } else if now_ms >= self.called_for_ms + CALM_MS
            && now_ms >= self.fell_ms + FALL_INTERVAL_MS
        {
            self.level = before.lower();
            self.fell_ms = now_ms;
        }
        if self.level == before {
            return None;
        }
        Some(before)
    }
}
