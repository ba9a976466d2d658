//! A worker incarnation as the record knows it.

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

/// What a worker says of itself. Only its capacity may change during its life.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerInfo {
    /// Worker id and start time.
    pub id: Incarnation,
    /// VM it lives on, if it says so.
    pub vm: Option<Arc<str>>,
    /// Pool it works for.
    pub pool: Arc<str>,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: Arc<str>,
    /// Rack.
    pub rack: Arc<str>,
    /// Labels, its rack among them.
    pub labels: Vec<Arc<str>>,
    /// What it has now.
    pub capacity: Resources,
    /// Number of the heartbeat that said so; it grows during its life.
    #[serde(default)]
    pub sequence: u64,
}

impl WorkerInfo {
    /// Whether two heartbeats say the same, whichever came first.
    pub fn says_the_same(&self, other: &WorkerInfo) -> bool {
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

/// A worker incarnation and what was ordered to run there.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Worker {
    /// What it said of itself.
    pub info: WorkerInfo,
    /// Place in the order in which workers came: of two on one VM the later one lives.
    #[serde(default)]
    pub arrival: u64,
    /// Number of earlier incarnations of the worker, as far as recorded.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub restarts: u64,
    /// Whether it is leaving.
    pub draining: bool,
    /// Runs recorded there and not known to be over, with what each takes.
    #[serde(with = "crate::pairs")]
    pub runs: BTreeMap<RunId, Resources>,
    /// Members of gangs that are recorded as lost though the worker lives and its lease had not run out: it may still say that they failed, to whoever leads then.
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

    /// What recorded runs take beyond what the worker has: it may have shrunk since they began.
    pub fn excess(&self) -> Resources {
        let mut excess = Resources::default();
        for needs in self.runs.values() {
            excess.add(needs);
        }
        excess.subtract(&self.info.capacity);
        excess
    }

    /// What recorded runs leave free. A run counts until its end is known: it may still use the worker while it is being stopped.
    pub fn free(&self) -> Resources {
        let mut free = self.info.capacity;
        for needs in self.runs.values() {
            free.subtract(needs);
        }
        free
    }
}
