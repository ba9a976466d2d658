//! A worker incarnation in the record, which is the replicated state.

use crate::job::Resources;
use crate::job::RunId;
use crate::job::StepId;
use bh_protocol::Incarnation;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

/// Details of a worker, as it reports them. Only its capacity may change during its life.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerInfo {
    /// Worker id and start time.
    pub id: Incarnation,
    /// VM on which it runs, if it reports one.
    pub vm: Option<Arc<str>>,
    /// Pool to which it belongs.
    pub pool: Arc<str>,
    /// Address at which it receives orders.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: Arc<str>,
    /// Rack.
    pub rack: Arc<str>,
    /// Labels, including its rack.
    pub labels: Vec<Arc<str>>,
    /// Its current capacity.
    pub capacity: Resources,
    /// Sequence number of the heartbeat that reported this; increases during the worker's life.
    #[serde(default)]
    pub sequence: u64,
}

impl WorkerInfo {
    /// Whether two heartbeats report the same details, regardless of their sequence numbers.
    pub fn equals_ignoring_sequence(&self, other: &WorkerInfo) -> bool {
        let renumbered = WorkerInfo {
            sequence: self.sequence,
            ..other.clone()
        };
        *self == renumbered
    }
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "signature required by skip_serializing_if"
)]
fn is_zero(count: &u64) -> bool {
    *count == 0
}

/// A worker incarnation and its recorded runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Worker {
    /// Its details.
    pub info: WorkerInfo,
    /// Arrival number: workers are numbered in the order in which they were recorded. If two are recorded on one VM, the one with
    /// the higher number is the one that runs there now.
    #[serde(default)]
    pub arrival: u64,
    /// Number of earlier incarnations of the worker, as far as recorded.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub restarts: u64,
    /// Whether it is leaving.
    pub draining: bool,
    /// Runs that are recorded there and not known to have ended, with the resources that each takes.
    #[serde(with = "crate::pairs")]
    pub runs: BTreeMap<RunId, Resources>,
    /// Lost runs whose real ends the leader has not heard: gang members that are recorded as lost although the worker runs and its lease had
    /// not expired. The worker may still report to the leader that they failed.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub unheard: BTreeSet<RunId>,
}

impl Worker {
    /// A worker without runs, with `restarts` earlier incarnations.
    pub fn new(info: WorkerInfo, arrival: u64, restarts: u64) -> Self {
        Self {
            info,
            arrival,
            restarts,
            draining: false,
            runs: BTreeMap::new(),
            unheard: BTreeSet::new(),
        }
    }

    /// Recorded runs of tasks of `step`.
    pub fn runs_of(&self, step: StepId) -> u64 {
        let count = self.runs.keys().filter(|run| run.task.step == step).count();
        u64::try_from(count).unwrap_or(u64::MAX)
    }

    /// Resources that recorded runs take beyond the capacity of the worker, which may have decreased since they started;
    /// zero for a resource of which the runs take no more than the capacity.
    pub fn excess(&self) -> Resources {
        let mut excess = Resources::default();
        for needs in self.runs.values() {
            excess.add(needs);
        }
        excess.subtract(&self.info.capacity);
        excess
    }

    /// Capacity that recorded runs leave free. A run counts until its end is known: it may still use the worker while it is being stopped.
    pub fn free(&self) -> Resources {
        let mut free = self.info.capacity;
        for needs in self.runs.values() {
            free.subtract(needs);
        }
        free
    }
}
