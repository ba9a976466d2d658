//! Start counts of removed workers.

use serde::Deserialize;
use serde::Serialize;

/// Recorded starts of a removed worker, kept so that its fencing tokens keep increasing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PastStarts {
    /// Number of recorded starts.
    pub count: u64,
    /// Arrival number of the last one; the lowest is evicted first.
    pub arrival: u64,
}
