//! Limits of what the connections of a process take together.

/// Size of the receive buffer and of the send buffer that the system keeps for a connection of a client, in bytes. What a client sends while its
/// connection is not read stays in the first.
pub const KERNEL_BUFFER_BYTES: usize = 16 << 10;
/// Percentage of the memory for the receive buffers of all connections.
const KERNEL_PERCENT: u64 = 30;
/// Percentage of the memory for requests and answers that requests of any size may take; the rest is left for small ones.
const LARGE_PERCENT: u64 = 75;
/// Smallest number of connections, however little memory there is.
const MIN_CONNECTIONS: usize = 8;
const BYTES_PER_MB: u64 = 1_000_000;

/// What the connections of a process may take together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Maximum number of open connections.
    pub max_open: usize,
    /// Maximum number of bytes of requests that are read, parsed or carried out, and of answers that are sent.
    pub max_bytes: u64,
    /// Maximum number of bytes of those among them that take more than a small request.
    pub max_large_bytes: u64,
}

impl ConnectionLimits {
    /// Limits for a process with `memory_mb` megabytes, of which `request_percent` are for requests and answers. At most `max_open`
    /// connections are open, fewer if their buffers do not fit.
    pub fn new(memory_mb: u64, request_percent: u64, max_open: usize) -> Self {
        let memory_bytes = memory_mb.saturating_mul(BYTES_PER_MB);
        let per_connection = u64::try_from(KERNEL_BUFFER_BYTES).unwrap_or(u64::MAX);
        let fitting = memory_bytes / 100 * KERNEL_PERCENT / per_connection;
        let fitting = usize::try_from(fitting).unwrap_or(usize::MAX);
        let max_bytes = memory_bytes / 100 * request_percent;
        Self {
            max_open: max_open.min(fitting).max(MIN_CONNECTIONS),
            max_bytes,
            max_large_bytes: max_bytes / 100 * LARGE_PERCENT,
        }
    }
}
