//! Brings recorded runs about: the leader's orders to workers, and what their answers mean.

use super::Answer;
use super::BrokenGangs;
use super::Denial;
use super::FillPace;
use super::Order;
use super::OrderBody;
use super::Permissions;
use super::RecordOutcome;
use super::RunWatch;
use super::StartPhase;
use super::StopPhase;
use super::Target;
use super::Timing;
use super::answers::note_report;
use super::answers::note_start;
use super::departure::departure;
use super::order::RETRY_MS;
use super::restart::note_restart;
use super::worker_turn::WorkerTurn;
use super::worker_turn::look_wait_ms;
use crate::job::RunId;
use crate::job::StepId;
use crate::state::Command;
use crate::state::End;
use crate::state::News;
use crate::state::Worker;
use crate::state::WorkerChange;
use crate::state::Workload;
use bh_protocol::Incarnation;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// Wait before a worker that does not answer is looked at again, in milliseconds.
const FAILING_LOOK_MS: u64 = 400;
/// Wait before a worker whose carrier was lost is looked at over another one, in milliseconds: next to nothing, but a link that is lost
/// again and again shall not be tried without a pause.
const NEXT_CARRIER_MS: u64 = 30;
/// Time that a deposed leader may have gone on giving orders after this one was elected, in milliseconds: it stops when it has not
/// heard from a majority for an election time; twice the longest one used.
const OVERLAP_MS: u64 = 2_000;

/// The leader's orders. Everything here is lost with the leadership; what must last is in the record.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    timing: Timing,
    token: u64,
    elected_ms: u64,
    targets: BTreeMap<Incarnation, Target>,
    due: BTreeSet<Incarnation>,
    /// How long a look waits for an end, in milliseconds.
    look_wait_ms: u64,
    /// What an outside adviser allows.
    pub permissions: Permissions,
    /// Workers whose VMs' upkeep is next.
    emptied: BTreeSet<Incarnation>,
    /// Gangs of which members ended because others did.
    broken: BrokenGangs,
    /// Workers that ended lately: a heartbeat of theirs that was held up must not bring them back.
    departed: BTreeSet<Incarnation>,
}

impl Dispatcher {
    /// The orders of the leader that was elected at `now_ms` with `token`, its term.
    ///
    /// Runs found in the record may run, may have ended, or may never have been ordered: none is ordered anew or given up before its
    /// worker was looked at or its lease has surely run out.
    pub fn new(timing: Timing, token: u64, now_ms: u64, workload: &Workload) -> Self {
        let mut dispatcher = Self {
            timing,
            token,
            elected_ms: now_ms,
            targets: BTreeMap::new(),
            due: BTreeSet::new(),
            look_wait_ms: look_wait_ms(workload.worker_count()),
            permissions: Permissions::default(),
            emptied: BTreeSet::new(),
            broken: BrokenGangs::recorded(now_ms, workload),
            departed: BTreeSet::new(),
        };
        for worker in workload.workers() {
            let target = dispatcher.target(&worker.info.id);
            target.is_recorded = true;
            target.filling = FillPace::taken_over();
            target.said_ms = Some(now_ms);
            // Which of them were lost with a lease this leader can't know; a failure that another leader would have counted must not be missed.
            target.unsaid = worker.unheard.clone();
            target.lapse_ms = now_ms + OVERLAP_MS + timing.lapse_after_ms(timing.lease_ms);
            for run in worker.runs.keys() {
                let start = StartPhase::Unsure {
                    retry_ms: now_ms + RETRY_MS,
                };
                target.runs.insert(*run, RunWatch::new(start, now_ms));
            }
        }
        dispatcher
    }

    /// The same for a leader before whom nobody had led for a while, or none knows for how long: workers may have shrunk with nobody to
    /// tell, and each must be heard before it is given work.
    pub fn with_old_record(mut self) -> Self {
        for target in self.targets.values_mut() {
            target.said_ms = None;
        }
        self
    }

    /// The leader's term.
    pub fn token(&self) -> u64 {
        self.token
    }

    /// When the leader was elected, on its clock in milliseconds.
    pub fn elected_ms(&self) -> u64 {
        self.elected_ms
    }

    /// The bounds in force.
    pub fn timing(&self) -> &Timing {
        &self.timing
    }

    /// What is known of a worker.
    pub fn view(&self, worker: &Incarnation) -> Option<&Target> {
        self.targets.get(worker)
    }

    fn target(&mut self, worker: &Incarnation) -> &mut Target {
        self.due.insert(worker.clone());
        self.targets
            .entry(worker.clone())
            .or_insert_with(|| Target::new(worker))
    }

    /// Notes a heartbeat of a worker; `false` when the worker has ended and this one was held up.
    pub fn note_heartbeat(
        &mut self,
        now_ms: u64,
        worker: &Incarnation,
        clock_ms: Option<u64>,
    ) -> bool {
        if self.departed.contains(worker) {
            return false;
        }
        let entry = self.targets.entry(worker.clone());
        let target = entry.or_insert_with(|| Target::new(worker));
        if !target.is_verified() {
            self.due.insert(worker.clone());
        }
        target.heard_ms = target.heard_ms.max(Some(now_ms));
        target.said_ms = target.said_ms.max(Some(now_ms));
        if let Some(worker_ms) = clock_ms {
            target.note_clock(now_ms, worker_ms);
        }
        true
    }

    /// Notes that a worker said at `heard_ms` that it is slow for `cold_ms` more.
    pub fn note_cold(&mut self, heard_ms: u64, worker: &Incarnation, cold_ms: u64) {
        if let Some(target) = self.targets.get_mut(worker) {
            target.cold_until_ms = heard_ms + cold_ms;
        }
    }

    /// Notes that a worker that is leaving said at `heard_ms` that it still runs for `leaves_in_ms` at least.
    pub fn note_leaving(&mut self, heard_ms: u64, worker: &Incarnation, leaves_in_ms: u64) {
        if let Some(target) = self.targets.get_mut(worker) {
            target.leaves_ms = Some(heard_ms + leaves_in_ms);
        }
    }

    /// Notes that a worker said that it ends now; returns what must be recorded when it surely has. Else it is asked until nothing listens at its
    /// address, or its lease has run out: its word alone says nothing of when its runs end, and their tasks would begin elsewhere beside them.
    pub fn note_left(
        &mut self,
        now_ms: u64,
        worker: &Incarnation,
        workload: &Workload,
    ) -> Option<Command> {
        if workload.worker(worker).is_none() {
            return Some(Command::Workers(vec![WorkerChange::Gone(worker.clone())]));
        }
        let target = self.target(worker);
        target.left = true;
        target.has_ended(worker, workload).then(|| {
            target.note_gone(now_ms);
            departure(now_ms, worker, target, workload)
        })
    }

    /// Schedules looks at all recorded incarnations of a worker, to find out which of them still run.
    pub fn check_incarnations(&mut self, worker: &Incarnation, workload: &Workload) {
        for incarnation in workload.incarnations(worker) {
            self.target(&incarnation.info.id).note_successor();
        }
    }

    /// Whether a worker is known to answer, as [`Target::answers`].
    pub fn answers(&self, worker: &Incarnation) -> bool {
        self.view(worker).is_some_and(Target::answers)
    }

    /// Takes over what has changed in the record.
    pub fn note_news(&mut self, now_ms: u64, news: &News, workload: &Workload) {
        for id in &news.workers {
            let Some(worker) = workload.worker(id) else {
                self.targets.remove(id);
                self.departed.insert(id.clone());
                continue;
            };
            let known = self.targets.get(id);
            if known.is_none_or(|target| !target.is_recorded) {
                self.check_predecessors(worker, workload);
            }
            let target = self.target(id);
            target.is_recorded = true;
            target.runs.retain(|run, _| worker.runs.contains_key(run));
            target
                .unsaid
                .retain(|run| worker.runs.contains_key(run) || worker.unheard.contains(run));
            let unsaid = &target.unsaid;
            target.unsaid_lapsing.retain(|run| unsaid.contains(run));
            for run in worker.runs.keys() {
                target
                    .runs
                    .entry(*run)
                    .or_insert_with(|| RunWatch::new(StartPhase::Unsent, now_ms));
            }
        }
    }

    /// Schedules looks at recorded workers that have the same address or the same id as a new one.
    fn check_predecessors(&mut self, newcomer: &Worker, workload: &Workload) {
        let replaced = workload.workers().filter(|other| {
            other.info.address == newcomer.info.address && other.info.id != newcomer.info.id
                || other.info.id.is_other_incarnation(&newcomer.info.id)
        });
        for other in replaced {
            if let Some(target) = self.targets.get_mut(&other.info.id) {
                target.note_successor();
                self.due.insert(other.info.id.clone());
            }
        }
    }

    /// Attempts of gangs that are recorded as over and may still be said to have failed, by step. Once the worker's lease has run out, a failure
    /// counts no more.
    pub fn unheard_attempts(&self, now_ms: u64) -> BTreeMap<StepId, BTreeSet<u32>> {
        let mut attempts: BTreeMap<StepId, BTreeSet<u32>> = BTreeMap::new();
        let targets = self.targets.values();
        let targets = targets.filter(|target| !target.has_lapsed(now_ms));
        for run in targets.flat_map(|target| &target.unsaid) {
            let of_step = attempts.entry(run.task.step).or_default();
            of_step.insert(run.attempt);
        }
        attempts
    }

    /// Wants a run to end though the record would let it go on.
    pub fn give_up(&mut self, worker: &Incarnation, run: RunId) {
        let target = self.target(worker);
        if let Some(watch) = target.runs.get_mut(&run) {
            watch.give_up = true;
        }
    }

    /// Gives these workers, and no others, no new work because their VMs' upkeep is next.
    pub fn set_emptied(&mut self, workers: BTreeSet<Incarnation>) {
        self.emptied = workers;
    }

    /// Whether a worker gets no new work because its VM's upkeep is next.
    pub fn is_emptied(&self, worker: &Incarnation) -> bool {
        self.emptied.contains(worker)
    }

    /// Workers that get no new work for a while.
    pub fn count_aside(&self, now_ms: u64) -> usize {
        let targets = self.targets.values();
        targets
            .filter(|target| now_ms < target.set_aside_until_ms)
            .count()
    }

    /// Gives a worker no new work for a while.
    pub fn set_aside(&mut self, now_ms: u64, worker: &Incarnation) {
        if let Some(target) = self.targets.get_mut(worker) {
            target.set_aside(now_ms);
        }
    }

    /// Up to which number ends that the worker listed are on their way into the record.
    pub fn recording_to(&self, worker: &Incarnation) -> Option<u64> {
        self.view(worker).and_then(|target| target.recording_to)
    }

    /// Notes what became of a record of ends of runs on a worker. `listed_to` is [`Self::recording_to`] as it was when their record was made,
    /// `None` for ends that the worker did not list. Several records may be on their way: were the commit of another one to count for the listed
    /// ends, the worker would forget them, and a leader lost before their own commit would lose them with it.
    pub fn note_recorded(
        &mut self,
        worker: &Incarnation,
        listed_to: Option<u64>,
        outcome: RecordOutcome,
    ) {
        let Some(target) = self.targets.get_mut(worker) else {
            return;
        };
        if listed_to.is_some() && listed_to == target.recording_to {
            target.recording_to = None;
            if outcome == RecordOutcome::Recorded {
                target.recorded_to = target.recorded_to.max(listed_to.unwrap_or(0));
            } else {
                // Asked again, also if nothing else runs there, it lists the ends again.
                target.checks_left = target.checks_left.max(1);
            }
        }
        // What may yet be recorded as over is left alone: started again, it would run beside the next run of its task.
        if outcome == RecordOutcome::NotRecorded {
            for watch in target.runs.values_mut() {
                watch.settled = false;
            }
            target.unsaid_lapsing.clear();
        }
        self.due.insert(worker.clone());
    }

    /// The orders to send now, and the ends that are certain without any. With `all` every worker is looked through, otherwise those
    /// about which something is new.
    pub fn orders(
        &mut self,
        now_ms: u64,
        workload: &Workload,
        all: bool,
    ) -> (Vec<Order>, Vec<End>) {
        let due: Vec<Incarnation> = if all {
            self.permissions.drop_steps(|step| {
                let job = workload.job(step.job);
                job.is_none_or(|job| job.outcome.is_some())
            });
            let busy = self
                .targets
                .values()
                .filter(|target| !target.runs.is_empty());
            self.look_wait_ms = look_wait_ms(busy.count());
            self.broken.forget_ended(workload);
            self.due.clear();
            self.targets.keys().cloned().collect()
        } else {
            std::mem::take(&mut self.due).into_iter().collect()
        };
        let (mut orders, mut ends) = (Vec::new(), Vec::new());
        for id in due {
            let (Some(worker), Some(target)) = (workload.worker(&id), self.targets.get_mut(&id))
            else {
                continue;
            };
            // Only an answer shows which of several recorded incarnations is running.
            if !target.needs_orders() && !workload.has_other_incarnation(&id) {
                continue;
            }
            // Orders to a replaced incarnation reach the newest one, which refuses fencing tokens below the highest it has received.
            let recorded = workload.incarnations(&id).map(|other| other.restarts).max();
            // A later incarnation that is not recorded yet will have one restart more.
            let is_unrecorded = target.restart.is_some() && !workload.has_other_incarnation(&id);
            let mut turn = WorkerTurn {
                restarts: recorded.unwrap_or(worker.restarts) + u64::from(is_unrecorded),
                now_ms,
                timing: &self.timing,
                look_wait_ms: self.look_wait_ms,
                token: self.token,
                workload,
                permissions: &self.permissions,
                broken: &self.broken,
                worker,
                orders: &mut orders,
                ends: &mut ends,
            };
            turn.serve(target);
        }
        (orders, ends)
    }

    /// Notes that an order went out twice before the answer that is taken next: the connection of the first send broke. The worker may have
    /// carried that one out, so a refusal of the second does not say that the run never began: were it taken to say so, the task would begin
    /// elsewhere while its run goes on, and a failure of that run would count for nothing.
    pub fn note_repeated(&mut self, order: &Order) {
        let OrderBody::Start { run, .. } = &order.body else {
            return;
        };
        let target = self.targets.get_mut(&order.to.worker);
        if let Some(watch) = target.and_then(|target| target.runs.get_mut(run)) {
            watch.was_repeated = true;
        }
    }

    /// Takes the answer to an order; returns what must be recorded.
    pub fn note_answer(
        &mut self,
        now_ms: u64,
        order: &Order,
        answer: &Answer,
        workload: &Workload,
    ) -> Option<Command> {
        let id = &order.to.worker;
        let target = self.targets.get_mut(id)?;
        self.due.insert(id.clone());
        match answer {
            // Only a report identifies the incarnation that answered.
            Answer::Done { .. } | Answer::Denied { .. } if target.restart.is_some() => {}
            Answer::Done { clock_ms, .. } | Answer::Denied { clock_ms, .. } => {
                target.note_answer(now_ms, *clock_ms);
            }
            Answer::Restarted { started_ms, report } => {
                target.looking = false;
                return note_restart(now_ms, order, target, (id, workload), (*started_ms, report));
            }
            Answer::Lost => target.note_silence(now_ms, order),
            Answer::NotListening => {
                target.note_silence(now_ms, order);
                target.refused = true;
            }
            Answer::CarrierLost => target.note_lost_carrier(),
            Answer::OtherIncarnation => {
                match &order.body {
                    OrderBody::Start { run, .. } => target.note_never_begun(*run),
                    // It is looked at again, should the record fail.
                    OrderBody::Look { .. } => {
                        target.looking = false;
                        target.next_look_ms = now_ms + FAILING_LOOK_MS;
                    }
                    OrderBody::Stop { .. } | OrderBody::Pace { .. } => {}
                }
                let news = target.note_gone(now_ms);
                return news.then(|| departure(now_ms, id, target, workload));
            }
        }
        if target.has_ended(id, workload) {
            // It is looked at again, should the record fail.
            target.looking &= !matches!(order.body, OrderBody::Look { .. });
            target.next_look_ms = now_ms + FAILING_LOOK_MS;
            return target
                .note_gone(now_ms)
                .then(|| departure(now_ms, id, target, workload));
        }
        match &order.body {
            OrderBody::Start { run, .. } => {
                let denial = Denial::NoPermission;
                if matches!(answer, Answer::Denied { denial: why, .. } if *why == denial) {
                    self.permissions.forget(run.task.step, id);
                }
                note_start(now_ms, target, *run, id, answer)
            }
            OrderBody::Stop { run } => {
                if let Some(watch) = target.runs.get_mut(run) {
                    watch.stop = match answer {
                        Answer::Done { .. } => StopPhase::Confirmed { at_ms: now_ms },
                        _ => StopPhase::Retry {
                            retry_ms: now_ms + RETRY_MS,
                        },
                    };
                }
                None
            }
            OrderBody::Pace { run, percent } => {
                if let Some(watch) = target.runs.get_mut(run) {
                    let done = matches!(answer, Answer::Done { .. });
                    watch.pace.note_answer(now_ms, *percent, done);
                }
                None
            }
            OrderBody::Look { recorded_to, .. } => {
                target.looking = false;
                match answer {
                    Answer::Done {
                        report: Some(report),
                        ..
                    } => {
                        target.restart = None;
                        target.acknowledged_to = target.acknowledged_to.max(*recorded_to);
                        target.next_look_ms = now_ms;
                        target.reported_ms = now_ms;
                        target.asked_ms = order.sent_ms;
                        let worker = workload.worker(id)?;
                        for ended in &report.ended {
                            self.broken.note(now_ms, id, ended.run, ended.kind);
                        }
                        note_report(now_ms, order, target, (workload, worker), report)
                    }
                    // Another core can carry the next one.
                    Answer::CarrierLost => {
                        target.next_look_ms = now_ms + NEXT_CARRIER_MS;
                        None
                    }
                    _ => {
                        let wait_ms = if target.left {
                            NEXT_CARRIER_MS
                        } else {
                            FAILING_LOOK_MS
                        };
                        target.next_look_ms = now_ms + wait_ms;
                        None
                    }
                }
            }
        }
    }
}
