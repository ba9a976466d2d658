//! The simulated site: its clock, its workers, and the events to come.

use super::coverage::Coverage;
use super::event::Event;
use super::faults::Case;
use super::faults::Fault;
use super::faults::MAX_DELAY_MS;
use super::fleet::Fleet;
use super::gangs::Gangs;
use super::history::Finding;
use super::history::History;
use super::history::Rule;
use super::job_draft;
use super::leader::Leader;
use super::log::Log;
use super::network::WaitingProbe;
use super::stalls::StallDuration;
use super::stalls::Stalls;
use crate::support;
use crate::support::FAR;
use crate::support::START_WALL_MS;
use crate::support::place;
use crate::support::step;
use crate::support::worker_id;
use crate::support::worker_info;
use bh_protocol::Incarnation;
use bh_testkit::Random;
use bh_testkit::model_worker::ModelWorker;
use bh_workload::dispatch::Order;
use bh_workload::dispatch::RecordOutcome;
use bh_workload::job::JobId;
use bh_workload::job::JobSpec;
use bh_workload::job::Resources;
use bh_workload::job::RunId;
use bh_workload::job::StepSpec;
use bh_workload::state::Command;
use bh_workload::state::EndKind;
use bh_workload::state::Reply;
use bh_workload::state::WorkerChange;
use bh_workload::state::WorkerInfo;
use bh_workload::state::Workload;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

/// Time between steps in which the workers' own work advances, in milliseconds.
const TICK_MS: u64 = 10;
/// Time between a worker's heartbeats, in milliseconds.
const HEARTBEAT_MS: u64 = 1_500;
/// Shortest time that the site runs after the last fault or submission, in milliseconds: long enough for delayed messages to arrive.
const SETTLE_MS: u64 = 4_000;
/// Time by which every job must have ended, in milliseconds: after the last fault there is time for the longest lease and several attempts.
const MAX_DURATION_MS: u64 = 140_000;

/// A simulated site.
pub struct Site<'a> {
    pub case: &'a Case,
    pub random: Random,
    pub now_ms: u64,
    pub workers: Vec<ModelWorker>,
    restart_counts: Vec<usize>,
    addresses: Vec<SocketAddr>,
    /// Ends that each worker has not forgotten, with their true kinds.
    pub listed_ends: Vec<Vec<(u64, RunId, EndKind)>>,
    /// The record, with everything that is committed.
    pub record: Workload,
    /// Committed ends: worker, run, and how it ended.
    pub recorded_ends: BTreeSet<(String, RunId, EndKind)>,
    pub log: Log,
    pub leader: Option<Leader>,
    /// A deposed leader that still gives orders.
    pub deposed: Option<Leader>,
    pub term: u64,
    events: BTreeMap<(u64, u64, u64), Event>,
    next_event: u64,
    /// Orders without an answer so far, by call.
    pub calls: BTreeMap<u64, Order>,
    pub next_call: u64,
    /// Calls whose order was sent twice.
    pub resent_calls: BTreeSet<u64>,
    pub waiting_probes: Vec<WaitingProbe>,
    pub jobs: Vec<JobId>,
    pub history: History,
    pub gangs: Gangs,
    pub stalls: Stalls,
    /// Runs that a later incarnation started by an order for an earlier one.
    pub misdelivered_runs: BTreeSet<RunId>,
    rules_version: u64,
    pub coverage: Coverage,
    /// Indices of the faults whose stall within a turn has occurred.
    used_stalls: BTreeSet<usize>,
    trace: Option<Vec<(u64, String)>>,
}

/// Runs a case; returns its coverage.
pub fn coverage(case: &Case) -> Coverage {
    let mut site = Site::new(case, false);
    site.run();
    site.total_coverage()
}

/// Runs a case; returns its coverage and the durations of its stalls.
pub fn stall_durations(case: &Case) -> (Coverage, Vec<StallDuration>) {
    let mut site = Site::new(case, false);
    site.run();
    (site.total_coverage(), site.stalls.ended)
}

/// Runs a case; returns the rules that it broke.
pub fn findings(case: &Case) -> Vec<Finding> {
    let mut site = Site::new(case, false);
    site.run();
    site.history.findings
}

/// Runs a case again; returns the events of the task of a finding, and those of the record and the leader shortly before the finding.
pub fn trace(case: &Case, finding: &Finding) -> String {
    const TRACED_BEFORE_MS: u64 = 600;
    let mut site = Site::new(case, true);
    site.run();
    let name = finding.task.map(|task| match case.gangs {
        true => format!("{}.", task.step),
        false => task.to_string(),
    });
    let is_shortly_before = |at_ms: u64| (at_ms..at_ms + TRACED_BEFORE_MS).contains(&finding.at_ms);
    let is_relevant = |(at_ms, text): &(u64, String)| {
        if *at_ms > finding.at_ms {
            return false;
        }
        let prefixes = ["core", "fault", "commits", "loses"];
        is_shortly_before(*at_ms) && prefixes.iter().any(|prefix| text.starts_with(prefix))
            || name.as_ref().is_some_and(|name| text.contains(name))
    };
    let lines = site.trace.unwrap_or_default();
    let lines = lines.iter().filter(|line| is_relevant(line));
    let lines: Vec<String> = lines
        .map(|(at_ms, text)| format!("{at_ms:>6} {text}"))
        .collect();
    lines.join("\n")
}

impl<'a> Site<'a> {
    fn new(case: &'a Case, traced: bool) -> Self {
        let vm_count = case.fleet.workers;
        let workers = (0..vm_count).map(|index| worker(case, index, 0, 0));
        let workers = workers.collect();
        let addresses = (0..vm_count).map(|index| worker_info(index, 1).address);
        let mut site = Self {
            case,
            random: Random::new(case.seed),
            now_ms: 0,
            workers,
            restart_counts: vec![0; vm_count],
            addresses: addresses.collect(),
            listed_ends: vec![Vec::new(); vm_count],
            record: Workload::default(),
            recorded_ends: BTreeSet::new(),
            log: Log::default(),
            leader: None,
            deposed: None,
            term: 0,
            events: BTreeMap::new(),
            next_event: 0,
            calls: BTreeMap::new(),
            next_call: 0,
            resent_calls: BTreeSet::new(),
            waiting_probes: Vec::new(),
            jobs: Vec::new(),
            history: History::default(),
            gangs: Gangs::default(),
            stalls: Stalls::default(),
            misdelivered_runs: BTreeSet::new(),
            rules_version: 1,
            coverage: Coverage::default(),
            used_stalls: BTreeSet::new(),
            trace: traced.then(Vec::new),
        };
        site.record
            .apply(Command::SetRules(Box::new(support::rules(1))));
        for index in 0..vm_count {
            let known = WorkerChange::Known(site.info(index));
            site.record.apply(Command::Workers(vec![known]));
            let at_ms = site.random.below(HEARTBEAT_MS);
            site.push(at_ms, Event::SendHeartbeat { index });
        }
        for job in 1..=case.fleet.job_count {
            let at_ms = site.random.below(case.fleet.submit_ms);
            site.push(at_ms, Event::Submit { job });
        }
        for (index, (at_ms, _)) in case.faults.iter().enumerate() {
            site.push(*at_ms, Event::Fault { index });
        }
        site.elect(0, 0, 0);
        site
    }

    fn total_coverage(&self) -> Coverage {
        let (starts, restarts) = self.history.count_starts();
        let lapses: u64 = self.workers.iter().map(|worker| worker.lapses).sum();
        Coverage {
            starts,
            restarts,
            lapses: usize::try_from(lapses).unwrap(),
            acknowledged_done: self.history.count_acknowledged(EndKind::Done),
            acknowledged_failed: self.history.count_acknowledged(EndKind::Failed),
            ..self.coverage
        }
    }

    /// Adds an event to the trace, if the run is traced.
    pub fn trace_event(&mut self, text: impl FnOnce() -> String) {
        if let Some(trace) = &mut self.trace {
            trace.push((self.now_ms, text()));
        }
    }

    /// Schedules an event.
    pub fn push(&mut self, at_ms: u64, event: Event) {
        self.next_event += 1;
        self.events.insert((at_ms, 0, self.next_event), event);
    }

    /// Postpones an event to `at_ms`, when the leader has its processor back. The postponed events then happen in random order.
    fn postpone(&mut self, at_ms: u64, event: Event) {
        const ORDER_VALUES: u64 = 1_000;
        self.next_event += 1;
        let order = self.random.below(ORDER_VALUES);
        self.events.insert((at_ms, order, self.next_event), event);
    }

    /// Returns whether something with this chance, in percent, happens.
    pub fn chance(&mut self, percent: u64) -> bool {
        percent > 0 && self.random.below(100) < percent
    }

    /// Returns the largest share, in percent, among the active faults that `of` selects by share and duration.
    pub fn percent(&self, of: impl Fn(&Fault) -> Option<(u64, u64)>) -> u64 {
        let now_ms = self.now_ms;
        let shares = self.case.faults.iter().filter_map(|(at_ms, fault)| {
            let (percent, duration_ms) = of(fault)?;
            (now_ms >= *at_ms && now_ms < at_ms + duration_ms).then_some(percent)
        });
        shares.max().unwrap_or(0)
    }

    /// Returns whether a worker is cut off.
    pub fn is_disconnected(&self, index: usize) -> bool {
        let percent = self.percent(|fault| match fault {
            Fault::Disconnect {
                worker,
                duration_ms,
            } if *worker == index => Some((100, *duration_ms)),
            _ => None,
        });
        percent > 0
    }

    /// Returns the index of a worker that is up.
    pub fn index_of(&self, id: &Incarnation) -> Option<usize> {
        self.workers.iter().position(|worker| worker.id == *id)
    }

    /// Returns the index of another incarnation of a worker.
    pub fn later_incarnation_of(&self, id: &Incarnation) -> Option<usize> {
        let mut workers = self.workers.iter();
        workers.position(|worker| worker.id.is_other_incarnation(id))
    }

    /// Returns the index of the VM that an order goes to, whichever incarnation is there.
    pub fn slot_of(&self, order: &Order) -> usize {
        let mut addresses = self.addresses.iter();
        addresses
            .position(|address| *address == order.to.address)
            .unwrap()
    }

    /// Returns how long the leader stalls within this turn, in milliseconds.
    pub fn stall_in_turn_ms(&mut self) -> u64 {
        for (index, (at_ms, fault)) in self.case.faults.iter().enumerate() {
            if let Fault::Stall {
                duration_ms,
                in_turn: true,
            } = fault
                && self.now_ms >= *at_ms
                && self.used_stalls.insert(index)
            {
                return *duration_ms;
            }
        }
        0
    }

    pub fn fleet(&self) -> &'a Fleet {
        &self.case.fleet
    }

    /// Returns what a worker reports about itself.
    pub fn info(&self, index: usize) -> WorkerInfo {
        let fleet = self.fleet();
        let mut info = worker_info(index, fleet.workers_per_rack);
        info.id = self.workers[index].id.clone();
        if fleet.is_mixed() {
            info.capacity = Resources {
                cpu_millis: 32_000,
                memory_mb: 65_536,
                accelerators: 8,
            };
            if index * 2 >= fleet.workers {
                info.data_centre = Arc::from(FAR);
            }
        }
        info
    }

    fn run(&mut self) {
        let mut tick_ms = 0;
        while self.now_ms < MAX_DURATION_MS && !self.is_finished() {
            let next_ms = self
                .events
                .first_key_value()
                .map_or(tick_ms, |(key, _)| key.0);
            self.now_ms = next_ms.min(tick_ms);
            if self.now_ms == tick_ms {
                tick_ms += TICK_MS;
            }
            self.advance_workers();
            if self.case.gangs {
                self.advance_gangs();
                self.advance_workers();
            }
            self.answer_due_probes();
            if self.fleet().is_mixed() {
                self.check_stalls();
            }
            while let Some(entry) = self.events.first_entry() {
                if entry.key().0 > self.now_ms {
                    break;
                }
                let event = entry.remove();
                self.advance_workers();
                self.handle(event);
            }
        }
        for id in self.jobs.clone() {
            let job = self.record.job(id).unwrap();
            if job.outcome.is_none() {
                let steps = format!("{:?}", job.steps);
                self.history.findings.push(Finding {
                    rule: Rule::JobsEnd,
                    at_ms: self.now_ms,
                    task: None,
                    text: format!("job {id} has not ended: {steps}"),
                });
            }
        }
        self.history.check_starts();
    }

    fn is_finished(&self) -> bool {
        let last_ms = self.case.faults.iter().map(|(at_ms, _)| *at_ms).max();
        self.now_ms > last_ms.unwrap_or(0).max(self.fleet().submit_ms) + SETTLE_MS
            && self.record.active_jobs().next().is_none()
    }

    /// Lets leases run out, stops take effect and runs finish on the workers; records the new ends.
    fn advance_workers(&mut self) {
        let now_ms = self.now_ms;
        for index in 0..self.workers.len() {
            let worker = &mut self.workers[index];
            worker.advance(now_ms);
            let known = self.listed_ends[index].last().map_or(0, |end| end.0);
            let newer = worker.ended.iter().filter(|end| end.number > known);
            let newer: Vec<_> = newer.map(|end| (end.number, end.run, end.kind)).collect();
            let (id, lapses) = (worker.id.clone(), worker.lapses);
            for end in newer {
                let is_gang = self.is_gang(end.1.task.step);
                let context = (lapses, is_gang);
                if self
                    .history
                    .record_end(now_ms, &id.to_string(), end, context)
                {
                    self.listed_ends[index].push(end);
                    self.trace_event(|| {
                        format!("{id} ends {} as {:?}, number {}", end.1, end.2, end.0)
                    });
                }
            }
        }
    }

    fn handle(&mut self, event: Event) {
        if let Some(at_ms) = self.postponed_until_ms(&event) {
            self.postpone(at_ms, event);
            return;
        }
        match event {
            Event::Submit { job } => self.submit(job),
            Event::Fault { index } => self.start_fault(index),
            Event::FaultEnds { index } => self.end_fault(index),
            Event::SendHeartbeat { index } => self.send_heartbeat(index),
            Event::ReadHeartbeat {
                term,
                info,
                clock_ms,
            } => self.read_heartbeat(term, &info, clock_ms),
            Event::Turn { term } => self.turn(term),
            Event::SendOrder { order } => self.send(order),
            Event::OrderArrives {
                call,
                order,
                delivery,
            } => self.deliver(call, order, delivery),
            Event::AnswerArrives { call, answer, .. } => self.receive_answer(call, answer),
            Event::ReadAnswer {
                order,
                answer,
                repeated,
            } => self.read_answer(&order, &answer, repeated),
            Event::CallTimeout { call } => self.time_out_call(call),
            Event::Commit if self.leader.is_some() => self.commit(self.now_ms, 2),
            Event::Commit => {}
            Event::ProposalTimeout { id } => self.resolve(id, RecordOutcome::Unknown, 0),
            Event::ProposalResult {
                id,
                pending,
                outcome,
            } => self.read_outcome(id, &pending, outcome),
            Event::Depose { index, by_ms } => self.depose_when_due(index, by_ms),
            Event::StepDown { term } => {
                self.deposed.take_if(|leader| leader.term == term);
            }
            Event::Elect { core, lost, gap_ms } => self.elect(core, lost, gap_ms),
        }
    }

    /// Returns until when an event has to wait because its core is stalled or no proposal can be committed.
    fn postponed_until_ms(&mut self, event: &Event) -> Option<u64> {
        let term = match event {
            Event::ReadHeartbeat { term, .. }
            | Event::Turn { term }
            | Event::AnswerArrives { term, .. } => *term,
            Event::ReadAnswer { order, .. } => order.token,
            Event::CallTimeout { call } => self.calls.get(call)?.token,
            Event::ProposalResult { pending, .. } => {
                let leaders = self.leader.iter().chain(&self.deposed);
                let mut proposers = leaders.filter(|leader| leader.core == pending.core);
                proposers.next()?.term
            }
            Event::ProposalTimeout { id } => self.log.unresolved.get(id)?.term,
            Event::Commit => return self.commits_stuck_until_ms(),
            _ => return None,
        };
        self.stalled_until_ms(term)
    }

    /// Returns until when nothing is committed.
    fn commits_stuck_until_ms(&self) -> Option<u64> {
        let now_ms = self.now_ms;
        let stuck = self
            .case
            .faults
            .iter()
            .filter_map(|(at_ms, fault)| match fault {
                Fault::StuckRecords { duration_ms } if now_ms >= *at_ms => {
                    Some(at_ms + duration_ms)
                }
                _ => None,
            });
        stuck.max().filter(|until_ms| now_ms < *until_ms)
    }

    /// Submits a job of a step with several tasks and a second step after it.
    fn submit(&mut self, job: u64) {
        let id = JobId(job);
        if self.fleet().is_mixed() {
            self.submit_mixed(id);
            return;
        }
        let first = StepSpec {
            gang: self.case.gangs && job % 2 == 1,
            ..step(1 + u32::try_from(job % 3).unwrap(), 1 + job % 4)
        };
        let after = StepSpec {
            after: vec![0],
            ..step(1, 1)
        };
        let spec = JobSpec {
            text: Arc::from("text"),
            steps: vec![first, after],
            schedule: None,
        };
        self.record.apply(Command::Accept {
            place: place(1, "other", id),
            spec,
            now_ms: START_WALL_MS + self.now_ms,
        });
        self.jobs.push(id);
        self.wake(self.term);
    }

    fn submit_mixed(&mut self, id: JobId) {
        let draft = job_draft::draw_job(&mut self.random, &self.case.fleet);
        let reply = self.record.apply(Command::Accept {
            place: place(draft.priority, draft.customer, id),
            spec: JobSpec {
                text: Arc::from("text"),
                steps: draft.steps,
                schedule: None,
            },
            now_ms: START_WALL_MS + self.now_ms,
        });
        // The job is refused while its queue is not in the rules.
        if reply == Reply::Done {
            self.jobs.push(id);
            self.wake(self.term);
        }
    }

    /// Sets the rules that the active faults call for.
    fn change_rules(&mut self) {
        self.rules_version += 1;
        let mut rules = support::rules(self.rules_version);
        let now_ms = self.now_ms;
        for (at_ms, fault) in &self.case.faults {
            let is_active = |duration_ms: &u64| now_ms >= *at_ms && now_ms < at_ms + duration_ms;
            match fault {
                Fault::MissingQueue {
                    priority,
                    duration_ms,
                } if is_active(duration_ms) => {
                    rules.queues.retain(|queue| queue.priority != *priority);
                }
                Fault::FewerAttempts { duration_ms } if is_active(duration_ms) => {
                    for queue in &mut rules.queues {
                        Arc::make_mut(queue).max_attempts = 1;
                    }
                }
                _ => {}
            }
        }
        let reply = self.record.apply(Command::SetRules(Box::new(rules)));
        assert_eq!(reply, Reply::Done);
        self.wake(self.term);
    }

    fn end_fault(&mut self, index: usize) {
        self.disturb(self.now_ms);
        let (_, fault) = &self.case.faults[index];
        self.trace_event(|| format!("fault ends: {fault:?}"));
        match fault {
            Fault::Evacuation { far, .. } => {
                let data_centre = Arc::from(data_centre(*far));
                self.record.apply(Command::EndEvacuation {
                    data_centre,
                    known_change: None,
                });
                self.wake(self.term);
            }
            Fault::MissingQueue { .. } | Fault::FewerAttempts { .. } => self.change_rules(),
            _ => {}
        }
    }

    fn start_fault(&mut self, index: usize) {
        let fault = self.case.faults[index].1.clone();
        self.trace_event(|| format!("fault starts: {fault:?}"));
        self.disturb(self.now_ms + fault.disturbance_ms());
        if let Some(duration_ms) = fault.timed_duration_ms() {
            self.push(self.now_ms + duration_ms, Event::FaultEnds { index });
        }
        match fault {
            Fault::Restart { worker } => self.restart_worker(worker),
            Fault::CrashGangMember => {
                if let Some(worker) = self.random_gang_worker() {
                    self.restart_worker(worker);
                }
            }
            Fault::ReplaceLeader { .. } => {
                let by_ms = self.now_ms + 1_000;
                self.push(self.now_ms, Event::Depose { index, by_ms });
            }
            Fault::Stall {
                duration_ms,
                in_turn: false,
            } => {
                let until_ms = self.now_ms + duration_ms;
                if let Some(leader) = &mut self.leader {
                    leader.stalled_until_ms = leader.stalled_until_ms.max(until_ms);
                }
                self.trace_event(|| format!("leader stalls for {duration_ms} ms"));
            }
            Fault::StopRuns { job } => self.stop_job_runs(job),
            Fault::Evacuation { far, .. } => {
                self.record.apply(Command::Evacuate {
                    data_centre: Arc::from(data_centre(far)),
                    now_ms: START_WALL_MS + self.now_ms,
                    known_change: None,
                });
                self.wake(self.term);
            }
            Fault::MissingQueue { .. } | Fault::FewerAttempts { .. } => self.change_rules(),
            _ => {}
        }
    }

    fn depose_when_due(&mut self, index: usize, by_ms: u64) {
        if self.now_ms < by_ms && !self.log.holds_ends() {
            self.push(self.now_ms + 1, Event::Depose { index, by_ms });
        } else if let Fault::ReplaceLeader {
            same_core,
            lost,
            gap_ms,
            deposed_ms,
        } = self.case.faults[index].1
        {
            self.depose(same_core, lost, gap_ms, deposed_ms);
        }
    }

    fn restart_worker(&mut self, index: usize) {
        self.restart_counts[index] += 1;
        self.workers[index] = worker(self.case, index, self.restart_counts[index], self.now_ms);
        self.listed_ends[index].clear();
    }

    fn send_heartbeat(&mut self, index: usize) {
        let now_ms = self.now_ms;
        self.push(now_ms + HEARTBEAT_MS, Event::SendHeartbeat { index });
        if self.is_disconnected(index) {
            return;
        }
        let info = Box::new(self.info(index));
        let clock_ms = self.workers[index].clock_ms(now_ms);
        let late = self.percent(|fault| match fault {
            Fault::LateHeartbeats {
                percent,
                duration_ms,
            } => Some((*percent, *duration_ms)),
            _ => None,
        });
        if self.chance(late) {
            return;
        }
        let delay_ms = if self.chance(late) {
            self.random.below(MAX_DELAY_MS)
        } else {
            0
        };
        let terms = self.leader.iter().chain(&self.deposed);
        if let Some(term) = terms.map(|leader| leader.term).next() {
            self.push(
                now_ms + 1 + delay_ms,
                Event::ReadHeartbeat {
                    term,
                    info,
                    clock_ms,
                },
            );
        }
    }
}

/// Returns the name of one of the two data centres.
fn data_centre(far: bool) -> &'static str {
    if far { FAR } else { "dc" }
}

/// Creates an incarnation of a worker that starts at `now_ms`. The clocks of half of the workers are as slow as the protocol allows.
fn worker(case: &Case, index: usize, restart_count: usize, now_ms: u64) -> ModelWorker {
    let rate = if index.is_multiple_of(2) { 980 } else { 1_000 };
    let id = if case.fleet.is_mixed() {
        format!("w{index:02}@{}", START_WALL_MS + now_ms)
    } else if restart_count == 0 {
        format!("w{index:02}")
    } else {
        format!("w{index:02}-{restart_count}")
    };
    let offset_ms = u64::try_from(700 * index + 5_000 * restart_count).unwrap();
    ModelWorker::new(worker_id(&id), rate, offset_ms, case.protocol_fault)
}
