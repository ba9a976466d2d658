//! A queue: where callers hand in jobs.

use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;

/// One queue, found by host and path.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Name.
    pub name: Arc<str>,
    /// Host that callers name.
    pub host: Arc<str>,
    /// Start of the paths that belong to the queue; the longest match wins.
    pub path_prefix: Arc<str>,
    /// Pool of workers that run its tasks.
    pub pool: Arc<str>,
    /// Rank of its jobs; 0 comes first.
    pub priority: u32,
    /// Failed runs of a task after which its job is given up.
    pub max_attempts: u32,
    /// Longest time a call may take, in milliseconds.
    pub timeout_ms: u64,
    /// Fixed part of a job's completion objective in milliseconds.
    pub target_latency_ms: u64,
    /// Part of the objective that grows with the job: times its longest chain of work.
    pub slack_factor: f64,
    /// Whether calls need no key.
    pub public: bool,
    /// Whether an outside adviser says which workers may run a step.
    pub advised: Option<AdviserTiming>,
}

/// Timing of the adviser's answers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdviserTiming {
    /// Fixed time of an answer in milliseconds.
    pub decision_ms: u64,
    /// Time added for each worker asked about, in milliseconds.
    pub per_worker_ms: u64,
    /// How long a permission is valid, in milliseconds.
    pub validity_ms: u64,
}
