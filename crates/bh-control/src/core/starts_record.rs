//! The record of planned starts that keeps the next plan back.

/// Whether starts are being recorded, and what that has kept back.
#[derive(Clone, Copy, Debug, Default)]
pub struct StartsRecord {
    /// Since when, on the process's clock in milliseconds; `None` while none are.
    since_ms: Option<u64>,
    /// Whether a plan was due meanwhile.
    has_deferred: bool,
}

impl StartsRecord {
    /// No starts are being recorded.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that starts are being recorded from `now_ms` on.
    pub fn begin(&mut self, now_ms: u64) {
        self.since_ms = Some(now_ms);
        self.has_deferred = false;
    }

    /// Notes that their record is committed, or has failed.
    pub fn end(&mut self) {
        self.since_ms = None;
    }

    /// Whether starts are being recorded: the next plan must see them.
    pub fn is_open(&self) -> bool {
        self.since_ms.is_some()
    }

    /// For how long they have been, in milliseconds; 0 while none are.
    pub fn age_ms(&self, now_ms: u64) -> u64 {
        self.since_ms
            .map_or(0, |since_ms| now_ms.saturating_sub(since_ms))
    }

    /// Notes that a plan is due; returns whether this record is what keeps it back, once for each record.
    pub fn defer_plan(&mut self) -> bool {
        let is_first = self.is_open() && !self.has_deferred;
        self.has_deferred |= is_first;
        is_first
    }
}
