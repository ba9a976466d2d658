//! The target protocol: announcements of workers and orders to run tasks.

use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;

/// Progress of one task on its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskPhase {
    /// The accelerators are reserved under a lease; the task does not run yet.
    Prepared,
    /// The task runs under a lease.
    Running,
    /// The task ended on its own with success.
    Done,
    /// The task ended on its own with a failure.
    Failed,
    /// The task was stopped by an order or because its lease expired.
    Stopped,
}

/// State of one task as its worker reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// Job the task belongs to.
    pub job: u64,
    /// Start attempt of the job; a report for an older attempt is ignored.
    pub epoch: u64,
    /// Index of the task in its gang.
    pub task: u32,
    /// Progress of the task.
    pub phase: TaskPhase,
}

/// Body of `POST /v1/targets/announce`, sent by a worker to any entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Name of the worker, unique in the system.
    pub name: Arc<str>,
    /// Changes each time the worker's process starts, so that its earlier tasks count as lost.
    pub incarnation: u64,
    /// Data centre of the worker.
    pub data_centre: Arc<str>,
    /// Rack of the worker.
    pub rack: Arc<str>,
    /// `IP:port` at which the worker accepts work.
    pub address: Arc<str>,
    /// Number of processor cores.
    pub cores: u32,
    /// Memory in mebibytes.
    pub memory_mib: u64,
    /// Number of accelerators.
    pub accelerators: u32,
    /// Maximum number of short requests at a time.
    pub slots: u32,
    /// Maximum number of connections at a time.
    pub connections: u32,
    /// Short requests in progress; may lag behind, since the worker updates it with a delay.
    pub busy_slots: u32,
    /// Whether the worker is leaving: it gets no new work, and work in progress finishes.
    #[serde(default)]
    pub leaving: bool,
    /// Tasks that are prepared or running, or that ended and are not acknowledged yet.
    #[serde(default)]
    pub tasks: Vec<TaskReport>,
}

/// Answer to an announcement.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnounceReply {
    /// Lease of the announcement in milliseconds.
    pub lease_ms: u64,
    /// Time until the next announcement in milliseconds.
    pub renew_ms: u64,
    /// Other entries of the data centre, `IP:port`.
    pub entries: Vec<Arc<str>>,
    /// Tasks whose leases are renewed.
    pub renewed: Vec<TaskKey>,
    /// Tasks to stop, since the job no longer needs them.
    pub stop: Vec<TaskKey>,
    /// Ended tasks whose reports are recorded; the worker stops reporting them.
    pub acknowledged: Vec<TaskKey>,
}

/// Identifies one task of one start attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskKey {
    /// Job.
    pub job: u64,
    /// Start attempt.
    pub epoch: u64,
    /// Index in the gang.
    pub task: u32,
}

/// Action that an entry orders for the tasks of a gang on one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskVerb {
    /// Reserve the accelerators under a lease.
    Prepare,
    /// Run the prepared tasks.
    Start,
    /// Checkpoint, then stop.
    Checkpoint,
    /// Stop at once.
    Stop,
}

/// Body of `POST /v1/tasks`, sent by the data centre's leader to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskOrder {
    /// Action to take.
    pub verb: TaskVerb,
    /// Job.
    pub job: u64,
    /// Start attempt; a worker refuses an order for an older attempt than it has seen.
    pub epoch: u64,
    /// Indices of the tasks in the gang.
    pub tasks: Vec<u32>,
    /// Accelerators of each task.
    pub accelerators_per_task: u32,
    /// Lease of the tasks in milliseconds; they stop unless it is renewed.
    pub lease_ms: u64,
    /// Payload of the job's submission.
    #[serde(default)]
    pub payload: String,
}

/// Answer to a [`TaskOrder`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskOrderReply {
    /// Whether the order was carried out for all its tasks.
    pub accepted: bool,
    /// Why the order was refused; empty if it was accepted.
    #[serde(default)]
    pub reason: String,
}
