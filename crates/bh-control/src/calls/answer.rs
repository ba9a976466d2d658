//! Answers to calls of callers, workers and operators.

use bh_workload::state::JobState;
use bh_workload::state::Refusal;
use serde::Deserialize;
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::Arc;

/// Answer to a [`super::Call`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The call has been carried out and its effect is recorded on a quorum.
    Done,
    /// State of a job.
    State(JobState),
    /// Number of accepted jobs of a queue of which no task has started.
    Pending(usize),
    /// The heartbeat arrived and need not be sent to another core. Its content may have been ignored: the worker has ended, a later heartbeat
    /// came first, or the rules or the worker's record don't allow its pool.
    Heard {
        /// Address for the worker's next heartbeats: that of the core that talks to the worker.
        next_address: Option<SocketAddr>,
    },
    /// Progress of a maintenance wave.
    Wave {
        /// Whether all VMs of the wave are done.
        is_over: bool,
    },
    /// The latest rules, as the operator wrote them.
    Rules(Arc<str>),
    /// The call has no effect, for this reason.
    Refused(Refusal),
    /// Nothing was recorded; a retry may succeed.
    Unavailable {
        /// When to retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// The call was refused because of load: nothing was recorded, and nothing will be for this call. Processes of older versions cannot read
    /// this answer and treat the outcome as unknown.
    Busy {
        /// When to retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// The cores have no room to record the change: nothing was recorded, and nothing will be for this call. Processes of older versions cannot
    /// read this answer and treat the outcome as unknown.
    NoRoom {
        /// When to retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// The effect of the call may or may not have been recorded.
    Unknown,
    /// The process that was asked does not lead; nothing was recorded.
    NotLeader,
}
