//! Short requests: header names, and the types by which a non-idempotent request is executed at most once.

use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;

/// Header with the idempotency key, the same for all resends of a request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Header that matches an answer to its request; a target copies it into the answer.
pub const REQUEST_ID: &str = "x-request-id";
/// Header with the number of the result code of an answer.
pub const RESULT_CODE: &str = "x-result-code";
/// Header that says whether the work was executed: `no`, `yes` or `unknown`.
pub const RAN: &str = "x-ran";
/// Header with the time left until the caller's deadline in milliseconds.
pub const DEADLINE_MS: &str = "x-deadline-ms";

/// Identifies a request and its resends.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestKey {
    /// Customer that sent the request.
    pub customer: Arc<str>,
    /// The caller's idempotency key.
    pub key: Arc<str>,
}

/// A complete answer, passed between entries and stored for resends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// Number of the result code.
    pub code: u32,
    /// The body, or `None` if it was too large to store.
    pub body: Option<Vec<u8>>,
}
