//! A core that leads, driven in the same way as in the real process.

use super::event::Event;
use super::faults::Fault;
use super::log::PendingResult;
use super::site::Site;
use super::summary::summarize_answer;
use super::summary::summarize_command;
use crate::support::START_WALL_MS;
use bh_group::Machine;
use bh_protocol::Incarnation;
use bh_workload::dispatch::Answer;
use bh_workload::dispatch::Dispatcher;
use bh_workload::dispatch::Order;
use bh_workload::dispatch::OrderBody;
use bh_workload::dispatch::RecordOutcome;
use bh_workload::dispatch::Target;
use bh_workload::job::JobId;
use bh_workload::plan::Planner;
use bh_workload::plan::WaitReason;
use bh_workload::state::Command;
use bh_workload::state::Worker;
use bh_workload::state::WorkerChange;
use bh_workload::state::WorkerInfo;
use bh_workload::state::Workload;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// Longest time between two turns of the leader, in milliseconds.
const TURN_INTERVAL_MS: u64 = 50;
/// Time between passes over all workers, in milliseconds.
const SWEEP_INTERVAL_MS: u64 = 100;
/// Longest time between plans, in milliseconds.
const PLAN_INTERVAL_MS: u64 = 200;
/// Shortest time between plans, in milliseconds.
const MIN_PLAN_INTERVAL_MS: u64 = 10;
/// Longest wait for a proposal to be committed, in milliseconds.
const PROPOSAL_TIMEOUT_MS: u64 = 3_000;
/// Time without a leader, in milliseconds, after which workers get work only once they have sent a heartbeat.
const OUTDATED_INFO_GAP_MS: u64 = 2_500;

/// State of a core that leads.
pub struct Leader {
    pub core: usize,
    pub term: u64,
    pub dispatcher: Dispatcher,
    planner: Planner,
    plan_pending: bool,
    plan_due: bool,
    planned_ms: u64,
    next_plan_ms: u64,
    swept_ms: u64,
    /// When the next turn is due.
    next_turn_ms: u64,
    /// Until when the leader has no processor time.
    pub stalled_until_ms: u64,
    /// The record as of the election of the next leader, and until when this one keeps sending orders.
    pub deposed: Option<(Workload, u64)>,
}

impl Site<'_> {
    /// Returns the leader of a term, as long as that core believes that it leads.
    fn leader_of(&mut self, term: u64) -> Option<&mut Leader> {
        let all = self.leader.iter_mut().chain(self.deposed.iter_mut());
        all.into_iter().find(|leader| leader.term == term)
    }

    /// Returns until when the leader of a term is stalled, if it is stalled now.
    pub fn stalled_until_ms(&mut self, term: u64) -> Option<u64> {
        let now_ms = self.now_ms;
        let until_ms = self.leader_of(term)?.stalled_until_ms;
        (now_ms < until_ms).then_some(until_ms)
    }

    /// Schedules a turn of the leader of a term now.
    pub fn wake(&mut self, term: u64) {
        let at_ms = self.now_ms + 1;
        let earlier = |leader: &&mut Leader| leader.next_turn_ms > at_ms;
        if let Some(leader) = self.leader_of(term).filter(earlier) {
            leader.next_turn_ms = at_ms;
            self.push(at_ms, Event::Turn { term });
        }
    }

    /// Takes a leader out of the site, so that it can act on the rest of the site.
    fn take_leader(&mut self, term: u64) -> Option<Leader> {
        let of_term = |leader: &mut Leader| leader.term == term;
        let current = self.leader.take_if(of_term);
        current.or_else(|| self.deposed.take_if(of_term))
    }

    fn put_back(&mut self, leader: Leader) {
        match leader.deposed {
            Some(_) => self.deposed = Some(leader),
            None => self.leader = Some(leader),
        }
    }

    /// Runs one turn of the leader's loop: orders, then a plan.
    pub fn turn(&mut self, term: u64) {
        let now_ms = self.now_ms;
        let Some(mut leader) = self.take_leader(term) else {
            return;
        };
        if leader.next_turn_ms > now_ms {
            self.put_back(leader);
            return;
        }
        leader.next_turn_ms = now_ms + TURN_INTERVAL_MS;
        self.push(leader.next_turn_ms, Event::Turn { term });
        if leader.deposed.is_none() {
            let record_events = self.record.take_events();
            leader.plan_due |= record_events.plan;
            leader
                .dispatcher
                .note_events(now_ms, &record_events, &self.record);
        }
        let is_sweep = now_ms >= leader.swept_ms + SWEEP_INTERVAL_MS;
        if is_sweep {
            leader.swept_ms = now_ms;
        }
        let record = leader
            .deposed
            .as_ref()
            .map_or(&self.record, |deposed| &deposed.0);
        let (orders, ends) = leader.dispatcher.orders(now_ms, record, is_sweep);
        let stall_ms = if orders.is_empty() {
            0
        } else {
            self.stall_in_turn_ms()
        };
        if stall_ms > 0 {
            self.coverage.stalls_in_turn += 1;
            leader.stalled_until_ms = now_ms + stall_ms;
            self.disturb(now_ms + stall_ms);
            self.trace_event(|| {
                format!(
                    "core{} stalls for {stall_ms} ms with {} orders to send",
                    leader.core,
                    orders.len()
                )
            });
        }
        for order in orders {
            self.trace_event(|| {
                format!(
                    "core{} decides for {}: {}",
                    leader.core, order.to.worker, order.body
                )
            });
            self.push(now_ms + stall_ms, Event::SendOrder { order });
        }
        if !ends.is_empty() {
            self.propose(&leader, Command::ends(ends), None);
        }
        self.plan(&mut leader);
        self.put_back(leader);
    }

    fn plan(&mut self, leader: &mut Leader) {
        let now_ms = self.now_ms;
        let due = leader.plan_due || now_ms >= leader.planned_ms + PLAN_INTERVAL_MS;
        if leader.plan_pending || !due || now_ms < leader.next_plan_ms || leader.deposed.is_some() {
            return;
        }
        leader.plan_due = false;
        leader.planned_ms = now_ms;
        leader.next_plan_ms = now_ms + MIN_PLAN_INTERVAL_MS;
        let wall_ms = START_WALL_MS + now_ms;
        let plan = leader
            .planner
            .plan(now_ms, wall_ms, &self.record, &leader.dispatcher);
        for (worker, run) in &plan.evictions {
            leader.dispatcher.request_stop(worker, *run);
        }
        if !plan.starts.is_empty() {
            leader.plan_pending = true;
            self.propose(leader, Command::Starts(plan.starts), None);
        }
    }

    /// Proposes a command. What a deposed leader proposes is never committed.
    fn propose(&mut self, leader: &Leader, command: Command, listed_to: Option<u64>) {
        let now_ms = self.now_ms;
        let command = command.at(START_WALL_MS + now_ms);
        let workers: BTreeSet<Incarnation> = match &command {
            Command::Ends { ends, .. } => ends.iter().map(|end| end.worker.clone()).collect(),
            _ => BTreeSet::new(),
        };
        let pending = PendingResult {
            core: leader.core,
            term: leader.term,
            workers,
            listed_to,
            has_starts: matches!(command, Command::Starts(_)),
        };
        let id = self.log.register(pending);
        self.trace_event(|| {
            format!(
                "core{} proposes {id}: {}",
                leader.core,
                summarize_command(&command)
            )
        });
        let refused = self.percent(|fault| match fault {
            Fault::RefusedRecords {
                percent,
                duration_ms,
            } => Some((*percent, *duration_ms)),
            _ => None,
        });
        if self.chance(refused) {
            self.resolve(id, RecordOutcome::NotRecorded, 1);
            return;
        }
        self.push(now_ms + PROPOSAL_TIMEOUT_MS, Event::ProposalTimeout { id });
        if leader.deposed.is_none() {
            let commit_delay_ms = 1 + self.random.below(self.case.max_commit_ms);
            let at_ms = self.log.append(id, now_ms + commit_delay_ms, command);
            self.push(at_ms, Event::Commit);
        }
    }

    /// Sends the outcome of a proposal to its proposer, `after_ms` from now, unless the proposer has given up waiting.
    pub fn resolve(&mut self, id: u64, outcome: RecordOutcome, after_ms: u64) {
        if let Some(pending) = self.log.unresolved.remove(&id) {
            let at_ms = self.now_ms + after_ms;
            let result = Event::ProposalResult {
                id,
                pending,
                outcome,
            };
            self.push(at_ms, result);
        }
    }

    /// The core that made a proposal reads its outcome. The outcome counts if the core still leads in the same term.
    pub fn read_outcome(&mut self, id: u64, pending: &PendingResult, outcome: RecordOutcome) {
        let all = self.leader.iter_mut().chain(self.deposed.iter_mut());
        let Some(leader) = all.into_iter().find(|leader| leader.core == pending.core) else {
            return;
        };
        let term = leader.term;
        if term != pending.term {
            self.coverage.results_of_earlier_terms += usize::from(!pending.workers.is_empty());
            return;
        }
        for worker in &pending.workers {
            leader
                .dispatcher
                .note_recorded(worker, pending.listed_to, outcome);
        }
        if pending.has_starts {
            leader.plan_pending = false;
            leader.plan_due = true;
        }
        let core = pending.core;
        self.trace_event(|| {
            format!(
                "core{core} of term {term} reads the outcome of {id}: {outcome:?}, {:?}",
                pending.workers
            )
        });
        self.wake(term);
    }

    /// Applies the proposals that are committed by now.
    pub fn commit(&mut self, now_ms: u64, result_ms: u64) {
        while let Some(proposal) = self.log.take_committed(now_ms) {
            let id = proposal.id;
            self.trace_event(|| format!("commits {id}"));
            if let Command::Ends { ends, .. } = &proposal.command {
                let ends = ends.iter();
                let ends = ends.map(|end| (end.worker.to_string(), end.run, end.kind));
                self.recorded_ends.extend(ends);
            }
            self.record.apply(proposal.command);
            let after_ms = self.random.below(result_ms + 1);
            self.resolve(id, RecordOutcome::Recorded, after_ms);
        }
    }

    /// The leader reads an answer.
    pub fn read_answer(&mut self, order: &Order, answer: &Answer, repeated: bool) {
        let now_ms = self.now_ms;
        let Some(mut leader) = self.take_leader(order.token) else {
            return;
        };
        self.trace_event(|| {
            format!(
                "core{} reads from {} for {}: {}",
                leader.core,
                order.to.worker,
                order.body,
                summarize_answer(answer)
            )
        });
        if repeated {
            leader.dispatcher.note_repeated(order);
        }
        let record = leader
            .deposed
            .as_ref()
            .map_or(&self.record, |deposed| &deposed.0);
        let command = leader.dispatcher.note_answer(now_ms, order, answer, record);
        if let Some(Command::Ends { ends, .. }) = &command {
            leader
                .planner
                .note_ends(now_ms, ends, record, &leader.dispatcher);
        }
        if let Some(command) = command {
            let is_probe = matches!(order.body, OrderBody::Probe { .. });
            let listed_to = leader.dispatcher.recording_to(&order.to.worker);
            let listed_to = listed_to.filter(|_| is_probe);
            self.propose(&leader, command, listed_to);
        }
        self.put_back(leader);
        self.wake(order.token);
    }

    /// The leader reads a heartbeat.
    pub fn read_heartbeat(&mut self, term: u64, info: &WorkerInfo, clock_ms: u64) {
        let now_ms = self.now_ms;
        let Some(mut leader) = self.take_leader(term) else {
            return;
        };
        let is_alive = leader
            .dispatcher
            .note_heartbeat(now_ms, &info.id, Some(clock_ms));
        if is_alive && leader.deposed.is_none() && self.record.worker(&info.id).is_none() {
            let known = WorkerChange::Known(info.clone());
            self.propose(&leader, Command::Workers(vec![known]), None);
        }
        self.put_back(leader);
    }

    /// Deposes the leader. Nothing is committed until another is elected.
    pub fn depose(&mut self, same_core: bool, lost: usize, gap_ms: u64, deposed_ms: u64) {
        let now_ms = self.now_ms;
        let Some(mut leader) = self.leader.take() else {
            return;
        };
        let core = if same_core {
            leader.core
        } else {
            1 - leader.core
        };
        self.trace_event(|| {
            format!(
                "core{} is deposed, core{core} leads in {gap_ms} ms",
                leader.core
            )
        });
        self.coverage.leader_changes += 1;
        self.coverage.leader_changes_with_broken_gangs += usize::from(self.has_broken_gangs());
        self.deposed = None;
        if !same_core && deposed_ms > 0 {
            leader.deposed = Some((self.record.clone(), now_ms + deposed_ms));
            self.push(now_ms + deposed_ms, Event::StepDown { term: leader.term });
            self.deposed = Some(leader);
        }
        self.push(now_ms + gap_ms, Event::Elect { core, lost, gap_ms });
    }

    /// Elects a leader, which has the newest record: the end of the log is lost and the rest committed before it gives any order.
    pub fn elect(&mut self, core: usize, lost: usize, gap_ms: u64) {
        let most = u64::try_from(lost).unwrap() + 1;
        let lost = usize::try_from(self.random.below(most)).unwrap();
        for _ in 0..lost {
            let Some(proposal) = self.log.pending.pop_back() else {
                break;
            };
            let id = proposal.id;
            self.coverage.lost_proposals += 1;
            self.trace_event(|| format!("loses {id}"));
            let after_ms = self.random.below(PROPOSAL_TIMEOUT_MS);
            self.resolve(id, RecordOutcome::NotRecorded, after_ms);
        }
        const LATE_RESULT_MS: u64 = 300;
        self.commit(u64::MAX, LATE_RESULT_MS);
        self.term += 1;
        let machine = Machine::new(self.record.clone(), Workload::CODEC);
        let bytes = machine.snapshot().unwrap();
        machine.restore(&bytes).unwrap();
        self.record = machine.read().clone();
        self.record.take_events();
        let (term, now_ms) = (self.term, self.now_ms);
        let mut dispatcher =
            Dispatcher::new(self.fleet().timing, term, now_ms, &self.record).with_min_swept(1);
        if gap_ms > OUTDATED_INFO_GAP_MS {
            dispatcher = dispatcher.with_outdated_worker_info();
        }
        self.trace_event(|| format!("core{core} leads in term {term}"));
        self.leader = Some(Leader {
            core,
            term,
            dispatcher,
            planner: Planner::new(),
            plan_pending: false,
            plan_due: true,
            planned_ms: 0,
            next_plan_ms: 0,
            swept_ms: 0,
            next_turn_ms: now_ms,
            stalled_until_ms: 0,
            deposed: None,
        });
        self.push(now_ms, Event::Turn { term });
    }

    /// Describes what the leader knows of a job and of the workers on which runs of it are recorded.
    pub fn explain(&self, job: JobId) -> String {
        let Some(leader) = &self.leader else {
            return "no leader".to_owned();
        };
        let now_ms = self.now_ms;
        let times = (now_ms, START_WALL_MS + now_ms);
        let dispatcher = &leader.dispatcher;
        let report = leader.planner.explain(times, &self.record, dispatcher, job);
        let mut lines = vec![format!(
            "term {}, plan pending {}, plan due {}, planned at {}",
            leader.term, leader.plan_pending, leader.plan_due, leader.planned_ms
        )];
        if let Some(job) = self.record.job(job) {
            let specs = job.spec.steps.iter().cycle();
            for (step, spec) in job.steps.iter().zip(specs) {
                let tasks = step.tasks.iter();
                let states: Vec<_> = tasks.map(|task| (task.attempt, task.state)).collect();
                lines.push(format!(
                    "{spec:?}: done {}, open {}, failures {}, {states:?}",
                    step.done, step.open_runs, step.failures
                ));
            }
        }
        lines.push(format!("{report:?}"));
        for worker in self.record.workers() {
            let target = dispatcher.view(&worker.info.id);
            let runs = worker.runs.keys();
            let job_runs: Vec<String> = runs
                .filter(|run| run.task.step.job == job)
                .map(|run| {
                    let run_state = target.and_then(|target| target.runs.get(run));
                    format!("{run}: {run_state:?}")
                })
                .collect();
            if job_runs.is_empty() {
                continue;
            }
            let target = target.map(|target| Target {
                runs: BTreeMap::new(),
                ..target.clone()
            });
            lines.push(format!("{}: {job_runs:?}, {target:?}", worker.info.id));
        }
        let usable = |worker: &&Worker| {
            let target = dispatcher.view(&worker.info.id);
            let is_ready = |target: &Target| {
                target.answers()
                    && target.is_verified()
                    && target.is_current(now_ms, dispatcher.timing())
                    && now_ms >= target.set_aside_until_ms
            };
            target.is_some_and(is_ready)
        };
        let unusable = self.record.workers().filter(|worker| !usable(worker));
        let unusable: Vec<String> = unusable.map(|worker| worker.info.id.to_string()).collect();
        lines.push(format!("unusable workers: {unusable:?}"));
        for (other, _) in self.record.active_jobs() {
            let report = leader
                .planner
                .explain(times, &self.record, dispatcher, other);
            for step in report.iter().flat_map(|report| &report.steps) {
                let Some(wait) = &step.wait else {
                    continue;
                };
                if !matches!(wait, WaitReason::EarlierSteps { .. }) {
                    lines.push(format!(
                        "also waits: {}, {} tasks, {wait:?}",
                        step.step, step.tasks
                    ));
                }
            }
        }
        lines.join("\n")
    }

    /// Returns whether a gang has ended in part, according to its workers or to the record.
    fn has_broken_gangs(&self) -> bool {
        let mut jobs = self.record.active_jobs();
        self.gangs.is_breaking()
            || jobs.any(|(_, job)| {
                let specs = job.spec.steps.iter().cycle();
                let mut steps = job.steps.iter().zip(specs);
                steps.any(|(step, spec)| {
                    let attempt = step.next_gang_attempt() - 1;
                    spec.gang && step.open_runs > 0 && !step.gang_is_whole(attempt)
                })
            })
    }

    /// The leader stops all runs of a job.
    pub fn stop_job_runs(&mut self, job: usize) {
        let Some(id) = self.jobs.get(job) else {
            return;
        };
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        for worker in self.record.workers() {
            for run in worker.runs.keys().filter(|run| run.task.step.job == *id) {
                leader.dispatcher.request_stop(&worker.info.id, *run);
            }
        }
    }
}
