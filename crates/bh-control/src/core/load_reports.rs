//! Reports on the load by customer and by queue, and the metrics by customer. Only the leader makes them: each replica holds the record, but
//! the figures of one that lags behind would contradict the leader's.

use super::core_node::CoreNode;
use super::operator::not_leading;
use crate::observe::Metrics;
use bh_protocol::Failure;
use bh_workload::admission;
use bh_workload::plan::CustomerLoad;
use bh_workload::plan::CustomerShare;
use bh_workload::plan::FleetLoad;
use bh_workload::plan::LoadCounts;
use bh_workload::plan::QueueLoad;
use bh_workload::state::Workload;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Label of metrics by customer.
pub(super) const CUSTOMER_LABEL: &str = "customer";

/// Load by customer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CustomersReport {
    /// Name of the core that leads.
    pub core: Arc<str>,
    /// Term in which it leads.
    pub term: u64,
    /// Number of accelerators of all workers.
    pub accelerators: u64,
    /// Customers, those with the largest guarantees first.
    pub customers: Vec<CustomerLoad>,
}

/// Load by queue.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Name of the core that leads.
    pub core: Arc<str>,
    /// Term in which it leads.
    pub term: u64,
    /// Load shedding level in force, 0 if nothing is shed; `None` if the core does not determine it.
    #[serde(default)]
    pub shedding_level: Option<u64>,
    /// Queues by priority and name.
    pub queues: Vec<QueueLoad>,
}

/// Returns the load by customer.
///
/// # Errors
///
/// [`bh_protocol::Code::NoQuorum`] if this core does not lead.
pub(super) fn customers(core: &CoreNode) -> Result<CustomersReport, Failure> {
    let term = leading_term(core).ok_or_else(|| not_leading(core))?;
    let workload = core.group.machine.read();
    let workers = workload.workers();
    let mut customers = FleetLoad::new(&workload, core.wall_ms()).customers;
    fill_shares(core, &workload, &mut customers);
    let refused = core.load_report().map(|report| report.refused_by_customer);
    for load in &mut customers {
        let name = load.customer.as_deref();
        load.refused_submissions = name.zip(refused.as_ref()).map(|(name, refused)| {
            let count = refused.get(name);
            count.copied().unwrap_or(0)
        });
    }
    Ok(CustomersReport {
        core: core.config.name.clone(),
        term,
        accelerators: workers
            .map(|worker| worker.info.capacity.accelerators)
            .sum(),
        customers,
    })
}

/// Fills in the shares that the leader's planner computes. Callers without a key have an empty name there.
fn fill_shares(core: &CoreNode, workload: &Workload, customers: &mut [CustomerLoad]) {
    let held = core.leadership.borrow();
    let Some(leadership) = held.as_ref() else {
        return;
    };
    let shares =
        leadership
            .planner
            .customer_shares(core.wall_ms(), workload, &leadership.dispatcher);
    let by_name: BTreeMap<Arc<str>, CustomerShare> = shares
        .into_iter()
        .map(|share| (share.customer.clone(), share))
        .collect();
    for load in customers {
        let name = load.customer.as_deref().unwrap_or_default();
        let share = by_name.get(name);
        load.decayed_share = share.map(|share| share.mean_share);
        load.entitled_share = share.map(|share| share.entitled_share);
    }
}

/// Returns the load by queue.
///
/// # Errors
///
/// [`bh_protocol::Code::NoQuorum`] if this core does not lead.
pub(super) fn load(core: &CoreNode) -> Result<LoadReport, Failure> {
    let term = leading_term(core).ok_or_else(|| not_leading(core))?;
    let mut queues = FleetLoad::new(&core.group.machine.read(), core.wall_ms()).queues;
    let admission = core.load_report();
    let reports = admission.iter().flat_map(|report| &report.queues);
    let by_name: BTreeMap<&str, &admission::QueueLoad> =
        reports.map(|load| (&*load.queue, load)).collect();
    for load in &mut queues {
        let own = by_name.get(&*load.queue);
        load.expected_wait_ms = own.map(|own| own.expected_wait_ms);
        load.refused_submissions = own.map(|own| own.refused.values().sum());
    }
    Ok(LoadReport {
        core: core.config.name.clone(),
        term,
        shedding_level: admission.as_ref().map(|report| report.level.number()),
        queues,
    })
}

/// Sets the gauges by customer. A core that does not lead has none of them, so that sums over all cores count each customer once.
pub(super) fn set_gauges(core: &CoreNode, metrics: &Metrics) {
    let load = leading_term(core)
        .map(|_| FleetLoad::new(&core.group.machine.read(), core.wall_ms()))
        .unwrap_or_default();
    let set = |name, figure: fn(&LoadCounts) -> u64| {
        let customers = load.customers.iter();
        let values = customers.map(|load| (load.customer.as_deref(), figure(&load.counts)));
        metrics.replace_gauge(name, CUSTOMER_LABEL, values);
    };
    set("customer_runs", |counts| counts.runs);
    set("customer_tasks_waiting", |counts| counts.waiting_tasks);
    set("customer_jobs_waiting", |counts| counts.waiting_jobs);
    set("customer_accelerators_used", |counts| counts.accelerators);
}

/// Returns the term in which this core leads; `None` if it does not, or if it has not yet noticed that another core was elected.
fn leading_term(core: &CoreNode) -> Option<u64> {
    let status = core.group.status();
    let held = core.leadership.borrow();
    let led_term = held.as_ref().map(|leadership| leadership.term);
    led_term.filter(|term| status.is_leader && status.term == *term)
}
