//! Counts of refused submissions.

use super::RefusalReason;
use super::RefusedSubmission;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Counts of refused submissions since the leader took over, by queue and by customer. Queues and customers come from the rules, which
/// bounds both.
#[derive(Clone, Debug, Default)]
pub struct RefusalCounts {
    by_queue: BTreeMap<Arc<str>, BTreeMap<RefusalReason, u64>>,
    by_customer: BTreeMap<Arc<str>, u64>,
}

impl RefusalCounts {
    /// Creates empty counts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a refused submission.
    pub fn add(&mut self, refused: &RefusedSubmission) {
        let counts = self.by_queue.entry(refused.queue.clone()).or_default();
        *counts.entry(refused.reason).or_default() += 1;
        if let Some(customer) = &refused.customer {
            *self.by_customer.entry(customer.clone()).or_default() += 1;
        }
    }

    /// Returns the counts of a queue by reason.
    pub fn of_queue(&self, queue: &str) -> BTreeMap<RefusalReason, u64> {
        self.by_queue.get(queue).cloned().unwrap_or_default()
    }

    /// Returns the counts by customer.
    pub fn by_customer(&self) -> &BTreeMap<Arc<str>, u64> {
        &self.by_customer
    }
}
