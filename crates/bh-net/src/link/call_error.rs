//! Errors of calls over a link.

use bh_protocol::Code;
use bh_protocol::Failure;

/// Why a call got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The link is not open, so the call was not sent.
    NotSent,
    /// The link broke or the timeout expired; the other end may have executed the call.
    Lost,
}

impl CallError {
    /// Converts the error of a call that changes state, where `what` names the other end.
    pub fn into_failure(self, what: &str) -> Failure {
        match self {
            CallError::NotSent => {
                Failure::new(Code::NoQuorum, format!("no link to {what}")).with_retry_after_ms(500)
            }
            CallError::Lost => Failure::new(Code::OutcomeUnknown, format!("{what} did not answer")),
        }
    }
}
