//! Usage by customer.

use super::CustomerUsage;
use super::Workload;
use crate::job::JobId;
use crate::job::Resources;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Resources that each customer's recorded runs take and took. It is part of the record, so the next leader shares capacity as the last one
/// did.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct UsageLedger {
    /// By name of the customer; the name is empty for callers without a key.
    customers: BTreeMap<Arc<str>, CustomerUsage>,
}

impl UsageLedger {
    /// Returns whether no customer has any usage.
    pub fn is_empty(&self) -> bool {
        self.customers.is_empty()
    }

    /// Returns the usage of a customer, or `None` if it has none. The name is empty for callers without a key.
    pub fn of(&self, customer: &str) -> Option<&CustomerUsage> {
        self.customers.get(customer)
    }

    /// Returns the usage of all customers that have any, by name.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &CustomerUsage)> {
        self.customers.iter()
    }

    fn entry(&mut self, customer: Option<&Arc<str>>, now_ms: u64) -> &mut CustomerUsage {
        let name = customer.cloned().unwrap_or_default();
        let usage = self.customers.entry(name);
        usage.or_insert_with(|| CustomerUsage::new(now_ms))
    }

    /// Adds a run that starts at `now_ms`.
    pub(super) fn start(&mut self, customer: Option<&Arc<str>>, needs: &Resources, now_ms: u64) {
        self.entry(customer, now_ms).start(needs, now_ms);
    }

    /// Removes a run that ends at `now_ms`.
    pub(super) fn end(&mut self, customer: Option<&Arc<str>>, needs: &Resources, now_ms: u64) {
        self.entry(customer, now_ms).end(needs, now_ms);
    }
}

impl Workload {
    /// The usage of each customer.
    pub fn usage(&self) -> &UsageLedger {
        &self.usage
    }

    /// Derives what is in use from the recorded runs. A snapshot of a version without the ledger has no past usage.
    pub(super) fn rebuild_usage(&mut self) {
        for worker in self.workers.values() {
            for (run, needs) in &worker.runs {
                // The usage of a run ends when its job is forgotten.
                if let Some(job) = self.jobs.get(&run.task.step.job) {
                    let usage = self.usage.entry(job.customer.as_ref(), self.latest_ms);
                    usage.add_started(needs);
                }
            }
        }
    }

    /// Charges the runs that are still recorded of an earlier job with the name of the new job `id`. [`Workload::rebuild_usage`] charges them
    /// too, and all replicas must hold the same.
    pub(super) fn charge_open_runs(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        for (run, worker) in self.open_runs.of_job(id) {
            let worker = self.workers.get(worker);
            if let Some(needs) = worker.and_then(|worker| worker.runs.get(&run)) {
                let customer = job.customer.as_ref();
                self.usage.start(customer, needs, self.latest_ms);
            }
        }
    }

    /// Removes jobs that ended before `before_ms`, in milliseconds since 1970, and cancels of that age. The usage of the jobs' runs that are
    /// still open ends, since the customer of a run is known only from its job.
    pub(super) fn forget(&mut self, before_ms: u64) {
        let ended = self
            .jobs
            .iter()
            .filter(|(_, job)| job.ended_before(before_ms));
        for (id, job) in ended {
            for (run, worker) in self.open_runs.of_job(*id) {
                let worker = self.workers.get(worker);
                if let Some(needs) = worker.and_then(|worker| worker.runs.get(&run)) {
                    let customer = job.customer.as_ref();
                    self.usage.end(customer, needs, self.latest_ms);
                }
            }
        }
        self.jobs.retain(|_, job| !job.ended_before(before_ms));
        self.early_cancels.forget(before_ms);
        self.drop_past_customers();
    }

    /// Drops the usage of customers that are not in the rules, have no runs, and whose past usage has decayed to nothing. This bounds the
    /// ledger however often customers are renamed.
    pub(super) fn drop_past_customers(&mut self) {
        let (rules, now_ms) = (self.rules.as_ref(), self.latest_ms);
        let is_customer = |name: &str| {
            let mut customers = rules.iter().flat_map(|rules| &rules.customers);
            customers.any(|customer| &*customer.name == name)
        };
        self.usage
            .customers
            .retain(|name, usage| is_customer(name) || !usage.is_over(now_ms));
    }
}
