//! A customer: who hands in jobs, and what it is guaranteed.

use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;

/// One customer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Customer {
    /// Name.
    pub name: Arc<str>,
    /// Keys its callers prove themselves with.
    pub keys: Vec<Arc<str>>,
    /// Accelerators that its jobs of priority 0 get at any time.
    pub guaranteed_accelerators: u64,
}
