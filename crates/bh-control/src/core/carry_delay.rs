//! How long orders were on their way from the leader.

/// Tells orders that were held up from those that came at once, without clocks that agree: the leader's clock is compared with this core's, and
/// the least difference seen in its term stands for an order that came at once.
#[derive(Debug, Default)]
pub struct CarryDelay {
    term: u64,
    least_ms: Option<i128>,
}

impl CarryDelay {
    /// Notes an order of the leader of `term`, sent at `sent_ms` of its clock and here at `now_ms` of this core's; returns by how many
    /// milliseconds it is later than the quickest one.
    pub fn note(&mut self, term: u64, sent_ms: u64, now_ms: u64) -> u64 {
        if term != self.term {
            self.term = term;
            self.least_ms = None;
        }
        let difference_ms = i128::from(now_ms) - i128::from(sent_ms);
        let least_ms = self
            .least_ms
            .map_or(difference_ms, |least| least.min(difference_ms));
        self.least_ms = Some(least_ms);
        u64::try_from(difference_ms - least_ms).unwrap_or(u64::MAX)
    }
}
