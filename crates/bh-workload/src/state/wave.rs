//! Waves of upkeep that an operator has ordered.

use bh_protocol::Incarnation;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveSpec {
    /// Its number, chosen by the operator.
    pub id: u64,
    /// VMs that each need upkeep once.
    pub vms: BTreeSet<Arc<str>>,
    /// Time for all of it in milliseconds.
    pub within_ms: u64,
    /// VMs of the wave that may be down for it at the same time.
    pub most_at_once: u32,
}

/// How far one VM of a wave has come.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum VmUpkeep {
    /// Nothing was ordered.
    #[default]
    Waiting,
    /// Its upkeep was or is about to be ordered while this worker lived on it.
    Ordered {
        /// The worker; `None` when none was known.
        worker: Option<Incarnation>,
    },
    /// It is up again, or does not take part any more.
    Over,
}

/// One wave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wave {
    /// When it is to be over, in milliseconds since 1970.
    pub due_ms: u64,
    /// VMs that may be down at the same time, at least 1.
    pub most_at_once: u32,
    /// Its VMs.
    pub vms: BTreeMap<Arc<str>, VmUpkeep>,
}

impl Wave {
    /// A wave that was ordered at `now_ms` since 1970.
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

    /// Whether every VM is through.
    pub fn is_over(&self) -> bool {
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
