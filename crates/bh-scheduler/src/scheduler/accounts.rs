//! Accounting of the accelerators that jobs charge, by worker, team and customer.

use super::Scheduler;
use std::collections::BTreeMap;
use std::sync::Arc;

impl Scheduler {
    /// Charges the accelerators of a job's attempt to its workers, team and customer.
    pub(super) fn charge(&mut self, number: u64) {
        let Some(job) = self.jobs.get(&number) else {
            return;
        };
        for (id, count) in job.held() {
            self.inventory.allocate(id, count);
            self.on_worker.entry(id).or_default().insert(number);
        }
        let total = job.spec.shape.accelerators();
        *self.team_used.entry(job.spec.team.clone()).or_insert(0) += total;
        *self
            .customer_used
            .entry(job.spec.customer.clone())
            .or_insert(0) += total;
    }

    /// Frees all accelerators that a job's attempt holds.
    pub(super) fn release(&mut self, number: u64) {
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        if job.places.is_empty() {
            return;
        }
        let held = job.held();
        let cell = job.cell.take();
        job.places.clear();
        let total = job.spec.shape.accelerators();
        let (team, customer) = (job.spec.team.clone(), job.spec.customer.clone());
        for (id, count) in held {
            self.inventory.release(id, count);
            if let Some(jobs) = self.on_worker.get_mut(&id) {
                jobs.remove(&number);
            }
        }
        if let Some(cell) = cell {
            self.guarantees.vacate(&mut self.inventory, cell);
            // While the cell was in use, one of its workers may have been lost or have started to leave.
            self.guarantees.rebind(&mut self.inventory);
        }
        sub(&mut self.team_used, &team, total);
        sub(&mut self.customer_used, &customer, total);
        self.dirty = true;
    }
}

fn sub(used: &mut BTreeMap<Arc<str>, u32>, name: &Arc<str>, count: u32) {
    if let Some(value) = used.get_mut(name) {
        *value = value.saturating_sub(count);
    }
}
