//! A refused submission.

use super::RefusalReason;
use std::sync::Arc;

/// A submission that the leader refuses before it records anything.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusedSubmission {
    /// Customer, if the caller was identified.
    pub customer: Option<Arc<str>>,
    /// Name of the queue.
    pub queue: Arc<str>,
    /// Why it is refused.
    pub reason: RefusalReason,
    /// When the caller should send it again, in milliseconds.
    pub retry_after_ms: u64,
}
