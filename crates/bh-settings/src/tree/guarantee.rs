//! Guarantee of a customer.

use crate::section::Section;
use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;

/// Capacity that a customer can always use: `count` gangs of one shape at a time in one data centre.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Guarantee {
    /// Name of a shape of the customer's team.
    pub shape: Arc<str>,
    /// Number of gangs of that shape at a time.
    pub count: u32,
    /// Data centre that provides them.
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
