//! Limits of a connection.

use super::parse_cost;
use http::request::Parts;

/// Limits of one connection.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum size of a request head in bytes.
    pub max_head_bytes: usize,
    /// Maximum number of headers.
    pub max_headers: usize,
    /// Maximum size of a request body in bytes, also if the request type allows more.
    pub max_body_bytes: u64,
    /// Longest wait for a complete head, in milliseconds. It limits how long a caller that sends single bytes now and then can
    /// hold a connection.
    pub idle_ms: u64,
    /// Longest wait for a complete body, and for a caller that does not read its answer, in milliseconds.
    pub body_ms: u64,
    /// Upper bound of the memory that the handler takes for a request beside its body, in bytes.
    pub parse_bytes: fn(&Parts, &[u8]) -> u64,
}

impl Limits {
    /// Creates the default limits with the given `idle_ms`.
    pub fn new(idle_ms: u64) -> Self {
        Self {
            max_head_bytes: 16 << 10,
            max_headers: 64,
            max_body_bytes: 8 << 20,
            idle_ms,
            body_ms: 30_000,
            parse_bytes: |_, body| parse_cost::of_text(body),
        }
    }

    /// Sets the maximum size of a request body.
    pub fn with_max_body_bytes(mut self, max_body_bytes: u64) -> Self {
        self.max_body_bytes = max_body_bytes;
        self
    }

    /// Sets the upper bound of the memory that the handler takes for a request beside its body.
    pub fn with_parse_bytes(mut self, parse_bytes: fn(&Parts, &[u8]) -> u64) -> Self {
        self.parse_bytes = parse_bytes;
        self
    }
}
