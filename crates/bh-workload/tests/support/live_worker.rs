//! The actual state of a worker, independent of the record.

use bh_workload::job::RunId;
use bh_workload::state::WorkerInfo;

/// A worker that is up and reachable, with the runs on it, whatever the record says.
pub struct LiveWorker {
    pub info: WorkerInfo,
    pub runs: Vec<RunId>,
}
