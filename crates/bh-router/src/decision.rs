//! What the router asks its driver to do, and how attempts end.

use bh_protocol::Failure;
use std::sync::Arc;

/// One output of the router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send the request to a target. The router has already counted one of the target's slots as taken by the request.
    Send {
        /// Id of the request.
        id: u64,
        /// Name of the target.
        target: Arc<str>,
        /// Address of the target.
        address: Arc<str>,
        /// Timeout of the attempt, in milliseconds.
        timeout_ms: u64,
    },
    /// Forward the request to another entry that reports a free slot. An entry is the process of a VM that takes callers' requests.
    Forward {
        /// Id of the request.
        id: u64,
        /// Name of the entry.
        entry: Arc<str>,
    },
    /// Answer the caller with a refusal. Nothing was sent.
    Refuse {
        /// Id of the request.
        id: u64,
        /// The failure to return.
        failure: Failure,
    },
}

/// How an attempt on a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The complete answer arrived, and the target reported no failure.
    Answered,
    /// The target reported a failure.
    Failed,
    /// The connection broke, the answer was incomplete or the attempt timed out.
    Lost,
    /// No connection could be opened.
    NotConnected,
    /// Nothing was sent, for a reason on this entry's side. The slot that was taken for the attempt stayed unused.
    Unused,
}

impl AttemptOutcome {
    /// Whether the outcome counts as a failure of the target.
    pub fn is_target_failure(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Failed | AttemptOutcome::Lost | AttemptOutcome::NotConnected
        )
    }
}
