//! Detects that the process stood still: its VM was suspended or frozen, or its thread waited for long.

use bh_net::Clock;
use bh_net::runtime::sleep_ms;
use std::cell::Cell;
use std::rc::Rc;
use tokio_util::sync::CancellationToken;

/// Time between two looks at the clock, in milliseconds.
const INTERVAL_MS: u64 = 100;
/// Shortest time between two looks that counts as a standstill, in milliseconds. Shorter ones are usual on a busy VM.
const MIN_STANDSTILL_MS: u64 = 500;
/// Time after a standstill within which the calls that arrived meanwhile are read, in milliseconds.
const BACKLOG_MS: u64 = 500;

/// Tells for how long a call may have waited before this process read it. Nothing else does: a process counts the time of a call from its
/// reading.
pub struct Standstill {
    clock: Clock,
    last_look_ms: Cell<u64>,
    /// When the last standstill ended and how long it was, in milliseconds.
    last: Cell<Option<(u64, u64)>>,
}

impl Standstill {
    /// Creates a detector that looks at `clock` only when it is asked.
    pub fn new(clock: Clock) -> Self {
        Self {
            last_look_ms: Cell::new(clock.now_ms()),
            clock,
            last: Cell::new(None),
        }
    }

    /// Creates a detector that looks at `clock` regularly until `stop` is cancelled.
    pub fn watch(clock: Clock, stop: CancellationToken) -> Rc<Self> {
        let standstill = Rc::new(Self::new(clock));
        let looking = standstill.clone();
        monoio::spawn(async move {
            while !stop.is_cancelled() {
                looking.look();
                sleep_ms(INTERVAL_MS).await;
            }
        });
        standstill
    }

    /// For how long a call that is read now may have waited for this process, in milliseconds.
    pub fn waited_ms(&self) -> u64 {
        self.look();
        let now_ms = self.clock.now_ms();
        match self.last.get() {
            Some((ended_ms, lasted_ms)) if now_ms < ended_ms + BACKLOG_MS => lasted_ms,
            _ => 0,
        }
    }

    fn look(&self) {
        let now_ms = self.clock.now_ms();
        let since_ms = now_ms.saturating_sub(self.last_look_ms.replace(now_ms));
        let is_longer = self.last.get().is_none_or(|(ended_ms, lasted_ms)| {
            now_ms >= ended_ms + BACKLOG_MS || since_ms > lasted_ms
        });
        if since_ms >= MIN_STANDSTILL_MS && is_longer {
            self.last.set(Some((now_ms, since_ms)));
        }
    }
}
