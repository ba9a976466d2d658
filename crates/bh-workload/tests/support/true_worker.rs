//! A worker as it really is.

use bh_workload::job::RunId;
use bh_workload::state::WorkerInfo;

/// A worker that is up and reachable, and what runs there, whatever the record says.
pub struct TrueWorker {
    pub info: WorkerInfo,
    pub runs: Vec<RunId>,
}
