//! The settings that placement depends on.

use bh_protocol::shape::Shape;
use bh_settings::Settings;
use bh_settings::tree::Policy;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Policy, quotas and guarantees of one data centre.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Limits {
    /// Placement policy.
    pub policy: Policy,
    /// Accelerators that each team may hold.
    pub team_quota: BTreeMap<Arc<str>, u32>,
    /// Accelerators that each customer may hold.
    pub customer_quota: BTreeMap<Arc<str>, u32>,
    /// Guaranteed shapes: maps customer and shape name to the shape and the number of guaranteed copies.
    pub guarantees: BTreeMap<(Arc<str>, Arc<str>), (Shape, u32)>,
}

impl Limits {
    /// Collects the limits that `settings` define for `data_centre`.
    pub fn new(settings: &Settings, data_centre: &str) -> Self {
        let mut limits = Self {
            policy: settings.system.policy,
            ..Self::default()
        };
        for (team_name, team) in &settings.teams {
            limits
                .team_quota
                .insert(team_name.clone(), team.quota_accelerators);
            for (name, customer) in &team.customers {
                limits
                    .customer_quota
                    .insert(name.clone(), customer.quota_accelerators);
                for guarantee in customer
                    .guarantees
                    .iter()
                    .filter(|g| &*g.data_centre == data_centre)
                {
                    if let Some(shape) = team.shapes.get(&guarantee.shape) {
                        let key = (name.clone(), guarantee.shape.clone());
                        limits.guarantees.entry(key).or_insert((*shape, 0)).1 += guarantee.count;
                    }
                }
            }
        }
        limits
    }
}
