//! Load of one queue, as shown to operators.

use super::LoadCounts;
use crate::rules::Queue;
use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;

/// Load of one queue. Figures that a core does not determine are `None`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueLoad {
    /// Name of the queue.
    pub queue: Arc<str>,
    /// Priority of its jobs; 0 is the most urgent.
    pub priority: u32,
    /// Name of the pool that runs its tasks.
    pub pool: Arc<str>,
    /// Whether the rules in force contain the queue. A queue that was removed is reported while it has jobs or runs.
    pub is_in_rules: bool,
    /// Jobs, tasks and runs.
    #[serde(flatten)]
    pub counts: LoadCounts,
    /// Expected time until a job that is submitted now starts, in milliseconds.
    #[serde(default)]
    pub expected_wait_ms: Option<u64>,
    /// Number of submissions refused for lack of capacity since the leader was elected.
    #[serde(default)]
    pub refused_submissions: Option<u64>,
}

impl QueueLoad {
    /// Creates the load of a queue without jobs.
    pub fn new(queue: &Queue, is_in_rules: bool) -> Self {
        Self {
            queue: queue.name.clone(),
            priority: queue.priority,
            pool: queue.pool.clone(),
            is_in_rules,
            ..Self::default()
        }
    }
}
