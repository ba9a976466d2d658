//! The speed of one run.

/// Full speed in percent; every run starts with it.
pub const FULL_PERCENT: u64 = 100;
/// Delay before a pace order without an answer is sent again, in milliseconds: much shorter than the time for which a service may exceed
/// its response time.
const RETRY_MS: u64 = 300;

/// The share of its full speed at which a run should work, and the share that its worker confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// The wanted share in percent.
    pub wanted_percent: u64,
    /// The share that the worker confirmed, in percent; `None` if it is unknown, as for a run that an earlier leader may have slowed down.
    confirmed_percent: Option<u64>,
    in_flight: bool,
    retry_ms: u64,
}

impl Pace {
    /// Full speed. `is_fresh` means that no leader can have told the worker another speed.
    pub fn new(is_fresh: bool) -> Self {
        Self {
            wanted_percent: FULL_PERCENT,
            confirmed_percent: is_fresh.then_some(FULL_PERCENT),
            in_flight: false,
            retry_ms: 0,
        }
    }

    /// Whether a pace order must be sent now.
    pub fn is_due(&self, now_ms: u64) -> bool {
        !self.in_flight
            && now_ms >= self.retry_ms
            && self.confirmed_percent != Some(self.wanted_percent)
    }

    /// Notes that a pace order is being sent.
    pub fn note_sent(&mut self) {
        self.in_flight = true;
    }

    /// Notes the answer to an order for `percent`. An order without an answer may have been carried out, or may still be.
    pub fn note_answer(&mut self, now_ms: u64, percent: u64, done: bool) {
        self.in_flight = false;
        self.confirmed_percent = done.then_some(percent);
        if !done {
            self.retry_ms = now_ms + RETRY_MS;
        }
    }
}
