//! Load of one queue.

use super::RefusalReason;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Load of one queue.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueLoad {
    /// Name of the queue.
    pub queue: Arc<str>,
    /// Its pool.
    pub pool: Arc<str>,
    /// Its priority; 0 is the most urgent.
    pub priority: u32,
    /// Number of jobs of which no task has started.
    pub waiting_jobs: u64,
    /// Number of jobs of which a task has started.
    pub running_jobs: u64,
    /// Expected wait of a new job of mean size, in milliseconds.
    pub expected_wait_ms: u64,
    /// Number of submissions refused since the leader took over, by reason.
    pub refused: BTreeMap<RefusalReason, u64>,
}
