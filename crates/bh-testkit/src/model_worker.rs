//! A worker as the protocol describes it, in memory, with its own clock.

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

/// A worker that breaks the protocol, to see the checks catch what follows from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    /// It keeps the protocol.
    Nothing,
    /// Its clock runs at half the rate, so its leases last twice as long as the leader reckons.
    HalfClock,
    /// It takes runs that were stopped before they came.
    ForgetsStops,
    /// It takes orders after the lease they carry has run out.
    IgnoresLease,
    /// It lists runs that were done as lapsed.
    HidesSuccess,
    /// It lists runs that failed as lapsed.
    HidesFailures,
    /// It leaves out the older one of two ends.
    SkipsEnds,
    /// What it begins never ends.
    NeverEnds,
}

/// A run on a worker.
#[derive(Clone, Debug)]
pub struct ModelRun {
    /// When it began, on the site's clock in milliseconds.
    pub began_ms: u64,
    /// When it is done, on the site's clock in milliseconds; `None` when others decide.
    pub done_ms: Option<u64>,
    /// Whether it fails in place of being done.
    pub fails: bool,
    /// When a stop takes effect, on the site's clock in milliseconds.
    pub stopping_ms: Option<u64>,
}

/// One life of a worker.
#[derive(Clone, Debug)]
pub struct ModelWorker {
    /// Worker id and start time.
    pub id: Incarnation,
    /// How fast its clock runs, in thousandths of the true rate.
    rate: u64,
    /// What its clock showed when it started.
    offset_ms: u64,
    /// When it started, on the site's clock in milliseconds.
    started_ms: u64,
    token: u64,
    lease_until_ms: u64,
    /// What runs.
    pub runs: BTreeMap<RunId, ModelRun>,
    /// Highest attempt of a task that ended or was stopped here.
    fenced: BTreeMap<TaskId, u32>,
    /// Ends not known to be recorded.
    pub ended: Vec<Ended>,
    next_end: u64,
    /// Whether a lease runs.
    is_leased: bool,
    /// Leases that have run out.
    pub lapses: u64,
    /// Highest number of an end that was listed when the lease last ran out.
    lapsed_to: u64,
    planted: Planted,
}

impl ModelWorker {
    /// A worker that runs nothing and started at time 0 of the site. `rate` is in thousandths; `offset_ms` is what its clock showed then.
    pub fn new(id: Incarnation, rate: u64, offset_ms: u64, planted: Planted) -> Self {
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
            planted,
        }
    }

    /// Sets the start time, on the site's clock in milliseconds.
    pub fn with_started_ms(mut self, started_ms: u64) -> Self {
        self.started_ms = started_ms;
        self
    }

    /// What its clock shows at `now_ms` of the site.
    pub fn clock_ms(&self, now_ms: u64) -> u64 {
        let rate = if self.planted == Planted::HalfClock {
            self.rate / 2
        } else {
            self.rate
        };
        self.offset_ms + now_ms.saturating_sub(self.started_ms) * rate / 1_000
    }

    /// Ends a run, if it is there.
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

    /// Lets time pass: leases run out, stops take effect, work is done.
    pub fn pass(&mut self, now_ms: u64) {
        let clock_ms = self.clock_ms(now_ms);
        if self.is_leased && clock_ms >= self.lease_until_ms {
            self.is_leased = false;
            self.lapses += 1;
        }
        let all: Vec<RunId> = self.runs.keys().copied().collect();
        for run in all {
            let state = self.runs[&run].clone();
            if clock_ms >= self.lease_until_ms && self.planted != Planted::IgnoresLease {
                self.end(run, EndKind::Lapsed);
            } else if state.stopping_ms.is_some_and(|at_ms| now_ms >= at_ms) {
                self.end(run, EndKind::Stopped);
            } else if state.done_ms.is_some_and(|done_ms| now_ms >= done_ms)
                && self.planted != Planted::NeverEnds
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

    /// Whether it has received any order.
    pub fn has_received_orders(&self) -> bool {
        self.token > 0
    }

    /// Number of the newest end, or 0.
    pub fn last_end(&self) -> u64 {
        self.next_end - 1
    }

    /// Ends that a cursor at `recorded_to` takes note of: those between which and the cursor the lease has not run out.
    pub fn noted_by(&self, recorded_to: u64) -> impl Iterator<Item = &Ended> {
        let ends = self.ended.iter();
        ends.filter(move |end| end.number <= recorded_to && end.number > self.lapsed_to)
    }

    /// Carries an order out; returns the answer, and the run that began.
    pub fn take(
        &mut self,
        now_ms: u64,
        token: u64,
        body: &OrderBody,
        run_ms: u64,
        fails: bool,
    ) -> (Answer, Option<RunId>) {
        self.pass(now_ms);
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
                if late && self.planted != Planted::IgnoresLease {
                    return denied(Denial::Late);
                }
                self.extend_lease(now_ms, *lease_until_ms);
                if self.runs.contains_key(run) {
                    return (done, None);
                }
                let fence = self.fenced.get(&run.task).copied().unwrap_or(0);
                if run.attempt <= fence && self.planted != Planted::ForgetsStops {
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
            // What runs here takes the same time at any pace.
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

    /// What it says of its runs.
    pub fn report(&self, now_ms: u64) -> Report {
        let running = self.runs.keys().map(|run| Running {
            run: *run,
            checkpoint: None,
            percent: now_ms / 50 % 100,
            load: 0,
        });
        let skipped = match self.planted {
            Planted::SkipsEnds => self.ended.len().saturating_sub(1),
            _ => 0,
        };
        Report {
            running: running.collect(),
            ended: self
                .ended
                .iter()
                .skip(skipped)
                .map(|end| self.listed(end))
                .collect(),
            more: false,
        }
    }

    /// How it lists an end.
    fn listed(&self, end: &Ended) -> Ended {
        let kind = match (self.planted, end.kind) {
            (Planted::HidesSuccess, EndKind::Done) | (Planted::HidesFailures, EndKind::Failed) => {
                EndKind::Lapsed
            }
            (_, kind) => kind,
        };
        Ended {
            kind,
            ..end.clone()
        }
    }
}
