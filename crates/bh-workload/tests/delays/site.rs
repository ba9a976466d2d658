//! The site: its clock, its workers, and what is on its way.

use super::event::Event;
use super::faults::Case;
use super::faults::Fault;
use super::faults::MOST_HELD_MS;
use super::fleet::Fleet;
use super::gangs::Gangs;
use super::history::Finding;
use super::history::History;
use super::history::Rule;
use super::leader::Leader;
use super::log::Log;
use super::network::WaitingLook;
use super::reached::Reached;
use super::stands::Stands;
use super::stands::Stretch;
use super::work;
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

/// Time between looks at the workers' own doings, in milliseconds.
const TICK_MS: u64 = 10;
/// Time between a worker's heartbeats, in milliseconds.
const HEARTBEAT_MS: u64 = 1_500;
/// Time for which the site goes on after the last fault at least, in milliseconds: what was held up arrives.
const CALM_MS: u64 = 4_000;
/// By then everything must have ended: the last fault, the longest lease and several attempts after it.
const END_MS: u64 = 140_000;

/// A site.
pub struct Site<'a> {
    pub case: &'a Case,
    pub random: Random,
    pub now_ms: u64,
    pub workers: Vec<ModelWorker>,
    lives: Vec<usize>,
    addresses: Vec<SocketAddr>,
    /// Ends that each worker has not forgotten, as they were.
    pub listed: Vec<Vec<(u64, RunId, EndKind)>>,
    /// What is committed.
    pub record: Workload,
    /// Ends that are committed: worker, run, how it ended.
    pub recorded: BTreeSet<(String, RunId, EndKind)>,
    pub log: Log,
    pub leader: Option<Leader>,
    /// One that gives orders though another was elected.
    pub deposed: Option<Leader>,
    pub term: u64,
    events: BTreeMap<(u64, u64, u64), Event>,
    next_event: u64,
    /// Orders without an answer so far.
    pub calls: BTreeMap<u64, Order>,
    pub next_call: u64,
    /// Calls whose order was sent twice.
    pub repeated: BTreeSet<u64>,
    pub looks: Vec<WaitingLook>,
    pub jobs: Vec<JobId>,
    pub history: History,
    pub gangs: Gangs,
    pub stands: Stands,
    /// Runs that a later incarnation began by an order for an earlier one.
    pub misdelivered: BTreeSet<RunId>,
    rules_version: u64,
    pub reached: Reached,
    /// Faults whose stall in a turn has been used up.
    used: BTreeSet<usize>,
    trace: Option<Vec<(u64, String)>>,
}

/// Runs a case; returns how often it came to what it is for.
pub fn reached(case: &Case) -> Reached {
    let mut site = Site::new(case, false);
    site.run();
    site.all_reached()
}

/// Runs a case; returns how often it came to what it is for, and for how long jobs stood still in it.
pub fn stretches(case: &Case) -> (Reached, Vec<Stretch>) {
    let mut site = Site::new(case, false);
    site.run();
    (site.all_reached(), site.stands.over)
}

/// Runs a case; returns what it broke.
pub fn findings(case: &Case) -> Vec<Finding> {
    let mut site = Site::new(case, false);
    site.run();
    site.history.findings
}

/// Runs a case once more; returns what happened around the task of a finding, and to the record and the leader shortly before.
pub fn trace(case: &Case, finding: &Finding) -> String {
    const BEFORE_MS: u64 = 600;
    let mut site = Site::new(case, true);
    site.run();
    let name = finding.task.map(|task| match case.gangs {
        true => format!("{}.", task.step),
        false => task.to_string(),
    });
    let is_near = |at_ms: u64| (at_ms..at_ms + BEFORE_MS).contains(&finding.at_ms);
    let is_told = |(at_ms, text): &(u64, String)| {
        if *at_ms > finding.at_ms {
            return false;
        }
        let general = ["core", "fault", "commits", "loses"];
        is_near(*at_ms) && general.iter().any(|word| text.starts_with(word))
            || name.as_ref().is_some_and(|name| text.contains(name))
    };
    let lines = site.trace.unwrap_or_default();
    let lines = lines.iter().filter(|line| is_told(line));
    let lines: Vec<String> = lines
        .map(|(at_ms, text)| format!("{at_ms:>6} {text}"))
        .collect();
    lines.join("\n")
}

impl<'a> Site<'a> {
    fn new(case: &'a Case, traced: bool) -> Self {
        let slots = case.fleet.workers;
        let workers = (0..slots).map(|index| worker(case, index, 0, 0));
        let workers = workers.collect();
        let addresses = (0..slots).map(|index| worker_info(index, 1).address);
        let mut site = Self {
            case,
            random: Random::new(case.seed),
            now_ms: 0,
            workers,
            lives: vec![0; slots],
            addresses: addresses.collect(),
            listed: vec![Vec::new(); slots],
            record: Workload::default(),
            recorded: BTreeSet::new(),
            log: Log::default(),
            leader: None,
            deposed: None,
            term: 0,
            events: BTreeMap::new(),
            next_event: 0,
            calls: BTreeMap::new(),
            next_call: 0,
            repeated: BTreeSet::new(),
            looks: Vec::new(),
            jobs: Vec::new(),
            history: History::default(),
            gangs: Gangs::default(),
            stands: Stands::default(),
            misdelivered: BTreeSet::new(),
            rules_version: 1,
            reached: Reached::default(),
            used: BTreeSet::new(),
            trace: traced.then(Vec::new),
        };
        site.record
            .apply(Command::SetRules(Box::new(support::rules(1))));
        for index in 0..slots {
            let known = WorkerChange::Known(site.info(index));
            site.record.apply(Command::Workers(vec![known]));
            let at_ms = site.random.below(HEARTBEAT_MS);
            site.push(at_ms, Event::Heartbeat { index });
        }
        for job in 1..=case.fleet.jobs {
            let at_ms = site.random.below(case.fleet.submit_ms);
            site.push(at_ms, Event::Submit { job });
        }
        for (index, (at_ms, _)) in case.faults.iter().enumerate() {
            site.push(*at_ms, Event::Fault { index });
        }
        site.take_office(0, 0, 0);
        site
    }

    fn all_reached(&self) -> Reached {
        let (begins, begun_again) = self.history.begins();
        let lapses: u64 = self.workers.iter().map(|worker| worker.lapses).sum();
        Reached {
            begins,
            begun_again,
            lapses: usize::try_from(lapses).unwrap(),
            noted_done: self.history.noted(EndKind::Done),
            noted_failed: self.history.noted(EndKind::Failed),
            ..self.reached
        }
    }

    /// Notes what happened, for a run that is traced.
    pub fn note(&mut self, text: impl FnOnce() -> String) {
        if let Some(trace) = &mut self.trace {
            trace.push((self.now_ms, text()));
        }
    }

    /// Has something happen at a time.
    pub fn push(&mut self, at_ms: u64, event: Event) {
        self.next_event += 1;
        self.events.insert((at_ms, 0, self.next_event), event);
    }

    /// Puts off something until the leader has its processor back: what has waited is then found in any order.
    fn put_off(&mut self, at_ms: u64, event: Event) {
        const ORDERS: u64 = 1_000;
        self.next_event += 1;
        let order = self.random.below(ORDERS);
        self.events.insert((at_ms, order, self.next_event), event);
    }

    /// Whether something with this chance happens, in percent.
    pub fn chance(&mut self, percent: u64) -> bool {
        percent > 0 && self.random.below(100) < percent
    }

    /// The largest share in percent among the faults of a kind that go on now.
    pub fn percent(&self, of: impl Fn(&Fault) -> Option<(u64, u64)>) -> u64 {
        let now_ms = self.now_ms;
        let shares = self.case.faults.iter().filter_map(|(at_ms, fault)| {
            let (percent, for_ms) = of(fault)?;
            (now_ms >= *at_ms && now_ms < at_ms + for_ms).then_some(percent)
        });
        shares.max().unwrap_or(0)
    }

    /// Whether a worker is cut off.
    pub fn is_cut(&self, index: usize) -> bool {
        let percent = self.percent(|fault| match fault {
            Fault::Cut { worker, for_ms } if *worker == index => Some((100, *for_ms)),
            _ => None,
        });
        percent > 0
    }

    /// Where a worker that lives is.
    pub fn index_of(&self, id: &Incarnation) -> Option<usize> {
        self.workers.iter().position(|worker| worker.id == *id)
    }

    /// Where a later incarnation of a worker is.
    pub fn later_of(&self, id: &Incarnation) -> Option<usize> {
        let mut workers = self.workers.iter();
        workers.position(|worker| worker.id.is_other_incarnation(id))
    }

    /// The machine that an order goes to, whoever lives there.
    pub fn slot_of(&self, order: &Order) -> usize {
        let mut addresses = self.addresses.iter();
        addresses
            .position(|address| *address == order.to.address)
            .unwrap()
    }

    /// How long the leader loses its processor within this turn, in milliseconds.
    pub fn stall_in_turn_ms(&mut self) -> u64 {
        for (index, (at_ms, fault)) in self.case.faults.iter().enumerate() {
            if let Fault::Stall {
                for_ms,
                in_turn: true,
            } = fault
                && self.now_ms >= *at_ms
                && self.used.insert(index)
            {
                return *for_ms;
            }
        }
        0
    }

    pub fn fleet(&self) -> &'a Fleet {
        &self.case.fleet
    }

    /// What a worker says of itself.
    pub fn info(&self, index: usize) -> WorkerInfo {
        let fleet = self.fleet();
        let mut info = worker_info(index, fleet.per_rack);
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
        while self.now_ms < END_MS && !self.is_over() {
            let next_ms = self
                .events
                .first_key_value()
                .map_or(tick_ms, |(key, _)| key.0);
            self.now_ms = next_ms.min(tick_ms);
            if self.now_ms == tick_ms {
                tick_ms += TICK_MS;
            }
            self.pass();
            if self.case.gangs {
                self.pass_gangs();
                self.pass();
            }
            self.answer_looks();
            if self.fleet().is_mixed() {
                self.look_at_stands();
            }
            while let Some(entry) = self.events.first_entry() {
                if entry.key().0 > self.now_ms {
                    break;
                }
                let event = entry.remove();
                self.pass();
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
        self.history.check_begins();
    }

    fn is_over(&self) -> bool {
        let last_ms = self.case.faults.iter().map(|(at_ms, _)| *at_ms).max();
        self.now_ms > last_ms.unwrap_or(0).max(self.fleet().submit_ms) + CALM_MS
            && self.record.active_jobs().next().is_none()
    }

    /// Lets time pass for the workers.
    fn pass(&mut self) {
        let now_ms = self.now_ms;
        for index in 0..self.workers.len() {
            let worker = &mut self.workers[index];
            worker.advance(now_ms);
            let known = self.listed[index].last().map_or(0, |end| end.0);
            let newer = worker.ended.iter().filter(|end| end.number > known);
            let newer: Vec<_> = newer.map(|end| (end.number, end.run, end.kind)).collect();
            let (id, lapses) = (worker.id.clone(), worker.lapses);
            for end in newer {
                let is_gang = self.is_gang(end.1.task.step);
                let context = (lapses, is_gang);
                if self.history.note_end(now_ms, &id.to_string(), end, context) {
                    self.listed[index].push(end);
                    self.note(|| format!("{id} ends {} as {:?}, number {}", end.1, end.2, end.0));
                }
            }
        }
    }

    fn handle(&mut self, event: Event) {
        if let Some(at_ms) = self.put_off_until_ms(&event) {
            self.put_off(at_ms, event);
            return;
        }
        match event {
            Event::Submit { job } => self.submit(job),
            Event::Fault { index } => self.begin_fault(index),
            Event::FaultEnds { index } => self.end_fault(index),
            Event::Heartbeat { index } => self.heartbeat(index),
            Event::Hear {
                term,
                info,
                clock_ms,
            } => self.hear(term, &info, clock_ms),
            Event::Turn { term } => self.turn(term),
            Event::Send { order } => self.send(order),
            Event::Arrive { call, order, way } => self.arrive(call, order, way),
            Event::Answer { call, answer, .. } => self.answer(call, answer),
            Event::Read {
                order,
                answer,
                repeated,
            } => self.read_answer(&order, &answer, repeated),
            Event::Timeout { call } => self.give_up_call(call),
            Event::Commit if self.leader.is_some() => self.commit(self.now_ms, 2),
            Event::Commit => {}
            Event::RecordTimeout { id } => self.settle(id, RecordOutcome::Unknown, 0),
            Event::Result {
                id,
                waiting,
                outcome,
            } => self.take_result(id, &waiting, outcome),
            Event::Depose { index, by_ms } => self.depose_in_time(index, by_ms),
            Event::StepDown { term } => {
                self.deposed.take_if(|leader| leader.term == term);
            }
            Event::TakeOffice { core, lost, gap_ms } => self.take_office(core, lost, gap_ms),
        }
    }

    /// Until when something has to wait, for want of a processor or of a disk.
    fn put_off_until_ms(&mut self, event: &Event) -> Option<u64> {
        let term = match event {
            Event::Hear { term, .. } | Event::Turn { term } | Event::Answer { term, .. } => *term,
            Event::Read { order, .. } => order.token,
            Event::Timeout { call } => self.calls.get(call)?.token,
            Event::Result { waiting, .. } => {
                let leaders = self.leader.iter().chain(&self.deposed);
                let mut own = leaders.filter(|leader| leader.core == waiting.core);
                own.next()?.term
            }
            Event::RecordTimeout { id } => self.log.waiting.get(id)?.term,
            Event::Commit => return self.stuck_until_ms(),
            _ => return None,
        };
        self.stalled_until_ms(term)
    }

    /// Until when nothing is committed.
    fn stuck_until_ms(&self) -> Option<u64> {
        let now_ms = self.now_ms;
        let stuck = self
            .case
            .faults
            .iter()
            .filter_map(|(at_ms, fault)| match fault {
                Fault::StuckRecords { for_ms } if now_ms >= *at_ms => Some(at_ms + for_ms),
                _ => None,
            });
        stuck.max().filter(|until_ms| now_ms < *until_ms)
    }

    /// A job of a step of tasks and another one after it.
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
        let work = work::draw(&mut self.random, &self.case.fleet);
        let reply = self.record.apply(Command::Accept {
            place: place(work.priority, work.customer, id),
            spec: JobSpec {
                text: Arc::from("text"),
                steps: work.steps,
                schedule: None,
            },
            now_ms: START_WALL_MS + self.now_ms,
        });
        // Its queue may not be in the rules now.
        if reply == Reply::Done {
            self.jobs.push(id);
            self.wake(self.term);
        }
    }

    /// Puts rules in force as the faults that go on now have them.
    fn change_rules(&mut self) {
        self.rules_version += 1;
        let mut rules = support::rules(self.rules_version);
        let now_ms = self.now_ms;
        for (at_ms, fault) in &self.case.faults {
            let goes_on = |for_ms: &u64| now_ms >= *at_ms && now_ms < at_ms + for_ms;
            match fault {
                Fault::NoQueue { priority, for_ms } if goes_on(for_ms) => {
                    rules.queues.retain(|queue| queue.priority != *priority);
                }
                Fault::FewerAttempts { for_ms } if goes_on(for_ms) => {
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
        self.note(|| format!("fault ends: {fault:?}"));
        match fault {
            Fault::Evacuation { far, .. } => {
                let data_centre = Arc::from(data_centre(*far));
                self.record.apply(Command::EndEvacuation { data_centre });
                self.wake(self.term);
            }
            Fault::NoQueue { .. } | Fault::FewerAttempts { .. } => self.change_rules(),
            _ => {}
        }
    }

    fn begin_fault(&mut self, index: usize) {
        let fault = self.case.faults[index].1.clone();
        self.note(|| format!("fault {fault:?}"));
        self.disturb(self.now_ms + fault.disturbs_ms());
        if let Some(for_ms) = fault.lasts_ms() {
            self.push(self.now_ms + for_ms, Event::FaultEnds { index });
        }
        match fault {
            Fault::Reborn { worker } => self.reborn(worker),
            Fault::CrashInGang => {
                if let Some(worker) = self.worker_of_gang() {
                    self.reborn(worker);
                }
            }
            Fault::Leader { .. } => {
                let by_ms = self.now_ms + 1_000;
                self.push(self.now_ms, Event::Depose { index, by_ms });
            }
            Fault::Stall {
                for_ms,
                in_turn: false,
            } => {
                let until_ms = self.now_ms + for_ms;
                if let Some(leader) = &mut self.leader {
                    leader.stalled_until_ms = leader.stalled_until_ms.max(until_ms);
                }
                self.note(|| format!("leader stalls for {for_ms} ms"));
            }
            Fault::GiveUp { job } => self.give_up(job),
            Fault::Evacuation { far, .. } => {
                self.record.apply(Command::Evacuate {
                    data_centre: Arc::from(data_centre(far)),
                    now_ms: START_WALL_MS + self.now_ms,
                });
                self.wake(self.term);
            }
            Fault::NoQueue { .. } | Fault::FewerAttempts { .. } => self.change_rules(),
            _ => {}
        }
    }

    fn depose_in_time(&mut self, index: usize, by_ms: u64) {
        if self.now_ms < by_ms && !self.log.holds_ends() {
            self.push(self.now_ms + 1, Event::Depose { index, by_ms });
        } else if let Fault::Leader {
            same_core,
            lost,
            gap_ms,
            deposed_ms,
        } = self.case.faults[index].1
        {
            self.depose(same_core, lost, gap_ms, deposed_ms);
        }
    }

    fn reborn(&mut self, index: usize) {
        self.lives[index] += 1;
        self.workers[index] = worker(self.case, index, self.lives[index], self.now_ms);
        self.listed[index].clear();
    }

    fn heartbeat(&mut self, index: usize) {
        let now_ms = self.now_ms;
        self.push(now_ms + HEARTBEAT_MS, Event::Heartbeat { index });
        if self.is_cut(index) {
            return;
        }
        let info = Box::new(self.info(index));
        let clock_ms = self.workers[index].clock_ms(now_ms);
        let late = self.percent(|fault| match fault {
            Fault::LateHeartbeats { percent, for_ms } => Some((*percent, *for_ms)),
            _ => None,
        });
        if self.chance(late) {
            return;
        }
        let held_ms = if self.chance(late) {
            self.random.below(MOST_HELD_MS)
        } else {
            0
        };
        let terms = self.leader.iter().chain(&self.deposed);
        if let Some(term) = terms.map(|leader| leader.term).next() {
            self.push(
                now_ms + 1 + held_ms,
                Event::Hear {
                    term,
                    info,
                    clock_ms,
                },
            );
        }
    }
}

/// The name of one of two data centres.
fn data_centre(far: bool) -> &'static str {
    if far { FAR } else { "dc" }
}

/// One life of a worker, which starts at `now_ms`. The clocks of half of them are as slow as is allowed.
fn worker(case: &Case, index: usize, life: usize, now_ms: u64) -> ModelWorker {
    let rate = if index.is_multiple_of(2) { 980 } else { 1_000 };
    let id = if case.fleet.is_mixed() {
        format!("w{index:02}@{}", START_WALL_MS + now_ms)
    } else if life == 0 {
        format!("w{index:02}")
    } else {
        format!("w{index:02}-{life}")
    };
    let offset_ms = u64::try_from(700 * index + 5_000 * life).unwrap();
    ModelWorker::new(worker_id(&id), rate, offset_ms, case.planted)
}
