//! Simulates a day in memory, with a clock of its own.

use super::load::Arrival;
use super::load::Deployment;
use super::policy::Policy;
use bh_protocol::Incarnation;
use bh_workload::dispatch::Answer;
use bh_workload::dispatch::Dispatcher;
use bh_workload::dispatch::OrderBody;
use bh_workload::dispatch::Timing;
use bh_workload::job::JobId;
use bh_workload::job::JobSpec;
use bh_workload::job::RunId;
use bh_workload::job::StepId;
use bh_workload::plan::Planner;
use bh_workload::rules::Pool;
use bh_workload::rules::Queue;
use bh_workload::rules::Rules;
use bh_workload::state::Command;
use bh_workload::state::End;
use bh_workload::state::EndKind;
use bh_workload::state::Place;
use bh_workload::state::WorkerChange;
use bh_workload::state::WorkerInfo;
use bh_workload::state::Workload;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Time between two turns of the leader, in milliseconds.
const TURN_MS: u64 = 50;
const HEARTBEAT_MS: u64 = 1_500;
/// Time after the last arrival during which jobs may still end, in milliseconds.
const AFTER_LAST_ARRIVAL_MS: u64 = 40_000;
/// Factor by which the run time of a rack-local gang grows when it is spread over racks.
const SPREAD_FACTOR: u64 = 3;
/// Multiple of its objective after which a late job earns nothing.
const LATE_FACTOR: u64 = 3;
const POOL: &str = "pool";

/// Results of a day.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Actual and possible earnings, by kind.
    pub earnings: [(f64, f64); 3],
    /// Number of jobs submitted, on time and late, by kind.
    pub jobs: [(u32, u32, u32); 3],
    /// Work lost by stops, in core-seconds.
    pub wasted_core_s: f64,
}

impl Outcome {
    /// Returns the share of the possible earnings that was earned, over all kinds.
    pub fn earned_share(&self) -> f64 {
        let earned: f64 = self.earnings.iter().map(|(earned, _)| earned).sum();
        let possible: f64 = self.earnings.iter().map(|(_, possible)| possible).sum();
        earned / possible.max(f64::MIN_POSITIVE)
    }
}

/// Key of a gang (its step) or of a task (its step and index).
type UnitKey = (StepId, Option<u32>);

/// Runs with their workers.
type Runs = Vec<(Incarnation, RunId)>;

/// A gang or a task that runs.
#[derive(Clone, Debug)]
struct RunningUnit {
    runs: Runs,
    started_ms: u64,
    /// Time at which the unit is done if it is not stopped.
    done_ms: u64,
    /// Time at which a requested stop is complete.
    stopped_ms: Option<u64>,
}

/// State of a simulated day.
struct Day<'a> {
    deployment: &'a Deployment,
    now_ms: u64,
    workload: Workload,
    dispatcher: Dispatcher,
    planner: Planner,
    running: BTreeMap<UnitKey, RunningUnit>,
    /// Run time of each unit that checkpoints have saved, in milliseconds.
    saved_ms: BTreeMap<UnitKey, u64>,
    jobs: BTreeMap<JobId, &'a Arrival>,
    outcome: Outcome,
}

/// Simulates a day with these arrivals under a policy.
pub fn simulate(deployment: &Deployment, arrivals: &[Arrival], policy: Policy) -> Outcome {
    let mut day = Day::new(deployment);
    let last_ms = arrivals.last().map_or(0, |arrival| arrival.at_ms);
    let mut upcoming = arrivals.iter().zip(1..).peekable();
    while day.now_ms < last_ms + AFTER_LAST_ARRIVAL_MS {
        day.now_ms += TURN_MS;
        while let Some((arrival, number)) =
            upcoming.next_if(|(arrival, _)| arrival.at_ms <= day.now_ms)
        {
            day.submit(JobId(number), arrival);
        }
        day.end_finished_units();
        day.answer_orders();
        let plan = policy.plan(
            (day.now_ms, day.now_ms),
            &mut day.planner,
            &day.workload,
            &day.dispatcher,
        );
        for (worker, run) in &plan.evictions {
            day.dispatcher.request_stop(worker, *run);
            day.stop_unit(*run);
        }
        day.start(plan.starts);
    }
    day.count_earnings();
    day.outcome
}

impl<'a> Day<'a> {
    fn new(deployment: &'a Deployment) -> Self {
        let mut workload = Workload::default();
        workload.apply(Command::SetRules(Box::new(rules(deployment))));
        let workers =
            (0..deployment.workers).map(|index| WorkerChange::Known(worker(deployment, index)));
        workload.apply(Command::Workers(workers.collect()));
        workload.take_events();
        let timing = Timing {
            stop_timeout_ms: deployment.stop_ms,
            restore_ms: deployment.restore_ms,
            ..Timing::DEFAULT
        };
        let dispatcher = Dispatcher::new(timing, 1, 0, &workload);
        Self {
            deployment,
            now_ms: 0,
            workload,
            dispatcher,
            planner: Planner::new(),
            running: BTreeMap::new(),
            saved_ms: BTreeMap::new(),
            jobs: BTreeMap::new(),
            outcome: Outcome::default(),
        }
    }

    fn submit(&mut self, id: JobId, arrival: &'a Arrival) {
        self.jobs.insert(id, arrival);
        let place = Place {
            host: Arc::from("host"),
            path: Arc::from(format!("/{}/{id}", arrival.kind)),
            key: None,
        };
        let spec = JobSpec {
            steps: vec![arrival.step.clone()],
            ..JobSpec::default()
        };
        let now_ms = arrival.at_ms;
        self.workload.apply(Command::Accept {
            place,
            spec,
            now_ms,
        });
    }

    /// Returns the key of the unit that a run belongs to.
    fn key(&self, run: RunId) -> UnitKey {
        let gang = self.jobs[&run.task.step.job].step.gang;
        (run.task.step, (!gang).then_some(run.task.index))
    }

    /// Records starts, and computes when the started units are done.
    fn start(&mut self, starts: Vec<bh_workload::state::Start>) {
        let mut started: BTreeMap<UnitKey, Runs> = BTreeMap::new();
        for start in &starts {
            let runs = started.entry(self.key(start.run)).or_default();
            runs.push((start.worker.clone(), start.run));
        }
        self.workload.apply(Command::Starts(starts));
        for (key, runs) in started {
            let arrival = self.jobs[&key.0.job];
            let racks: BTreeSet<Arc<str>> = runs
                .iter()
                .filter_map(|(worker, _)| Some(self.workload.worker(worker)?.info.rack.clone()))
                .collect();
            let is_spread = arrival.step.rack_local && racks.len() > 1;
            let factor = if is_spread { SPREAD_FACTOR } else { 1 };
            let remaining_ms = match self.saved_ms.get(&key) {
                Some(saved_ms) => {
                    arrival.run_ms.saturating_sub(*saved_ms) + self.deployment.restore_ms
                }
                None => arrival.run_ms,
            };
            let unit = RunningUnit {
                runs,
                started_ms: self.now_ms,
                done_ms: self.now_ms + remaining_ms * factor,
                stopped_ms: None,
            };
            self.running.insert(key, unit);
        }
    }

    /// Requests a stop of the unit that a run belongs to.
    fn stop_unit(&mut self, run: RunId) {
        let (now_ms, stop_ms) = (self.now_ms, self.deployment.stop_ms);
        let key = self.key(run);
        if let Some(unit) = self.running.get_mut(&key) {
            unit.stopped_ms.get_or_insert(now_ms + stop_ms);
        }
    }

    /// Records the ends of units that are done or stopped.
    fn end_finished_units(&mut self) {
        let now_ms = self.now_ms;
        let finished: Vec<UnitKey> = self
            .running
            .iter()
            .filter(|(_, unit)| now_ms >= unit.done_ms.min(unit.stopped_ms.unwrap_or(u64::MAX)))
            .map(|(key, _)| *key)
            .collect();
        for key in finished {
            let Some(unit) = self.running.remove(&key) else {
                continue;
            };
            let kind = if now_ms >= unit.done_ms {
                EndKind::Done
            } else {
                self.note_stop(key, &unit);
                EndKind::Stopped
            };
            let ends: Vec<End> = unit
                .runs
                .iter()
                .map(|(worker, run)| End {
                    run: *run,
                    worker: worker.clone(),
                    kind,
                    checkpoint: None,
                })
                .collect();
            self.planner
                .note_ends(now_ms, &ends, &self.workload, &self.dispatcher);
            self.workload.apply(Command::ends(ends).at(now_ms));
        }
    }

    /// Counts the work of a stopped unit as saved if it writes checkpoints, otherwise as wasted.
    fn note_stop(&mut self, key: UnitKey, unit: &RunningUnit) {
        let arrival = self.jobs[&key.0.job];
        let ran_ms = self.now_ms - unit.started_ms;
        if arrival.step.checkpoints {
            *self.saved_ms.entry(key).or_default() += ran_ms;
            return;
        }
        let cores = arrival.step.needs.weight() as f64 / 1_000.0;
        let seconds = ran_ms as f64 / 1_000.0;
        self.outcome.wasted_core_s += cores * seconds * unit.runs.len() as f64;
    }

    /// Sends heartbeats and orders; the workers confirm starts at once.
    fn answer_orders(&mut self) {
        if self.now_ms.is_multiple_of(HEARTBEAT_MS) || self.now_ms == TURN_MS {
            let ids: Vec<Incarnation> = self
                .workload
                .workers()
                .map(|worker| worker.info.id.clone())
                .collect();
            for id in ids {
                self.dispatcher
                    .note_heartbeat(self.now_ms, &id, Some(self.now_ms));
            }
        }
        let record_events = self.workload.take_events();
        self.dispatcher
            .note_events(self.now_ms, &record_events, &self.workload);
        let (orders, _) = self.dispatcher.orders(self.now_ms, &self.workload, false);
        for order in orders {
            if matches!(order.body, OrderBody::Start { .. }) {
                let answer = Answer::Done {
                    clock_ms: Some(self.now_ms),
                    report: None,
                };
                self.dispatcher
                    .note_answer(self.now_ms, &order, &answer, &self.workload);
            }
        }
    }

    /// Adds up the earnings of the day.
    fn count_earnings(&mut self) {
        let mut work_by_kind: [(f64, u32); 3] = [(0.0, 0); 3];
        let size = |arrival: &Arrival| {
            let each = arrival.step.needs.weight() as f64 * arrival.run_ms as f64;
            each * f64::from(arrival.step.count)
        };
        for arrival in self.jobs.values() {
            work_by_kind[arrival.kind].0 += size(arrival);
            work_by_kind[arrival.kind].1 += 1;
        }
        for (id, arrival) in &self.jobs {
            let kind = &self.deployment.kinds[arrival.kind];
            let mean = work_by_kind[arrival.kind].0 / f64::from(work_by_kind[arrival.kind].1);
            let value = (0.3 + 0.7 * size(arrival) / mean).min(4.0);
            let objective_ms = (arrival.run_ms as f64 * kind.slack_factor) as u64 + kind.target_ms;
            let job = self.workload.job(*id).filter(|job| job.outcome.is_some());
            let took_ms = job.map(|job| job.ended_ms.saturating_sub(arrival.at_ms));
            let (earned, possible) = &mut self.outcome.earnings[arrival.kind];
            let (submitted, on_time, late) = &mut self.outcome.jobs[arrival.kind];
            *possible += value * kind.values.0;
            *submitted += 1;
            match took_ms {
                Some(took_ms) if took_ms <= objective_ms => {
                    *earned += value * kind.values.0;
                    *on_time += 1;
                }
                Some(took_ms) if took_ms <= objective_ms * LATE_FACTOR => {
                    *earned += value * kind.values.1;
                    *late += 1;
                }
                _ => {}
            }
        }
    }
}

fn rules(deployment: &Deployment) -> Rules {
    let queue = |(index, kind): (usize, &super::load::Kind)| {
        Arc::new(Queue {
            name: Arc::from(kind.name),
            host: Arc::from("host"),
            path_prefix: Arc::from(format!("/{index}/")),
            pool: Arc::from(POOL),
            priority: kind.priority,
            max_attempts: 4,
            timeout_ms: 3_000,
            target_latency_ms: kind.target_ms,
            slack_factor: kind.slack_factor,
            public: true,
            advised: None,
        })
    };
    Rules {
        version: 1,
        queues: deployment.kinds.iter().enumerate().map(queue).collect(),
        pools: vec![Arc::new(Pool {
            name: Arc::from(POOL),
            ..Pool::default()
        })],
        ..Rules::default()
    }
}

fn worker(deployment: &Deployment, index: usize) -> WorkerInfo {
    let rack: Arc<str> = Arc::from(format!("rack{}", index / deployment.per_rack));
    WorkerInfo {
        id: Incarnation::new(format!("w{index:03}"), None).unwrap(),
        vm: None,
        pool: Arc::from(POOL),
        address: ([10, 0, 0, 1], 80).into(),
        data_centre: Arc::from("dc"),
        labels: vec![rack.clone()],
        rack,
        capacity: deployment.capacity,
        sequence: 0,
    }
}
