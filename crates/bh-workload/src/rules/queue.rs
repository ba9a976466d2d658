//! Queues, to which callers submit jobs.

use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;

/// A queue. Requests are routed to it by host and path.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Name.
    pub name: Arc<str>,
    /// Host name in the requests for this queue.
    pub host: Arc<str>,
    /// Path prefix of the requests for this queue. The queue with the longest matching prefix gets a request.
    pub path_prefix: Arc<str>,
    /// Name of the pool whose workers run the tasks.
    pub pool: Arc<str>,
    /// Priority of the jobs; 0 is the most urgent.
    pub priority: u32,
    /// Number of failed runs of a task after which its job is given up.
    pub max_attempts: u32,
    /// Time limit for a request, in milliseconds.
    pub timeout_ms: u64,
    /// Fixed part of the completion objective of a job, in milliseconds.
    pub target_latency_ms: u64,
    /// Factor for the variable part of the completion objective: the part is this factor times the critical path of the job.
    pub slack_factor: f64,
    /// Whether requests need no key.
    pub public: bool,
    /// Timing of the external adviser that decides which workers may run a step; `None` if the queue has no adviser.
    pub advised: Option<AdviserTiming>,
}

impl Queue {
    /// Whether `other` is another definition of this queue: it has the same name, or it was renamed and serves the same requests.
    pub fn is_same(&self, other: &Queue) -> bool {
        let serves_same_requests = self.host == other.host && self.path_prefix == other.path_prefix;
        self.name == other.name || serves_same_requests
    }
}

/// Response times of the external adviser, and how long its permissions last.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdviserTiming {
    /// Fixed part of the response time, in milliseconds.
    pub decision_ms: u64,
    /// Additional response time for each worker in a question, in milliseconds.
    pub per_worker_ms: u64,
    /// How long a permission stays valid, in milliseconds.
    pub validity_ms: u64,
}
