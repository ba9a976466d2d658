//! A customer of a team.

use super::Guarantee;
use crate::section::Section;
use serde::Deserialize;
use serde::Serialize;

/// A customer: its share, quota and guarantees.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Customer {
    /// Share of the slots for short requests under load.
    pub weight: u32,
    /// Accelerators its jobs may hold at a time.
    pub quota_accelerators: u32,
    /// Shapes it can always have.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub guarantees: Vec<Guarantee>,
}

impl Customer {
    /// Reads one section of `customers`.
    pub fn read(mut section: Section<'_>) -> Self {
        let customer = Self {
            weight: section.number_u32("weight"),
            quota_accelerators: section.number_u32("quota_accelerators"),
            guarantees: section
                .list("guarantees")
                .into_iter()
                .map(Guarantee::read)
                .collect(),
        };
        section.finish();
        customer
    }
}
