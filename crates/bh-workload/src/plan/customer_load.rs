//! Load of one customer, as shown to operators.

use super::LoadCounts;
use crate::rules::Customer;
use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;

/// Load of one customer. Figures that a core does not determine are `None`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CustomerLoad {
    /// Name of the customer; `None` for jobs of callers who were not identified.
    pub customer: Option<Arc<str>>,
    /// Whether the rules in force contain the customer. A customer that was removed is reported while it has jobs or runs.
    pub is_in_rules: bool,
    /// Number of accelerators that the customer is guaranteed.
    pub guaranteed_accelerators: u64,
    /// Jobs, tasks and runs.
    #[serde(flatten)]
    pub counts: LoadCounts,
    /// Dominant share of the capacity, averaged over recent usage with a weight that decreases with its age; 1 is all capacity.
    #[serde(default)]
    pub decayed_share: Option<f64>,
    /// Share of the capacity to which the customer is entitled while other customers wait; 1 is all capacity.
    #[serde(default)]
    pub entitled_share: Option<f64>,
    /// Number of times that runs of the customer's active jobs were stopped to make room for other work.
    #[serde(default)]
    pub displaced_runs: Option<u64>,
    /// Number of submissions refused for lack of capacity since the leader was elected.
    #[serde(default)]
    pub refused_submissions: Option<u64>,
}

impl CustomerLoad {
    /// Creates the load of a customer in the rules, without jobs.
    pub fn new(customer: &Customer) -> Self {
        Self {
            customer: Some(customer.name.clone()),
            is_in_rules: true,
            guaranteed_accelerators: customer.guaranteed_accelerators,
            ..Self::default()
        }
    }

    /// Creates the load of a customer that is not in the rules, or of callers who were not identified, without jobs.
    pub fn not_in_rules(customer: Option<Arc<str>>) -> Self {
        Self {
            customer,
            ..Self::default()
        }
    }
}
