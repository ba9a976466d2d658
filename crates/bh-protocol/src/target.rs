//! The target protocol: how workers announce themselves and are told to run tasks.

use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;

/// Progress of one task on its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskPhase {
    /// Accelerators are held under a lease; nothing runs.
    Prepared,
    /// The task runs under a lease.
    Running,
    /// The task ended by itself with success.
    Done,
    /// The task ended by itself with a failure.
    Failed,
    /// The task was stopped on request or because its lease lapsed.
    Stopped,
}

/// One task as its worker reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// Job the task belongs to.
    pub job: u64,
    /// Start attempt; a report of an older attempt is ignored.
    pub epoch: u64,
    /// Index of the task in its gang.
    pub task: u32,
    /// Progress.
    pub phase: TaskPhase,
}

/// Body of `POST /v1/targets/announce`, sent by a worker to any entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Name of the worker, unique in the system.
    pub name: Arc<str>,
    /// Changes at each start of the worker's process, so that its earlier tasks count as lost.
    pub incarnation: u64,
    /// Data centre it stands in.
    pub data_centre: Arc<str>,
    /// Rack it stands in.
    pub rack: Arc<str>,
    /// `IP:port` where it takes work.
    pub address: Arc<str>,
    /// Processor cores.
    pub cores: u32,
    /// Memory in mebibytes.
    pub memory_mib: u64,
    /// Accelerators.
    pub accelerators: u32,
    /// Short requests it takes at a time.
    pub slots: u32,
    /// Connections it takes at a time.
    pub connections: u32,
    /// Short requests in progress, with the lag of the worker's own reporting.
    pub busy_slots: u32,
    /// Whether it is leaving: no new work, work in progress finishes.
    #[serde(default)]
    pub leaving: bool,
    /// Tasks held, running or ended and not yet acknowledged.
    #[serde(default)]
    pub tasks: Vec<TaskReport>,
}

/// Answer to an announcement.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnounceReply {
    /// The announcement counts for this long, in milliseconds.
    pub lease_ms: u64,
    /// When to announce again, in milliseconds.
    pub renew_ms: u64,
    /// Other entries of the data centre, `IP:port`.
    pub entries: Vec<Arc<str>>,
    /// Tasks whose lease is renewed.
    pub renewed: Vec<TaskKey>,
    /// Tasks to stop, because the job no longer wants them.
    pub stop: Vec<TaskKey>,
    /// Ended tasks whose report is recorded; they need not be reported again.
    pub acknowledged: Vec<TaskKey>,
}

/// Identity of one task of one start attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskKey {
    /// Job.
    pub job: u64,
    /// Start attempt.
    pub epoch: u64,
    /// Index in the gang.
    pub task: u32,
}

/// What an entry asks of a worker for its tasks of one gang.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskVerb {
    /// Hold the accelerators under a lease.
    Prepare,
    /// Run what was prepared.
    Start,
    /// Checkpoint, then stop.
    Checkpoint,
    /// Stop at once.
    Stop,
}

/// Body of `POST /v1/tasks`, sent by the data centre's leader to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskOrder {
    /// What to do.
    pub verb: TaskVerb,
    /// Job.
    pub job: u64,
    /// Start attempt; a worker refuses an order of an older attempt than it has seen.
    pub epoch: u64,
    /// Indices of the tasks meant.
    pub tasks: Vec<u32>,
    /// Accelerators of each task.
    pub accelerators_per_task: u32,
    /// The order holds this long without renewal, in milliseconds.
    pub lease_ms: u64,
    /// The caller's payload.
    #[serde(default)]
    pub payload: String,
}

/// Answer to a [`TaskOrder`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskOrderReply {
    /// Whether the order was carried out for all its tasks.
    pub accepted: bool,
    /// Why it was not.
    #[serde(default)]
    pub reason: String,
}
