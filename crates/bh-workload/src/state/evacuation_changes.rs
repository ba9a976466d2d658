//! Numbers of the changes of evacuations.

use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Numbers the starts and ends of evacuations, so that an order that was delayed on its way is recognized: its data centre has changed since.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationChanges {
    /// Number of the last change of all.
    last: u64,
    /// Number of the last change of each data centre.
    by_data_centre: BTreeMap<Arc<str>, u64>,
}

impl EvacuationChanges {
    /// Limits the stored data centres; the one whose last change is the oldest is evicted first.
    pub const MAX: usize = 256;

    /// Whether there was no change yet.
    pub fn is_empty(&self) -> bool {
        self.last == 0
    }

    /// Number of the last change of a data centre; 0 if none is stored.
    pub fn last(&self, data_centre: &str) -> u64 {
        self.by_data_centre.get(data_centre).copied().unwrap_or(0)
    }

    /// Numbers a change of a data centre.
    pub(super) fn note(&mut self, data_centre: Arc<str>) {
        self.last += 1;
        self.by_data_centre.insert(data_centre, self.last);
        if self.by_data_centre.len() > Self::MAX {
            let oldest = self.by_data_centre.iter().min_by_key(|(_, last)| **last);
            if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
                self.by_data_centre.remove(&oldest);
            }
        }
    }
}
