//! What a connection is doing.

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// No byte of a request has been read since the last answer.
    Idle,
    /// A request has begun and is not complete.
    Receiving,
    /// A complete request is parsed or carried out. It may have an effect already, so it keeps its connection and its memory.
    Executing,
    /// The answer is being sent.
    Sending,
    /// The connection is about to close.
    Closing,
}
