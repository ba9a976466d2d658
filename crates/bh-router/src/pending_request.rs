//! One request that the router holds.

use std::collections::BTreeSet;
use std::sync::Arc;

/// A request that is queued or in progress.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingRequest {
    /// Id of the request, chosen by the driver.
    pub id: u64,
    /// Customer that the request is charged to.
    pub customer: Arc<str>,
    /// The customer's weight in fair queueing.
    pub weight: u32,
    /// Request type, by which service times are estimated.
    pub request_type: Arc<str>,
    /// Priority of the request type.
    pub priority: u8,
    /// Time at which the caller stops waiting.
    pub deadline_ms: u64,
    /// Whether the request may run again after an unknown outcome.
    pub idempotent: bool,
    /// Whether another entry forwarded the request. It is not forwarded again, so that it can't circulate between entries.
    pub forwarded: bool,
    /// Targets on which the request failed.
    pub failed_on: BTreeSet<Arc<str>>,
    /// Entries that refused the forwarded request.
    pub refused_by: BTreeSet<Arc<str>>,
    /// Number of attempts so far.
    pub attempts: u32,
    /// Time at which the request arrived at this entry.
    pub arrived_ms: u64,
}
