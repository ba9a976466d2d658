//! Time as one value handed to every part.
//!
//! The timer of `monoio` cannot be paused or advanced. Decision code therefore takes the time as an argument, and the
//! daemon reads it from one [`Clock`], which a test sets by hand.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// A monotonic clock in milliseconds.
#[derive(Clone, Debug)]
pub struct Clock {
    source: Source,
}

#[derive(Clone, Debug)]
enum Source {
    Running { start: Instant },
    Manual { now_ms: Rc<Cell<u64>> },
}

impl Clock {
    /// A clock that runs, from 1 at its creation.
    pub fn new() -> Self {
        Self {
            source: Source::Running {
                start: Instant::now(),
            },
        }
    }

    /// A clock that shows what `now_ms` is set to.
    pub fn with_manual(now_ms: Rc<Cell<u64>>) -> Self {
        Self {
            source: Source::Manual { now_ms },
        }
    }

    /// Milliseconds on this clock; never goes back.
    pub fn now_ms(&self) -> u64 {
        match &self.source {
            Source::Running { start } => u64::try_from(start.elapsed().as_millis())
                .unwrap_or(u64::MAX)
                .saturating_add(1),
            Source::Manual { now_ms } => now_ms.get(),
        }
    }

    /// Milliseconds since 1970 by the wall clock, which may jump; for records that outlive the process only.
    pub fn wall_ms(&self) -> u64 {
        match &self.source {
            Source::Running { .. } => SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |since| {
                    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
                }),
            Source::Manual { now_ms } => now_ms.get(),
        }
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
