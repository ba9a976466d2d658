//! The leader's view of one worker: what is known of it beyond the record, which is the replicated state. *It* is the worker. A core is a
//! process that keeps the record and may lead; a carrier is a core that passes the leader's orders to a worker.

use super::FillPace;
use super::Order;
use super::Restart;
use super::RunState;
use super::StartPhase;
use super::StopPhase;
use super::Timing;
use crate::job::JobId;
use crate::job::RunId;
use crate::state::Workload;
use bh_protocol::Incarnation;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// Reading of a worker's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// What the worker's clock showed, in milliseconds.
    pub worker_ms: u64,
    /// When that was, on the leader's clock in milliseconds.
    pub at_ms: u64,
}

/// Consecutive failed runs of different jobs after which a worker is set aside. A single failure may be the fault of the job; when two jobs
/// fail on the worker without a success in between, the worker is the likelier cause.
const FAILURES_BEFORE_SET_ASIDE: usize = 2;
/// How long a worker is set aside for the first time, in milliseconds. Doubles each time.
const FIRST_SET_ASIDE_MS: u64 = 4_000;
/// Maximum number of doublings.
const MAX_DOUBLINGS: u32 = 3;

/// The leader's view of one worker.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Target {
    /// Newest reading of its clock.
    pub clock: Option<ClockReading>,
    /// When its last heartbeat arrived, on the leader's clock in milliseconds.
    pub last_heartbeat_ms: Option<u64>,
    /// When the record last held the worker's current details, on the leader's clock in milliseconds: at its last heartbeat, or at the
    /// election if the previous leader had received one.
    pub info_ms: Option<u64>,
    /// Until when it is cold, that is, slow after its start, as it last reported, on the leader's clock in milliseconds.
    pub cold_until_ms: u64,
    /// Until when it certainly keeps running, as it last reported when it was draining, on the leader's clock in milliseconds; `None` if it
    /// has not reported such a time.
    pub runs_until_ms: Option<u64>,
    /// Whether it announced that its process is about to end. Its runs go on until the process ends, for seconds if the announcement is not
    /// acknowledged.
    pub announced_end: bool,
    /// Since when orders to it have had no answer, on the leader's clock in milliseconds; `None` if it answers.
    pub silent_since_ms: Option<u64>,
    /// Whether nothing listened at its address for an order that had no answer.
    pub not_listening: bool,
    /// Since when nothing has listened at its address, on the leader's clock in milliseconds.
    pub not_listening_since_ms: Option<u64>,
    /// Whether the first unanswered order failed before its timeout, because the connection broke: that happens when a process ends.
    pub connection_broke: bool,
    /// Whether a core that carried an order to it was lost, and the worker has not been heard since.
    pub carrier_lost: bool,
    /// End of the longest lease granted, on the worker's clock in milliseconds.
    pub granted_until_ms: u64,
    /// When everything that runs there has certainly ended unless the lease is renewed, on the leader's clock in milliseconds.
    pub lease_expiry_ms: u64,
    /// Whether a probe is in flight.
    pub probe_in_flight: bool,
    /// When it last reported its runs, on the leader's clock in milliseconds.
    pub reported_ms: u64,
    /// When its newest report was requested, on the leader's clock in milliseconds. The report does not include what the worker did after
    /// that.
    pub report_requested_ms: u64,
    /// Earliest time of the next probe, on the leader's clock in milliseconds.
    pub next_probe_ms: u64,
    /// Highest number of a reported end that is recorded; the worker numbers the ends of its runs.
    pub recorded_to: u64,
    /// Highest number of an end that the worker knows to be recorded.
    pub acknowledged_to: u64,
    /// Highest number of the reported ends that are being recorded, if any.
    pub recording_to: Option<u64>,
    /// Its runs: the recorded ones, and others that it reports.
    pub runs: BTreeMap<RunId, RunState>,
    /// Runs whose ends the leader recorded or is recording because its lease had expired without a report, until the worker is heard again.
    /// Whether the worker crashed shows later, if at all.
    pub expired_runs: BTreeMap<RunId, RunState>,
    /// Gang runs that are recorded as lost although the worker had not reported their end and its lease had not expired. The worker may
    /// still report that they failed.
    pub presumed_lost: BTreeSet<RunId>,
    /// Those of `presumed_lost` for which the expiry of the lease is being recorded.
    pub presumed_lost_expiring: BTreeSet<RunId>,
    /// Number of probes still to be sent to find out whether it has crashed, because another worker reports the same address.
    pub required_probes: u32,
    /// When the end of this incarnation was last passed on to be recorded, on the leader's clock in milliseconds.
    pub gone_noted_ms: Option<u64>,
    /// Whether the leader has seen it in the record. Its first heartbeat arrives before it is recorded.
    pub is_recorded: bool,
    /// Whether the worker reports its start time, so that its reports reveal a restart.
    pub reports_start_time: bool,
    /// Set once another incarnation of the worker answered in its place.
    pub restart: Option<Restart>,
    /// Speed of the tasks there that only use idle processors.
    pub fill_pace: FillPace,
    /// Jobs with runs that failed there since the last success.
    pub failed_jobs: Vec<JobId>,
    /// No new work before this time, on the leader's clock in milliseconds.
    pub set_aside_until_ms: u64,
    /// How often it was set aside since the last success.
    pub set_aside_count: u32,
}

impl Target {
    /// The initial state of a worker without any contact so far.
    pub fn new(worker: &Incarnation) -> Self {
        Self {
            reports_start_time: worker.started_ms.is_some(),
            ..Self::default()
        }
    }

    /// Whether this incarnation has answered a probe, and no other incarnation has since. A heartbeat is not sufficient: it may have been
    /// delayed while the worker restarted, and an order under its id would be carried out by the later incarnation.
    pub fn is_verified(&self) -> bool {
        !self.reports_start_time || self.reported_ms > 0 && self.restart.is_none()
    }

    /// Notes an answer: the worker is reachable, and its clock shows `clock_ms`.
    pub fn note_answer(&mut self, now_ms: u64, clock_ms: Option<u64>) {
        self.silent_since_ms = None;
        self.not_listening = false;
        self.not_listening_since_ms = None;
        self.carrier_lost = false;
        self.required_probes = 0;
        self.expired_runs.clear();
        if let Some(worker_ms) = clock_ms {
            self.note_clock(now_ms, worker_ms);
        }
    }

    /// Notes a reading of the worker's clock. A delayed older reading is ignored.
    pub fn note_clock(&mut self, now_ms: u64, worker_ms: u64) {
        if self
            .clock
            .is_none_or(|reading| worker_ms >= reading.worker_ms)
        {
            self.clock = Some(ClockReading {
                worker_ms,
                at_ms: now_ms,
            });
        }
    }

    /// Notes that `order` had no answer.
    pub fn note_no_answer(&mut self, now_ms: u64, order: &Order) {
        /// Tolerance for late timers and a late event loop, in milliseconds.
        const TIMER_SLACK_MS: u64 = 50;
        if self.is_silent() {
            return;
        }
        self.silent_since_ms = Some(now_ms);
        // It is unknown whether the previous leader received heartbeats lately. The worker may have been silent for long and have lost
        // capacity.
        if self.last_heartbeat_ms.is_none() {
            self.info_ms = None;
        }
        self.connection_broke = now_ms + TIMER_SLACK_MS < order.sent_ms + order.answer_within_ms();
    }

    /// Whether it ended abruptly: it answered until it was found to be gone, or the connection broke, so its runs had no time to end
    /// without a report. This is unknown if the core that carried an order to it was lost and the worker has not been heard since.
    pub fn ended_abruptly(&self) -> bool {
        !self.carrier_lost && (!self.is_silent() || self.connection_broke)
    }

    /// Whether it announced that it ends, and has ended: nothing listens at its address, or nothing runs there.
    ///
    /// A worker reports its last ends just before its process ends, and another order may find nothing listening while that report is still on
    /// its way or its ends are being recorded. If the worker counted as gone by then, its runs would be recorded as lost and run twice.
    pub fn has_ended(&self, id: &Incarnation, workload: &Workload) -> bool {
        let is_idle = || {
            let worker = workload.worker(id);
            worker.is_none_or(|worker| worker.runs.is_empty())
        };
        let awaits_report = self.probe_in_flight || self.recording_to.is_some();
        self.announced_end && (self.not_listening && !awaits_report || is_idle())
    }

    /// Notes that nothing listens at its address.
    pub fn note_not_listening(&mut self, now_ms: u64) {
        self.not_listening = true;
        self.not_listening_since_ms.get_or_insert(now_ms);
    }

    /// Whether it announced its end and has not been listening for so long that a report from before its end would have arrived. Its probe in
    /// flight is given up then: the connection may be silent for the whole time of the probe, and its tasks would start again that much later.
    pub fn is_last_report_overdue(&self, now_ms: u64) -> bool {
        /// Longest transit of a report, in milliseconds: what a carrier adds to the answer of a worker.
        const REPORT_TRANSIT_MS: u64 = 150;
        let since_ms = self.not_listening_since_ms;
        self.announced_end && since_ms.is_some_and(|ms| now_ms >= ms + REPORT_TRANSIT_MS)
    }

    /// Notes that the core that carried an order was lost.
    pub fn note_lost_carrier(&mut self) {
        self.carrier_lost = true;
    }

    /// Whether its clock is known and its last order was answered. Otherwise it gets no work.
    pub fn answers(&self) -> bool {
        self.clock.is_some() && !self.is_silent() && !self.carrier_lost
    }

    /// Whether its recorded details are recent enough to give it work.
    pub fn is_current(&self, now_ms: u64, timing: &Timing) -> bool {
        self.info_ms
            .is_some_and(|info_ms| now_ms <= info_ms + timing.current_ms())
    }

    /// Whether its latest orders had no answer.
    pub fn is_silent(&self) -> bool {
        self.silent_since_ms.is_some()
    }

    /// Whether its lease has certainly expired at `now_ms`. While there is no answer, no lease is renewed, no matter whether the worker or
    /// the carrier is the cause.
    pub fn has_lease_expired(&self, now_ms: u64) -> bool {
        (self.is_silent() || self.carrier_lost) && now_ms >= self.lease_expiry_ms
    }

    /// Whether a worker that did not answer has sent a heartbeat since. A probe then tells whether it can be used again; without the probe, a
    /// worker that was cut off while it had no runs would never get work again.
    pub fn is_heard_again(&self) -> bool {
        self.silent_since_ms.is_some_and(|since_ms| {
            self.last_heartbeat_ms
                .is_some_and(|heard_ms| heard_ms > since_ms)
        })
    }

    /// Whether the leader has not read its clock yet. A new leader knows the workers from the record but may give them work only once it
    /// has read their clocks. Their next heartbeats bring the clocks too, but a second or two later, and urgent work would wait for that.
    pub fn needs_first_probe(&self) -> bool {
        self.clock.is_none() && !self.is_silent()
    }

    /// Whether the worker does not know yet that some of the ends it reported are recorded.
    pub fn has_unacknowledged_ends(&self) -> bool {
        self.acknowledged_to < self.recorded_to
    }

    /// Whether it must be probed even if it has no runs.
    pub fn must_be_probed(&self) -> bool {
        self.has_unacknowledged_ends()
            || self.is_heard_again()
            || self.needs_first_probe()
            || self.carrier_lost
            || self.required_probes > 0
            || !self.presumed_lost.is_empty() && !self.is_silent()
            || !self.is_verified() && !self.is_silent()
            || self.announced_end
    }

    /// Requires probes because another worker reports the address of this one. Otherwise an idle worker that ended without notice would stay
    /// in the record forever, and a crash after a silence during which its runs were ended would be attributed to none of them.
    pub fn require_probes(&mut self) {
        /// More than one, since a probe may be lost and a new worker may not answer at once.
        const PROBES: u32 = 3;
        self.required_probes = PROBES;
    }

    /// Notes that a start order reached another incarnation. The run never started here, unless an earlier send may have been carried out.
    pub fn note_not_started(&mut self, run: RunId) {
        let run_state = self.runs.get_mut(&run);
        if let Some(run_state) = run_state.filter(|run_state| !run_state.may_have_started()) {
            run_state.start = StartPhase::Unsent;
        }
    }

    /// Notes that the worker is gone. Returns whether that should be recorded now: several orders may be in flight, and another incarnation
    /// may answer each of them, but the end is recorded once.
    pub fn note_gone(&mut self, now_ms: u64) -> bool {
        /// Delay before the end is recorded again if it is still not in the record, in milliseconds.
        const RECORD_AGAIN_MS: u64 = 1_000;
        let was_noted_lately = self
            .gone_noted_ms
            .is_some_and(|at_ms| now_ms < at_ms + RECORD_AGAIN_MS);
        if !was_noted_lately {
            self.gone_noted_ms = Some(now_ms);
        }
        !was_noted_lately
    }

    /// Whether the worker has runs or must be probed.
    pub fn needs_orders(&self) -> bool {
        !self.runs.is_empty() || !self.presumed_lost.is_empty() || self.must_be_probed()
    }

    /// Whether nothing is due before the worker answers its probe or the record changes, however much time passes. This is the state of a
    /// worker whose runs all go on. `is_paced` tells whether pace orders are sent for a run.
    pub fn waits_for_answer(&self, is_paced: impl Fn(RunId) -> bool) -> bool {
        let goes_on = |(run, run_state): (&RunId, &RunState)| {
            matches!(run_state.start, StartPhase::Confirmed { .. })
                && run_state.stop == StopPhase::None
                && !run_state.stop_requested
                && (run_state.pace.is_confirmed() || !is_paced(*run))
        };
        self.probe_in_flight
            && !self.is_silent()
            && !self.carrier_lost
            && !self.announced_end
            && self.restart.is_none()
            && self.presumed_lost.is_empty()
            && self.runs.iter().all(goes_on)
    }

    /// Grants a lease from `now_ms` on; returns its end on the worker's clock. While the worker does not answer, the lease is not extended:
    /// the worker may receive orders although its answers are lost, and a lease that each order extends would never expire. For the same
    /// reason the lease is not extended from the loss of a carrier until the first answer through another one.
    pub fn grant(&mut self, now_ms: u64, timing: &Timing) -> Option<u64> {
        if self.is_silent() || self.carrier_lost {
            return (self.granted_until_ms > 0).then_some(self.granted_until_ms);
        }
        let reading = self.clock?;
        let age_ms = now_ms.saturating_sub(reading.at_ms);
        let until_ms = reading.worker_ms + age_ms + timing.lease_ms;
        self.granted_until_ms = self.granted_until_ms.max(until_ms);
        self.lease_expiry_ms = self
            .lease_expiry_ms
            .max(now_ms + timing.lease_expiry_after_ms(age_ms));
        Some(self.granted_until_ms)
    }

    /// Notes a run that succeeded.
    pub fn note_success(&mut self) {
        self.failed_jobs.clear();
        self.set_aside_count = 0;
    }

    /// Notes a failed run of `job`. Sets the worker aside if it seems to fail every run: such a worker is always free, so it would attract
    /// all work and use up the few attempts of every job.
    pub fn note_failure(&mut self, now_ms: u64, job: JobId) {
        if !self.failed_jobs.contains(&job) {
            self.failed_jobs.push(job);
        }
        if self.failed_jobs.len() >= FAILURES_BEFORE_SET_ASIDE {
            self.set_aside(now_ms);
        }
    }

    /// Gives the worker no new work for a while, longer each time.
    pub fn set_aside(&mut self, now_ms: u64) {
        let doublings = self.set_aside_count.min(MAX_DOUBLINGS);
        self.set_aside_until_ms = now_ms + (FIRST_SET_ASIDE_MS << doublings);
        self.set_aside_count += 1;
        self.failed_jobs.clear();
    }
}
