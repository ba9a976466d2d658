//! A short request with the settings that apply to it. Unlike a job, a short request is answered on the caller's connection.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;

/// A short request and the settings that apply to it. When it is forwarded, everything but the body is sent as JSON.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ShortRequest {
    /// Customer.
    pub customer: Arc<str>,
    /// The customer's weight in fair queueing.
    pub weight: u32,
    /// Request type.
    pub request_type: Arc<str>,
    /// Priority of the request type.
    pub priority: u8,
    /// Whether the request may run again when its outcome is unknown.
    pub idempotent: bool,
    /// Idempotency key: the caller's, or a generated one.
    pub key: Arc<str>,
    /// Time until the caller's deadline, in milliseconds, counted from when this value was created.
    pub left_ms: u64,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// Body.
    #[serde(skip)]
    pub body: Bytes,
}
