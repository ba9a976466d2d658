//! Carries out recorded runs: sends the leader's orders to workers and interprets their answers.

use super::Answer;
use super::BrokenGangs;
use super::Denial;
use super::FillPace;
use super::Order;
use super::OrderBody;
use super::Permissions;
use super::RecordOutcome;
use super::RunState;
use super::StartPhase;
use super::StopPhase;
use super::Target;
use super::Timing;
use super::answers::note_report;
use super::answers::note_start;
use super::crash_history::CrashHistory;
use super::departure::gone_command;
use super::order::RETRY_MS;
use super::pacing;
use super::recent_crashes::RecentCrashes;
use super::restart::note_restart;
use super::steadiness::Steadiness;
use super::worker_reconciler::WorkerReconciler;
use super::worker_reconciler::probe_wait_ms;
use crate::job::RunId;
use crate::job::StepId;
use crate::state::Command;
use crate::state::End;
use crate::state::RecordEvents;
use crate::state::Worker;
use crate::state::WorkerChange;
use crate::state::Workload;
use bh_protocol::Incarnation;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::Bound;

/// Delay before a worker that did not answer is probed again, in milliseconds.
const SILENT_PROBE_DELAY_MS: u64 = 400;
/// Delay before a worker is probed through another core after the core that carried the last order was lost, in milliseconds. It is short,
/// but not zero: if carriers are lost repeatedly, probes must not be sent in a tight loop. Also the delay after a probe that brought no
/// report from a worker that announced its end.
const CARRIER_RETRY_MS: u64 = 30;
/// Longest time for which a deposed leader may keep sending orders after this leader was elected, in milliseconds: twice the longest
/// election timeout in use. A leader stops when it has not heard from a majority for one election timeout.
const LEADER_OVERLAP_MS: u64 = 2_000;
/// Minimum number of workers that a sweep visits in turn. A fleet of up to this size is visited as a whole.
const MIN_SWEPT: usize = 600;
/// Number of sweeps in which each worker is visited at least once, even if nothing is known to have changed.
const SWEEPS_PER_ROUND: usize = 10;

/// Decides which orders the leader sends to workers. This state is lost when the leader changes; whatever must survive is in the record.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    timing: Timing,
    token: u64,
    elected_ms: u64,
    targets: BTreeMap<Incarnation, Target>,
    /// Workers that the next call of [`Dispatcher::orders`] visits.
    due: BTreeSet<Incarnation>,
    /// Workers that each sweep visits: time alone may make an order to them due, or an end certain.
    pending: BTreeSet<Incarnation>,
    /// Last worker that a sweep visited in turn.
    swept_to: Option<Incarnation>,
    /// Minimum number of workers that a sweep visits in turn.
    min_swept: usize,
    /// How long a worker may hold back its answer to a probe while no run ends, in milliseconds.
    probe_wait_ms: u64,
    /// Permissions given by an external adviser.
    pub permissions: Permissions,
    /// Workers that get no new work because the upkeep of their VMs is next.
    emptied: BTreeSet<Incarnation>,
    /// Gangs with members that ended because another member did.
    broken_gangs: BrokenGangs,
    recent_crashes: RecentCrashes,
    crash_history: CrashHistory,
    /// Workers that were removed from the record. A delayed heartbeat must not add them again.
    removed: BTreeSet<Incarnation>,
}

impl Dispatcher {
    /// Creates the dispatcher of a leader that was elected at `now_ms`, with its term as `token`.
    ///
    /// A run found in the record may be running, may have ended, or may never have been ordered. So no run is ordered again or recorded as
    /// ended until its worker has answered a probe or the worker's lease has certainly expired.
    pub fn new(timing: Timing, token: u64, now_ms: u64, workload: &Workload) -> Self {
        let mut dispatcher = Self {
            timing,
            token,
            elected_ms: now_ms,
            targets: BTreeMap::new(),
            due: BTreeSet::new(),
            pending: BTreeSet::new(),
            swept_to: None,
            min_swept: MIN_SWEPT,
            probe_wait_ms: probe_wait_ms(workload.worker_count()),
            permissions: Permissions::default(),
            emptied: BTreeSet::new(),
            broken_gangs: BrokenGangs::from_record(now_ms, workload),
            recent_crashes: RecentCrashes::default(),
            crash_history: CrashHistory::default(),
            removed: BTreeSet::new(),
        };
        for worker in workload.workers() {
            let target = dispatcher.target_mut(&worker.info.id);
            target.is_recorded = true;
            target.fill_pace = FillPace::after_takeover();
            target.info_ms = Some(now_ms);
            // This leader cannot know for which of these runs the lease has expired since they were recorded as lost. It waits for all of
            // them, so that it does not miss a failure that another leader would have counted.
            target.presumed_lost = worker.unheard.clone();
            target.lease_expiry_ms =
                now_ms + LEADER_OVERLAP_MS + timing.lease_expiry_after_ms(timing.lease_ms);
            for run in worker.runs.keys() {
                let start = StartPhase::Unsure {
                    retry_ms: now_ms + RETRY_MS,
                };
                target.runs.insert(*run, RunState::new(start, now_ms));
            }
        }
        dispatcher
    }

    /// Requires a heartbeat from each worker before the worker is given work. Used when there was no leader for a while, or for an unknown
    /// time: workers may have lost capacity in that time without a leader to report it to.
    pub fn with_outdated_worker_info(mut self) -> Self {
        for target in self.targets.values_mut() {
            target.info_ms = None;
        }
        self
    }

    /// Sets the minimum number of workers that a sweep visits in turn.
    pub fn with_min_swept(mut self, min_swept: usize) -> Self {
        self.min_swept = min_swept;
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

    /// The time bounds in force.
    pub fn timing(&self) -> &Timing {
        &self.timing
    }

    /// The leader's view of a worker, if there is one.
    pub fn view(&self, worker: &Incarnation) -> Option<&Target> {
        self.targets.get(worker)
    }

    /// The runs on workers that do not answer, and since when, on the leader's clock in milliseconds.
    pub fn silent_runs(&self) -> impl Iterator<Item = (RunId, u64)> {
        let targets = self.pending.iter().filter_map(|id| self.targets.get(id));
        let silent = targets.filter_map(|target| Some((target, target.silent_since_ms?)));
        silent.flat_map(|(target, since_ms)| target.runs.keys().map(move |run| (*run, since_ms)))
    }

    /// The leader's views of all workers, ordered by worker.
    pub fn views(&self) -> impl Iterator<Item = (&Incarnation, &Target)> {
        self.targets.iter()
    }

    /// The view of a worker, created if missing. Marks the worker for the next call of [`Dispatcher::orders`].
    fn target_mut(&mut self, worker: &Incarnation) -> &mut Target {
        self.due.insert(worker.clone());
        self.targets
            .entry(worker.clone())
            .or_insert_with(|| Target::new(worker))
    }

    /// Processes a heartbeat. Returns `false` if the worker has ended already and the heartbeat was delayed.
    pub fn note_heartbeat(
        &mut self,
        now_ms: u64,
        worker: &Incarnation,
        clock_ms: Option<u64>,
    ) -> bool {
        if self.removed.contains(worker) {
            return false;
        }
        let entry = self.targets.entry(worker.clone());
        let target = entry.or_insert_with(|| Target::new(worker));
        if !target.is_verified() || target.is_silent() {
            self.due.insert(worker.clone());
        }
        target.last_heartbeat_ms = target.last_heartbeat_ms.max(Some(now_ms));
        target.info_ms = target.info_ms.max(Some(now_ms));
        if let Some(worker_ms) = clock_ms {
            target.note_clock(now_ms, worker_ms);
        }
        true
    }

    /// Notes that a worker reported at `heard_ms` that it is slow for another `cold_ms` because it has just started.
    pub fn note_cold(&mut self, heard_ms: u64, worker: &Incarnation, cold_ms: u64) {
        if let Some(target) = self.targets.get_mut(worker) {
            target.cold_until_ms = heard_ms + cold_ms;
        }
    }

    /// Notes that a worker that is leaving reported at `heard_ms` that it runs for at least another `leaves_in_ms`.
    pub fn note_leaving(&mut self, heard_ms: u64, worker: &Incarnation, leaves_in_ms: u64) {
        if let Some(target) = self.targets.get_mut(worker) {
            target.runs_until_ms = Some(heard_ms + leaves_in_ms);
        }
    }

    /// Notes that a worker announced that it ends now. Returns what must be recorded if the worker has certainly ended. Otherwise the
    /// worker is probed until nothing listens at its address or its lease has expired: the announcement does not tell when its runs end,
    /// and tasks that are started elsewhere too early would run twice.
    pub fn note_announced_end(
        &mut self,
        now_ms: u64,
        worker: &Incarnation,
        workload: &Workload,
    ) -> Option<Command> {
        if workload.worker(worker).is_none() {
            return Some(Command::Workers(vec![WorkerChange::Gone(worker.clone())]));
        }
        let target = self.target_mut(worker);
        target.announced_end = true;
        target.has_ended(worker, workload).then(|| {
            target.note_gone(now_ms);
            gone_command(now_ms, worker, target, workload)
        })
    }

    /// Schedules probes of all recorded incarnations of a worker, to find out which of them still run.
    pub fn check_incarnations(&mut self, worker: &Incarnation, workload: &Workload) {
        for incarnation in workload.incarnations(worker) {
            self.target_mut(&incarnation.info.id).require_probes();
        }
    }

    /// Whether a worker answers orders; see [`Target::answers`].
    pub fn answers(&self, worker: &Incarnation) -> bool {
        self.view(worker).is_some_and(Target::answers)
    }

    /// Updates the view of workers and runs after changes of the record.
    pub fn note_events(&mut self, now_ms: u64, record_events: &RecordEvents, workload: &Workload) {
        for id in &record_events.workers {
            let Some(worker) = workload.worker(id) else {
                self.targets.remove(id);
                self.removed.insert(id.clone());
                continue;
            };
            let known = self.targets.get(id);
            if known.is_none_or(|target| !target.is_recorded) {
                self.check_predecessors(worker, workload);
            }
            let target = self.target_mut(id);
            target.is_recorded = true;
            target.runs.retain(|run, _| worker.runs.contains_key(run));
            target
                .presumed_lost
                .retain(|run| worker.runs.contains_key(run) || worker.unheard.contains(run));
            let presumed_lost = &target.presumed_lost;
            target
                .presumed_lost_expiring
                .retain(|run| presumed_lost.contains(run));
            for run in worker.runs.keys() {
                target
                    .runs
                    .entry(*run)
                    .or_insert_with(|| RunState::new(StartPhase::Unsent, now_ms));
            }
        }
    }

    /// Schedules probes of recorded workers that have the same address or the same id as a new one.
    fn check_predecessors(&mut self, newcomer: &Worker, workload: &Workload) {
        let at_same_address = workload.workers_at(newcomer.info.address);
        let incarnations = workload.incarnations(&newcomer.info.id);
        let conflicting = at_same_address
            .chain(incarnations)
            .filter(|other| other.info.id != newcomer.info.id);
        for other in conflicting {
            if let Some(target) = self.targets.get_mut(&other.info.id) {
                target.require_probes();
                self.due.insert(other.info.id.clone());
            }
        }
    }

    /// Gang attempts that are recorded as lost and may still be reported as failed, by step. Once the worker's lease has expired, such a
    /// failure no longer counts.
    pub fn unheard_attempts(&self, now_ms: u64) -> BTreeMap<StepId, BTreeSet<u32>> {
        let mut attempts: BTreeMap<StepId, BTreeSet<u32>> = BTreeMap::new();
        let targets = self.targets.values();
        let targets = targets.filter(|target| !target.has_lease_expired(now_ms));
        for run in targets.flat_map(|target| &target.presumed_lost) {
            let of_step = attempts.entry(run.task.step).or_default();
            of_step.insert(run.attempt);
        }
        attempts
    }

    /// Requests the end of a run that should go on according to the record, for another reason than to make room for other work: it is
    /// overdue, or its worker leaves or gets upkeep. A stop that was requested before keeps its reason.
    pub fn request_restart(&mut self, worker: &Incarnation, run: RunId) {
        let target = self.target_mut(worker);
        if let Some(run_state) = target.runs.get_mut(&run) {
            run_state.request_restart();
        }
    }

    /// Requests the end of a run that should go on according to the record, to make room for other work. The end counts as a displacement of
    /// its task.
    pub fn request_stop(&mut self, worker: &Incarnation, run: RunId) {
        let target = self.target_mut(worker);
        if let Some(run_state) = target.runs.get_mut(&run) {
            run_state.stop_requested = true;
        }
    }

    /// Sets the workers that get no new work because the upkeep of their VMs is next. Replaces the previous set.
    pub fn set_emptied(&mut self, workers: BTreeSet<Incarnation>) {
        self.emptied = workers;
    }

    /// Whether a worker gets no new work because the upkeep of its VM is next.
    pub fn is_emptied(&self, worker: &Incarnation) -> bool {
        self.emptied.contains(worker)
    }

    /// Number of workers that are set aside now: runs failed or stalled there, or the worker refused a start as unhealthy or for lack of
    /// capacity. Workers that are only slow are not counted.
    pub fn count_set_aside(&self, now_ms: u64) -> usize {
        let targets = self.targets.values();
        targets
            .filter(|target| now_ms < target.set_aside_until_ms)
            .count()
    }

    /// Temporarily gives a worker no new work.
    pub fn set_aside(&mut self, now_ms: u64, worker: &Incarnation) {
        if let Some(target) = self.targets.get_mut(worker) {
            target.set_aside(now_ms);
        }
    }

    /// Highest number of an end that the worker listed and that is being recorded.
    pub fn recording_to(&self, worker: &Incarnation) -> Option<u64> {
        self.view(worker).and_then(|target| target.recording_to)
    }

    /// Processes the outcome of recording ends of runs on a worker. `listed_to` is the value of [`Self::recording_to`] when the command was
    /// made, or `None` for ends that the worker did not list. Several commands may be in flight, so the value tells which of them recorded the
    /// listed ends. If the listed ends were acknowledged after the commit of another command, the worker would forget them, and they would be
    /// lost if the leader failed before their own command is committed.
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
                // Probes the worker even if it has no other runs, so that it lists the ends again.
                target.required_probes = target.required_probes.max(1);
            }
        }
        // A run whose end may still be committed is not touched: if it were started again, it would run beside the next run of its task.
        if outcome == RecordOutcome::NotRecorded {
            for run_state in target.runs.values_mut() {
                run_state.recording_end = false;
            }
            target.presumed_lost_expiring.clear();
        }
        self.due.insert(worker.clone());
    }

    /// Returns the orders to send now, and the ends that are certain without an order. Visits the workers for which something has changed.
    /// A sweep also visits those for which time alone may change something, and some of the others in turn.
    pub fn orders(
        &mut self,
        now_ms: u64,
        workload: &Workload,
        sweep: bool,
    ) -> (Vec<Order>, Vec<End>) {
        let mut due = std::mem::take(&mut self.due);
        if sweep {
            self.permissions.forget_steps(|step| {
                let job = workload.job(step.job);
                job.is_none_or(|job| job.outcome.is_some())
            });
            let busy = self
                .targets
                .values()
                .filter(|target| !target.runs.is_empty());
            self.probe_wait_ms = probe_wait_ms(busy.count());
            self.broken_gangs.forget_ended(workload);
            due.append(&mut self.pending);
            due.extend(self.next_in_turn());
        }
        let (mut orders, mut ends) = (Vec::new(), Vec::new());
        for id in due {
            let (Some(worker), Some(target)) = (workload.worker(&id), self.targets.get_mut(&id))
            else {
                continue;
            };
            // A worker with several recorded incarnations gets orders even without runs: only an answer tells which of them is running.
            let has_other_incarnation = workload.has_other_incarnation(&id);
            if !target.needs_orders() && !has_other_incarnation {
                self.pending.remove(&id);
                continue;
            }
            // An order to an incarnation that has been replaced reaches the newest one, which refuses fencing tokens below the highest that
            // it has received. So each order counts the restarts up to the newest incarnation.
            let recorded = workload.incarnations(&id).map(|other| other.restarts).max();
            // A later incarnation that is not recorded yet will have one restart more.
            let is_unrecorded = target.restart.is_some() && !has_other_incarnation;
            let mut reconciler = WorkerReconciler {
                restarts: recorded.unwrap_or(worker.restarts) + u64::from(is_unrecorded),
                now_ms,
                timing: &self.timing,
                probe_wait_ms: self.probe_wait_ms,
                token: self.token,
                workload,
                permissions: &self.permissions,
                broken_gangs: &self.broken_gangs,
                worker,
                orders: &mut orders,
                ends: &mut ends,
            };
            reconciler.reconcile(target);
            let is_paced = |run| pacing::is_fill_task(workload, run);
            if has_other_incarnation || !target.waits_for_answer(is_paced) {
                self.pending.insert(id);
            } else {
                self.pending.remove(&id);
            }
        }
        (orders, ends)
    }

    /// The workers that a sweep visits in turn, so that each is visited now and then whatever is known of it.
    fn next_in_turn(&mut self) -> Vec<Incarnation> {
        let count = self
            .min_swept
            .max(self.targets.len().div_ceil(SWEEPS_PER_ROUND));
        let after = match self.swept_to.take() {
            Some(last) => Bound::Excluded(last),
            None => Bound::Unbounded,
        };
        let later = self.targets.range((after, Bound::Unbounded));
        let in_turn: Vec<Incarnation> = later
            .chain(&self.targets)
            .take(count.min(self.targets.len()))
            .map(|(id, _)| id.clone())
            .collect();
        self.swept_to = in_turn.last().cloned();
        in_turn
    }

    /// Notes that an order was sent twice before the answer that is processed next, because the connection of the first send broke. The
    /// worker may have carried out the first one, so a refusal of the second does not prove that the run never started. If it were taken as
    /// proof, the task would start elsewhere while its run goes on, and a failure of that run would not be counted.
    pub fn note_repeated(&mut self, order: &Order) {
        let OrderBody::Start { run, .. } = &order.body else {
            return;
        };
        let target = self.targets.get_mut(&order.to.worker);
        if let Some(run_state) = target.and_then(|target| target.runs.get_mut(run)) {
            run_state.was_repeated = true;
        }
    }

    /// How far the past crashes of a recorded worker, or of earlier incarnations at its address, speak against it.
    pub fn steadiness(&self, now_ms: u64, worker: &Worker) -> Steadiness {
        self.crash_history.steadiness(now_ms, worker.info.address)
    }

    /// Processes the answer to an order; returns what must be recorded.
    pub fn note_answer(
        &mut self,
        now_ms: u64,
        order: &Order,
        answer: &Answer,
        workload: &Workload,
    ) -> Option<Command> {
        let mut command = self.process_answer(now_ms, order, answer, workload);
        if let Some(Command::Ends {
            crash: Some(crash),
            exonerated,
            ..
        }) = &mut command
        {
            *exonerated = self.recent_crashes.note(now_ms, crash, workload);
            self.crash_history.note(now_ms, crash, workload);
        }
        command
    }

    fn process_answer(
        &mut self,
        now_ms: u64,
        order: &Order,
        answer: &Answer,
        workload: &Workload,
    ) -> Option<Command> {
        let id = &order.to.worker;
        let target = self.targets.get_mut(id)?;
        self.due.insert(id.clone());
        if matches!(order.body, OrderBody::Probe { .. }) {
            target.probe_in_flight = false;
        }
        match answer {
            // Only a report identifies the incarnation that answered.
            Answer::Done { .. } | Answer::Denied { .. } if target.restart.is_some() => {}
            Answer::Done { clock_ms, .. } | Answer::Denied { clock_ms, .. } => {
                target.note_answer(now_ms, *clock_ms);
            }
            Answer::Restarted { started_ms, report } => {
                return note_restart(now_ms, order, target, (id, workload), (*started_ms, report));
            }
            Answer::Lost => target.note_no_answer(now_ms, order),
            Answer::NotListening => {
                target.note_no_answer(now_ms, order);
                target.note_not_listening(now_ms);
            }
            Answer::CarrierLost => target.note_lost_carrier(),
            Answer::OtherIncarnation => {
                match &order.body {
                    OrderBody::Start { run, .. } => target.note_not_started(*run),
                    // The worker is probed again in case the command is not committed.
                    OrderBody::Probe { .. } => {
                        target.next_probe_ms = now_ms + SILENT_PROBE_DELAY_MS;
                    }
                    OrderBody::Stop { .. } | OrderBody::Pace { .. } => {}
                }
                let is_new = target.note_gone(now_ms);
                return is_new.then(|| gone_command(now_ms, id, target, workload));
            }
        }
        if target.has_ended(id, workload) {
            // The worker is probed again in case the command is not committed.
            target.next_probe_ms = now_ms + SILENT_PROBE_DELAY_MS;
            return target
                .note_gone(now_ms)
                .then(|| gone_command(now_ms, id, target, workload));
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
                if let Some(run_state) = target.runs.get_mut(run) {
                    run_state.stop = match answer {
                        Answer::Done { .. } => StopPhase::Confirmed { at_ms: now_ms },
                        _ => StopPhase::Retry {
                            retry_ms: now_ms + RETRY_MS,
                        },
                    };
                }
                None
            }
            OrderBody::Pace { run, percent } => {
                if let Some(run_state) = target.runs.get_mut(run) {
                    let done = matches!(answer, Answer::Done { .. });
                    run_state.pace.note_answer(now_ms, *percent, done);
                }
                None
            }
            OrderBody::Probe { recorded_to, .. } => {
                match answer {
                    Answer::Done {
                        report: Some(report),
                        ..
                    } => {
                        target.restart = None;
                        target.acknowledged_to = target.acknowledged_to.max(*recorded_to);
                        target.next_probe_ms = now_ms;
                        target.reported_ms = now_ms;
                        target.report_requested_ms = order.sent_ms;
                        let worker = workload.worker(id)?;
                        for ended in &report.ended {
                            self.broken_gangs.note(now_ms, id, ended.run, ended.kind);
                        }
                        note_report(now_ms, order, target, (workload, worker), report)
                    }
                    // Another core can carry the next probe.
                    Answer::CarrierLost => {
                        target.next_probe_ms = now_ms + CARRIER_RETRY_MS;
                        None
                    }
                    _ => {
                        let wait_ms = if target.announced_end {
                            CARRIER_RETRY_MS
                        } else {
                            SILENT_PROBE_DELAY_MS
                        };
                        target.next_probe_ms = now_ms + wait_ms;
                        None
                    }
                }
            }
        }
    }
}
