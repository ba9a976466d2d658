//! A VM that gets no new work because its upkeep is next.

/// A VM that is being emptied before its upkeep.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Emptying {
    /// Number of the wave.
    pub wave: u64,
    /// When the runs that are still in progress there are stopped, on the leader's clock in milliseconds.
    pub stop_at_ms: u64,
}
