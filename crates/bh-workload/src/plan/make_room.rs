//! Makes room by stopping others.

use super::Borrower;
use super::Unit;
use super::availability::Availability;
use super::borrowers::Borrowers;
use super::claim::Claim;
use super::evict;
use super::evict::Reclaim;
use super::evict::Unmade;
use super::pass::Pass;
use super::place;
use crate::job::RunId;
use crate::job::StepId;
use crate::state::Worker;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// Work that may be thrown away for work of priority 0, as a multiple of its own. Such a job is worth some ten times as much for the
/// room it takes as the work it displaces, and is late within a second or two; four leaves a margin for what the displaced jobs lose
/// beside their work.
const LOSS_FOR_WORK: u64 = 4;
/// Time beyond the longest stop after which room that was reclaimed but has not become free is chosen anew, in milliseconds.
const CLAIM_SLACK_MS: u64 = 1_500;

impl Pass<'_> {
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
        // Sound work is not stopped for what may crash the worker.
        let first = unit.priority == 0 && unit.on_time && !unit.is_suspect();
        if !unit.entitled && !unit.spec.long_running && !first {
            return None;
        }
        let class = (unit.entitled, unit.spec.long_running, unit.priority);
        if self.unclaimable.covers(&class, unit, unit.count()) {
            return None;
        }
        let all = match self.borrowers.take() {
            Some(borrowers) => borrowers,
            None => Borrowers::new(self.all_borrowers()),
        };
        let made = self.make_room(unit, &all.runs);
        self.borrowers = Some(all);
        let reclaim = match made {
            Ok(reclaim) => reclaim,
            Err(Unmade::NoRoom) => {
                self.unclaimable.note(class, unit, unit.count());
                return None;
            }
            Err(Unmade::NoRack) => return None,
        };
        let weighs_loss = !unit.entitled && !unit.spec.long_running;
        if weighs_loss && reclaim.loss > unit.work() * LOSS_FOR_WORK {
            return None;
        }
        self.stop(&reclaim.evictions);
        // What is stopped may leave more room than was claimed.
        self.unclaimable.clear();
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

    /// Room for `unit` among what is open and what the runs in `all` take that give way to it.
    fn make_room(&self, unit: &Unit, all: &[Borrower]) -> Result<Reclaim, Unmade> {
        let mut services = Availability::new(self.workload, self.dispatcher, &self.plan.evictions);
        let mut may_stop = |borrower: &&Borrower| {
            borrower.stopping
                || borrower.gives_way(unit)
                    && (!borrower.limited || services.may_miss(borrower.run))
        };
        let borrowers: Vec<&Borrower> = all.iter().filter(&mut may_stop).collect();
        let waits =
            place::wants_rack(unit) && place::waits_for_rack(unit, &self.rooms, self.wall_ms);
        evict::reclaim(unit, &self.rooms, &borrowers, self.workload, waits)
    }

    fn stop(&mut self, runs: &BTreeSet<RunId>) {
        let Some(borrowers) = self.borrowers.as_mut() else {
            return;
        };
        for run in runs {
            let Some(borrower) = borrowers.of(*run).filter(|run| !run.stopping) else {
                continue;
            };
            borrower.stopping = true;
            borrower.loss = 0;
            let worker = self.rooms[borrower.room].worker.clone();
            self.plan.evictions.push((worker, borrower.run));
        }
    }

    /// All recorded runs. Looked up once for a pass: each unit that asks for room would look up every run of the fleet again.
    fn all_borrowers(&self) -> Vec<Borrower> {
        let workers = self.workload.workers().filter_map(|worker| {
            let room = self.index.get(&worker.info.id)?;
            Some((worker, *room))
        });
        workers
            .flat_map(|(worker, room)| self.borrowers_on(worker, room))
            .collect()
    }

    fn borrowers_on(&self, worker: &Worker, room: usize) -> Vec<Borrower> {
        let target = self.dispatcher.view(&worker.info.id);
        let runs = worker.runs.iter().map(|(run, needs)| {
            let run_state = target.and_then(|target| target.runs.get(run));
            let stopping = !self.workload.should_run(*run)
                || run_state.is_some_and(|run_state| run_state.stop_requested);
            let ran_ms = run_state.map_or(0, |run_state| {
                self.now_ms.saturating_sub(run_state.since_ms)
            });
            let priority = self.priority_of(*run);
            let spec = self.workload.step_spec(run.task.step);
            Borrower {
                run: *run,
                room,
                needs: *needs,
                loss: if stopping {
                    0
                } else {
                    self.loss(*run, ran_ms, priority)
                },
                stopping,
                entitled: self.entitled.contains(&run.task.step.job),
                serves: spec.is_some_and(|spec| spec.long_running),
                limited: spec.is_some_and(|spec| spec.most_unavailable.is_some()),
                priority,
            }
        });
        runs.collect()
    }

    fn priority_of(&self, run: RunId) -> u32 {
        self.workload
            .job(run.task.step.job)
            .map_or(u32::MAX, |job| self.workload.queue_of(job).priority)
    }

    /// Work that is lost when a run is stopped, its gang's with it.
    fn loss(&self, run: RunId, ran_ms: u64, priority: u32) -> u64 {
        let Some(spec) = self.workload.step_spec(run.task.step) else {
            return 0;
        };
        // A stop saves what was done; only the time to go on from there is lost.
        let lost_ms = if spec.checkpoints {
            ran_ms.min(self.dispatcher.timing().restore_ms)
        } else {
            ran_ms
        };
        let members = if spec.gang { u64::from(spec.count) } else { 1 };
        spec.needs.weight() * lost_ms.max(1) * members * worth(priority)
    }
}

/// What room is worth to a queue of this rank, as a multiple of the least: it falls with the square of the rank, as the values of the
/// users' kinds of work do against the room they take.
fn worth(priority: u32) -> u64 {
    const FIRST: u64 = 9;
    let rank = u64::from(priority).saturating_add(1);
    (FIRST / (rank * rank)).max(1)
}
