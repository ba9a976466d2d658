//! Limits of a connection.

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
    /// Longest wait for a complete body, in milliseconds.
    pub body_ms: u64,
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
        }
    }
}
