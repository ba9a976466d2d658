//! Errors of a request on one connection.

/// Why a request got no complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// Nothing listens at the address; nothing was sent.
    #[error("the connection was refused")]
    Refused,
    /// No connection could be opened; nothing was sent.
    #[error("no connection could be opened")]
    NotConnected,
    /// The connection broke after the first byte of the request.
    #[error("the connection broke before the whole answer was read")]
    Broken,
    /// The timeout expired after the first byte of the request.
    #[error("the whole answer did not arrive in time")]
    TimedOut,
    /// The answer is larger than the limit of the caller.
    #[error("the answer is larger than {limit} bytes")]
    TooLarge {
        /// The limit in bytes.
        limit: u64,
    },
    /// The answer does not state its length, so a truncated answer could not be detected.
    #[error("the answer does not state its length")]
    NoLength,
}

impl SendError {
    /// Whether the request certainly did not reach the other side.
    pub fn nothing_sent(self) -> bool {
        matches!(self, SendError::NotConnected | SendError::Refused)
    }
}
