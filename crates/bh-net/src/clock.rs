//! The clock of a process.
//!
//! The timer of `monoio` cannot be paused or advanced. Decision code therefore takes the time as an argument, and the
//! daemon reads the time from one [`Clock`], which a test can set manually.

use std::cell::Cell;
use std::rc::Rc;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// A monotonic clock in milliseconds.
#[derive(Clone, Debug)]
pub struct Clock {
    source: Source,
}

#[derive(Clone, Debug)]
enum Source {
    Running { start_ms: u64 },
    Manual { now_ms: Rc<Cell<u64>> },
}

impl Clock {
    /// Creates a clock that starts at 1.
    pub fn new() -> Self {
        Self {
            source: Source::Running {
                start_ms: boot_ms(),
            },
        }
    }

    /// Creates a clock whose time is the value of `now_ms`.
    pub fn with_manual(now_ms: Rc<Cell<u64>>) -> Self {
        Self {
            source: Source::Manual { now_ms },
        }
    }

    /// Time of this clock in milliseconds; never goes back.
    pub fn now_ms(&self) -> u64 {
        match &self.source {
            Source::Running { start_ms } => boot_ms().saturating_sub(*start_ms).saturating_add(1),
            Source::Manual { now_ms } => now_ms.get(),
        }
    }

    /// Wall-clock time in milliseconds since 1970. It may jump, so use it only for records that outlive the process.
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

/// Milliseconds since the VM was started, including time in which the VM was suspended. The usual monotonic clock stops during a
/// suspension, so a VM that resumes would still count a lease as valid that has expired meanwhile.
fn boot_ms() -> u64 {
    const MS_PER_S: u64 = 1_000;
    const NS_PER_MS: u64 = 1_000_000;
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
    seconds * MS_PER_S + nanos / NS_PER_MS
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
