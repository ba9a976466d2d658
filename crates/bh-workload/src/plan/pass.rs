//! One pass of planning.

use super::Borrower;
use super::Placement;
use super::Plan;
use super::Room;
use super::Runtimes;
use super::Speeds;
use super::Unclaimed;
use super::Unit;
use super::availability::Availability;
use super::evict;
use super::place;
use crate::dispatch::Dispatcher;
use crate::job::JobId;
use crate::job::RunId;
use crate::job::StepId;
use crate::job::TaskId;
use crate::state::Start;
use crate::state::Workload;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Work that may be thrown away for work of priority 0, as a multiple of its own. Such a job is worth some ten times as much for the
/// room it takes as the work it displaces, and is late within a second or two; four leaves a margin for what the displaced jobs lose
/// beside their work.
const LOSS_FOR_WORK: u64 = 4;
/// Time beyond the longest stop after which room that was reclaimed but has not become free is chosen anew, in milliseconds.
const CLAIM_SLACK_MS: u64 = 1_500;

/// Room that is being made for a unit.
#[derive(Clone, Debug)]
pub(super) struct Claim {
    /// Workers and number of tasks.
    pub places: Vec<(Arc<str>, u64)>,
    /// When the claim lapses, on the leader's clock in milliseconds.
    pub until_ms: u64,
}

/// One pass of planning.
pub(super) struct Pass<'a> {
    pub(super) now_ms: u64,
    wall_ms: u64,
    pub(super) workload: &'a Workload,
    pub(super) dispatcher: &'a Dispatcher,
    pub(super) runtimes: &'a Runtimes,
    /// Jobs that guarantees cover.
    entitled: &'a BTreeSet<JobId>,
    /// Workers as this pass sees them.
    pub rooms: Vec<Room>,
    index: BTreeMap<Arc<str>, usize>,
    /// What was decided so far.
    pub plan: Plan,
}

impl<'a> Pass<'a> {
    /// A pass at a time of the leader's clock and of the wall clock, both in milliseconds.
    pub fn new(
        (now_ms, wall_ms): (u64, u64),
        workload: &'a Workload,
        dispatcher: &'a Dispatcher,
        (runtimes, speeds): (&'a Runtimes, &Speeds),
        entitled: &'a BTreeSet<JobId>,
    ) -> Self {
        let rooms = Room::of_all(workload, dispatcher, speeds, now_ms);
        let index = rooms
            .iter()
            .enumerate()
            .map(|(index, room)| (room.worker.clone(), index))
            .collect();
        Self {
            now_ms,
            wall_ms,
            workload,
            dispatcher,
            runtimes,
            entitled,
            rooms,
            index,
            plan: Plan::default(),
        }
    }

    /// Drops claims that have become pointless.
    pub fn drop_claims(
        &mut self,
        claims: &mut BTreeMap<StepId, Claim>,
        waiting: &BTreeSet<StepId>,
    ) {
        let (now_ms, rooms, index) = (self.now_ms, &self.rooms, &self.index);
        let usable = |worker: &Arc<str>| index.get(worker).is_some_and(|at| rooms[*at].usable);
        let unclaimed = &mut self.plan.unclaimed;
        claims.retain(|step, claim| {
            let why = if !waiting.contains(step) {
                Unclaimed::NotWaiting
            } else if now_ms >= claim.until_ms {
                Unclaimed::TooSlow
            } else if !claim.places.iter().all(|(worker, _)| usable(worker)) {
                Unclaimed::WorkerUnusable
            } else {
                return true;
            };
            unclaimed.push((*step, why));
            false
        });
    }

    /// Takes the claimed room away from everybody else.
    pub fn hold_claims(&mut self, claims: &BTreeMap<StepId, Claim>, units: &[Unit]) {
        for unit in units {
            let Some(claim) = claims.get(&unit.step) else {
                continue;
            };
            for (worker, count) in &claim.places {
                if let Some(at) = self.index.get(worker) {
                    for _ in 0..*count {
                        self.rooms[*at].promised.add(&unit.needs);
                    }
                }
            }
        }
    }

    /// The claimed places, once all of them are free.
    pub fn placement_of(&self, claim: &Claim, unit: &Unit) -> Option<Placement> {
        claim
            .places
            .iter()
            .map(|(worker, count)| {
                let at = *self.index.get(worker)?;
                let fits = unit.needs.times_in(&self.rooms[at].free, *count) >= *count;
                fits.then_some((at, *count))
            })
            .collect()
    }

    /// Asks the unit's adviser about more workers when those it allows have not enough room.
    pub fn ask(&mut self, unit: &Unit) {
        let Some(advice) = &unit.advised else {
            return;
        };
        let anywhere = Unit {
            permitted: None,
            ..unit.clone()
        };
        let none = BTreeSet::new();
        let places = |unit: &Unit, room: &Room| room.places(unit, &none);
        let allowed: u64 = self.rooms.iter().map(|room| places(unit, room)).sum();
        if allowed >= unit.count() {
            return;
        }
        let mut candidates: Vec<(u64, &Room)> = self
            .rooms
            .iter()
            .filter(|room| room.admits(&anywhere))
            .map(|room| (places(&anywhere, room), room))
            .collect();
        candidates.sort_by_key(|(places, _)| std::cmp::Reverse(*places));
        let candidates = candidates.into_iter().map(|(_, room)| room.worker.clone());
        let question =
            self.dispatcher
                .permissions
                .question(self.now_ms, unit.step, advice, candidates);
        self.plan.questions.extend(question);
    }

    /// Starts a unit in room that was promised to it.
    pub fn start_promised(&mut self, unit: &Unit, placement: &Placement) {
        for (at, count) in placement {
            for _ in 0..*count {
                self.rooms[*at].promised.subtract(&unit.needs);
            }
        }
        self.start(unit, placement);
    }

    /// Starts a unit where it was placed.
    pub fn start(&mut self, unit: &Unit, placement: &Placement) {
        let mut tasks = unit.indices.iter().zip(&unit.attempts);
        for (at, count) in placement {
            for _ in 0..*count {
                self.rooms[*at].free.subtract(&unit.needs);
                let Some((index, attempt)) = tasks.next() else {
                    return;
                };
                self.plan.starts.push(Start {
                    run: RunId {
                        task: TaskId {
                            step: unit.step,
                            index: *index,
                        },
                        attempt: *attempt,
                    },
                    worker: self.rooms[*at].worker.clone(),
                });
            }
        }
    }

    /// Makes room for `unit` if it may displace others; returns whether it does.
    pub fn claim(&mut self, claims: &mut BTreeMap<StepId, Claim>, unit: &Unit) -> bool {
        let Some(claim) = self.reclaim(unit) else {
            return false;
        };
        self.plan.claimed.push((unit.step, claim.places.len()));
        claims.insert(unit.step, claim);
        true
    }

    /// Makes room for work that a guarantee covers, for a service that misses a task, or for work that comes first of all and is worth
    /// more than what is lost for it.
    fn reclaim(&mut self, unit: &Unit) -> Option<Claim> {
        let first = unit.priority == 0 && unit.on_time;
        if !unit.entitled && !unit.spec.long_running && !first {
            return None;
        }
        let borrowers = self.borrowers(unit);
        let waits = place::waits_for_rack(unit, &self.rooms, self.wall_ms);
        let reclaim = evict::reclaim(unit, &self.rooms, &borrowers, self.workload, waits)?;
        let weighs_loss = !unit.entitled && !unit.spec.long_running;
        if weighs_loss && reclaim.loss > unit.work() * LOSS_FOR_WORK {
            return None;
        }
        for borrower in &borrowers {
            if reclaim.evictions.contains(&borrower.run) {
                let worker = self.rooms[borrower.room].worker.clone();
                self.plan.evictions.push((worker, borrower.run));
            }
        }
        for (at, count) in &reclaim.placement {
            for _ in 0..*count {
                self.rooms[*at].promised.add(&unit.needs);
            }
        }
        let places = reclaim
            .placement
            .iter()
            .map(|(at, count)| (self.rooms[*at].worker.clone(), *count))
            .collect();
        Some(Claim {
            places,
            until_ms: self.now_ms + self.dispatcher.timing().stop_timeout_ms + CLAIM_SLACK_MS,
        })
    }

    /// Runs that may be stopped for `unit`, and those that are being stopped.
    fn borrowers(&self, unit: &Unit) -> Vec<Borrower> {
        let mut services = Availability::new(self.workload, self.dispatcher, &self.plan.evictions);
        let mut borrowers = Vec::new();
        for worker in self.workload.workers() {
            let Some(room) = self.index.get(&worker.info.id) else {
                continue;
            };
            let target = self.dispatcher.view(&worker.info.id);
            for (run, needs) in &worker.runs {
                let watch = target.and_then(|target| target.runs.get(run));
                let evicted = self.plan.evictions.iter().any(|(_, other)| other == run);
                let stopping = evicted
                    || !self.workload.wants(*run)
                    || watch.is_some_and(|watch| watch.give_up);
                let lent =
                    !self.entitled.contains(&run.task.step.job) && self.gives_way(*run, unit);
                let given = stopping || lent && services.may_miss(*run);
                if !given {
                    continue;
                }
                let ran_ms = watch.map_or(0, |watch| self.now_ms.saturating_sub(watch.since_ms));
                borrowers.push(Borrower {
                    run: *run,
                    room: *room,
                    needs: *needs,
                    loss: if stopping { 0 } else { self.loss(*run, ran_ms) },
                    stopping,
                });
            }
        }
        borrowers
    }

    /// Whether a run that no guarantee covers gives way to `unit`.
    fn gives_way(&self, run: RunId, unit: &Unit) -> bool {
        let serves = self
            .workload
            .step_spec(run.task.step)
            .is_some_and(|spec| spec.long_running);
        if unit.entitled {
            return true;
        }
        !serves && (unit.spec.long_running || self.priority_of(run) > unit.priority)
    }

    fn priority_of(&self, run: RunId) -> u32 {
        self.workload
            .job(run.task.step.job)
            .map_or(u32::MAX, |job| self.workload.queue_of(job).priority)
    }

    /// Work that is lost when a run is stopped, its gang's with it.
    fn loss(&self, run: RunId, ran_ms: u64) -> u64 {
        let job = self.workload.job(run.task.step.job);
        let Some(spec) = job.and_then(|job| job.step_spec(run.task.step)) else {
            return 0;
        };
        // A stop saves what was done; only the time to go on from there is lost.
        let lost_ms = if spec.checkpoints {
            ran_ms.min(self.dispatcher.timing().restore_ms)
        } else {
            ran_ms
        };
        let members = if spec.gang { u64::from(spec.count) } else { 1 };
        spec.needs.weight() * lost_ms.max(1) * members * worth(self.priority_of(run))
    }
}

/// What room is worth to a queue of this rank, as a multiple of the least: it falls with the square of the rank, as the values of the
/// users' kinds of work do against the room they take.
fn worth(priority: u32) -> u64 {
    const FIRST: u64 = 9;
    let rank = u64::from(priority) + 1;
    (FIRST / (rank * rank)).max(1)
}
