//! Detects orders from the leader that were delayed in transit.

/// How long the fastest order is remembered, in milliseconds; up to twice as long while orders arrive. The leader's clock stops while its
/// VM is suspended, and clocks drift apart, so a minimum that is too old would be too small.
const WINDOW_MS: u64 = 5_000;

/// Estimates how late an order is without synchronized clocks. The difference between the leader's clock and this core's clock is taken for
/// each order, and the smallest recent difference within the leader's term stands for an order that arrived without delay.
#[derive(Debug, Default)]
pub struct CarryDelay {
    term: u64,
    /// When the window of `min_ms` started, on this core's clock in milliseconds.
    window_start_ms: u64,
    min_ms: Option<i128>,
    /// Minimum of the previous window. It stays while no orders arrive, so that the first orders after a suspension of this VM are compared
    /// with it.
    previous_min_ms: Option<i128>,
}

impl CarryDelay {
    /// Records an order of the leader of `term`, sent at `sent_ms` on the leader's clock and received at `now_ms` on this core's clock.
    /// Returns how many milliseconds later it is than the fastest one.
    pub fn note(&mut self, term: u64, sent_ms: u64, now_ms: u64) -> u64 {
        if term != self.term {
            *self = Self {
                term,
                window_start_ms: now_ms,
                ..Self::default()
            };
        } else if now_ms >= self.window_start_ms + WINDOW_MS {
            self.window_start_ms = now_ms;
            self.previous_min_ms = self.min_ms.take();
        }
        let difference_ms = i128::from(now_ms) - i128::from(sent_ms);
        let min_ms = self
            .min_ms
            .map_or(difference_ms, |min| min.min(difference_ms));
        self.min_ms = Some(min_ms);
        let fastest_ms = self
            .previous_min_ms
            .map_or(min_ms, |previous| previous.min(min_ms));
        u64::try_from(difference_ms - fastest_ms).unwrap_or(u64::MAX)
    }
}
