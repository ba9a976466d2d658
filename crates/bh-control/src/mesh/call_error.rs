//! Why a call to a core has no answer.

/// A call without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// There is no link: the call did not leave.
    NotSent,
    /// The link broke or the time ran out: the core may have acted on it.
    Lost,
}
