//! Section `policy` of a process's config file: optional decisions under load.

use bh_workload::admission::AdmissionPolicy;
use bh_workload::plan::Policy;
use serde::Deserialize;
use serde::Deserializer;
use serde::de::Error;
use std::num::NonZeroU32;

/// Optional decisions under load. Each is off unless the file switches it on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PolicyConfig {
    /// Capacity is shared fairly between customers if the largest guarantee is at least this many times the smallest one.
    #[serde(default, deserialize_with = "at_least_one")]
    pub sharing_min_ratio: Option<f64>,
    /// Number of times that runs of one task may be stopped to make room for other work.
    #[serde(default)]
    pub max_displacements: Option<u32>,
    /// Whether workers are ranked by the run times learnt for each of them.
    #[serde(default)]
    pub ranks_workers: bool,
    /// Whether small tasks may use capacity that is held for a gang if they end before the gang can start.
    #[serde(default)]
    pub backfills: bool,
    /// Number of workers from which on capacity is shared, displacements are limited and held capacity is used.
    #[serde(default)]
    pub min_workers: usize,
    /// Number of waiting jobs of one customer from which on further ones are refused.
    #[serde(default)]
    pub max_waiting_jobs: Option<NonZeroU32>,
    /// Whether calls are shed when the leader falls behind.
    #[serde(default)]
    pub sheds_load: bool,
    /// Whether submissions are refused that cannot end while they are worth anything.
    #[serde(default)]
    pub refuses_hopeless: bool,
}

impl PolicyConfig {
    /// The part that concerns the planner.
    pub fn planner(&self) -> Policy {
        Policy {
            sharing_min_ratio: self.sharing_min_ratio,
            max_displacements: self.max_displacements,
            ranks_workers: self.ranks_workers,
            backfills: self.backfills,
            min_workers: self.min_workers,
        }
    }

    /// The part that concerns admission.
    pub fn admission(&self) -> AdmissionPolicy {
        AdmissionPolicy {
            max_waiting_jobs: self.max_waiting_jobs,
            sheds_load: self.sheds_load,
            refuses_hopeless: self.refuses_hopeless,
        }
    }
}

/// Deserializes an optional ratio, which must be a finite number of at least 1.
fn at_least_one<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<f64>, D::Error> {
    let ratio = Option::<f64>::deserialize(deserializer)?;
    match ratio {
        Some(ratio) if !ratio.is_finite() || ratio < 1.0 => {
            Err(D::Error::custom("must be at least 1"))
        }
        _ => Ok(ratio),
    }
}
