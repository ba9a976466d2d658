//! How long orders were on their way from the leader.

/// Time for which the quickest order is remembered at least, in milliseconds, and at most twice that while orders come. The leader's clock stands
/// still while its VM is suspended, and no two clocks run quite alike: what was the least once is too little later.
const REMEMBERED_MS: u64 = 5_000;

/// Tells orders that were held up from those that came at once, without clocks that agree: the leader's clock is compared with this core's, and
/// the least difference seen lately in its term stands for an order that came at once.
#[derive(Debug, Default)]
pub struct CarryDelay {
    term: u64,
    /// When the span of `least_ms` began, on this core's clock in milliseconds.
    since_ms: u64,
    least_ms: Option<i128>,
    /// The same of the span before. It stays while no orders come, so that the first ones after this VM stood still are compared with it.
    before_ms: Option<i128>,
}

impl CarryDelay {
    /// Notes an order of the leader of `term`, sent at `sent_ms` of its clock and here at `now_ms` of this core's; returns by how many
    /// milliseconds it is later than the quickest one.
    pub fn note(&mut self, term: u64, sent_ms: u64, now_ms: u64) -> u64 {
        if term != self.term {
            *self = Self {
                term,
                since_ms: now_ms,
                ..Self::default()
            };
        } else if now_ms >= self.since_ms + REMEMBERED_MS {
            self.since_ms = now_ms;
            self.before_ms = self.least_ms.take();
        }
        let difference_ms = i128::from(now_ms) - i128::from(sent_ms);
        let least_ms = self
            .least_ms
            .map_or(difference_ms, |least| least.min(difference_ms));
        self.least_ms = Some(least_ms);
        let quickest_ms = self
            .before_ms
            .map_or(least_ms, |before| before.min(least_ms));
        u64::try_from(difference_ms - quickest_ms).unwrap_or(u64::MAX)
    }
}
