//! Brings recorded runs about: the leader's orders to workers, and what their answers mean.

use super::Answer;
use super::Denial;
use super::Order;
use super::OrderBody;
use super::Recipient;
use super::Report;
use super::RunWatch;
use super::StartPhase;
use super::StopPhase;
use super::Target;
use super::Timing;
use crate::job::RunId;
use crate::state::Command;
use crate::state::End;
use crate::state::EndKind;
use crate::state::News;
use crate::state::Worker;
use crate::state::WorkerChange;
use crate::state::Workload;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Wait before an order without an answer is sent again, in milliseconds: above the time of a slow answer, well below the bounds
/// on stops and gang starts.
const RETRY_MS: u64 = 300;
/// Wait before a worker that does not answer is looked at again, in milliseconds.
const FAILING_LOOK_MS: u64 = 400;
/// Longest wait of a look in milliseconds; workers take no longer one.
const LOOK_WAIT_MS: u64 = 2_000;
/// How long before its lease ends a worker is looked at, in looks: several may be lost.
const LOOKS_IN_LEASE: u64 = 3;
/// Time that a deposed leader may have gone on giving orders after this one was elected, in milliseconds: it stops when it has not
/// heard from a majority for an election time; twice the longest one used.
const OVERLAP_MS: u64 = 2_000;
/// Time after a confirmed stop at which it is sent again when the run has still not ended, in milliseconds.
const STOP_AGAIN_MS: u64 = 1_500;

/// The leader's orders. Everything here is lost with the leadership; what must last is in the record.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    timing: Timing,
    token: u64,
    elected_ms: u64,
    targets: BTreeMap<Arc<str>, Target>,
    due: BTreeSet<Arc<str>>,
    /// Workers that ended lately: a heartbeat of theirs that was held up must not bring them back.
    departed: BTreeSet<Arc<str>>,
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
            departed: BTreeSet::new(),
        };
        for worker in workload.workers() {
            let target = dispatcher.target(&worker.info.id);
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
    pub fn view(&self, worker: &str) -> Option<&Target> {
        self.targets.get(worker)
    }

    fn target(&mut self, worker: &Arc<str>) -> &mut Target {
        self.due.insert(worker.clone());
        self.targets.entry(worker.clone()).or_default()
    }

    /// Notes a heartbeat of a worker; `false` when the worker has ended and this one was held up.
    pub fn note_heartbeat(
        &mut self,
        now_ms: u64,
        worker: &Arc<str>,
        clock_ms: Option<u64>,
    ) -> bool {
        if self.departed.contains(worker) {
            return false;
        }
        let target = self.targets.entry(worker.clone()).or_default();
        target.heard_ms = Some(now_ms);
        if let Some(worker_ms) = clock_ms {
            target.note_clock(now_ms, worker_ms);
        }
        true
    }

    /// Takes over what has changed in the record.
    pub fn note_news(&mut self, now_ms: u64, news: &News, workload: &Workload) {
        for id in &news.workers {
            let Some(worker) = workload.worker(id) else {
                self.targets.remove(id);
                self.departed.insert(id.clone());
                continue;
            };
            let target = self.target(id);
            target.runs.retain(|run, _| worker.runs.contains_key(run));
            for run in worker.runs.keys() {
                target
                    .runs
                    .entry(*run)
                    .or_insert_with(|| RunWatch::new(StartPhase::Unsent, now_ms));
            }
        }
    }

    /// Wants a run to end though the record would let it go on.
    pub fn give_up(&mut self, worker: &Arc<str>, run: RunId) {
        let target = self.target(worker);
        if let Some(watch) = target.runs.get_mut(&run) {
            watch.give_up = true;
        }
    }

    /// Gives a worker no new work for a while.
    pub fn set_aside(&mut self, now_ms: u64, worker: &Arc<str>) {
        if let Some(target) = self.targets.get_mut(worker) {
            target.set_aside(now_ms);
        }
    }

    /// Notes whether the ends that were to be recorded for a worker are recorded now.
    pub fn note_recorded(&mut self, worker: &Arc<str>, done: bool) {
        let Some(target) = self.targets.get_mut(worker) else {
            return;
        };
        let recording_to = target.recording_to.take();
        if done {
            target.recorded_to = target.recorded_to.max(recording_to.unwrap_or(0));
        } else {
            for watch in target.runs.values_mut() {
                watch.settled = false;
            }
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
        let due: Vec<Arc<str>> = if all {
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
            if !target.needs_orders() {
                continue;
            }
            let mut desk = Desk {
                now_ms,
                timing: &self.timing,
                token: self.token,
                workload,
                worker,
                orders: &mut orders,
                ends: &mut ends,
            };
            desk.serve(target);
        }
        (orders, ends)
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
            Answer::Done { clock_ms, .. } | Answer::Denied { clock_ms, .. } => {
                target.note_answer(now_ms, *clock_ms);
            }
            Answer::Lost => target.note_silence(now_ms),
            Answer::OtherIncarnation => {
                return Some(Command::Workers(vec![WorkerChange::Gone(id.clone())]));
            }
        }
        match &order.body {
            OrderBody::Start { run, .. } => note_start(now_ms, target, *run, id, answer),
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
            OrderBody::Look { recorded_to, .. } => {
                target.looking = false;
                match answer {
                    Answer::Done {
                        report: Some(report),
                        ..
                    } => {
                        target.acknowledged_to = target.acknowledged_to.max(*recorded_to);
                        target.next_look_ms = now_ms;
                        target.reported_ms = now_ms;
                        let worker = workload.worker(id)?;
                        note_report(now_ms, order, target, worker, report)
                    }
                    _ => {
                        target.next_look_ms = now_ms + FAILING_LOOK_MS;
                        None
                    }
                }
            }
        }
    }
}

/// Ends as a command, with the time left for the caller to fill in.
fn ends_command(ends: Vec<End>) -> Option<Command> {
    (!ends.is_empty()).then_some(Command::Ends { ends, now_ms: 0 })
}

fn note_start(
    now_ms: u64,
    target: &mut Target,
    run: RunId,
    worker: &Arc<str>,
    answer: &Answer,
) -> Option<Command> {
    let watch = target.runs.get_mut(&run)?;
    let not_started = End {
        run,
        worker: worker.clone(),
        kind: EndKind::NotStarted,
        checkpoint: None,
    };
    match answer {
        Answer::Done { .. } => {
            watch.start = StartPhase::Confirmed { at_ms: now_ms };
            None
        }
        // The run was there: its end is listed, or it is fenced off for good. The next look tells which.
        Answer::Denied {
            denial: Denial::Outdated,
            ..
        } => {
            watch.start = StartPhase::Confirmed { at_ms: now_ms };
            None
        }
        Answer::Denied {
            denial: Denial::Fenced,
            ..
        }
        | Answer::Lost
        | Answer::OtherIncarnation => {
            watch.start = StartPhase::Unsure {
                retry_ms: now_ms + RETRY_MS,
            };
            watch.was_unsure = true;
            None
        }
        Answer::Denied { denial, .. } => {
            let was_unsure = watch.was_unsure;
            watch.start = StartPhase::Unsure {
                retry_ms: now_ms + RETRY_MS,
            };
            watch.give_up = true;
            if *denial == Denial::Unhealthy || *denial == Denial::NoRoom {
                target.set_aside(now_ms);
            }
            // An earlier send may have been carried out: only a confirmed stop settles it then.
            if was_unsure {
                return None;
            }
            if let Some(watch) = target.runs.get_mut(&run) {
                watch.settled = true;
            }
            ends_command(vec![not_started])
        }
    }
}

fn note_report(
    now_ms: u64,
    order: &Order,
    target: &mut Target,
    worker: &Worker,
    report: &Report,
) -> Option<Command> {
    for running in &report.running {
        if let Some(watch) = target.runs.get_mut(&running.run) {
            if !matches!(watch.start, StartPhase::Confirmed { .. }) {
                watch.start = StartPhase::Confirmed { at_ms: now_ms };
            }
            if running.percent != watch.percent {
                watch.percent = running.percent;
                watch.progress_ms = now_ms;
            }
            if running.checkpoint.is_some() {
                watch.checkpoint = running.checkpoint.clone();
            }
        } else if !worker.runs.contains_key(&running.run) {
            // Nothing recorded: a copy of an order that came after its run had been given up. It is stopped like any other.
            let mut watch = RunWatch::new(StartPhase::Confirmed { at_ms: now_ms }, now_ms);
            watch.give_up = true;
            target.runs.insert(running.run, watch);
        }
    }
    let mut ends: Vec<End> = Vec::new();
    for ended in &report.ended {
        if ended.number <= target.recorded_to {
            continue;
        }
        match ended.kind {
            EndKind::Done => target.note_success(),
            EndKind::Failed => target.note_failure(now_ms, ended.run.task.step.job),
            _ => {}
        }
        let seen = target
            .runs
            .get(&ended.run)
            .and_then(|watch| watch.checkpoint.clone());
        ends.push(End {
            run: ended.run,
            worker: order.to.worker.clone(),
            kind: ended.kind,
            checkpoint: ended.checkpoint.clone().or(seen),
        });
    }
    if !report.more {
        ends.extend(missing(order, target, worker, report));
    }
    target.runs.retain(|run, _| {
        worker.runs.contains_key(run) || report.running.iter().any(|r| r.run == *run)
    });
    let newest = report.ended.last().map_or(0, |ended| ended.number);
    if ends.is_empty() {
        return None;
    }
    target.recording_to = Some(newest);
    ends_command(ends)
}

/// Runs that the worker neither runs nor lists as ended though it must: it had confirmed the start, or a stop, before it was looked at.
fn missing(order: &Order, target: &Target, worker: &Worker, report: &Report) -> Vec<End> {
    let listed = |run: &RunId| {
        report.running.iter().any(|running| running.run == *run)
            || report.ended.iter().any(|ended| ended.run == *run)
    };
    target
        .runs
        .iter()
        .filter(|(run, _)| worker.runs.contains_key(run) && !listed(run))
        .filter(|(_, watch)| {
            let stopped =
                matches!(watch.stop, StopPhase::Confirmed { at_ms } if at_ms < order.sent_ms);
            let started =
                matches!(watch.start, StartPhase::Confirmed { at_ms } if at_ms < order.sent_ms);
            stopped || started
        })
        .map(|(run, watch)| End {
            run: *run,
            worker: order.to.worker.clone(),
            kind: EndKind::NotStarted,
            checkpoint: watch.checkpoint.clone(),
        })
        .collect()
}

/// What one worker needs now.
struct Desk<'a> {
    now_ms: u64,
    timing: &'a Timing,
    token: u64,
    workload: &'a Workload,
    worker: &'a Worker,
    orders: &'a mut Vec<Order>,
    ends: &'a mut Vec<End>,
}

impl Desk<'_> {
    fn serve(&mut self, target: &mut Target) {
        if target.is_failing() && self.now_ms >= target.lapse_ms {
            self.give_up_lapsed(target);
        }
        let runs: Vec<RunId> = target.runs.keys().copied().collect();
        for run in runs {
            let recorded = self.worker.runs.contains_key(&run);
            let wanted = recorded && self.workload.wants(run);
            let Some(watch) = target.runs.get(&run).filter(|watch| !watch.settled) else {
                continue;
            };
            if wanted && !watch.give_up {
                self.start(target, run);
            } else {
                self.stop(target, run, recorded);
            }
        }
        self.look(target);
    }

    /// The lease has surely run out: whatever ran there has been ended by the worker itself.
    fn give_up_lapsed(&mut self, target: &mut Target) {
        for (run, watch) in &mut target.runs {
            if watch.settled || !self.worker.runs.contains_key(run) {
                continue;
            }
            watch.settled = true;
            self.ends.push(End {
                run: *run,
                worker: self.worker.info.id.clone(),
                kind: EndKind::Lost,
                checkpoint: watch.checkpoint.clone(),
            });
        }
    }

    fn order(&mut self, body: OrderBody) {
        self.orders.push(Order {
            to: Recipient {
                worker: self.worker.info.id.clone(),
                address: self.worker.info.address,
            },
            token: self.token,
            sent_ms: self.now_ms,
            body,
        });
    }

    fn start(&mut self, target: &mut Target, run: RunId) {
        let now_ms = self.now_ms;
        let ready = target
            .runs
            .get(&run)
            .is_some_and(|watch| match watch.start {
                StartPhase::Unsent => true,
                StartPhase::Unsure { retry_ms } => now_ms >= retry_ms,
                StartPhase::InFlight | StartPhase::Confirmed { .. } => false,
            });
        if !ready {
            return;
        }
        let Some(lease_until_ms) = target.grant(now_ms, self.timing) else {
            return;
        };
        let Some(job) = self.workload.job(run.task.step.job) else {
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
            permission: None,
        };
        if let Some(watch) = target.runs.get_mut(&run) {
            watch.start = StartPhase::InFlight;
        }
        self.order(body);
    }

    fn stop(&mut self, target: &mut Target, run: RunId, recorded: bool) {
        let now_ms = self.now_ms;
        let Some(watch) = target.runs.get_mut(&run) else {
            return;
        };
        if watch.start == StartPhase::Unsent {
            if recorded {
                watch.settled = true;
                self.ends.push(End {
                    run,
                    worker: self.worker.info.id.clone(),
                    kind: EndKind::NotStarted,
                    checkpoint: None,
                });
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
        if first_starts && !target.is_behind() && !target.is_back() {
            return;
        }
        let unsure = target
            .runs
            .values()
            .any(|watch| matches!(watch.start, StartPhase::Unsure { .. }));
        let settled = target.runs.is_empty() || unsure || target.is_failing();
        let wait_ms = if settled {
            0
        } else {
            LOOK_WAIT_MS.min(self.timing.lease_ms / LOOKS_IN_LEASE)
        };
        let lease_until_ms = if target.runs.is_empty() {
            None
        } else {
            target.grant(self.now_ms, self.timing)
        };
        target.looking = true;
        let recorded_to = target.recorded_to;
        self.order(OrderBody::Look {
            lease_until_ms,
            recorded_to,
            wait_ms,
        });
    }
}
