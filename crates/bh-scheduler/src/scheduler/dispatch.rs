//! One pass over the queue: who gets which accelerators.

use super::Scheduler;
use crate::cells::WorkerId;
use crate::job::AfterStop;
use crate::job::Job;
use crate::job::State;
use crate::placement::Search;
use bh_protocol::shape::Shape;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Least priority that counts as urgent: such a job stops others of less priority at once.
const URGENT_PRIORITY: u8 = 8;
/// Times a job is stopped for others before it is left alone by all but guarantees.
const MAX_PREEMPTIONS: u32 = 3;
/// How much longer than a gang a single task waits before others make room for it.
const SINGLE_TASK_PATIENCE: u64 = 4;
/// Racks of victims looked at for one job; more would only find slightly cheaper ones.
const MAX_CANDIDATES: usize = 64;

/// What a pass has found out about shapes that do not fit, so that equal jobs are not tried again.
#[derive(Default)]
struct Tried {
    free: BTreeSet<Shape>,
    preempting: BTreeSet<(Shape, u8, bool)>,
    guaranteed: BTreeSet<(Arc<str>, Arc<str>)>,
}

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

    fn is_due(&self, now_ms: u64, job: &Job) -> bool {
        job.state == State::Queued && now_ms >= job.not_before_ms
    }

    /// Starts a job in an unused guaranteed cell of its customer, stopping borrowers if need be.
    fn dispatch_guaranteed(&mut self, now_ms: u64, number: u64, tried: &mut Tried) {
        let Some(job) = self
            .jobs
            .get(&number)
            .filter(|job| self.is_due(now_ms, job))
        else {
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
            self.guarantees.move_to(&mut self.cells, first, place);
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
            let worker = self.cells.worker(*id);
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
            let worker = self.cells.worker(id);
            let bindable = worker.bindable() + own.get(&id).copied().unwrap_or(0);
            if worker.admits(now_ms) {
                worker.free().min(bindable).min(worker.capacity)
            } else {
                0
            }
        };
        Search::new(&self.cells, usable).place(&cell.shape)
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
            .all(|id| self.cells.worker(*id).admits(now_ms))
    }

    /// Borrowers to stop so that `per_task` accelerators a task come free on `places`; the least work first.
    /// `None` when stopping every one that `may_stop` allows is not enough.
    fn victims_on(
        &self,
        places: &[WorkerId],
        per_task: u32,
        may_stop: impl Fn(&Job) -> bool,
    ) -> Option<BTreeSet<u64>> {
        let mut needed: BTreeMap<WorkerId, u32> = BTreeMap::new();
        for id in places {
            *needed.entry(*id).or_insert(0) += per_task;
        }
        let mut victims: BTreeSet<u64> = BTreeSet::new();
        for (id, count) in needed {
            let worker = self.cells.worker(id);
            // Accelerators of jobs that are already on their way out come free without a new victim.
            let mut coming = worker.free();
            let jobs = self.on_worker.get(&id).cloned().unwrap_or_default();
            let mut candidates = Vec::new();
            let mut over = worker.used.saturating_sub(worker.capacity);
            for number in jobs {
                let job = &self.jobs[&number];
                let held = job.held().get(&id).copied().unwrap_or(0);
                if victims.contains(&number) || matches!(job.state, State::Stopping { .. }) {
                    coming += held.saturating_sub(over.min(held));
                    over = over.saturating_sub(held);
                } else if job.is_stoppable() && may_stop(job) {
                    candidates.push((job.spec.priority, Reverse(job.started_ms), number, held));
                }
            }
            candidates.sort_unstable();
            for (_, _, number, held) in candidates {
                if coming >= count {
                    break;
                }
                coming += held;
                victims.insert(number);
            }
            if coming < count {
                return None;
            }
        }
        Some(victims)
    }

    /// Work lost when the victims stop: accelerators times the time they have run.
    fn cost_of(&self, now_ms: u64, victims: &BTreeSet<u64>) -> u64 {
        victims
            .iter()
            .map(|number| {
                let job = &self.jobs[number];
                u64::from(job.spec.shape.accelerators())
                    * (1 + now_ms.saturating_sub(job.started_ms))
            })
            .sum()
    }

    fn place_in_cell(&mut self, now_ms: u64, number: u64, index: usize, victims: BTreeSet<u64>) {
        let places = self.guarantees.cell(index).bound_to.clone();
        self.guarantees.occupy(&mut self.cells, index, number);
        if let Some(job) = self.jobs.get_mut(&number) {
            job.cell = Some(index);
        }
        self.place(now_ms, number, places, victims);
    }

    /// Gives `places` to the job, at once or when the victims have left.
    fn place(&mut self, now_ms: u64, number: u64, places: Vec<WorkerId>, victims: BTreeSet<u64>) {
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
                job.preempted += 1;
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
            .all(|(id, count)| self.cells.worker(*id).free() >= *count)
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
    pub(super) fn victim_gone(&mut self, _now_ms: u64, gone: u64) {
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
        let Some(job) = self
            .jobs
            .get(&number)
            .filter(|job| self.is_due(now_ms, job))
        else {
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
        let admits = |id: WorkerId| self.cells.worker(id).admits(now_ms) && !reserved.contains(&id);
        let unbound = |id: WorkerId| {
            if admits(id) {
                self.cells.worker(id).free_unbound()
            } else {
                0
            }
        };
        let free = |id: WorkerId| {
            if admits(id) {
                self.cells.worker(id).free()
            } else {
                0
            }
        };
        Search::new(&self.cells, unbound)
            .place(shape)
            .or_else(|| Search::new(&self.cells, free).place(shape))
    }

    /// Whether the job has waited so long that smaller ones make room. A gang needs room in one place at one time and may
    /// never find it; a single task finds it sooner or later as others end, and one accelerator always.
    fn is_starving(&self, now_ms: u64, job: &Job) -> bool {
        let shape = &job.spec.shape;
        let patience_ms = match (shape.tasks, shape.accelerators_per_task) {
            (1, 1) => return false,
            (1, _) => self.gang_patience_ms() * SINGLE_TASK_PATIENCE,
            _ => self.gang_patience_ms(),
        };
        now_ms >= job.submitted_ms + patience_ms
    }

    /// Wait after which a gang counts as starving. The more fragmentation counts against completion time, the sooner small
    /// jobs make room for it.
    fn gang_patience_ms(&self) -> u64 {
        let policy = &self.limits.policy;
        let weights = u64::from(policy.completion_weight + policy.fragmentation_weight).max(1);
        policy.starvation_ms * 2 * u64::from(policy.completion_weight) / weights
    }

    /// Stops others for an urgent or starving job.
    fn dispatch_by_force(
        &mut self,
        now_ms: u64,
        number: u64,
        tried: &mut Tried,
        reserved: &mut BTreeSet<WorkerId>,
    ) {
        let job = &self.jobs[&number];
        let urgent = job.spec.priority >= URGENT_PRIORITY;
        let starving = self.is_starving(now_ms, job);
        if !urgent && !starving {
            self.set_reason(number, "waits for free accelerators");
            return;
        }
        let key = (job.spec.shape, job.spec.priority, starving);
        if tried.preempting.contains(&key) {
            return;
        }
        let choice = self.cheapest_victims(now_ms, number, urgent, starving, reserved);
        match choice {
            Some((places, victims)) => self.place(now_ms, number, places, victims),
            None => {
                tried.preempting.insert(key);
                if starving && reserved.is_empty() {
                    self.reserve(now_ms, number, reserved);
                }
            }
        }
    }

    /// Keeps the best rack for a starving job free of later ones, so that it drains.
    fn reserve(&mut self, now_ms: u64, number: u64, reserved: &mut BTreeSet<WorkerId>) {
        let shape = self.jobs[&number].spec.shape;
        let whole = |id: WorkerId| {
            let worker = self.cells.worker(id);
            let guaranteed = worker.bound_used;
            if worker.admits(now_ms) && !reserved.contains(&id) {
                worker.capacity - guaranteed.min(worker.capacity)
            } else {
                0
            }
        };
        if let Some(places) = Search::new(&self.cells, whole).place(&shape) {
            reserved.extend(places);
        }
        self.set_reason(
            number,
            "starves; later jobs are kept off the accelerators it needs",
        );
    }

    /// The places with the least work lost, and whom to stop there.
    fn cheapest_victims(
        &self,
        now_ms: u64,
        number: u64,
        urgent: bool,
        starving: bool,
        reserved: &BTreeSet<WorkerId>,
    ) -> Option<(Vec<WorkerId>, BTreeSet<u64>)> {
        let asking = &self.jobs[&number];
        let shape = asking.spec.shape;
        let may_stop = |job: &Job| {
            let below = job.spec.priority < asking.spec.priority;
            let smaller = job.spec.shape.accelerators() * 2 <= shape.accelerators();
            let spared = job.preempted >= MAX_PREEMPTIONS;
            (urgent && below)
                || (starving
                    && !spared
                    && (below || (smaller && job.spec.priority == asking.spec.priority)))
        };
        // Accelerators of each worker that are free or could be freed.
        let mut freeable: BTreeMap<WorkerId, u32> = BTreeMap::new();
        for (id, jobs) in &self.on_worker {
            let sum: u32 = jobs
                .iter()
                .map(|job| &self.jobs[job])
                .filter(|job| job.is_stoppable() && may_stop(job))
                .map(|job| job.held().get(id).copied().unwrap_or(0))
                .sum();
            freeable.insert(*id, sum);
        }
        let usable = |id: WorkerId| {
            let worker = self.cells.worker(id);
            if !worker.admits(now_ms) || reserved.contains(&id) || worker.used > worker.capacity {
                return 0;
            }
            worker.free() + freeable.get(&id).copied().unwrap_or(0)
        };
        let mut best: Option<(u64, Vec<WorkerId>, BTreeSet<u64>)> = None;
        for rack in self.racks_to_try(&shape) {
            let inside = |id: WorkerId| {
                if rack.is_none_or(|rack| self.cells.worker(id).rack == rack) {
                    usable(id)
                } else {
                    0
                }
            };
            let Some(places) = Search::new(&self.cells, inside).place(&shape) else {
                continue;
            };
            let Some(victims) = self.victims_on(&places, shape.accelerators_per_task, may_stop)
            else {
                continue;
            };
            let cost = self.cost_of(now_ms, &victims);
            if best.as_ref().is_none_or(|(other, _, _)| cost < *other) {
                best = Some((cost, places, victims));
            }
        }
        best.map(|(_, places, victims)| (places, victims))
    }

    /// Racks to look at one by one, or the whole data centre for a shape that spans racks.
    fn racks_to_try(&self, shape: &Shape) -> Vec<Option<u32>> {
        if shape.adjacent == bh_protocol::shape::Adjacency::DataCentre {
            return vec![None];
        }
        let mut racks: Vec<(u32, u32)> = self
            .cells
            .racks()
            .iter()
            .enumerate()
            .filter(|(_, rack)| rack.capacity >= shape.accelerators())
            .map(|(index, rack)| (rack.used, u32::try_from(index).unwrap_or(u32::MAX)))
            .collect();
        racks.sort_unstable();
        racks
            .into_iter()
            .take(MAX_CANDIDATES)
            .map(|(_, rack)| Some(rack))
            .collect()
    }

    fn set_reason(&mut self, number: u64, reason: &str) {
        if let Some(job) = self.jobs.get_mut(&number)
            && job.reason != reason
        {
            job.reason = reason.to_owned();
        }
    }
}
