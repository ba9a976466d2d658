//! What one caller may take.

/// Bounds on one connection.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest request head in bytes.
    pub max_head_bytes: usize,
    /// Most headers.
    pub max_headers: usize,
    /// Largest request body in bytes, whatever the request type allows.
    pub max_body_bytes: u64,
    /// Longest wait for a whole head, in milliseconds: a caller that sends a byte now and then holds a connection
    /// no longer than this.
    pub idle_ms: u64,
    /// Longest wait for a whole body, in milliseconds.
    pub body_ms: u64,
}

impl Limits {
    /// The defaults, with `idle_ms` for a whole head.
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
