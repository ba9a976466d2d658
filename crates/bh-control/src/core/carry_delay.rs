//! How long orders were on their way from the leader.

/// Time for which the quickest order is remembered at least, in milliseconds, and at most twice that while orders come. The leader's clock stands
/// still while its VM is suspended, and no two clocks run quite alike: what was the least once is too little later.
const WINDOW_MS: u64 = 5_000;

/// Tells orders that were held up from those that came at once, without clocks that agree: the leader's clock is compared with this core's, and
/// the least difference seen lately in its term stands for an order that came at once.
#[derive(Debug, Default)]
pub struct CarryDelay {
    term: u64,
    /// When the span of `min_ms` began, on this core's clock in milliseconds.
    window_start_ms: u64,
    min_ms: Option<i128>,
    /// The same of the span before. It stays while no orders come, so that the first ones after this VM stood still are compared with it.
    previous_min_ms: Option<i128>,
}

impl CarryDelay {
    /// Notes an order of the leader of `term`, sent at `sent_ms` of its clock and here at `now_ms` of this core's; returns by how many
    /// milliseconds it is later than the quickest one.
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
