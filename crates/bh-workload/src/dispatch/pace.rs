//! The speed of one run, which pace orders to its worker change.

/// Full speed in percent; every run starts with it.
pub const FULL_PERCENT: u64 = 100;
/// Delay before a pace order without an answer is sent again, in milliseconds: much shorter than the time for which a service is
/// allowed to exceed the bound on its response time.
const RETRY_MS: u64 = 300;

/// The share of its full speed at which a run should work, and the share that its worker confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// The wanted share in percent.
    pub wanted_percent: u64,
    /// The share that the worker confirmed, in percent; `None` if it is unknown, as for a run that an earlier leader may have slowed down.
    confirmed_percent: Option<u64>,
    /// Whether a pace order is in flight.
    in_flight: bool,
    /// No order is sent before this time, on the leader's clock in milliseconds.
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
        !self.in_flight && now_ms >= self.retry_ms && !self.is_confirmed()
    }

    /// Whether the worker has confirmed the wanted speed.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed_percent == Some(self.wanted_percent)
    }

    /// Notes that a pace order is being sent.
    pub fn note_sent(&mut self) {
        self.in_flight = true;
    }

    /// Notes that the worker has confirmed an order for `percent`, or has refused it or not answered. An order without an answer may have
    /// been carried out, or may be carried out later, so the speed is unknown then.
    pub fn note_answer(&mut self, now_ms: u64, percent: u64, is_confirmed: bool) {
        self.in_flight = false;
        self.confirmed_percent = is_confirmed.then_some(percent);
        if !is_confirmed {
            self.retry_ms = now_ms + RETRY_MS;
        }
    }
}
