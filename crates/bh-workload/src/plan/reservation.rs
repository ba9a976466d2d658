//! Room that is being made on chosen workers.

use bh_protocol::Incarnation;

/// Room that is being made for a unit.
#[derive(Clone, Debug)]
pub(super) struct Reservation {
    /// Workers and number of tasks.
    pub places: Vec<(Incarnation, u64)>,
    /// When the claim lapses, on the leader's clock in milliseconds.
    pub until_ms: u64,
}
