//! One short request, resolved against the settings.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;

/// A request and what the settings say about it. All but the body travels as JSON when it is handed to another entry.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Work {
    /// Customer.
    pub customer: Arc<str>,
    /// The customer's share.
    pub weight: u32,
    /// Request type.
    pub request_type: Arc<str>,
    /// Priority from the request type.
    pub priority: u8,
    /// Whether it may run again after an unclear outcome.
    pub idempotent: bool,
    /// Key that names it across resends; the caller's, or one made for it.
    pub key: Arc<str>,
    /// Time until the caller's deadline, in milliseconds, when this was written.
    pub left_ms: u64,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// Body.
    #[serde(skip)]
    pub body: Bytes,
}
