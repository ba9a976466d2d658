//! Shares of the customers in the capacity that no guarantee covers, by weighted dominant resource fairness (Ghodsi et al., 2011).

use super::CustomerShare;
use super::Planner;
use super::Policy;
use super::Unit;
use super::collect;
use super::guaranteed_jobs;
use crate::dispatch::Dispatcher;
use crate::job::JobId;
use crate::job::Resources;
use crate::job::RunId;
use crate::rules::Rules;
use crate::state::Workload;
use bh_protocol::number::floor_to_u64;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Largest divisor of the value of a customer's work. Late work keeps a quarter of its value, so with a larger divisor worthless work of one
/// customer could pass valuable work of another.
const MAX_DIVISOR_PERCENT: u64 = 400;
/// Divisor that changes nothing.
const NO_DIVISOR_PERCENT: u64 = 100;

/// Shares of the customers during one pass. Without entries if capacity is not shared.
#[derive(Clone, Debug, Default)]
pub(super) struct Shares {
    by_customer: BTreeMap<Arc<str>, CustomerShare>,
}

/// Returns whether `policy` shares capacity between the customers in `rules`.
fn is_in_force(policy: &Policy, rules: &Rules) -> bool {
    let Some(min_ratio) = policy.sharing_min_ratio else {
        return false;
    };
    let guarantees = || {
        rules
            .customers
            .iter()
            .map(|customer| customer.guaranteed_accelerators)
    };
    let (Some(largest), Some(smallest)) = (guarantees().max(), guarantees().min()) else {
        return false;
    };
    let is_uneven = smallest == 0 || to_f64(largest) >= min_ratio * to_f64(smallest);
    rules.customers.len() >= 2 && is_uneven
}

/// Returns the name under which the usage of a job is charged.
fn customer_of(workload: &Workload, job: JobId) -> Option<Arc<str>> {
    let job = workload.job(job)?;
    Some(job.customer.clone().unwrap_or_default())
}

/// Converts an amount. Amounts are compared with a precision far below that of an `f64`.
#[expect(clippy::cast_precision_loss, reason = "amounts far below 2^53")]
fn to_f64(amount: u64) -> f64 {
    amount as f64
}

/// Returns the largest fraction that `used` takes of a resource in `capacity`.
fn dominant_share(used: &Resources, capacity: &Resources) -> f64 {
    let share = |used: u64, capacity: u64| to_f64(used) / to_f64(capacity.max(1));
    share(used.cpu_millis, capacity.cpu_millis)
        .max(share(used.memory_mb, capacity.memory_mb))
        .max(share(used.accelerators, capacity.accelerators))
}

/// Returns the capacity of all workers that are not leaving.
fn total_capacity(workload: &Workload) -> Resources {
    let mut total = Resources::default();
    for worker in workload.workers().filter(|worker| !worker.draining) {
        total.add(&worker.info.capacity);
    }
    total
}

/// Returns the weights of the customers in the rules, and that of any other customer.
fn weights(rules: &Rules) -> (BTreeMap<Arc<str>, u64>, u64) {
    let guarantees = rules
        .customers
        .iter()
        .map(|customer| customer.guaranteed_accelerators);
    let smallest = guarantees
        .filter(|guaranteed| *guaranteed > 0)
        .min()
        .unwrap_or(1);
    let weight = |guaranteed: u64| if guaranteed > 0 { guaranteed } else { smallest };
    let customers = rules.customers.iter();
    let weights = customers.map(|customer| {
        (
            customer.name.clone(),
            weight(customer.guaranteed_accelerators),
        )
    });
    (weights.collect(), smallest)
}

impl Shares {
    /// Computes the shares for a pass over the waiting `units`. There are none if `policy` does not share capacity between the customers in
    /// the rules.
    pub fn new(policy: &Policy, workload: &Workload, units: &[Unit]) -> Self {
        match &workload.rules {
            Some(rules) if is_in_force(policy, rules) => Self {
                by_customer: shares(rules, workload, units, false),
            },
            _ => Self::default(),
        }
    }

    /// Computes the shares by which submissions are compared with the waiting `units`. They are those of a pass in which another customer
    /// waits: a job that is submitted waits once it is accepted.
    pub fn of_submissions(policy: &Policy, workload: &Workload, units: &[Unit]) -> Self {
        match &workload.rules {
            Some(rules) if is_in_force(policy, rules) => Self {
                by_customer: shares(rules, workload, units, true),
            },
            _ => Self::default(),
        }
    }

    /// Returns the value density of a submission of `customer` beside the discounted ones of the waiting work.
    ///
    /// If the customer neither waits nor uses anything, the others are entitled to less once it waits. How much less their work is worth then
    /// is not known, but it is divided by at most [`MAX_DIVISOR_PERCENT`], so the value of the submission is multiplied by that.
    pub fn discounted(&self, customer: Option<&Arc<str>>, value_density: f64) -> f64 {
        if self.by_customer.is_empty() {
            return value_density;
        }
        let name = customer.cloned().unwrap_or_default();
        let competing =
            |share: &&CustomerShare| share.waits || share.in_use != Resources::default();
        match self.by_customer.get(&name).filter(competing) {
            Some(share) => {
                value_density * to_f64(NO_DIVISOR_PERCENT) / to_f64(share.divisor_percent)
            }
            None => value_density * to_f64(MAX_DIVISOR_PERCENT) / to_f64(NO_DIVISOR_PERCENT),
        }
    }

    /// Returns the number by which the value of the work of a job, and the loss when it is stopped, are divided, in
    /// percent.
    fn divisor_percent(&self, workload: &Workload, job: JobId) -> u64 {
        if self.by_customer.is_empty() {
            return NO_DIVISOR_PERCENT;
        }
        customer_of(workload, job)
            .and_then(|customer| self.by_customer.get(&customer))
            .map_or(NO_DIVISOR_PERCENT, |share| share.divisor_percent)
    }

    /// Divides the value of the units that no guarantee covers by the divisors of their customers. Returns whether any unit changed.
    pub fn discount_units(&self, workload: &Workload, units: &mut [Unit]) -> bool {
        let mut changed = false;
        for unit in units.iter_mut().filter(|unit| !unit.guaranteed) {
            let percent = self.divisor_percent(workload, unit.step.job);
            if percent > NO_DIVISOR_PERCENT {
                unit.value_density *= to_f64(NO_DIVISOR_PERCENT) / to_f64(percent);
                changed = true;
            }
        }
        changed
    }

    /// Divides the loss when `run` is stopped by the divisor of its customer.
    pub fn discount_loss(&self, workload: &Workload, run: RunId, loss: u64) -> u64 {
        let percent = self.divisor_percent(workload, run.task.step.job);
        let discounted = u128::from(loss) * u128::from(NO_DIVISOR_PERCENT) / u128::from(percent);
        u64::try_from(discounted).unwrap_or(loss)
    }
}

/// Returns the shares of the customers in `rules` and of others that wait or have usage, while `units` wait. With `others_wait`, each customer
/// is compared as if another one waited.
fn shares(
    rules: &Rules,
    workload: &Workload,
    units: &[Unit],
    others_wait: bool,
) -> BTreeMap<Arc<str>, CustomerShare> {
    let waiting: BTreeSet<Arc<str>> = units
        .iter()
        .filter_map(|unit| customer_of(workload, unit.step.job))
        .collect();
    let capacity = total_capacity(workload);
    let (weights, smallest) = weights(rules);
    let usage = workload.usage();
    let mut names: BTreeSet<Arc<str>> = weights.keys().chain(&waiting).cloned().collect();
    names.extend(usage.iter().map(|(name, _)| name.clone()));
    let weight_of = |name: &str| weights.get(name).copied().unwrap_or(smallest);
    let in_use = |name: &str| {
        usage
            .of(name)
            .map(|usage| usage.in_use())
            .unwrap_or_default()
    };
    let competes = |name: &str| waiting.contains(name) || in_use(name) != Resources::default();
    let competing: u64 = names
        .iter()
        .filter(|name| competes(name))
        .map(|name| weight_of(name))
        .fold(0, u64::saturating_add);
    let share = |customer: Arc<str>| {
        let own_usage = usage.of(&customer);
        let mean = own_usage.map(|usage| usage.mean_thousandths(workload.latest_ms));
        let mean_use_thousandths = mean.unwrap_or_default();
        let weight = weight_of(&customer);
        // A customer that neither waits nor uses anything is compared as if it did.
        let own_weight = if competes(&customer) { 0 } else { weight };
        let all_weights = competing.saturating_add(own_weight);
        let share_in_use = dominant_share(&in_use(&customer), &capacity);
        let mean_share = dominant_share(&mean_use_thousandths, &capacity) / 1_000.0;
        let entitled_share = to_f64(weight) / to_f64(all_weights.max(1));
        let ratio = share_in_use.max(mean_share) / entitled_share;
        // A customer alone may use everything.
        let another_waits = others_wait || waiting.iter().any(|name| *name != customer);
        let divisor_percent = if another_waits {
            floor_to_u64(ratio * 100.0).clamp(NO_DIVISOR_PERCENT, MAX_DIVISOR_PERCENT)
        } else {
            NO_DIVISOR_PERCENT
        };
        let share = CustomerShare {
            customer: customer.clone(),
            weight,
            in_use: in_use(&customer),
            mean_use_thousandths,
            share_in_use,
            mean_share,
            entitled_share,
            ratio,
            waits: waiting.contains(&customer),
            divisor_percent,
        };
        (customer, share)
    };
    names.into_iter().map(share).collect()
}

impl Planner {
    /// Returns the shares of all customers in the rules, and of others with usage or waiting work, at `wall_ms` since 1970. They are
    /// reported also if capacity is not shared.
    pub fn customer_shares(
        &self,
        wall_ms: u64,
        workload: &Workload,
        dispatcher: &Dispatcher,
    ) -> Vec<CustomerShare> {
        let Some(rules) = &workload.rules else {
            return Vec::new();
        };
        let times = (wall_ms, dispatcher.timing().remote_percent);
        let units = collect::collect(workload, &self.runtimes, &guaranteed_jobs(workload), times);
        let in_force = is_in_force(&self.policy.in_fleet_of(workload.worker_count()), rules);
        let mut shares: Vec<CustomerShare> = shares(rules, workload, &units, false)
            .into_values()
            .collect();
        for share in shares.iter_mut().filter(|_| !in_force) {
            share.divisor_percent = NO_DIVISOR_PERCENT;
        }
        shares
    }
}
