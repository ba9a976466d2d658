//! Why a call over a link has no answer.

use bh_protocol::Code;
use bh_protocol::Failure;

/// A call without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// There is no link: the call did not leave.
    NotSent,
    /// The link broke or the time ran out: the other end may have acted on it.
    Lost,
}

impl CallError {
    /// The failure for a call that changes something.
    pub fn into_failure(self, what: &str) -> Failure {
        match self {
            CallError::NotSent => {
                Failure::new(Code::NoQuorum, format!("no link to {what}")).with_retry_after_ms(500)
            }
            CallError::Lost => Failure::new(Code::OutcomeUnknown, format!("{what} did not answer")),
        }
    }
}
