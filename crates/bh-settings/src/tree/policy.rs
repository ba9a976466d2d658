//! Placement policy.

use crate::section::Section;
use serde::Deserialize;
use serde::Serialize;

/// Weights and time limits of placement, set by operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Policy {
    /// Weight of job completion time.
    pub completion_weight: u32,
    /// Weight of accelerator fragmentation.
    pub fragmentation_weight: u32,
    /// How long a borrower, a job on accelerators guaranteed to others, may checkpoint before it is stopped, in milliseconds.
    pub checkpoint_wait_ms: u64,
    /// Wait after which smaller jobs are moved to make room for a gang, in milliseconds; scaled by the two weights.
    pub starvation_ms: u64,
    /// Distinct workers a job may fail on before it is given up.
    pub max_attempts: u32,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            completion_weight: 1,
            fragmentation_weight: 1,
            checkpoint_wait_ms: 2_000,
            starvation_ms: 300_000,
            max_attempts: 5,
        }
    }
}

impl Policy {
    /// Reads the section `system.policy`.
    pub fn read(mut section: Section<'_>) -> Self {
        let policy = Self {
            completion_weight: section.number_u32("completion_weight"),
            fragmentation_weight: section.number_u32("fragmentation_weight"),
            checkpoint_wait_ms: section.number("checkpoint_wait_ms"),
            starvation_ms: section.number("starvation_ms"),
            max_attempts: section.number_u32("max_attempts"),
        };
        section.finish();
        policy
    }
}
