//! Compares the recorded runs of one worker with its reports, and derives the orders to send.

use super::BrokenGangs;
use super::Order;
use super::OrderBody;
use super::Permissions;
use super::Recipient;
use super::RunState;
use super::StartPhase;
use super::StopPhase;
use super::Target;
use super::Timing;
use super::order::RETRY_MS;
use super::pacing;
use super::pacing::SHARED_PROBE_WAIT_MS;
use crate::job::Resources;
use crate::job::RunId;
use crate::job::StepId;
use crate::state::End;
use crate::state::EndKind;
use crate::state::Worker;
use crate::state::Workload;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// Shortest wait of a probe, in milliseconds; used while few workers have runs. A worker that is cut off is only detected when its probe is
/// not answered. Until then urgent work is placed on it, or waits for capacity there that never becomes free, and such work has only a
/// second or two to spare.
const MIN_PROBE_WAIT_MS: u64 = 700;
/// Longest wait of a probe, in milliseconds. Workers do not wait longer.
const MAX_PROBE_WAIT_MS: u64 = 2_000;
/// Probes per second, over all workers, up to which the leader shortens the wait of its probes below the longest wait. A probe that reports
/// an end is answered early, which adds to this rate. The limit leaves room for that: about 500 probes per second in all took 0.18 of a
/// processor core.
const PROBES_PER_S: u64 = 250;
/// Probes that fit into the time of one lease: several may be lost before the lease expires.
const PROBES_PER_LEASE: u64 = 3;
/// Time beyond the longest stop after which a confirmed stop order is sent again if the run has still not ended, in milliseconds.
const STOP_RESEND_MS: u64 = 1_500;

/// How long a worker may hold back its answer to a probe when `busy` workers have runs, in milliseconds.
pub(super) fn probe_wait_ms(busy: usize) -> u64 {
    const MS_PER_S: u64 = 1_000;
    let busy = u64::try_from(busy).unwrap_or(u64::MAX);
    (busy.saturating_mul(MS_PER_S) / PROBES_PER_S).clamp(MIN_PROBE_WAIT_MS, MAX_PROBE_WAIT_MS)
}

/// Derives the orders and ends of one worker.
pub(super) struct WorkerReconciler<'a> {
    pub now_ms: u64,
    pub timing: &'a Timing,
    /// How long a worker may hold back its answer to a probe while no run ends, in milliseconds.
    pub probe_wait_ms: u64,
    pub token: u64,
    pub workload: &'a Workload,
    pub permissions: &'a Permissions,
    pub broken_gangs: &'a BrokenGangs,
    pub worker: &'a Worker,
    /// Number of incarnations of the worker before the newest known one.
    pub restarts: u64,
    pub orders: &'a mut Vec<Order>,
    pub ends: &'a mut Vec<End>,
}

impl WorkerReconciler<'_> {
    /// Adds the orders to send to the worker now, and the ends that are certain without its report.
    pub fn reconcile(&mut self, target: &mut Target) {
        if target.has_lease_expired(self.now_ms) {
            self.end_expired_runs(target);
        } else if target.is_silent() {
            self.end_broken_gangs(target);
        }
        if target.restart.is_some() {
            self.resolve_restart(target);
            return;
        }
        let excess_runs = self.excess_runs(target);
        let takes_no_starts = target.announced_end
            || self.worker.draining
            || self.workload.is_evacuated(&self.worker.info);
        let runs: Vec<RunId> = target.runs.keys().copied().collect();
        for run in runs {
            let recorded = self.worker.runs.contains_key(&run);
            let wanted = recorded && self.workload.should_run(run);
            let Some(run_state) = target
                .runs
                .get(&run)
                .filter(|run_state| !run_state.recording_end)
            else {
                continue;
            };
            if wanted && !run_state.stop_requested && excess_runs.contains(&run) {
                self.withdraw(target, run);
            } else if wanted
                && !run_state.stop_requested
                && !run_state.is_confirmed()
                && (takes_no_starts || self.workload.has_no_attempt_left(run))
            {
                self.withdraw_if_not_running(target, run);
            } else if wanted && !run_state.stop_requested && run_state.awaits_report() {
                self.withdraw_refused(target, run);
            } else if wanted && !run_state.stop_requested {
                self.send_start(target, run);
                if pacing::is_fill_task(self.workload, run) {
                    self.send_pace(target, run);
                }
            } else {
                self.send_stop(target, run, recorded);
            }
        }
        self.probe(target);
    }

    /// Handles a restart of the worker: stops the runs whose start orders may reach the later incarnation, then probes that incarnation until
    /// its report lists none of them.
    fn resolve_restart(&mut self, target: &mut Target) {
        let runs: Vec<RunId> = target.runs.keys().copied().collect();
        for run in runs {
            let run_state = target.runs.get(&run);
            if run_state.is_some_and(RunState::may_reach_later_incarnation) {
                self.send_stop(target, run, self.worker.runs.contains_key(&run));
            }
        }
        let is_stopped = |run_state: &RunState| {
            !run_state.may_reach_later_incarnation()
                || matches!(run_state.stop, StopPhase::Confirmed { .. })
        };
        if target.runs.values().all(is_stopped) {
            self.probe(target);
        }
    }

    /// Records the ends of all runs once the lease has certainly expired: the worker has ended the runs itself.
    fn end_expired_runs(&mut self, target: &mut Target) {
        let runs: Vec<RunId> = target.runs.keys().copied().collect();
        for run in runs {
            self.end_without_report(target, run, EndKind::Lapsed);
        }
        // Failures of gang members that are recorded as lost no longer count from now on. This is recorded too, because otherwise each new
        // leader would wait for the lease again.
        for run in self.worker.unheard.intersection(&target.presumed_lost) {
            if target.presumed_lost_expiring.insert(*run) {
                self.ends.push(End {
                    run: *run,
                    worker: self.worker.info.id.clone(),
                    kind: EndKind::Lapsed,
                    checkpoint: None,
                });
            }
        }
    }

    /// Records the ends of gang members on this worker that must have ended, although the worker does not answer. Otherwise the callers would
    /// wait until its lease expires. The worker must have confirmed the starts of all these members, or the only member must be the one that
    /// broke the gang. In any other case a start order may still be in flight, and may start its run after the gang has started again
    /// elsewhere.
    fn end_broken_gangs(&mut self, target: &mut Target) {
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
            let have_started = self
                .broken_gangs
                .must_have_started(&self.worker.info.id, &members)
                || members
                    .iter()
                    .all(|run| target.runs.get(run).is_some_and(RunState::is_confirmed));
            let times = (self.now_ms, self.timing.stop_timeout_ms);
            if have_started && self.broken_gangs.all_ended(times, &members, self.workload) {
                for run in members {
                    self.end_without_report(target, run, EndKind::Lost);
                    target.presumed_lost.insert(run);
                }
            }
        }
    }

    /// Records the end of a run without a report of the worker.
    fn end_without_report(&mut self, target: &mut Target, run: RunId, kind: EndKind) {
        let Some(run_state) = target
            .runs
            .get_mut(&run)
            .filter(|run_state| !run_state.recording_end)
        else {
            return;
        };
        if !self.worker.runs.contains_key(&run) {
            return;
        }
        run_state.recording_end = true;
        target.expired_runs.insert(run, run_state.clone());
        self.ends.push(End {
            run,
            worker: self.worker.info.id.clone(),
            kind,
            checkpoint: run_state.checkpoint.clone(),
        });
    }

    fn push_order(&mut self, body: OrderBody) {
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

    /// Whether a start order for `run` can be expected to reach the recorded incarnation of the worker: that incarnation answers, it has
    /// answered a probe that was sent after any unconfirmed start order for the run, and no other incarnation is recorded. This is not
    /// checked for a worker that does not report its start time.
    fn can_receive_start(&self, target: &Target, run: RunId) -> bool {
        if !target.reports_start_time {
            return true;
        }
        let is_reported = match target.runs.get(&run).map(|run_state| run_state.start) {
            Some(StartPhase::Unsure { retry_ms }) => {
                target.report_requested_ms + RETRY_MS >= retry_ms
            }
            _ => true,
        };
        let has_other_incarnation = self.workload.has_other_incarnation(&self.worker.info.id);
        target.is_verified() && !target.is_silent() && is_reported && !has_other_incarnation
    }

    fn send_start(&mut self, target: &mut Target, run: RunId) {
        let now_ms = self.now_ms;
        let is_unsent = target
            .runs
            .get(&run)
            .is_some_and(|run_state| run_state.start == StartPhase::Unsent);
        // The start was never sent, so the run ends now: its gang or its next attempt need not wait until this worker is heard again or its
        // lease has expired.
        if is_unsent && (target.is_silent() || !target.is_current(now_ms, self.timing)) {
            self.record_not_started(target, run);
            return;
        }
        let ready = target
            .runs
            .get(&run)
            .is_some_and(|run_state| match run_state.start {
                StartPhase::Unsent => true,
                StartPhase::Unsure { retry_ms } => now_ms >= retry_ms,
                StartPhase::InFlight | StartPhase::Confirmed { .. } => false,
            });
        // A worker without a recent heartbeat may have lost capacity; its next heartbeat tells.
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
            // A run that an earlier leader ordered may be at work, and needs no further permission then.
            self.withdraw_if_not_running(target, run);
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
        if let Some(run_state) = target.runs.get_mut(&run) {
            if run_state.start == StartPhase::Unsent {
                run_state.first_sent_ms = Some(now_ms);
            }
            run_state.start = StartPhase::InFlight;
            run_state.was_repeated = false;
        }
        self.push_order(body);
    }

    /// Runs whose starts are not confirmed and that do not fit beside the confirmed runs, because the worker has lost capacity since they were
    /// recorded. A worker that does not check its capacity would start them anyway, and everything on it would slow down or be killed.
    fn excess_runs(&self, target: &Target) -> BTreeSet<RunId> {
        let mut excess_runs = BTreeSet::new();
        if self.worker.excess() == Resources::default() {
            return excess_runs;
        }
        let is_confirmed = |run: &RunId| target.runs.get(run).is_some_and(RunState::is_confirmed);
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
                excess_runs.insert(*run);
            }
        }
        excess_runs
    }

    /// Withdraws a run that is known not to run and may not start any more: the worker is leaving, its data centre is being evacuated, the
    /// rules allow fewer failures now, or a permission is missing. If a start order of this or an earlier leader had no answer, the next
    /// report tells whether it was carried out. Withdrawing the run before that could stop work in progress, and with it the rest of a gang
    /// on other workers.
    fn withdraw_if_not_running(&mut self, target: &mut Target, run: RunId) {
        let Some(run_state) = target.runs.get(&run) else {
            return;
        };
        let is_not_running = match run_state.start {
            StartPhase::Unsent => true,
            StartPhase::Unsure { retry_ms } => target.report_requested_ms >= retry_ms,
            StartPhase::InFlight | StartPhase::Confirmed { .. } => false,
        };
        if is_not_running {
            self.withdraw(target, run);
        }
    }

    /// Withdraws a run whose start was refused although an earlier send of it may have been carried out, once the worker's report shows
    /// that it does not run. Withdrawing it earlier could stop work in progress, and with it a gang.
    fn withdraw_refused(&mut self, target: &mut Target, run: RunId) {
        let start_refused_ms = target
            .runs
            .get(&run)
            .and_then(|run_state| run_state.start_refused_ms);
        if start_refused_ms
            .is_some_and(|start_refused_ms| target.report_requested_ms > start_refused_ms)
        {
            self.withdraw(target, run);
        }
    }

    /// Withdraws a run whose start must not be sent any more, for instance because a permission or capacity is missing. If a start order was
    /// sent before, a stop order makes sure that the run ends or never starts. The planner then finds another worker or asks for another
    /// permission.
    fn withdraw(&mut self, target: &mut Target, run: RunId) {
        let is_unsent = target
            .runs
            .get(&run)
            .is_some_and(|run_state| run_state.start == StartPhase::Unsent);
        if is_unsent {
            self.record_not_started(target, run);
        } else if !target.is_silent() {
            if let Some(run_state) = target.runs.get_mut(&run) {
                run_state.request_restart();
            }
            self.send_stop(target, run, true);
        }
    }

    /// Records the end of a run whose start order was never sent.
    fn record_not_started(&mut self, target: &mut Target, run: RunId) {
        if let Some(run_state) = target.runs.get_mut(&run) {
            run_state.recording_end = true;
        }
        self.ends.push(End {
            run,
            worker: self.worker.info.id.clone(),
            kind: EndKind::NotStarted,
            checkpoint: None,
        });
    }

    fn send_pace(&mut self, target: &mut Target, run: RunId) {
        let now_ms = self.now_ms;
        let due = |run_state: &&mut RunState| {
            matches!(run_state.start, StartPhase::Confirmed { .. }) && run_state.pace.is_due(now_ms)
        };
        let Some(run_state) = target.runs.get_mut(&run).filter(due) else {
            return;
        };
        run_state.pace.note_sent();
        let percent = run_state.pace.wanted_percent;
        self.push_order(OrderBody::Pace { run, percent });
    }

    fn send_stop(&mut self, target: &mut Target, run: RunId, recorded: bool) {
        let now_ms = self.now_ms;
        let Some(run_state) = target.runs.get_mut(&run) else {
            return;
        };
        if run_state.start == StartPhase::Unsent {
            if recorded {
                self.record_not_started(target, run);
            }
            return;
        }
        let due = match run_state.stop {
            StopPhase::None => true,
            StopPhase::InFlight => false,
            StopPhase::Retry { retry_ms } => now_ms >= retry_ms,
            StopPhase::Confirmed { at_ms } => {
                now_ms >= at_ms + self.timing.stop_timeout_ms + STOP_RESEND_MS
            }
        };
        if due {
            run_state.stop = StopPhase::InFlight;
            self.push_order(OrderBody::Stop { run });
        }
    }

    /// Probes the worker, with one probe in flight at a time. A probe renews the lease, reports ends as they happen and acknowledges recorded
    /// ends. A worker without runs is probed only if [`Target::must_be_probed`] asks for it or another incarnation of it is recorded.
    fn probe(&mut self, target: &mut Target) {
        if target.is_last_report_overdue(self.now_ms) {
            target.probe_in_flight = false;
            // The next probe is not held back by the worker, so it is not given up.
            target.not_listening_since_ms = None;
        }
        if target.probe_in_flight
            || target.recording_to.is_some()
            || self.now_ms < target.next_probe_ms
        {
            return;
        }
        // A start order in flight renews the lease itself, and the report of a probe that overtook it would not list the run.
        let only_starts_in_flight = target
            .runs
            .values()
            .all(|run_state| run_state.start == StartPhase::InFlight);
        let has_other_incarnation = self.workload.has_other_incarnation(&self.worker.info.id);
        if only_starts_in_flight && !target.must_be_probed() && !has_other_incarnation {
            return;
        }
        let has_unconfirmed_start = target
            .runs
            .values()
            .any(|run_state| matches!(run_state.start, StartPhase::Unsure { .. }));
        let answer_at_once = target.runs.is_empty()
            || has_unconfirmed_start
            || target.is_silent()
            || target.carrier_lost
            || !target.is_verified();
        let wait_ms = if answer_at_once {
            0
        } else if pacing::runs_services_beside_fill_tasks(self.workload, self.worker) {
            SHARED_PROBE_WAIT_MS
        } else {
            self.probe_wait_ms
                .min(self.timing.lease_ms / PROBES_PER_LEASE)
        };
        let lease_until_ms = if target.runs.is_empty() || target.restart.is_some() {
            None
        } else {
            target.grant(self.now_ms, self.timing)
        };
        target.probe_in_flight = true;
        target.required_probes = target.required_probes.saturating_sub(1);
        // Ends are acknowledged only to an incarnation that is known to be running: a restarted worker would discard new ends that have the
        // same numbers.
        let may_acknowledge = target.has_unacknowledged_ends()
            && !target.is_silent()
            && target.is_verified()
            && !has_other_incarnation;
        let recorded_to = if may_acknowledge {
            target.recorded_to
        } else {
            0
        };
        self.push_order(OrderBody::Probe {
            lease_until_ms,
            recorded_to,
            wait_ms,
        });
    }
}
