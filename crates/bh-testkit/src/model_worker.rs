//! An in-memory model of a worker that follows the protocol and has its own clock.

use bh_protocol::Incarnation;
use bh_workload::dispatch::Answer;
use bh_workload::dispatch::Denial;
use bh_workload::dispatch::Ended;
use bh_workload::dispatch::OrderBody;
use bh_workload::dispatch::Report;
use bh_workload::dispatch::Running;
use bh_workload::job::RunId;
use bh_workload::job::TaskId;
use bh_workload::state::EndKind;
use std::collections::BTreeMap;

/// A fault of a model worker that breaks the protocol, so that tests can show that the checks detect its effects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProtocolFault {
    /// The worker follows the protocol.
    None,
    /// Its clock runs at half the rate, so its leases last twice as long as the leader expects.
    HalfClock,
    /// It starts runs that were stopped before their start order arrived.
    ForgetsStops,
    /// It accepts start orders whose lease has run out, and keeps running without a lease.
    IgnoresLease,
    /// It reports runs that succeeded as lapsed.
    HidesSuccess,
    /// It reports runs that failed as lapsed.
    HidesFailures,
    /// It reports only the newest end.
    SkipsEnds,
    /// Its runs never finish by themselves.
    NeverEnds,
}

/// A run on a model worker.
#[derive(Clone, Debug)]
pub struct ModelRun {
    /// When the run started, on the site's clock in milliseconds.
    pub began_ms: u64,
    /// When the run finishes, on the site's clock in milliseconds; `None` if the test ends it.
    pub done_ms: Option<u64>,
    /// Whether the run fails when it finishes.
    pub fails: bool,
    /// When an ordered stop takes effect, on the site's clock in milliseconds.
    pub stopping_ms: Option<u64>,
}

/// One incarnation of a model worker, from its start to its end. The site's clock is the clock of the test.
#[derive(Clone, Debug)]
pub struct ModelWorker {
    /// Id and start time of the worker.
    pub id: Incarnation,
    /// Rate of the worker's clock, in thousandths of the true rate.
    rate: u64,
    /// What the worker's clock showed when the worker started.
    offset_ms: u64,
    /// When the worker started, on the site's clock in milliseconds.
    started_ms: u64,
    /// Highest fencing token received; 0 before the first order.
    token: u64,
    /// End of the lease, on the worker's clock in milliseconds.
    lease_until_ms: u64,
    /// Runs that have not ended.
    pub runs: BTreeMap<RunId, ModelRun>,
    /// Highest attempt of each task that ended or was stopped on this worker.
    fenced: BTreeMap<TaskId, u32>,
    /// Ends that no probe has acknowledged as recorded.
    pub ended: Vec<Ended>,
    next_end: u64,
    /// Whether the worker holds a lease.
    is_leased: bool,
    /// Number of leases that have run out.
    pub lapses: u64,
    /// Number of the newest end when the lease last ran out.
    lapsed_to: u64,
    protocol_fault: ProtocolFault,
}

impl ModelWorker {
    /// A worker without runs that started at time 0 of the site's clock. `rate` is the rate of its own clock in thousandths, and
    /// `offset_ms` is what that clock showed at the start.
    pub fn new(id: Incarnation, rate: u64, offset_ms: u64, protocol_fault: ProtocolFault) -> Self {
        Self {
            id,
            rate,
            offset_ms,
            started_ms: 0,
            token: 0,
            lease_until_ms: 0,
            runs: BTreeMap::new(),
            fenced: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            is_leased: false,
            lapses: 0,
            lapsed_to: 0,
            protocol_fault,
        }
    }

    /// Sets the start time, on the site's clock in milliseconds.
    pub fn with_started_ms(mut self, started_ms: u64) -> Self {
        self.started_ms = started_ms;
        self
    }

    /// What the worker's clock shows at `now_ms` of the site's clock.
    pub fn clock_ms(&self, now_ms: u64) -> u64 {
        let rate = if self.protocol_fault == ProtocolFault::HalfClock {
            self.rate / 2
        } else {
            self.rate
        };
        self.offset_ms + now_ms.saturating_sub(self.started_ms) * rate / 1_000
    }

    /// Ends a run, if it runs on this worker.
    pub fn end(&mut self, run: RunId, kind: EndKind) {
        if self.runs.remove(&run).is_none() {
            return;
        }
        let fence = self.fenced.entry(run.task).or_default();
        *fence = (*fence).max(run.attempt);
        self.ended.push(Ended {
            number: self.next_end,
            run,
            kind,
            checkpoint: None,
        });
        self.next_end += 1;
    }

    /// Advances the time to `now_ms`: leases run out, stops take effect, and runs finish.
    pub fn advance(&mut self, now_ms: u64) {
        let clock_ms = self.clock_ms(now_ms);
        if self.is_leased && clock_ms >= self.lease_until_ms {
            self.is_leased = false;
            self.lapses += 1;
        }
        let all: Vec<RunId> = self.runs.keys().copied().collect();
        for run in all {
            let state = self.runs[&run].clone();
            if clock_ms >= self.lease_until_ms && self.protocol_fault != ProtocolFault::IgnoresLease
            {
                self.end(run, EndKind::Lapsed);
            } else if state.stopping_ms.is_some_and(|at_ms| now_ms >= at_ms) {
                self.end(run, EndKind::Stopped);
            } else if state.done_ms.is_some_and(|done_ms| now_ms >= done_ms)
                && self.protocol_fault != ProtocolFault::NeverEnds
            {
                let kind = if state.fails {
                    EndKind::Failed
                } else {
                    EndKind::Done
                };
                self.end(run, kind);
            }
        }
        if clock_ms >= self.lease_until_ms {
            self.lapsed_to = self.next_end - 1;
        }
    }

    /// Whether the worker has received any order.
    pub fn has_received_orders(&self) -> bool {
        self.token > 0
    }

    /// Number of the newest end, or 0.
    pub fn last_end(&self) -> u64 {
        self.next_end - 1
    }

    /// Ends that a probe with this `recorded_to` acknowledges and whose worker has kept its lease since they ended: ends up to
    /// `recorded_to` that are newer than the last time the lease ran out.
    pub fn acknowledged_ends(&self, recorded_to: u64) -> impl Iterator<Item = &Ended> {
        let ends = self.ended.iter();
        ends.filter(move |end| end.number <= recorded_to && end.number > self.lapsed_to)
    }

    /// Executes an order; returns the answer, and the run that the order started.
    pub fn handle_order(
        &mut self,
        now_ms: u64,
        token: u64,
        body: &OrderBody,
        run_ms: u64,
        fails: bool,
    ) -> (Answer, Option<RunId>) {
        self.advance(now_ms);
        let clock_ms = Some(self.clock_ms(now_ms));
        let denied = |denial| (Answer::Denied { clock_ms, denial }, None);
        if token < self.token {
            return denied(Denial::Fenced);
        }
        self.token = token;
        let done = Answer::Done {
            clock_ms,
            report: None,
        };
        match body {
            OrderBody::Start {
                run,
                lease_until_ms,
                ..
            } => {
                let late = self.clock_ms(now_ms) >= *lease_until_ms;
                if late && self.protocol_fault != ProtocolFault::IgnoresLease {
                    return denied(Denial::Late);
                }
                self.extend_lease(now_ms, *lease_until_ms);
                if self.runs.contains_key(run) {
                    return (done, None);
                }
                let fence = self.fenced.get(&run.task).copied().unwrap_or(0);
                if run.attempt <= fence && self.protocol_fault != ProtocolFault::ForgetsStops {
                    return denied(Denial::Outdated);
                }
                let state = ModelRun {
                    began_ms: now_ms,
                    done_ms: Some(now_ms + run_ms),
                    fails,
                    stopping_ms: None,
                };
                self.runs.insert(*run, state);
                (done, Some(*run))
            }
            OrderBody::Stop { run } => {
                const STOPPING_MS: u64 = 300;
                let fence = self.fenced.entry(run.task).or_default();
                *fence = (*fence).max(run.attempt);
                if let Some(state) = self.runs.get_mut(run) {
                    state.stopping_ms.get_or_insert(now_ms + STOPPING_MS);
                }
                (done, None)
            }
            // The pace does not change how long the model's runs take.
            OrderBody::Pace { .. } => (done, None),
            OrderBody::Probe {
                lease_until_ms,
                recorded_to,
                ..
            } => {
                if let Some(until_ms) = lease_until_ms {
                    self.extend_lease(now_ms, *until_ms);
                }
                self.ended.retain(|end| end.number > *recorded_to);
                let answer = Answer::Done {
                    clock_ms,
                    report: Some(self.report(now_ms)),
                };
                (answer, None)
            }
        }
    }

    fn extend_lease(&mut self, now_ms: u64, until_ms: u64) {
        self.lease_until_ms = self.lease_until_ms.max(until_ms);
        self.is_leased = self.clock_ms(now_ms) < self.lease_until_ms;
    }

    /// The worker's report of its runs.
    pub fn report(&self, now_ms: u64) -> Report {
        let running = self.runs.keys().map(|run| Running {
            run: *run,
            checkpoint: None,
            percent: now_ms / 50 % 100,
            load: 0,
        });
        let skipped = match self.protocol_fault {
            ProtocolFault::SkipsEnds => self.ended.len().saturating_sub(1),
            _ => 0,
        };
        Report {
            running: running.collect(),
            ended: self
                .ended
                .iter()
                .skip(skipped)
                .map(|end| self.reported_end(end))
                .collect(),
            more: false,
        }
    }

    /// The end as the worker reports it, with its protocol fault applied.
    fn reported_end(&self, end: &Ended) -> Ended {
        let kind = match (self.protocol_fault, end.kind) {
            (ProtocolFault::HidesSuccess, EndKind::Done)
            | (ProtocolFault::HidesFailures, EndKind::Failed) => EndKind::Lapsed,
            (_, kind) => kind,
        };
        Ended {
            kind,
            ..end.clone()
        }
    }
}
