//! Share of one customer in the capacity.

use crate::job::Resources;
use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;

/// What a customer uses of all capacity, compared with what it is entitled to. Shares are fractions of the capacity of all workers; of the
/// resources, the one of which the customer uses the largest fraction counts (its dominant share).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CustomerShare {
    /// Name of the customer; empty for callers without a key.
    pub customer: Arc<str>,
    /// Weight when shares are divided: the guaranteed accelerators, or those of the smallest customer that has any.
    pub weight: u64,
    /// Resources that its recorded runs take.
    pub in_use: Resources,
    /// Mean of the resources that its runs have taken, weighted by age, in thousandths of the unit of each resource.
    pub mean_use_thousandths: Resources,
    /// Dominant share of the resources in use.
    pub share_in_use: f64,
    /// Dominant share of the mean use.
    pub mean_share: f64,
    /// Share to which the customer is entitled by its weight, beside the customers that wait for capacity or use some.
    pub entitled_share: f64,
    /// The larger one of the two shares, divided by the entitled one.
    pub ratio: f64,
    /// Whether work of the customer waits.
    pub waits: bool,
    /// Number by which the value of its waiting work and the loss of its stopped runs are divided, in percent; 100 if the customer is not
    /// above its entitlement, no other customer waits, or capacity is not shared.
    pub divisor_percent: u64,
}
