//! Usage of one customer.

use super::usage_decay;
use crate::job::Resources;
use serde::Deserialize;
use serde::Serialize;

/// Resources that the recorded runs of one customer take now, and the decayed integral of what they took before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerUsage {
    /// When the usage was last brought up to date, in milliseconds since 1970 by the record's own time.
    at_ms: u64,
    /// Decayed integral of the usage until `at_ms`: the unit of each resource times 1/1024 ms.
    past: Resources,
    /// Not serialized: derived from the recorded runs.
    #[serde(skip)]
    in_use: Resources,
}

impl CustomerUsage {
    /// Creates the usage of a customer without runs.
    pub(super) fn new(at_ms: u64) -> Self {
        Self {
            at_ms,
            ..Self::default()
        }
    }

    /// Returns when the usage was last brought up to date, in milliseconds since 1970 by the record's own time.
    pub fn at_ms(&self) -> u64 {
        self.at_ms
    }

    /// Returns the resources that the recorded runs take.
    pub fn in_use(&self) -> Resources {
        self.in_use
    }

    /// Returns the mean usage at `now_ms`, weighted by its age, in thousandths of the unit of each resource. Usage counts half after
    /// [`usage_decay::HALF_LIFE_MS`].
    pub fn mean_thousandths(&self, now_ms: u64) -> Resources {
        let mean = |integral: u64| {
            let thousandths = u128::from(integral) * 1_000;
            let mean = thousandths / u128::from(usage_decay::FULL_INTEGRAL);
            u64::try_from(mean).unwrap_or(u64::MAX)
        };
        let past = self.advanced(now_ms).past;
        Resources {
            cpu_millis: mean(past.cpu_millis),
            memory_mb: mean(past.memory_mb),
            accelerators: mean(past.accelerators),
        }
    }

    /// Returns the usage brought up to date. An earlier time than that of the last change has no effect.
    fn advanced(&self, now_ms: u64) -> Self {
        let elapsed_ms = now_ms.saturating_sub(self.at_ms);
        if elapsed_ms == 0 {
            return *self;
        }
        let Self { past, in_use, .. } = self;
        let advanced = |integral, in_use| usage_decay::advanced(integral, in_use, elapsed_ms);
        Self {
            at_ms: now_ms,
            past: Resources {
                cpu_millis: advanced(past.cpu_millis, in_use.cpu_millis),
                memory_mb: advanced(past.memory_mb, in_use.memory_mb),
                accelerators: advanced(past.accelerators, in_use.accelerators),
            },
            in_use: *in_use,
        }
    }

    /// Adds a run that starts at `now_ms`.
    pub(super) fn start(&mut self, needs: &Resources, now_ms: u64) {
        *self = self.advanced(now_ms);
        self.in_use.add(needs);
    }

    /// Adds a run that had started before `at_ms`.
    pub(super) fn add_started(&mut self, needs: &Resources) {
        self.in_use.add(needs);
    }

    /// Removes a run that ends at `now_ms`.
    pub(super) fn end(&mut self, needs: &Resources, now_ms: u64) {
        *self = self.advanced(now_ms);
        self.in_use.subtract(needs);
    }

    /// Returns whether nothing is in use and past usage has decayed to nothing.
    pub(super) fn is_over(&self, now_ms: u64) -> bool {
        /// Half-lives after which past usage counts as nothing: less than a millionth of it is left, far below one accelerator of the
        /// largest fleet.
        const MAX_HALF_LIVES: u64 = 20;
        let idle_ms = now_ms.saturating_sub(self.at_ms);
        self.in_use == Resources::default() && idle_ms >= MAX_HALF_LIVES * usage_decay::HALF_LIFE_MS
    }
}
