//! Reservation of capacity that is being freed for a unit.

use bh_protocol::Incarnation;

/// Capacity on chosen workers that is reserved for a unit while other runs stop there.
#[derive(Clone, Debug)]
pub(super) struct Reservation {
    /// Workers, with the number of tasks for each.
    pub places: Vec<(Incarnation, u64)>,
    /// When the reservation is dropped, on the leader's clock in milliseconds.
    pub until_ms: u64,
}
