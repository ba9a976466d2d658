//! What the router asks its driver to do, and what it is told back.

use bh_protocol::Failure;
use std::sync::Arc;

/// One output of the router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send the request to a target; a slot is taken.
    Send {
        /// Request.
        id: u64,
        /// Target.
        target: Arc<str>,
        /// Address of the target.
        address: Arc<str>,
        /// Give the attempt up after this long, in milliseconds.
        timeout_ms: u64,
    },
    /// Hand the request to another entry, which owns a free slot.
    Forward {
        /// Request.
        id: u64,
        /// Entry.
        entry: Arc<str>,
    },
    /// Answer the caller now: nothing was sent.
    Refuse {
        /// Request.
        id: u64,
        /// The refusal.
        failure: Failure,
    },
}

/// How an attempt on a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The whole answer came back, and the target did not report a failure.
    Answered,
    /// The target reported a failure of its own.
    Failed,
    /// The connection broke, the answer was cut or the time ran out.
    Lost,
    /// No connection could be opened.
    NotConnected,
    /// Nothing was sent, for a reason that lies with us.
    Unused,
}

impl AttemptOutcome {
    /// Whether the attempt speaks against the target.
    pub fn is_against_target(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Failed | AttemptOutcome::Lost | AttemptOutcome::NotConnected
        )
    }
}
