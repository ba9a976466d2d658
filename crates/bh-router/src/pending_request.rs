//! One request in the router.

use std::collections::BTreeSet;
use std::sync::Arc;

/// What the router knows of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingRequest {
    /// Identity, chosen by the driver.
    pub id: u64,
    /// Customer it is charged to.
    pub customer: Arc<str>,
    /// The customer's share.
    pub weight: u32,
    /// Request type; service times are learnt by it.
    pub request_type: Arc<str>,
    /// Priority from the request type.
    pub priority: u8,
    /// When the caller stops waiting.
    pub deadline_ms: u64,
    /// Whether it may run again after an unclear outcome.
    pub idempotent: bool,
    /// Whether another entry handed it over: it is not handed on, so that it cannot wander.
    pub forwarded: bool,
    /// Targets that failed it.
    pub failed_on: BTreeSet<Arc<str>>,
    /// Entries that could not take it.
    pub refused_by: BTreeSet<Arc<str>>,
    /// Attempts so far.
    pub attempts: u32,
    /// When it arrived.
    pub arrived_ms: u64,
}
