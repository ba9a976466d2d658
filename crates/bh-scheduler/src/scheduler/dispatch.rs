//! One pass over the queue: who gets which accelerators.

use super::Scheduler;
use super::tried::Tried;
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

/// Racks of victims looked at for one job; more would only find slightly cheaper ones.
pub(super) const MAX_CANDIDATES: usize = 64;

impl Scheduler {
    /// Gives accelerators to waiting jobs: guaranteed ones first, then by priority and age.
    pub(super) fn dispatch(&mut self, now_ms: u64) {
        let mut tried = Tried::default();
        let keys = self.ordered_queue(now_ms);
        for number in &keys {
            self.dispatch_guaranteed(now_ms, *number, &mut tried);
        }
        let mut reserved = BTreeSet::new();
        for number in &keys {
            self.dispatch_plain(now_ms, *number, &mut tried, &mut reserved);
        }
    }

    /// Waiting jobs: by priority, then by how long they have waited for their expected run time (highest response ratio
    /// next). A short job behind long ones loses most by waiting; a long one comes to the front in time as well.
    fn ordered_queue(&self, now_ms: u64) -> Vec<u64> {
        let ratio = |number: &u64| -> u64 {
            let Some(job) = self.jobs.get(number) else {
                return 0;
            };
            let expected_ms = self
                .runtimes
                .expected_ms(&job.spec.shape_name, job.spec.declared_ms);
            let waited_ms = now_ms.saturating_sub(job.submitted_ms);
            // In millionths; far below 2^52.
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

    /// The job, if it waits and may be placed now.
    fn due_job(&self, now_ms: u64, number: u64) -> Option<&Job> {
        let is_due = |job: &&Job| job.state == State::Queued && now_ms >= job.not_before_ms;
        self.jobs.get(&number).filter(is_due)
    }

    /// Starts a job in an unused guaranteed cell of its customer, stopping borrowers if need be.
    fn dispatch_guaranteed(&mut self, now_ms: u64, number: u64, tried: &mut Tried) {
        let Some(job) = self.due_job(now_ms, number) else {
            return;
        };
        let key = (job.spec.customer.clone(), job.spec.shape_name.clone());
        if tried.guaranteed.contains(&key) {
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
            tried.guaranteed.insert(key);
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

    /// Whether the cell's accelerators are free now.
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

    /// Free accelerators elsewhere that the cell could be bound to, so that no borrower has to stop.
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

    /// Chooses among the unused cells the one whose borrowers lose the least work, and stops them.
    fn reclaim_cheapest(&mut self, now_ms: u64, number: u64, unused: &[usize]) {
        let best = unused
            .iter()
            .take(MAX_CANDIDATES)
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

    /// Gives `places` to the job, at once or when the victims have left.
    pub(super) fn place(
        &mut self,
        now_ms: u64,
        number: u64,
        places: Vec<WorkerId>,
        victims: BTreeSet<u64>,
    ) {
        self.dequeue(number);
        // The places may also hold accelerators of jobs that are stopping already, for whatever reason.
        let leaving = self.leaving_jobs(&places);
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        job.places = places;
        let waits_for: BTreeSet<u64> = if self.fits_now(number) {
            BTreeSet::new()
        } else {
            victims.union(&leaving).copied().collect()
        };
        self.hold(number);
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

    fn leaving_jobs(&self, places: &[WorkerId]) -> BTreeSet<u64> {
        let workers: BTreeSet<WorkerId> = places.iter().copied().collect();
        workers
            .iter()
            .filter_map(|id| self.on_worker.get(id))
            .flatten()
            .copied()
            .filter(|number| matches!(self.jobs[number].state, State::Stopping { .. }))
            .collect()
    }

    /// A job has left its accelerators: those that waited for it may go on.
    pub(super) fn victim_gone(&mut self, gone: u64) {
        let mut ready = Vec::new();
        for (number, job) in &mut self.jobs {
            if let State::Reclaiming { victims } = &mut job.state
                && victims.remove(&gone)
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

    /// Starts a job outside of any guarantee: on free accelerators, or by stopping others when it is urgent or starves.
    fn dispatch_plain(
        &mut self,
        now_ms: u64,
        number: u64,
        tried: &mut Tried,
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
        if !tried.free.contains(&shape) {
            if let Some(places) = self.free_place(now_ms, &shape, reserved) {
                self.place(now_ms, number, places, BTreeSet::new());
                return;
            }
            tried.free.insert(shape);
        }
        self.dispatch_by_force(now_ms, number, tried, reserved);
    }

    /// Free accelerators for the shape, outside of `reserved`. Accelerators that no guarantee is bound to go first:
    /// a job there need never be stopped for one.
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
