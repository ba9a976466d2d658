//! Replication of planned starts, which delays the next plan.

/// Whether planned starts are being recorded in the replicated state, and whether that has delayed a plan.
#[derive(Clone, Copy, Debug, Default)]
pub struct StartsRecord {
    /// When recording started, on the process's clock in milliseconds; `None` while nothing is being recorded.
    since_ms: Option<u64>,
    /// Whether a plan became due in the meantime.
    has_deferred: bool,
}

impl StartsRecord {
    /// Creates the state in which no starts are being recorded.
    pub fn new() -> Self {
        Self::default()
    }

    /// Marks the planned starts as being recorded from `now_ms` on.
    pub fn begin(&mut self, now_ms: u64) {
        self.since_ms = Some(now_ms);
        self.has_deferred = false;
    }

    /// Marks the recording as ended, because it was committed or has failed.
    pub fn end(&mut self) {
        self.since_ms = None;
    }

    /// Whether starts are being recorded. The next plan must wait for them, since it has to see them.
    pub fn is_open(&self) -> bool {
        self.since_ms.is_some()
    }

    /// How long starts have been in the process of being recorded, in milliseconds; 0 while there are none.
    pub fn age_ms(&self, now_ms: u64) -> u64 {
        self.since_ms
            .map_or(0, |since_ms| now_ms.saturating_sub(since_ms))
    }

    /// Marks a plan as due. Returns true the first time that the current recording delays a plan.
    pub fn defer_plan(&mut self) -> bool {
        let is_first = self.is_open() && !self.has_deferred;
        self.has_deferred |= is_first;
        is_first
    }
}
