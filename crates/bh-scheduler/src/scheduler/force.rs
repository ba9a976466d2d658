//! Stopping others: whom an urgent, starving or guaranteed job may stop, and who loses the least.

use super::Scheduler;
use super::dispatch::MAX_CANDIDATES;
use super::tried::Tried;
use crate::inventory::WorkerId;
use crate::job::Job;
use crate::job::State;
use crate::placement::Search;
use bh_protocol::shape::Adjacency;
use bh_protocol::shape::Shape;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// Times a job is stopped for others before it is left alone by all but guarantees.
const MAX_PREEMPTIONS: u32 = 3;
/// How much longer than a gang a single task waits before others make room for it.
const SINGLE_TASK_PATIENCE: u64 = 4;
/// Least priority that counts as urgent: such a job stops others of less priority at once.
const URGENT_PRIORITY: u8 = 8;

impl Scheduler {
    /// Stops others for an urgent or starving job.
    pub(super) fn dispatch_by_force(
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

    /// Keeps the best rack for a starving job free of later ones, so that it drains.
    fn reserve(&mut self, now_ms: u64, number: u64, reserved: &mut BTreeSet<WorkerId>) {
        let shape = self.jobs[&number].spec.shape;
        let whole = |id: WorkerId| {
            let worker = self.inventory.worker(id);
            let guaranteed = worker.bound_used;
            if worker.admits(now_ms) && !reserved.contains(&id) {
                worker.capacity - guaranteed.min(worker.capacity)
            } else {
                0
            }
        };
        if let Some(places) = Search::new(&self.inventory, whole).place(&shape) {
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
            let spared = job.preemptions >= MAX_PREEMPTIONS;
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
                .filter(|job| job.is_preemptible() && may_stop(job))
                .map(|job| job.held().get(id).copied().unwrap_or(0))
                .sum();
            freeable.insert(*id, sum);
        }
        let usable = |id: WorkerId| {
            let worker = self.inventory.worker(id);
            if !worker.admits(now_ms) || reserved.contains(&id) || worker.used > worker.capacity {
                return 0;
            }
            worker.free() + freeable.get(&id).copied().unwrap_or(0)
        };
        let mut best: Option<(u64, Vec<WorkerId>, BTreeSet<u64>)> = None;
        for rack in self.racks_to_try(&shape) {
            let inside = |id: WorkerId| {
                if rack.is_none_or(|rack| self.inventory.worker(id).rack == rack) {
                    usable(id)
                } else {
                    0
                }
            };
            let Some(places) = Search::new(&self.inventory, inside).place(&shape) else {
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
        if shape.adjacent == Adjacency::DataCentre {
            return vec![None];
        }
        let mut racks: Vec<(u32, u32)> = self
            .inventory
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

    /// Borrowers to stop so that `per_task` accelerators a task come free on `places`; the least work first.
    /// `None` when stopping every one that `may_stop` allows is not enough.
    pub(super) fn victims_on(
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
            let worker = self.inventory.worker(id);
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
                } else if job.is_preemptible() && may_stop(job) {
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
    pub(super) fn cost_of(&self, now_ms: u64, victims: &BTreeSet<u64>) -> u64 {
        victims
            .iter()
            .map(|number| {
                let job = &self.jobs[number];
                u64::from(job.spec.shape.accelerators())
                    * (1 + now_ms.saturating_sub(job.started_ms))
            })
            .sum()
    }
}
