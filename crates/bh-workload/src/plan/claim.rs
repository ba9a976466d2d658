//! Room that is being made on chosen workers.

use std::sync::Arc;

/// Room that is being made for a unit.
#[derive(Clone, Debug)]
pub(super) struct Claim {
    /// Workers and number of tasks.
    pub places: Vec<(Arc<str>, u64)>,
    /// When the claim lapses, on the leader's clock in milliseconds.
    pub until_ms: u64,
}
