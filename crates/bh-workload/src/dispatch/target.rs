//! What the leader knows of one worker beyond the record.

use super::FillPace;
use super::Order;
use super::Restart;
use super::RunWatch;
use super::StartPhase;
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

/// Failed runs in a row, of different jobs, after which a worker gets no work for a while. One may be the job's own fault; two
/// jobs that both fail on the worker, with no success between, make the worker the likelier cause.
const FAILURES_IN_A_ROW: usize = 2;
/// First time without work, in milliseconds; doubles each time.
const SET_ASIDE_MS: u64 = 4_000;
/// Doublings at most.
const MAX_DOUBLINGS: u32 = 3;

/// The leader's view of one worker.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Target {
    /// Newest reading of its clock.
    pub clock: Option<ClockReading>,
    /// When its last heartbeat came, on the leader's clock in milliseconds.
    pub heard_ms: Option<u64>,
    /// When the record last had what it said of itself, on the leader's clock in milliseconds: its last heartbeat, or the election when the
    /// leader before had heard it.
    pub said_ms: Option<u64>,
    /// Until when it is slow after its start, on the leader's clock in milliseconds, as it last said.
    pub cold_until_ms: u64,
    /// Until when it surely runs while it is leaving, on the leader's clock in milliseconds, as it last said.
    pub leaves_ms: Option<u64>,
    /// Whether it said that it ends now. What runs there goes on until it does, for seconds if it hears no acknowledgement.
    pub left: bool,
    /// Since when orders to it have had no answer.
    pub failing_since_ms: Option<u64>,
    /// Whether nothing listened at its address for one of them.
    pub refused: bool,
    /// Whether the first of them ended sooner than its time: its connection was broken off, as a process that ends does.
    pub broke_off: bool,
    /// Whether a core that carried an order to it was lost, and nothing was heard of it since.
    pub carrier_lost: bool,
    /// End of the longest lease granted, on the worker's clock in milliseconds.
    pub granted_ms: u64,
    /// When everything that runs there has surely ended unless it is granted more, on the leader's clock in milliseconds.
    pub lapse_ms: u64,
    /// Whether a look is on its way.
    pub looking: bool,
    /// When it last reported its runs, on the leader's clock in milliseconds.
    pub reported_ms: u64,
    /// When the newest of its reports was asked for, on the leader's clock in milliseconds. What it did after that is not in them.
    pub asked_ms: u64,
    /// Earliest time of the next look, on the leader's clock in milliseconds.
    pub next_look_ms: u64,
    /// Highest number of an end that is recorded.
    pub recorded_to: u64,
    /// Highest number of an end that the worker knows to be recorded.
    pub acknowledged_to: u64,
    /// While ends it reported are being recorded: the highest of their numbers.
    pub recording_to: Option<u64>,
    /// Its runs.
    pub runs: BTreeMap<RunId, RunWatch>,
    /// Runs given up because its lease had run out unseen, until it is heard again: whether it has crashed shows later, if at all.
    pub lapsed: BTreeMap<RunId, RunWatch>,
    /// Runs of gangs taken to be over though the worker had not said so and its lease had not run out: it may still say that they failed.
    pub unsaid: BTreeSet<RunId>,
    /// Those of them of which is being recorded that the lease has run out.
    pub unsaid_lapsing: BTreeSet<RunId>,
    /// Looks that shall tell whether it has crashed, since another worker says that it is reached at the same address.
    pub checks_left: u32,
    /// When it was last found to be gone, on the leader's clock in milliseconds.
    pub gone_ms: Option<u64>,
    /// Whether the leader has seen it in the record. Its first heartbeat arrives before it is recorded.
    pub is_recorded: bool,
    /// Whether the worker reports its start time, so that its reports reveal a restart.
    pub reports_start_time: bool,
    /// Set once another incarnation of the worker answered in its place.
    pub restart: Option<Restart>,
    /// How fast tasks that only use idle processors work there.
    pub filling: FillPace,
    /// Jobs that failed there since the last success.
    pub failed_jobs: Vec<JobId>,
    /// No new work before this time, on the leader's clock in milliseconds.
    pub set_aside_until_ms: u64,
    /// Times it was set aside in a row.
    pub set_aside_count: u32,
}

impl Target {
    /// The initial state of a worker that has not been heard of.
    pub fn new(worker: &Incarnation) -> Self {
        Self {
            reports_start_time: worker.started_ms.is_some(),
            ..Self::default()
        }
    }

    /// Whether this incarnation has answered a look, and no other incarnation has since. A heartbeat is not sufficient: it may have been delayed while
    /// the worker restarted, and an order under its id would be carried out by the later incarnation.
    pub fn is_verified(&self) -> bool {
        !self.reports_start_time || self.reported_ms > 0 && self.restart.is_none()
    }

    /// Notes an answer: the worker is there, and its clock shows `clock_ms`.
    pub fn note_answer(&mut self, now_ms: u64, clock_ms: Option<u64>) {
        self.failing_since_ms = None;
        self.refused = false;
        self.carrier_lost = false;
        self.checks_left = 0;
        self.lapsed.clear();
        if let Some(worker_ms) = clock_ms {
            self.note_clock(now_ms, worker_ms);
        }
    }

    /// Notes a reading of the worker's clock; an older one that came late is left out.
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
    pub fn note_silence(&mut self, now_ms: u64, order: &Order) {
        /// Lateness of timers and of the loop, in milliseconds.
        const SLACK_MS: u64 = 50;
        if self.is_failing() {
            return;
        }
        self.failing_since_ms = Some(now_ms);
        // Whether the leader before had heard it lately is not known: it may have been silent, and have shrunk, for long.
        if self.heard_ms.is_none() {
            self.said_ms = None;
        }
        self.broke_off = now_ms + SLACK_MS < order.sent_ms + order.answer_within_ms();
    }

    /// Whether it answered until it was found to be gone, or broke off: what ran there then had no time to end unheard. This is not known if the core that
    /// carried an order to it was lost and nothing was heard of it since.
    pub fn went_at_once(&self) -> bool {
        !self.carrier_lost && (!self.is_failing() || self.broke_off)
    }

    /// Whether it said that it ends, and has: nothing listens at its address, or nothing runs there.
    pub fn has_ended(&self, id: &Incarnation, workload: &Workload) -> bool {
        let is_idle = || {
            let worker = workload.worker(id);
            worker.is_none_or(|worker| worker.runs.is_empty())
        };
        self.left && (self.refused || is_idle())
    }

    /// Notes that the core that carried an order was lost.
    pub fn note_lost_carrier(&mut self) {
        self.carrier_lost = true;
    }

    /// Whether its clock is known and its last order was answered: without that it gets no work.
    pub fn answers(&self) -> bool {
        self.clock.is_some() && !self.is_failing() && !self.carrier_lost
    }

    /// Whether what it said of itself is recent enough to give it work.
    pub fn is_current(&self, now_ms: u64, timing: &Timing) -> bool {
        self.said_ms
            .is_some_and(|said_ms| now_ms <= said_ms + timing.current_ms())
    }

    /// Whether orders to it have had no answer lately.
    pub fn is_failing(&self) -> bool {
        self.failing_since_ms.is_some()
    }

    /// Whether its lease has surely run out at `now_ms`. Without an answer none is renewed, whether the worker or its carrier gave none.
    pub fn has_lapsed(&self, now_ms: u64) -> bool {
        (self.is_failing() || self.carrier_lost) && now_ms >= self.lapse_ms
    }

    /// Whether a worker that did not answer has been heard since. A look tells whether it can be used again; without one a worker that was
    /// cut off while it had nothing to run would never get work any more.
    pub fn is_back(&self) -> bool {
        self.failing_since_ms
            .is_some_and(|since_ms| self.heard_ms.is_some_and(|heard_ms| heard_ms > since_ms))
    }

    /// Whether nothing was heard of it yet. A new leader knows the workers from the record, and may give them work only once it has read
    /// their clocks; their next heartbeats bring that too, but a second or two later, for which urgent work would wait.
    pub fn is_unheard(&self) -> bool {
        self.clock.is_none() && !self.is_failing()
    }

    /// Whether the worker does not know yet that ends it reported are recorded.
    pub fn is_behind(&self) -> bool {
        self.acknowledged_to < self.recorded_to
    }

    /// Whether it must be looked at whatever runs there.
    pub fn must_be_asked(&self) -> bool {
        self.is_behind()
            || self.is_back()
            || self.is_unheard()
            || self.carrier_lost
            || self.checks_left > 0
            || !self.unsaid.is_empty() && !self.is_failing()
            || !self.is_verified() && !self.is_failing()
            || self.left
    }

    /// Another worker says that it is reached where this one was. An idle worker that is gone without a word would stay in the record for ever, and a
    /// crash after a silence for which its runs were given up would count against none of them.
    pub fn note_successor(&mut self) {
        /// One look may be lost, and a new worker may not answer at once.
        const CHECKS: u32 = 3;
        self.checks_left = CHECKS;
    }

    /// Notes that a start came to another incarnation: unless an earlier send may have been carried out, the run never began here.
    pub fn note_never_begun(&mut self, run: RunId) {
        let watch = self.runs.get_mut(&run);
        if let Some(watch) = watch.filter(|watch| !watch.may_have_begun()) {
            watch.start = StartPhase::Unsent;
        }
    }

    /// Notes that another incarnation answered in its place; returns whether that is news. Several orders may be on their way, and each is answered
    /// so; the record tells soon.
    pub fn note_gone(&mut self, now_ms: u64) -> bool {
        /// Time after which it is recorded again, in milliseconds, should the record have failed.
        const AGAIN_MS: u64 = 1_000;
        let known = self.gone_ms.is_some_and(|at_ms| now_ms < at_ms + AGAIN_MS);
        if !known {
            self.gone_ms = Some(now_ms);
        }
        !known
    }

    /// Whether there is anything to order or ask.
    pub fn needs_orders(&self) -> bool {
        !self.runs.is_empty() || !self.unsaid.is_empty() || self.must_be_asked()
    }

    /// Grants a lease from `now_ms` on; returns its end on the worker's clock. While the worker does not answer nothing more is
    /// granted: it may hear us without our hearing it, and a lease renewed so would never run out. Nor after its carrier was lost, until the
    /// first answer over another one: carriers that are lost again and again would do the same.
    pub fn grant(&mut self, now_ms: u64, timing: &Timing) -> Option<u64> {
        if self.is_failing() || self.carrier_lost {
            return (self.granted_ms > 0).then_some(self.granted_ms);
        }
        let reading = self.clock?;
        let age_ms = now_ms.saturating_sub(reading.at_ms);
        let until_ms = reading.worker_ms + age_ms + timing.lease_ms;
        self.granted_ms = self.granted_ms.max(until_ms);
        self.lapse_ms = self.lapse_ms.max(now_ms + timing.lapse_after_ms(age_ms));
        Some(self.granted_ms)
    }

    /// Notes a run that succeeded.
    pub fn note_success(&mut self) {
        self.failed_jobs.clear();
        self.set_aside_count = 0;
    }

    /// Notes a run of `job` that failed; sets the worker aside when it seems to fail whatever it is given. A worker that fails
    /// everything is always free and would draw all work, and use up the few attempts of every job.
    pub fn note_failure(&mut self, now_ms: u64, job: JobId) {
        if !self.failed_jobs.contains(&job) {
            self.failed_jobs.push(job);
        }
        if self.failed_jobs.len() >= FAILURES_IN_A_ROW {
            self.set_aside(now_ms);
        }
    }

    /// Gives the worker no new work for a while, longer each time.
    pub fn set_aside(&mut self, now_ms: u64) {
        let doublings = self.set_aside_count.min(MAX_DOUBLINGS);
        self.set_aside_until_ms = now_ms + (SET_ASIDE_MS << doublings);
        self.set_aside_count += 1;
        self.failed_jobs.clear();
    }
}
