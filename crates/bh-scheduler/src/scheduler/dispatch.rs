//! One pass over the queue, which gives accelerators to waiting jobs.

use super::Scheduler;
use super::failed_placements::FailedPlacements;
use crate::inventory::WorkerId;
use crate::job::AfterStop;
use crate::job::Job;
use crate::job::State;
use crate::placement::Search;
use bh_protocol::shape::Shape;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Racks or cells examined for one job when victims are chosen; more would only find slightly cheaper victims.
pub(super) const MAX_VICTIM_CANDIDATES: usize = 64;

impl Scheduler {
    /// Places waiting jobs: guaranteed jobs first, then the others, in queue order.
    pub(super) fn dispatch(&mut self, now_ms: u64) {
        let mut failed = FailedPlacements::default();
        let keys = self.ordered_queue(now_ms);
        for number in &keys {
            self.dispatch_guaranteed(now_ms, *number, &mut failed);
        }
        let mut reserved = BTreeSet::new();
        for number in &keys {
            self.dispatch_unguaranteed(now_ms, *number, &mut failed, &mut reserved);
        }
    }

    /// Waiting jobs by priority, then by the ratio of waiting time to expected run time (highest response ratio next).
    /// Short jobs, which lose the most by waiting, go first, and a long job still reaches the front in time.
    fn ordered_queue(&self, now_ms: u64) -> Vec<u64> {
        let ratio = |number: &u64| -> u64 {
            let Some(job) = self.jobs.get(number) else {
                return 0;
            };
            let expected_ms = self
                .runtimes
                .expected_ms(&job.spec.shape_name, job.spec.declared_ms);
            let waited_ms = now_ms.saturating_sub(job.submitted_ms);
            // The ratio in millionths, far below 2^52.
            (waited_ms as f64 / expected_ms * 1e6) as u64
        };
        let mut keyed: Vec<(Reverse<u8>, Reverse<u64>, u64, u64)> = self
            .queue
            .iter()
            .map(|(priority, submitted_ms, number)| {
                (*priority, Reverse(ratio(number)), *submitted_ms, *number)
            })
            .collect();
        keyed.sort_unstable();
        keyed.into_iter().map(|(_, _, _, number)| number).collect()
    }

    /// Returns the job if it is queued and may be placed now.
    fn due_job(&self, now_ms: u64, number: u64) -> Option<&Job> {
        let is_due = |job: &&Job| job.state == State::Queued && now_ms >= job.not_before_ms;
        self.jobs.get(&number).filter(is_due)
    }

    /// Starts a job in an unused guaranteed cell of its customer, and stops borrowers if necessary.
    fn dispatch_guaranteed(&mut self, now_ms: u64, number: u64, failed: &mut FailedPlacements) {
        let Some(job) = self.due_job(now_ms, number) else {
            return;
        };
        let key = (job.spec.customer.clone(), job.spec.shape_name.clone());
        if failed.guaranteed.contains(&key) {
            return;
        }
        let shape = job.spec.shape;
        let unused: Vec<usize> = self
            .guarantees
            .unused(&key.0, &key.1)
            .filter(|index| {
                self.guarantees.cell(*index).is_covered()
                    && self.guarantees.cell(*index).shape == shape
            })
            .collect();
        let Some(first) = unused.first().copied() else {
            failed.guaranteed.insert(key);
            return;
        };
        let free = unused
            .iter()
            .copied()
            .find(|index| self.is_cell_free(*index, now_ms));
        if let Some(index) = free {
            self.place_in_cell(now_ms, number, index, BTreeSet::new());
        } else if let Some(place) = self.free_place_for_cell(now_ms, first) {
            self.guarantees.move_to(&mut self.inventory, first, place);
            self.place_in_cell(now_ms, number, first, BTreeSet::new());
        } else {
            self.reclaim_cheapest(now_ms, number, &unused);
        }
    }

    /// Whether all accelerators of the cell are free now.
    fn is_cell_free(&self, index: usize, now_ms: u64) -> bool {
        let cell = self.guarantees.cell(index);
        let mut needed: BTreeMap<WorkerId, u32> = BTreeMap::new();
        for id in &cell.bound_to {
            *needed.entry(*id).or_insert(0) += cell.shape.accelerators_per_task;
        }
        needed.iter().all(|(id, count)| {
            let worker = self.inventory.worker(*id);
            worker.admits(now_ms) && worker.free() >= *count
        })
    }

    /// Finds free accelerators elsewhere to which the cell can be bound, so that no borrower has to stop.
    fn free_place_for_cell(&self, now_ms: u64, index: usize) -> Option<Vec<WorkerId>> {
        let cell = self.guarantees.cell(index);
        let mut own: BTreeMap<WorkerId, u32> = BTreeMap::new();
        for id in &cell.bound_to {
            *own.entry(*id).or_insert(0) += cell.shape.accelerators_per_task;
        }
        let usable = |id: WorkerId| {
            let worker = self.inventory.worker(id);
            let bindable = worker.bindable() + own.get(&id).copied().unwrap_or(0);
            if worker.admits(now_ms) {
                worker.free().min(bindable).min(worker.capacity)
            } else {
                0
            }
        };
        Search::new(&self.inventory, usable).place(&cell.shape)
    }

    /// Reclaims the unused cell whose borrowers lose the least work.
    fn reclaim_cheapest(&mut self, now_ms: u64, number: u64, unused: &[usize]) {
        let best = unused
            .iter()
            .take(MAX_VICTIM_CANDIDATES)
            .filter(|index| self.cell_admits(now_ms, **index))
            .filter_map(|index| {
                let cell = self.guarantees.cell(*index);
                let victims =
                    self.victims_on(&cell.bound_to, cell.shape.accelerators_per_task, |_| true)?;
                Some((self.cost_of(now_ms, &victims), *index, victims))
            })
            .min_by_key(|(cost, index, _)| (*cost, *index));
        if let Some((_, index, victims)) = best {
            self.place_in_cell(now_ms, number, index, victims);
        } else if let Some(job) = self.jobs.get_mut(&number) {
            job.reason = "waits for its guaranteed accelerators".to_owned();
        }
    }

    fn cell_admits(&self, now_ms: u64, index: usize) -> bool {
        self.guarantees
            .cell(index)
            .bound_to
            .iter()
            .all(|id| self.inventory.worker(*id).admits(now_ms))
    }

    fn place_in_cell(&mut self, now_ms: u64, number: u64, index: usize, victims: BTreeSet<u64>) {
        let places = self.guarantees.cell(index).bound_to.clone();
        self.guarantees.occupy(&mut self.inventory, index, number);
        if let Some(job) = self.jobs.get_mut(&number) {
            job.cell = Some(index);
        }
        self.place(now_ms, number, places, victims);
    }

    /// Gives the accelerators on `places` to the job, at once or after the victims have stopped.
    pub(super) fn place(
        &mut self,
        now_ms: u64,
        number: u64,
        places: Vec<WorkerId>,
        victims: BTreeSet<u64>,
    ) {
        self.dequeue(number);
        // Other jobs on these workers may already be stopping for another reason.
        let stopping = self.stopping_jobs(&places);
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        job.places = places;
        let waits_for: BTreeSet<u64> = if self.fits_now(number) {
            BTreeSet::new()
        } else {
            victims.union(&stopping).copied().collect()
        };
        self.charge(number);
        if waits_for.is_empty() {
            self.prepare(number);
            return;
        }
        if let Some(job) = self.jobs.get_mut(&number) {
            job.reason = format!("waits for {} borrowers to stop", waits_for.len());
            job.state = State::Reclaiming { victims: waits_for };
        }
        for victim in victims {
            if let Some(job) = self.jobs.get_mut(&victim) {
                job.preemptions += 1;
            }
            let reason = format!("stopped for job {number}");
            self.stop(now_ms, victim, AfterStop::Requeue { reason }, true);
        }
    }

    fn fits_now(&self, number: u64) -> bool {
        let Some(job) = self.jobs.get(&number) else {
            return false;
        };
        job.held()
            .iter()
            .all(|(id, count)| self.inventory.worker(*id).free() >= *count)
    }

    fn stopping_jobs(&self, places: &[WorkerId]) -> BTreeSet<u64> {
        let workers: BTreeSet<WorkerId> = places.iter().copied().collect();
        workers
            .iter()
            .filter_map(|id| self.on_worker.get(id))
            .flatten()
            .copied()
            .filter(|number| matches!(self.jobs[number].state, State::Stopping { .. }))
            .collect()
    }

    /// Continues the jobs that waited for `stopped` to free its accelerators.
    pub(super) fn victim_stopped(&mut self, stopped: u64) {
        let mut ready = Vec::new();
        for (number, job) in &mut self.jobs {
            if let State::Reclaiming { victims } = &mut job.state
                && victims.remove(&stopped)
                && victims.is_empty()
            {
                ready.push(*number);
            }
        }
        for number in ready {
            self.prepare(number);
        }
    }

    fn within_quota(&self, job: &Job) -> bool {
        let needed = job.spec.shape.accelerators();
        let fits =
            |quota: &BTreeMap<Arc<str>, u32>, used: &BTreeMap<Arc<str>, u32>, name: &Arc<str>| {
                let limit = quota.get(name).copied().unwrap_or(u32::MAX);
                used.get(name).copied().unwrap_or(0).saturating_add(needed) <= limit
            };
        fits(&self.limits.team_quota, &self.team_used, &job.spec.team)
            && fits(
                &self.limits.customer_quota,
                &self.customer_used,
                &job.spec.customer,
            )
    }

    /// Starts a job without a guarantee: on free accelerators or, if the job is urgent or starving, by stopping others.
    fn dispatch_unguaranteed(
        &mut self,
        now_ms: u64,
        number: u64,
        failed: &mut FailedPlacements,
        reserved: &mut BTreeSet<WorkerId>,
    ) {
        let Some(job) = self.due_job(now_ms, number) else {
            return;
        };
        if !self.within_quota(job) {
            self.set_reason(number, "waits for its team's or customer's quota");
            return;
        }
        let shape = job.spec.shape;
        if !failed.free.contains(&shape) {
            if let Some(places) = self.free_place(now_ms, &shape, reserved) {
                self.place(now_ms, number, places, BTreeSet::new());
                return;
            }
            failed.free.insert(shape);
        }
        self.dispatch_by_preemption(now_ms, number, failed, reserved);
    }

    /// Finds free accelerators for the shape outside of `reserved`. It prefers accelerators that are not bound to a
    /// guarantee, because a job on them is never stopped for one.
    fn free_place(
        &self,
        now_ms: u64,
        shape: &Shape,
        reserved: &BTreeSet<WorkerId>,
    ) -> Option<Vec<WorkerId>> {
        let admits =
            |id: WorkerId| self.inventory.worker(id).admits(now_ms) && !reserved.contains(&id);
        let unbound = |id: WorkerId| {
            if admits(id) {
                self.inventory.worker(id).free_unbound()
            } else {
                0
            }
        };
        let free = |id: WorkerId| {
            if admits(id) {
                self.inventory.worker(id).free()
            } else {
                0
            }
        };
        Search::new(&self.inventory, unbound)
            .place(shape)
            .or_else(|| Search::new(&self.inventory, free).place(shape))
    }

    pub(super) fn set_reason(&mut self, number: u64, reason: &str) {
        if let Some(job) = self.jobs.get_mut(&number)
            && job.reason != reason
        {
            job.reason = reason.to_owned();
        }
    }
}
