//! One day, played in memory with a clock of its own.

use super::load::Arrival;
use super::load::Shape;
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

const STEP_MS: u64 = 50;
const HEARTBEAT_MS: u64 = 1_500;
/// Time after the last arrival in which jobs may still end.
const AFTER_MS: u64 = 40_000;
/// Times as long as a gang takes that is spread over racks though it should not be.
const SPREAD_FACTOR: u64 = 3;
/// Times its objective after which a late job earns nothing.
const LATE_FACTOR: u64 = 3;
const POOL: &str = "pool";

/// What became of a day.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Earned and owed, by kind.
    pub credit: [(f64, f64); 3],
    /// Jobs asked, on time, late.
    pub jobs: [(u32, u32, u32); 3],
    /// Work thrown away, in core-seconds.
    pub thrown_core_s: f64,
}

impl Outcome {
    /// Share of what was owed that was earned, over all kinds.
    pub fn share(&self) -> f64 {
        let earned: f64 = self.credit.iter().map(|(earned, _)| earned).sum();
        let owed: f64 = self.credit.iter().map(|(_, owed)| owed).sum();
        earned / owed.max(f64::MIN_POSITIVE)
    }
}

/// A gang by its step, or a task by step and index.
type WorkKey = (StepId, Option<u32>);

/// Workers and their runs.
type Runs = Vec<(Incarnation, RunId)>;

/// A gang or a task at work.
#[derive(Clone, Debug)]
struct Work {
    runs: Runs,
    began_ms: u64,
    done_ms: u64,
    stopped_ms: Option<u64>,
}

struct Day<'a> {
    shape: &'a Shape,
    now_ms: u64,
    workload: Workload,
    dispatcher: Dispatcher,
    planner: Planner,
    work: BTreeMap<WorkKey, Work>,
    /// Work that is done of a task, saved at a stop.
    saved_ms: BTreeMap<WorkKey, u64>,
    jobs: BTreeMap<JobId, &'a Arrival>,
    outcome: Outcome,
}

/// Plays the arrivals under a policy.
pub fn play(shape: &Shape, arrivals: &[Arrival], policy: Policy) -> Outcome {
    let mut day = Day::new(shape);
    let last_ms = arrivals.last().map_or(0, |arrival| arrival.at_ms);
    let mut coming = arrivals.iter().zip(1..).peekable();
    while day.now_ms < last_ms + AFTER_MS {
        day.now_ms += STEP_MS;
        while let Some((arrival, number)) =
            coming.next_if(|(arrival, _)| arrival.at_ms <= day.now_ms)
        {
            day.submit(JobId(number), arrival);
        }
        day.end_what_is_over();
        day.orders();
        let plan = policy.plan(
            (day.now_ms, day.now_ms),
            &mut day.planner,
            &day.workload,
            &day.dispatcher,
        );
        for (worker, run) in &plan.evictions {
            day.dispatcher.request_stop(worker, *run);
            day.stop(*run);
        }
        day.begin(plan.starts);
    }
    day.count();
    day.outcome
}

impl<'a> Day<'a> {
    fn new(shape: &'a Shape) -> Self {
        let mut workload = Workload::default();
        workload.apply(Command::SetRules(Box::new(rules(shape))));
        let workers = (0..shape.workers).map(|index| WorkerChange::Known(worker(shape, index)));
        workload.apply(Command::Workers(workers.collect()));
        workload.take_events();
        let timing = Timing {
            stop_timeout_ms: shape.stop_ms,
            restore_ms: shape.restore_ms,
            ..Timing::DEFAULT
        };
        let dispatcher = Dispatcher::new(timing, 1, 0, &workload);
        Self {
            shape,
            now_ms: 0,
            workload,
            dispatcher,
            planner: Planner::new(),
            work: BTreeMap::new(),
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

    fn key(&self, run: RunId) -> WorkKey {
        let gang = self.jobs[&run.task.step.job].step.gang;
        (run.task.step, (!gang).then_some(run.task.index))
    }

    fn begin(&mut self, starts: Vec<bh_workload::state::Start>) {
        let mut begun: BTreeMap<WorkKey, Runs> = BTreeMap::new();
        for start in &starts {
            let runs = begun.entry(self.key(start.run)).or_default();
            runs.push((start.worker.clone(), start.run));
        }
        self.workload.apply(Command::Starts(starts));
        for (key, runs) in begun {
            let arrival = self.jobs[&key.0.job];
            let racks: BTreeSet<Arc<str>> = runs
                .iter()
                .filter_map(|(worker, _)| Some(self.workload.worker(worker)?.info.rack.clone()))
                .collect();
            let spread = arrival.step.rack_local && racks.len() > 1;
            let factor = if spread { SPREAD_FACTOR } else { 1 };
            let left_ms = match self.saved_ms.get(&key) {
                Some(saved_ms) => arrival.run_ms.saturating_sub(*saved_ms) + self.shape.restore_ms,
                None => arrival.run_ms,
            };
            let work = Work {
                runs,
                began_ms: self.now_ms,
                done_ms: self.now_ms + left_ms * factor,
                stopped_ms: None,
            };
            self.work.insert(key, work);
        }
    }

    fn stop(&mut self, run: RunId) {
        let (now_ms, stop_ms) = (self.now_ms, self.shape.stop_ms);
        let key = self.key(run);
        if let Some(work) = self.work.get_mut(&key) {
            work.stopped_ms.get_or_insert(now_ms + stop_ms);
        }
    }

    fn end_what_is_over(&mut self) {
        let now_ms = self.now_ms;
        let over: Vec<WorkKey> = self
            .work
            .iter()
            .filter(|(_, work)| now_ms >= work.done_ms.min(work.stopped_ms.unwrap_or(u64::MAX)))
            .map(|(key, _)| *key)
            .collect();
        for key in over {
            let Some(work) = self.work.remove(&key) else {
                continue;
            };
            let kind = if now_ms >= work.done_ms {
                EndKind::Done
            } else {
                self.note_stop(key, &work);
                EndKind::Stopped
            };
            let ends: Vec<End> = work
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

    fn note_stop(&mut self, key: WorkKey, work: &Work) {
        let arrival = self.jobs[&key.0.job];
        let ran_ms = self.now_ms - work.began_ms;
        if arrival.step.checkpoints {
            *self.saved_ms.entry(key).or_default() += ran_ms;
            return;
        }
        let cores = arrival.step.needs.weight() as f64 / 1_000.0;
        let seconds = ran_ms as f64 / 1_000.0;
        self.outcome.thrown_core_s += cores * seconds * work.runs.len() as f64;
    }

    /// Workers do as they are told, at once.
    fn orders(&mut self) {
        if self.now_ms.is_multiple_of(HEARTBEAT_MS) || self.now_ms == STEP_MS {
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

    fn count(&mut self) {
        let mut work: [(f64, u32); 3] = [(0.0, 0); 3];
        let size = |arrival: &Arrival| {
            let each = arrival.step.needs.weight() as f64 * arrival.run_ms as f64;
            each * f64::from(arrival.step.count)
        };
        for arrival in self.jobs.values() {
            work[arrival.kind].0 += size(arrival);
            work[arrival.kind].1 += 1;
        }
        for (id, arrival) in &self.jobs {
            let kind = &self.shape.kinds[arrival.kind];
            let mean = work[arrival.kind].0 / f64::from(work[arrival.kind].1);
            let value = (0.3 + 0.7 * size(arrival) / mean).min(4.0);
            let objective_ms = (arrival.run_ms as f64 * kind.slack_factor) as u64 + kind.target_ms;
            let job = self.workload.job(*id).filter(|job| job.outcome.is_some());
            let took_ms = job.map(|job| job.ended_ms.saturating_sub(arrival.at_ms));
            let (earned, owed) = &mut self.outcome.credit[arrival.kind];
            let (asked, in_time, late) = &mut self.outcome.jobs[arrival.kind];
            *owed += value * kind.worth.0;
            *asked += 1;
            match took_ms {
                Some(took_ms) if took_ms <= objective_ms => {
                    *earned += value * kind.worth.0;
                    *in_time += 1;
                }
                Some(took_ms) if took_ms <= objective_ms * LATE_FACTOR => {
                    *earned += value * kind.worth.1;
                    *late += 1;
                }
                _ => {}
            }
        }
    }
}

fn rules(shape: &Shape) -> Rules {
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
        queues: shape.kinds.iter().enumerate().map(queue).collect(),
        pools: vec![Arc::new(Pool {
            name: Arc::from(POOL),
            ..Pool::default()
        })],
        ..Rules::default()
    }
}

fn worker(shape: &Shape, index: usize) -> WorkerInfo {
    let rack: Arc<str> = Arc::from(format!("rack{}", index / shape.per_rack));
    WorkerInfo {
        id: Incarnation::new(format!("w{index:03}"), None).unwrap(),
        vm: None,
        pool: Arc::from(POOL),
        address: ([10, 0, 0, 1], 80).into(),
        data_centre: Arc::from("dc"),
        labels: vec![rack.clone()],
        rack,
        capacity: shape.capacity,
        sequence: 0,
    }
}
