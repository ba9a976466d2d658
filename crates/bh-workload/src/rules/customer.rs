//! Customers and what they are guaranteed.

use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;

/// A customer, who submits jobs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Customer {
    /// Name.
    pub name: Arc<str>,
    /// Keys that authenticate the customer's callers.
    pub keys: Vec<Arc<str>>,
    /// Number of accelerators that the customer's jobs of priority 0 get at any time.
    pub guaranteed_accelerators: u64,
}
