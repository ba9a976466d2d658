//! Invariants that hold after every step, for tests.

use super::Scheduler;
use crate::inventory::WorkerId;
use crate::job::State;
use std::collections::BTreeMap;

impl Scheduler {
    /// Checks the invariants that must hold after every step.
    ///
    /// # Errors
    ///
    /// Describes the first invariant that is violated.
    pub fn check_invariants(&self) -> Result<(), String> {
        self.check_guarantees_reclaimable()?;
        self.check_accounts()
    }

    /// Checks that every covered and unused guaranteed shape can be freed by stopping borrowers only: on each worker, the
    /// accelerators bound to guarantees, used or unused, fit its capacity.
    fn check_guarantees_reclaimable(&self) -> Result<(), String> {
        let mut bound: BTreeMap<WorkerId, u32> = BTreeMap::new();
        for cell in self.guarantees.cells() {
            for id in &cell.bound_to {
                *bound.entry(*id).or_insert(0) += cell.shape.accelerators_per_task;
            }
        }
        for (id, count) in bound {
            let worker = self.inventory.worker(id);
            let in_use = worker.bound_used == worker.bound;
            if worker.bound != count {
                return Err(format!(
                    "worker {} has {} accelerators bound, but its cells bind {count}",
                    worker.name, worker.bound
                ));
            }
            if worker.alive && !in_use && worker.bound > worker.capacity {
                return Err(format!(
                    "worker {} has {} accelerators bound, but only {} in total",
                    worker.name, worker.bound, worker.capacity
                ));
            }
        }
        for (number, job) in &self.jobs {
            if let Some(cell) = job.cell {
                let cell = self.guarantees.cell(cell);
                if cell.used_by != Some(*number) || cell.bound_to != job.places {
                    return Err(format!("job {number} is not placed on its guaranteed cell"));
                }
            }
        }
        Ok(())
    }

    fn check_accounts(&self) -> Result<(), String> {
        let mut used: BTreeMap<WorkerId, u32> = BTreeMap::new();
        let mut active: BTreeMap<WorkerId, u32> = BTreeMap::new();
        for job in self.jobs.values() {
            for (id, count) in job.held() {
                *used.entry(id).or_insert(0) += count;
                if !matches!(job.state, State::Reclaiming { .. }) {
                    *active.entry(id).or_insert(0) += count;
                }
            }
        }
        for (index, worker) in self.inventory.workers().iter().enumerate() {
            let id = WorkerId::try_from(index).unwrap_or(WorkerId::MAX);
            let held = used.get(&id).copied().unwrap_or(0);
            if worker.used != held {
                return Err(format!(
                    "worker {} counts {} accelerators in use, but its jobs hold {held}",
                    worker.name, worker.used
                ));
            }
            let running = active.get(&id).copied().unwrap_or(0);
            if worker.alive && running > worker.capacity {
                return Err(format!(
                    "worker {} runs {running} accelerators of {}",
                    worker.name, worker.capacity
                ));
            }
        }
        Ok(())
    }
}
