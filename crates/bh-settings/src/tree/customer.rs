//! Settings of a customer.

use super::Guarantee;
use crate::section::Section;
use serde::Deserialize;
use serde::Serialize;

/// Share, quota and guarantees of a customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Customer {
    /// Weight of the customer when slots for short requests are shared under load.
    pub weight: u32,
    /// Maximum number of accelerators that the customer's jobs hold at a time.
    pub quota_accelerators: u32,
    /// Shapes that are guaranteed to the customer.
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
                .section_list("guarantees")
                .into_iter()
                .map(Guarantee::read)
                .collect(),
        };
        section.finish();
        customer
    }
}
