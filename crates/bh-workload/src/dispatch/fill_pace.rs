//! The speed of fill tasks on workers that also run services. A fill task only uses processors that other tasks leave idle.

use super::pace::FULL_PERCENT;

/// Response time from which a service counts as too slow, in percent of its bound. It is below 100 because the response
/// time that workers report is rough and a change of speed takes effect half a second later.
const SLOW_DOWN_FROM_PERCENT: u64 = 90;
/// Response time below which fill tasks are sped up again, in percent of the bound.
const SPEED_UP_TO_PERCENT: u64 = 70;
/// Divisor of the speed each time a service is too slow. Three cuts in a row, within two seconds, pause the fill tasks; a
/// service is allowed to be too slow for about four seconds.
const SLOW_DOWN_DIVISOR: u64 = 3;
/// Speed below which fill tasks are paused, in percent of full speed.
const PAUSE_BELOW_PERCENT: u64 = 8;
/// Increase of the speed in one step, in percent of full speed.
const SPEED_UP_STEP_PERCENT: u64 = 10;
/// Minimum time between two changes, in milliseconds: the reported response time covers half a second.
const MIN_CHANGE_INTERVAL_MS: u64 = 500;
/// Time for which a speed that made a service too slow is not tried again, in milliseconds. The interference changes within seconds.
const CEILING_TTL_MS: u64 = 5_000;
/// Speed that a new leader sets first for the fill tasks of each worker, in percent: the speed that the previous leader had found is lost.
const TAKEOVER_PERCENT: u64 = 50;

/// The speed of fill tasks on one worker.
///
/// How much fill tasks slow down services depends on what they run and changes within seconds, so it is not predicted. The speed follows a
/// multiplicative decrease while a service is near its bound and an additive increase once it is well below, like the rate of a sender on a
/// shared link. Increases first go half-way towards the last speed that was too high, so that the response time does not oscillate around
/// its bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FillPace {
    percent: u64,
    changed_ms: u64,
    /// Last speed that was too high, in percent, and until when it counts, on the leader's clock in milliseconds.
    ceiling: Option<(u64, u64)>,
}

impl Default for FillPace {
    fn default() -> Self {
        Self {
            percent: FULL_PERCENT,
            changed_ms: 0,
            ceiling: None,
        }
    }
}

impl FillPace {
    /// The speed on a worker whose speed an earlier leader may have changed.
    pub fn after_takeover() -> Self {
        Self {
            percent: TAKEOVER_PERCENT,
            ..Self::default()
        }
    }

    /// The speed in percent.
    pub fn percent(&self) -> u64 {
        self.percent
    }

    /// Adjusts the speed to the tail response time of the slowest service, in percent of its bound; `None` if there is no service.
    pub fn adjust(&mut self, now_ms: u64, tail_percent: Option<u64>) {
        let Some(tail_percent) = tail_percent else {
            *self = Self::default();
            return;
        };
        if now_ms < self.changed_ms + MIN_CHANGE_INTERVAL_MS {
            return;
        }
        let percent = if tail_percent >= SLOW_DOWN_FROM_PERCENT {
            self.ceiling = Some((self.percent, now_ms + CEILING_TTL_MS));
            decreased(self.percent)
        } else if tail_percent <= SPEED_UP_TO_PERCENT {
            self.increased(now_ms)
        } else {
            return;
        };
        if percent != self.percent {
            self.percent = percent;
            self.changed_ms = now_ms;
        }
    }

    fn increased(&self, now_ms: u64) -> u64 {
        match self.ceiling {
            Some((ceiling_percent, until_ms)) if now_ms < until_ms => {
                self.percent + ceiling_percent.saturating_sub(self.percent) / 2
            }
            _ => (self.percent + SPEED_UP_STEP_PERCENT).min(FULL_PERCENT),
        }
    }
}

fn decreased(percent: u64) -> u64 {
    let reduced = percent / SLOW_DOWN_DIVISOR;
    if reduced < PAUSE_BELOW_PERCENT {
        0
    } else {
        reduced
    }
}
