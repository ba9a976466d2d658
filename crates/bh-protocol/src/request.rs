//! Short requests: header names and the record that keeps a non-idempotent request at most once.

use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;

/// Header that names a request across resends.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Header by which an answer is matched to its request; a target echoes it.
pub const REQUEST_ID: &str = "x-request-id";
/// Header with the numbered result code of an answer.
pub const RESULT_CODE: &str = "x-result-code";
/// Header that says whether the work ran: `no`, `yes` or `unknown`.
pub const RAN: &str = "x-ran";
/// Header with the milliseconds left until the caller's deadline.
pub const DEADLINE_MS: &str = "x-deadline-ms";

/// Identity of a request across resends: a customer and its key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestKey {
    /// Customer.
    pub customer: Arc<str>,
    /// The caller's idempotency key.
    pub key: Arc<str>,
}

/// A whole answer, as passed between entries and kept for resends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// Number of the result code.
    pub code: u32,
    /// The body, or `None` when it was too large to keep.
    pub body: Option<Vec<u8>>,
}
