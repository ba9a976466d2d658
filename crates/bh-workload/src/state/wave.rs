//! Upkeep waves: maintenance of a set of VMs, ordered by an operator.

use bh_protocol::Incarnation;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

/// An operator's order of a wave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveSpec {
    /// Number of the wave, assigned by the operator.
    pub id: u64,
    /// VMs that need upkeep, each once.
    pub vms: BTreeSet<Arc<str>>,
    /// Time for the whole wave, in milliseconds.
    pub within_ms: u64,
    /// Maximum number of VMs of the wave that may be down at the same time.
    pub most_at_once: u32,
}

/// Progress of one VM of a wave.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum VmUpkeep {
    /// Nothing was ordered.
    #[default]
    Waiting,
    /// Its upkeep was ordered, or is about to be, while this worker ran on it.
    Ordered {
        /// The worker; `None` if none was known.
        worker: Option<Incarnation>,
    },
    /// It is up again, or no longer takes part.
    Over,
}

/// A wave and its progress.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wave {
    /// When it should have ended, in milliseconds since 1970.
    pub due_ms: u64,
    /// Maximum number of VMs that may be down at the same time, at least 1.
    pub most_at_once: u32,
    /// Its VMs and their progress.
    pub vms: BTreeMap<Arc<str>, VmUpkeep>,
}

impl Wave {
    /// A wave that was ordered at `now_ms`, in milliseconds since 1970.
    pub fn new(spec: &WaveSpec, now_ms: u64) -> Self {
        Self {
            due_ms: now_ms + spec.within_ms,
            most_at_once: spec.most_at_once.max(1),
            vms: spec
                .vms
                .iter()
                .map(|vm| (vm.clone(), VmUpkeep::Waiting))
                .collect(),
        }
    }

    /// Whether the upkeep of every VM has ended.
    pub fn has_ended(&self) -> bool {
        self.vms.values().all(|upkeep| *upkeep == VmUpkeep::Over)
    }

    /// Workers that end because the upkeep of their VMs is ordered.
    pub fn ended_workers(&self) -> impl Iterator<Item = &Incarnation> {
        self.vms.values().filter_map(|upkeep| match upkeep {
            VmUpkeep::Ordered { worker } => worker.as_ref(),
            VmUpkeep::Waiting | VmUpkeep::Over => None,
        })
    }

    /// VMs for which nothing was ordered.
    pub fn waiting(&self) -> impl Iterator<Item = &Arc<str>> {
        self.vms
            .iter()
            .filter(|(_, upkeep)| **upkeep == VmUpkeep::Waiting)
            .map(|(vm, _)| vm)
    }
}
