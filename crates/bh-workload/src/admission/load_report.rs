//! Load as operators read it.

use super::QueueLoad;
use super::ShedLevel;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Load of a leader: what it sheds, and its queues.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The shedding level in force.
    pub level: ShedLevel,
    /// The last measured lag, in milliseconds; 0 if load is not shed.
    pub lag_ms: u64,
    /// The queues in the order of the rules.
    pub queues: Vec<QueueLoad>,
    /// Number of submissions refused since the leader took over, by customer.
    pub refused_by_customer: BTreeMap<Arc<str>, u64>,
}
