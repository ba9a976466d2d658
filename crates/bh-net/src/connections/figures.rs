//! Figures about the connections of a process.

/// What the connections of a process take, and how many had to give way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Open connections.
    pub open: u64,
    /// Maximum number of open connections.
    pub max_open: u64,
    /// Memory of requests and answers, in bytes.
    pub used_bytes: u64,
    /// Largest value of `used_bytes` so far.
    pub peak_bytes: u64,
    /// Maximum of `used_bytes`.
    pub max_bytes: u64,
    /// Connections that were closed to make room for another connection.
    pub evicted_for_connections: u64,
    /// Connections that were closed to make room for the request or answer of another one.
    pub evicted_for_memory: u64,
    /// Requests that were refused since there was no memory for them.
    pub refused_busy: u64,
    /// Requests that were refused since their bodies are too large.
    pub refused_too_large: u64,
}
