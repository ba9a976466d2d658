//! What one worker needs now: starts, stops, a look.

use super::BrokenGangs;
use super::Order;
use super::OrderBody;
use super::Permissions;
use super::Recipient;
use super::RunWatch;
use super::StartPhase;
use super::StopPhase;
use super::Target;
use super::Timing;
use super::order::RETRY_MS;
use super::pacing;
use super::pacing::SHARED_LOOK_MS;
use crate::job::Resources;
use crate::job::RunId;
use crate::job::StepId;
use crate::state::End;
use crate::state::EndKind;
use crate::state::Worker;
use crate::state::Workload;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// Shortest wait of a look in milliseconds, where few workers have runs. A worker that is cut off is found silent when its look is not answered,
/// and until then urgent work is placed on it, or waits for room that never becomes free there: such work has a second or two to spare.
const FEW_LOOK_WAIT_MS: u64 = 700;
/// Longest wait of a look in milliseconds; workers take no longer one.
const LOOK_WAIT_MS: u64 = 2_000;
/// Looks a second that the leader may come to by waiting less than the longest, over all workers. Some five hundred a second, those that bring
/// ends among them, took 0.18 of a core; this leaves room for those.
const LOOKS_PER_S: u64 = 250;
/// How long before its lease ends a worker is looked at, in looks: several may be lost.
const LOOKS_IN_LEASE: u64 = 3;
/// Time after a confirmed stop at which it is sent again when the run has still not ended, in milliseconds.
const STOP_AGAIN_MS: u64 = 1_500;
/// How long a look at a worker waits for an end when `busy` workers have runs, in milliseconds.
pub(super) fn look_wait_ms(busy: usize) -> u64 {
    const MS_PER_S: u64 = 1_000;
    let busy = u64::try_from(busy).unwrap_or(u64::MAX);
    (busy.saturating_mul(MS_PER_S) / LOOKS_PER_S).clamp(FEW_LOOK_WAIT_MS, LOOK_WAIT_MS)
}

/// What one worker needs now.
pub(super) struct WorkerTurn<'a> {
    pub now_ms: u64,
    pub timing: &'a Timing,
    /// How long a look waits for an end, in milliseconds.
    pub look_wait_ms: u64,
    pub token: u64,
    pub workload: &'a Workload,
    pub permissions: &'a Permissions,
    pub broken: &'a BrokenGangs,
    pub worker: &'a Worker,
    /// Number of incarnations of the worker before the newest known one.
    pub restarts: u64,
    pub orders: &'a mut Vec<Order>,
    pub ends: &'a mut Vec<End>,
}

impl WorkerTurn<'_> {
    /// Adds what the worker needs now to the orders and ends.
    pub fn serve(&mut self, target: &mut Target) {
        if target.has_lapsed(self.now_ms) {
            self.give_up_lapsed(target);
        } else if target.is_failing() {
            self.give_up_broken(target);
        }
        if target.restart.is_some() {
            self.resolve_restart(target);
            return;
        }
        let too_much = self.too_much(target);
        let closed =
            target.left || self.worker.draining || self.workload.is_evacuated(&self.worker.info);
        let runs: Vec<RunId> = target.runs.keys().copied().collect();
        for run in runs {
            let recorded = self.worker.runs.contains_key(&run);
            let wanted = recorded && self.workload.wants(run);
            let Some(watch) = target.runs.get(&run).filter(|watch| !watch.settled) else {
                continue;
            };
            if wanted && !watch.give_up && too_much.contains(&run) {
                self.withdraw(target, run);
            } else if wanted && !watch.give_up && closed && !watch.is_confirmed() {
                self.hold_back(target, run);
            } else if wanted && !watch.give_up && watch.awaits_report() {
                self.take_back_refused(target, run);
            } else if wanted && !watch.give_up {
                self.start(target, run);
                if pacing::fills(self.workload, run) {
                    self.pace(target, run);
                }
            } else {
                self.stop(target, run, recorded);
            }
        }
        self.look(target);
    }

    /// Stops the runs whose start orders may reach the later incarnation, then looks at it until it reports none of them.
    fn resolve_restart(&mut self, target: &mut Target) {
        let runs: Vec<RunId> = target.runs.keys().copied().collect();
        for run in runs {
            let watch = target.runs.get(&run);
            if watch.is_some_and(RunWatch::may_reach_later_incarnation) {
                self.stop(target, run, self.worker.runs.contains_key(&run));
            }
        }
        let is_stopped = |watch: &RunWatch| {
            !watch.may_reach_later_incarnation()
                || matches!(watch.stop, StopPhase::Confirmed { .. })
        };
        if target.runs.values().all(is_stopped) {
            self.look(target);
        }
    }

    /// The lease has surely run out: whatever ran there has been ended by the worker itself.
    fn give_up_lapsed(&mut self, target: &mut Target) {
        let runs: Vec<RunId> = target.runs.keys().copied().collect();
        for run in runs {
            self.give_up(target, run, EndKind::Lapsed);
        }
        // Members given up earlier may no longer be said to have failed: otherwise each new leader would wait for this lease again.
        for run in self.worker.unheard.intersection(&target.unsaid) {
            if target.unsaid_lapsing.insert(*run) {
                self.ends.push(End {
                    run: *run,
                    worker: self.worker.info.id.clone(),
                    kind: EndKind::Lapsed,
                    checkpoint: None,
                });
            }
        }
    }

    /// Gangs that are known to be over here, though the worker does not answer: without this their callers would wait for its lease. Only runs that it
    /// had confirmed count, or one that must have been what ended: an order for another may still be on its way, and begin it after the gang has begun
    /// anew elsewhere.
    fn give_up_broken(&mut self, target: &mut Target) {
        let mut gangs: BTreeMap<(StepId, u32), Vec<RunId>> = BTreeMap::new();
        for run in self.worker.runs.keys() {
            let is_gang = self
                .workload
                .step_spec(run.task.step)
                .is_some_and(|spec| spec.gang);
            if is_gang {
                let members = gangs.entry((run.task.step, run.attempt)).or_default();
                members.push(*run);
            }
        }
        for members in gangs.into_values() {
            let have_begun = self.broken.must_have_begun(&self.worker.info.id, &members)
                || members
                    .iter()
                    .all(|run| target.runs.get(run).is_some_and(RunWatch::is_confirmed));
            let times = (self.now_ms, self.timing.stop_timeout_ms);
            if have_begun && self.broken.are_over(times, &members, self.workload) {
                for run in members {
                    self.give_up(target, run, EndKind::Lost);
                    target.unsaid.insert(run);
                }
            }
        }
    }

    /// A run is over though the worker has not said so.
    fn give_up(&mut self, target: &mut Target, run: RunId, kind: EndKind) {
        let Some(watch) = target.runs.get_mut(&run).filter(|watch| !watch.settled) else {
            return;
        };
        if !self.worker.runs.contains_key(&run) {
            return;
        }
        watch.settled = true;
        target.lapsed.insert(run, watch.clone());
        self.ends.push(End {
            run,
            worker: self.worker.info.id.clone(),
            kind,
            checkpoint: watch.checkpoint.clone(),
        });
    }

    fn order(&mut self, body: OrderBody) {
        self.orders.push(Order {
            to: Recipient {
                worker: self.worker.info.id.clone(),
                address: self.worker.info.address,
                restarts: self.restarts,
            },
            token: self.token,
            sent_ms: self.now_ms,
            body,
        });
    }

    /// Whether a start order can be expected to reach the recorded incarnation: it has answered a look since the last unanswered order, and no other
    /// incarnation of the worker is recorded.
    fn can_receive_start(&self, target: &Target, run: RunId) -> bool {
        if !target.reports_start_time {
            return true;
        }
        let is_reported = match target.runs.get(&run).map(|watch| watch.start) {
            Some(StartPhase::Unsure { retry_ms }) => target.asked_ms + RETRY_MS >= retry_ms,
            _ => true,
        };
        let has_other_incarnation = self.workload.has_other_incarnation(&self.worker.info.id);
        target.is_verified() && !target.is_failing() && is_reported && !has_other_incarnation
    }

    fn start(&mut self, target: &mut Target, run: RunId) {
        let now_ms = self.now_ms;
        let unsent = target
            .runs
            .get(&run)
            .is_some_and(|watch| watch.start == StartPhase::Unsent);
        // The gang, or another worker, need not wait until this one is heard again or its lease is over.
        if unsent && (target.is_failing() || !target.is_current(now_ms, self.timing)) {
            self.never_began(target, run);
            return;
        }
        let ready = target
            .runs
            .get(&run)
            .is_some_and(|watch| match watch.start {
                StartPhase::Unsent => true,
                StartPhase::Unsure { retry_ms } => now_ms >= retry_ms,
                StartPhase::InFlight | StartPhase::Confirmed { .. } => false,
            });
        // After a silence it may have shrunk: its next heartbeat tells.
        if !ready || !target.is_current(now_ms, self.timing) || !self.can_receive_start(target, run)
        {
            return;
        }
        let Some(job) = self.workload.job(run.task.step.job) else {
            return;
        };
        let step = run.task.step;
        let permission = self.permissions.proof(step, &self.worker.info.id, now_ms);
        if permission.is_none() && self.workload.queue_of(job).advised.is_some() {
            self.withdraw(target, run);
            return;
        }
        let Some(lease_until_ms) = target.grant(now_ms, self.timing) else {
            return;
        };
        let task = job.step(run.task.step).and_then(|step| {
            usize::try_from(run.task.index)
                .ok()
                .and_then(|index| step.tasks.get(index))
        });
        let body = OrderBody::Start {
            run,
            text: job.spec.text.clone(),
            lease_until_ms,
            checkpoint: task.and_then(|task| task.checkpoint.clone()),
            permission,
        };
        if let Some(watch) = target.runs.get_mut(&run) {
            if watch.start == StartPhase::Unsent {
                watch.first_sent_ms = Some(now_ms);
            }
            watch.start = StartPhase::InFlight;
            watch.was_repeated = false;
        }
        self.order(body);
    }

    /// Runs that are not known to have begun, and for which the worker has no room beside those that are: it has shrunk since they were
    /// recorded. A worker that does not guard its capacity would begin them all the same, and everything there would slow down or be
    /// killed.
    fn too_much(&self, target: &Target) -> BTreeSet<RunId> {
        let mut too_much = BTreeSet::new();
        if self.worker.excess() == Resources::default() {
            return too_much;
        }
        let is_confirmed = |run: &RunId| target.runs.get(run).is_some_and(RunWatch::is_confirmed);
        let mut free = self.worker.info.capacity;
        for (run, needs) in &self.worker.runs {
            if is_confirmed(run) {
                free.subtract(needs);
            }
        }
        for (run, needs) in &self.worker.runs {
            if is_confirmed(run) {
                continue;
            }
            if needs.fits_in(&free) {
                free.subtract(needs);
            } else {
                too_much.insert(*run);
            }
        }
        too_much
    }

    /// Sends no start of a run in a data centre under evacuation, or on a worker that ends. Whether one that had no answer was carried out, also
    /// by the order of an earlier leader, the next report tells: taken back unasked, work that goes on would be stopped, and a gang elsewhere
    /// with it.
    fn hold_back(&mut self, target: &mut Target, run: RunId) {
        let Some(watch) = target.runs.get(&run) else {
            return;
        };
        let not_there = match watch.start {
            StartPhase::Unsent => true,
            StartPhase::Unsure { retry_ms } => target.asked_ms >= retry_ms,
            StartPhase::InFlight | StartPhase::Confirmed { .. } => false,
        };
        if not_there {
            self.withdraw(target, run);
        }
    }

    /// Takes back a run whose start was refused though an earlier send of it may have been carried out, unless the worker reports that it runs: work that
    /// goes on would be stopped, and a gang with it.
    fn take_back_refused(&mut self, target: &mut Target, run: RunId) {
        let refused_ms = target.runs.get(&run).and_then(|watch| watch.refused_ms);
        if refused_ms.is_some_and(|refused_ms| target.asked_ms > refused_ms) {
            self.withdraw(target, run);
        }
    }

    /// Takes back a run whose start shall not be sent any more, for want of a permission or of room. Whether an earlier one was carried out
    /// is settled by a stop; the plan finds another place, or asks for another permission, before it tries again.
    fn withdraw(&mut self, target: &mut Target, run: RunId) {
        let unsent = target
            .runs
            .get(&run)
            .is_some_and(|watch| watch.start == StartPhase::Unsent);
        if unsent {
            self.never_began(target, run);
        } else if !target.is_failing() {
            if let Some(watch) = target.runs.get_mut(&run) {
                watch.give_up = true;
            }
            self.stop(target, run, true);
        }
    }

    /// Settles a run that was never ordered.
    fn never_began(&mut self, target: &mut Target, run: RunId) {
        if let Some(watch) = target.runs.get_mut(&run) {
            watch.settled = true;
        }
        self.ends.push(End {
            run,
            worker: self.worker.info.id.clone(),
            kind: EndKind::NotStarted,
            checkpoint: None,
        });
    }

    fn pace(&mut self, target: &mut Target, run: RunId) {
        let now_ms = self.now_ms;
        let due = |watch: &&mut RunWatch| {
            matches!(watch.start, StartPhase::Confirmed { .. }) && watch.pace.is_due(now_ms)
        };
        let Some(watch) = target.runs.get_mut(&run).filter(due) else {
            return;
        };
        watch.pace.note_sent();
        let percent = watch.pace.wanted_percent;
        self.order(OrderBody::Pace { run, percent });
    }

    fn stop(&mut self, target: &mut Target, run: RunId, recorded: bool) {
        let now_ms = self.now_ms;
        let Some(watch) = target.runs.get_mut(&run) else {
            return;
        };
        if watch.start == StartPhase::Unsent {
            if recorded {
                self.never_began(target, run);
            }
            return;
        }
        let due = match watch.stop {
            StopPhase::None => true,
            StopPhase::InFlight => false,
            StopPhase::Retry { retry_ms } => now_ms >= retry_ms,
            StopPhase::Confirmed { at_ms } => {
                now_ms >= at_ms + self.timing.stop_timeout_ms + STOP_AGAIN_MS
            }
        };
        if due {
            watch.stop = StopPhase::InFlight;
            self.order(OrderBody::Stop { run });
        }
    }

    /// One waiting look at a time renews the lease, brings ends as they happen, and tells what is recorded. Workers without runs
    /// need none.
    fn look(&mut self, target: &mut Target) {
        if target.looking || target.recording_to.is_some() || self.now_ms < target.next_look_ms {
            return;
        }
        // A start on its way renews the lease itself; a look that overtook it would find nothing.
        let first_starts = target
            .runs
            .values()
            .all(|watch| watch.start == StartPhase::InFlight);
        let has_other_incarnation = self.workload.has_other_incarnation(&self.worker.info.id);
        if first_starts && !target.must_be_asked() && !has_other_incarnation {
            return;
        }
        let unsure = target
            .runs
            .values()
            .any(|watch| matches!(watch.start, StartPhase::Unsure { .. }));
        let settled = target.runs.is_empty()
            || unsure
            || target.is_failing()
            || target.carrier_lost
            || !target.is_verified();
        let wait_ms = if settled {
            0
        } else if pacing::is_shared(self.workload, self.worker) {
            SHARED_LOOK_MS
        } else {
            self.look_wait_ms.min(self.timing.lease_ms / LOOKS_IN_LEASE)
        };
        let lease_until_ms = if target.runs.is_empty() || target.restart.is_some() {
            None
        } else {
            target.grant(self.now_ms, self.timing)
        };
        target.looking = true;
        target.checks_left = target.checks_left.saturating_sub(1);
        // Acknowledges ends only to a worker whose last look was answered: a restarted worker would discard new ends that have the same numbers.
        let may_acknowledge = target.is_behind()
            && !target.is_failing()
            && target.is_verified()
            && !has_other_incarnation;
        let recorded_to = if may_acknowledge {
            target.recorded_to
        } else {
            0
        };
        self.order(OrderBody::Look {
            lease_until_ms,
            recorded_to,
            wait_ms,
        });
    }
}
