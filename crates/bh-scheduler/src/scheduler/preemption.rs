//! Preemption: which jobs an urgent, starving or guaranteed job may stop, and which of them lose the least work.

use super::Scheduler;
use super::dispatch::MAX_VICTIM_CANDIDATES;
use super::failed_placements::FailedPlacements;
use crate::inventory::WorkerId;
use crate::job::Job;
use crate::job::State;
use crate::placement::Search;
use bh_protocol::shape::Adjacency;
use bh_protocol::shape::Shape;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// Number of times a job may be stopped for other jobs. After that, only urgent and guaranteed jobs may stop the job.
const MAX_PREEMPTIONS: u32 = 3;
/// How many times longer than a gang a single task waits before it counts as starving.
const SINGLE_TASK_STARVATION_FACTOR: u64 = 4;
/// Lowest priority that counts as urgent. An urgent job stops jobs of lower priority at once.
const URGENT_PRIORITY: u8 = 8;

impl Scheduler {
    /// Starts an urgent or starving job by stopping other jobs.
    pub(super) fn dispatch_by_preemption(
        &mut self,
        now_ms: u64,
        number: u64,
        failed: &mut FailedPlacements,
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
        if failed.preempting.contains(&key) {
            return;
        }
        let choice = self.cheapest_victims(now_ms, number, urgent, starving, reserved);
        match choice {
            Some((places, victims)) => self.place(now_ms, number, places, victims),
            None => {
                failed.preempting.insert(key);
                if starving && reserved.is_empty() {
                    self.reserve(now_ms, number, reserved);
                }
            }
        }
    }

    /// Whether the job has waited so long that smaller jobs are stopped for it. A gang needs free capacity in one place at
    /// one time and may never find it. A single task finds it sooner or later as other jobs end, and a task with one
    /// accelerator always does.
    fn is_starving(&self, now_ms: u64, job: &Job) -> bool {
        let shape = &job.spec.shape;
        let starvation_ms = match (shape.tasks, shape.accelerators_per_task) {
            (1, 1) => return false,
            (1, _) => self.gang_starvation_ms() * SINGLE_TASK_STARVATION_FACTOR,
            _ => self.gang_starvation_ms(),
        };
        now_ms >= job.submitted_ms + starvation_ms
    }

    /// Waiting time after which a gang counts as starving. The more weight the policy gives to fragmentation over
    /// completion time, the sooner small jobs are stopped for the gang.
    fn gang_starvation_ms(&self) -> u64 {
        let policy = &self.limits.policy;
        let weights = u64::from(policy.completion_weight + policy.fragmentation_weight).max(1);
        policy.starvation_ms * 2 * u64::from(policy.completion_weight) / weights
    }

    /// Reserves the best workers for a starving job: jobs later in the queue are not placed there, so that the workers drain.
    fn reserve(&mut self, now_ms: u64, number: u64, reserved: &mut BTreeSet<WorkerId>) {
        let shape = self.jobs[&number].spec.shape;
        let reclaimable = |id: WorkerId| {
            let worker = self.inventory.worker(id);
            let guaranteed = worker.bound_used;
            if worker.admits(now_ms) && !reserved.contains(&id) {
                worker.capacity - guaranteed.min(worker.capacity)
            } else {
                0
            }
        };
        if let Some(places) = Search::new(&self.inventory, reclaimable).place(&shape) {
            reserved.extend(places);
        }
        self.set_reason(
            number,
            "starving; no later jobs are placed on the accelerators it needs",
        );
    }

    /// Finds the placement that costs the least work, and the jobs to stop for it.
    fn cheapest_victims(
        &self,
        now_ms: u64,
        number: u64,
        urgent: bool,
        starving: bool,
        reserved: &BTreeSet<WorkerId>,
    ) -> Option<(Vec<WorkerId>, BTreeSet<u64>)> {
        let preemptor = &self.jobs[&number];
        let shape = preemptor.spec.shape;
        let may_stop = |job: &Job| {
            let lower_priority = job.spec.priority < preemptor.spec.priority;
            let smaller = job.spec.shape.accelerators() * 2 <= shape.accelerators();
            let protected = job.preemptions >= MAX_PREEMPTIONS;
            (urgent && lower_priority)
                || (starving
                    && !protected
                    && (lower_priority
                        || (smaller && job.spec.priority == preemptor.spec.priority)))
        };
        // Accelerators of each worker that can be freed by stopping jobs.
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

    /// Racks to examine one by one, or `None` for the whole data centre if the shape spans racks.
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
            .take(MAX_VICTIM_CANDIDATES)
            .map(|(_, rack)| Some(rack))
            .collect()
    }

    /// Jobs to stop so that `per_task` accelerators per task become free on `places`. On each worker it chooses the
    /// lowest priority first, then the most recent start. Returns `None` if stopping all jobs that `may_stop` allows is not enough.
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
            // Jobs that are already stopping free their accelerators without a new victim.
            let mut available = worker.free();
            let jobs = self.on_worker.get(&id).cloned().unwrap_or_default();
            let mut candidates = Vec::new();
            let mut overcommitted = worker.used.saturating_sub(worker.capacity);
            for number in jobs {
                let job = &self.jobs[&number];
                let held = job.held().get(&id).copied().unwrap_or(0);
                if victims.contains(&number) || matches!(job.state, State::Stopping { .. }) {
                    available += held.saturating_sub(overcommitted.min(held));
                    overcommitted = overcommitted.saturating_sub(held);
                } else if job.is_preemptible() && may_stop(job) {
                    candidates.push((job.spec.priority, Reverse(job.started_ms), number, held));
                }
            }
            candidates.sort_unstable();
            for (_, _, number, held) in candidates {
                if available >= count {
                    break;
                }
                available += held;
                victims.insert(number);
            }
            if available < count {
                return None;
            }
        }
        Some(victims)
    }

    /// Work lost when the victims stop: their accelerators times the time they have run.
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
