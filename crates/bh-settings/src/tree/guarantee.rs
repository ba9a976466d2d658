//! A customer's guarantee.

use crate::section::Section;
use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;

/// `count` shapes that a customer can always have in one data centre.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Guarantee {
    /// Name of a shape of the customer's team.
    pub shape: Arc<str>,
    /// How many at a time.
    pub count: u32,
    /// Data centre that holds them.
    pub data_centre: Arc<str>,
}

impl Guarantee {
    /// Reads one item of `guarantees`.
    pub fn read(mut section: Section<'_>) -> Self {
        let guarantee = Self {
            shape: section.name("shape"),
            count: section.number_u32("count"),
            data_centre: section.name("data_centre"),
        };
        section.finish();
        guarantee
    }
}
