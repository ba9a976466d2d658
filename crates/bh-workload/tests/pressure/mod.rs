//! A full pool under a stream of urgent gangs, without a network. Starts, progress, stops and ends go through the record and the leader's
//! dispatcher and planner; the workers are a model.

use super::support::HOST;
use super::support::POOL;
use super::support::Site;
use super::support::rules;
use bh_protocol::Incarnation;
use bh_testkit::Random;
use bh_workload::dispatch::Answer;
use bh_workload::dispatch::Dispatcher;
use bh_workload::dispatch::OrderBody;
use bh_workload::dispatch::Report;
use bh_workload::dispatch::Running;
use bh_workload::dispatch::Timing;
use bh_workload::job::JobId;
use bh_workload::job::Resources;
use bh_workload::job::RunId;
use bh_workload::job::StepId;
use bh_workload::job::StepSpec;
use bh_workload::plan::Planner;
use bh_workload::plan::Policy;
use bh_workload::rules::Customer;
use bh_workload::rules::Queue;
use bh_workload::state::Command;
use bh_workload::state::End;
use bh_workload::state::EndKind;
use bh_workload::state::TaskState;
use std::collections::BTreeMap;
use std::sync::Arc;

const WORKERS: usize = 40;
const PER_RACK: usize = 20;
/// Time between two plans, in milliseconds.
const TURN_MS: u64 = 50;
const HEARTBEAT_TURNS: u64 = 20;
/// Time that a worker takes to stop a run, in milliseconds.
const STOP_MS: u64 = 300;
/// Jobs of each kind of lower priority that wait at any time, so that free capacity is filled at once.
const BACKLOG: usize = 4;

/// The stream of urgent gangs: quiet and busy times take turns.
#[derive(Clone, Copy, Debug)]
pub struct Stream {
    /// Customer of the urgent gangs.
    pub customer: &'static str,
    pub quiet_gap_ms: u64,
    pub busy_gap_ms: u64,
    /// Length of each quiet and of each busy time, in milliseconds.
    pub phase_ms: u64,
    /// Accelerators that the customer `guaranteed` is guaranteed.
    pub guaranteed_accelerators: u64,
}

/// A gang, or a task of another step: the step and the index of the task.
type Key = (StepId, Option<u32>);

/// A gang or task in progress.
struct Active {
    runs: Vec<(Incarnation, RunId)>,
    started_ms: u64,
    /// Work that a checkpoint had saved before, in milliseconds.
    saved_ms: u64,
    done_ms: u64,
    stopped_ms: Option<u64>,
}

/// What is known of a submitted job.
struct Submitted {
    spec: StepSpec,
    priority: u32,
    run_ms: u64,
    at_ms: u64,
    has_started: bool,
}

/// What happened under the load.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Work that was thrown away by stops, in thousandths of core-milliseconds.
    pub discarded: u64,
    /// Work of tasks that were done, in thousandths of core-milliseconds.
    pub done: u64,
    /// Largest number of displacements of one task.
    pub max_displacements: u32,
    /// Number of stopped gangs and tasks.
    pub stops: usize,
    /// Time from the submission of each urgent gang to its first start, or to the end of the load, in milliseconds.
    pub urgent_waits_ms: Vec<u64>,
}

/// The site and the model of its workers.
pub struct Pressure {
    site: Site,
    /// One generator for each priority, so that the jobs of one do not depend on how many of another there were.
    random: [Random; 3],
    stream: Stream,
    jobs: BTreeMap<JobId, Submitted>,
    active: BTreeMap<Key, Active>,
    saved_ms: BTreeMap<Key, u64>,
    next_urgent_ms: u64,
    term: u64,
    outcome: Outcome,
}

/// Rules with the objectives of the deployment A of the page on heavy load.
fn set_rules(site: &mut Site, guaranteed_accelerators: u64) {
    let mut changed = rules(2);
    let objectives = [(1.5, 250), (3.0, 1_000), (3.0, 3_000)];
    changed.queues = (0u32..)
        .zip(objectives)
        .map(|(priority, (slack_factor, target_latency_ms))| {
            Arc::new(Queue {
                name: Arc::from(format!("q{priority}")),
                host: Arc::from(HOST),
                path_prefix: Arc::from(format!("/p{priority}/")),
                pool: Arc::from(POOL),
                slack_factor,
                target_latency_ms,
                ..(*changed.queues[usize::try_from(priority).unwrap()]).clone()
            })
        })
        .collect();
    changed.customers = changed
        .customers
        .iter()
        .map(|customer| {
            let guaranteed_accelerators = match customer.guaranteed_accelerators {
                0 => 0,
                _ => guaranteed_accelerators,
            };
            Arc::new(Customer {
                guaranteed_accelerators,
                ..(**customer).clone()
            })
        })
        .collect();
    site.workload.apply(Command::SetRules(Box::new(changed)));
}

impl Pressure {
    pub fn new(seed: u64, stream: Stream, policy: Policy) -> Self {
        let mut site = Site::new(WORKERS, PER_RACK);
        set_rules(&mut site, stream.guaranteed_accelerators);
        let timing = Timing {
            stop_timeout_ms: 900,
            ..Timing::DEFAULT
        };
        site.dispatcher = Dispatcher::new(timing, 1, site.now_ms, &site.workload);
        site.planner = Planner::new().with_policy(policy);
        site.heartbeats();
        Self {
            site,
            random: [0, 1, 2].map(|priority| Random::new(seed * 3 + priority)),
            stream,
            jobs: BTreeMap::new(),
            active: BTreeMap::new(),
            saved_ms: BTreeMap::new(),
            next_urgent_ms: 0,
            term: 1,
            outcome: Outcome::default(),
        }
    }

    /// Ends the load and returns what happened.
    pub fn finish(mut self) -> Outcome {
        let now_ms = self.site.now_ms;
        let waiting = self.jobs.values();
        let waiting = waiting.filter(|job| job.priority == 0 && !job.has_started);
        let waits_ms = waiting.map(|job| now_ms - job.at_ms);
        self.outcome.urgent_waits_ms.extend(waits_ms);
        self.outcome
    }

    /// Another core becomes leader.
    pub fn take_over(&mut self, policy: Policy) {
        self.term += 1;
        let timing = *self.site.dispatcher.timing();
        self.site.dispatcher =
            Dispatcher::new(timing, self.term, self.site.now_ms, &self.site.workload);
        self.site.planner = Planner::new().with_policy(policy);
        self.site.heartbeats();
    }

    /// Runs the load for a time in milliseconds.
    pub fn run(&mut self, for_ms: u64) {
        let until_ms = self.site.now_ms + for_ms;
        while self.site.now_ms < until_ms {
            self.site.now_ms += TURN_MS;
            if (self.site.now_ms / TURN_MS).is_multiple_of(HEARTBEAT_TURNS) {
                self.site.heartbeats();
            }
            self.submit_jobs();
            self.end_units();
            self.answer_orders();
            self.plan();
        }
    }

    fn submit_jobs(&mut self) {
        let now_ms = self.site.now_ms;
        while self.next_urgent_ms <= now_ms {
            let spec = StepSpec {
                gang: true,
                ..work(5, 8_000, 4)
            };
            self.submit(0, self.stream.customer, spec, 2_500);
            let is_busy = (self.next_urgent_ms / self.stream.phase_ms) % 2 == 1;
            let gap_ms = if is_busy {
                self.stream.busy_gap_ms
            } else {
                self.stream.quiet_gap_ms
            };
            self.next_urgent_ms += self.random[0].within(gap_ms / 2, gap_ms * 3 / 2);
        }
        for priority in [1, 2] {
            while self.waiting(priority) < BACKLOG {
                self.submit_backlog(priority);
            }
        }
    }

    /// Number of jobs of a priority of which nothing runs or is done.
    fn waiting(&self, priority: u32) -> usize {
        let jobs = self.site.workload.active_jobs();
        jobs.filter(|(_, job)| job.queue.priority == priority)
            .filter(|(_, job)| {
                let mut tasks = job.steps.iter().flat_map(|step| &step.tasks);
                tasks.all(|task| task.state == TaskState::Waiting)
            })
            .count()
    }

    fn submit_backlog(&mut self, priority: u32) {
        const ACCELERATORS: [u64; 5] = [1, 1, 2, 4, 8];
        let random = &mut self.random[usize::try_from(priority).unwrap()];
        let checkpoints = random.below(100) < 30;
        let run_percent = random.within(60, 160);
        if priority == 1 {
            let count = u32::try_from(random.within(4, 23)).unwrap();
            let accelerators = ACCELERATORS[random.index(ACCELERATORS.len())];
            let spec = StepSpec {
                gang: true,
                checkpoints,
                ..work(count, 52_000, accelerators)
            };
            self.submit(1, "other", spec, 11_000 * run_percent / 100);
        } else {
            let spec = StepSpec {
                checkpoints,
                ..work(39, 4_000, 1)
            };
            self.submit(2, "other", spec, 6_100 * run_percent / 100);
        }
    }

    fn submit(&mut self, priority: u32, customer: &str, spec: StepSpec, run_ms: u64) {
        let spec = StepSpec {
            declared_ms: run_ms,
            ..spec
        };
        let id = self.site.submit(priority, customer, vec![spec.clone()]);
        let submitted = Submitted {
            spec,
            priority,
            run_ms,
            at_ms: self.site.now_ms,
            has_started: false,
        };
        self.jobs.insert(id, submitted);
    }

    fn key(&self, run: RunId) -> Key {
        let gang = self.jobs[&run.task.step.job].spec.gang;
        (run.task.step, (!gang).then_some(run.task.index))
    }

    fn plan(&mut self) {
        let now_ms = self.site.now_ms;
        let plan = self.site.plan_and_start();
        for (worker, run) in &plan.evictions {
            self.site.dispatcher.request_stop(worker, *run);
            let key = self.key(*run);
            if let Some(active) = self.active.get_mut(&key) {
                active.stopped_ms.get_or_insert(now_ms + STOP_MS);
            }
        }
        for start in plan.starts {
            let key = self.key(start.run);
            let job = self.jobs.get_mut(&key.0.job).unwrap();
            let saved_ms = self.saved_ms.get(&key).copied().unwrap_or(0);
            let restore_ms = if saved_ms > 0 {
                self.site.dispatcher.timing().restore_ms
            } else {
                0
            };
            let active = self.active.entry(key).or_insert_with(|| Active {
                runs: Vec::new(),
                started_ms: now_ms,
                saved_ms,
                done_ms: now_ms + job.run_ms - saved_ms + restore_ms,
                stopped_ms: None,
            });
            if job.priority == 0 && !job.has_started {
                self.outcome.urgent_waits_ms.push(now_ms - job.at_ms);
            }
            job.has_started = true;
            active.runs.push((start.worker, start.run));
        }
    }

    /// Records the ends of what is done or stopped by now.
    fn end_units(&mut self) {
        let now_ms = self.site.now_ms;
        let over = |active: &Active| {
            now_ms >= active.done_ms || active.stopped_ms.is_some_and(|at_ms| now_ms >= at_ms)
        };
        let keys = self.active.iter().filter(|(_, active)| over(active));
        let keys: Vec<Key> = keys.map(|(key, _)| *key).collect();
        for key in keys {
            let active = self.active.remove(&key).unwrap();
            let kind = if now_ms >= active.done_ms {
                EndKind::Done
            } else {
                EndKind::Stopped
            };
            self.count(key, &active, kind);
            let end = |(worker, run): &(Incarnation, RunId)| End {
                run: *run,
                worker: worker.clone(),
                kind,
                checkpoint: None,
            };
            let ends: Vec<End> = active.runs.iter().map(end).collect();
            let site = &mut self.site;
            site.planner
                .note_ends(now_ms, &ends, &site.workload, &site.dispatcher);
            let wall_ms = site.wall_ms();
            site.workload.apply(Command::ends(ends).at(wall_ms));
            site.take_events();
            self.count_displacements(key.0.job);
        }
    }

    fn count(&mut self, key: Key, active: &Active, kind: EndKind) {
        let job = &self.jobs[&key.0.job];
        let ran_ms = self.site.now_ms - active.started_ms;
        let weight = job.spec.needs.weight() * u64::try_from(active.runs.len()).unwrap();
        if kind == EndKind::Done {
            self.outcome.done += weight * job.run_ms;
            return;
        }
        self.outcome.stops += 1;
        let restore_ms = self.site.dispatcher.timing().restore_ms;
        if job.spec.checkpoints {
            self.outcome.discarded += weight * ran_ms.min(restore_ms);
            self.saved_ms
                .insert(key, (active.saved_ms + ran_ms).min(job.run_ms));
        } else {
            self.outcome.discarded += weight * ran_ms;
        }
    }

    /// Counts the displacements of a job's tasks.
    fn count_displacements(&mut self, id: JobId) {
        let job = self.site.workload.job(id).unwrap();
        let tasks = job.steps.iter().flat_map(|step| &step.tasks);
        let most = tasks.map(|task| task.displacements).max().unwrap_or(0);
        self.outcome.max_displacements = self.outcome.max_displacements.max(most);
    }

    /// The workers carry out the orders that are due. They report the progress of their runs.
    fn answer_orders(&mut self) {
        let now_ms = self.site.now_ms;
        let (orders, ends) = self
            .site
            .dispatcher
            .orders(now_ms, &self.site.workload, true);
        assert!(ends.is_empty(), "all workers answer: {ends:?}");
        for order in orders {
            let report = matches!(order.body, OrderBody::Probe { .. })
                .then(|| self.report_of(&order.to.worker));
            let answer = Answer::Done {
                clock_ms: Some(now_ms),
                report,
            };
            let site = &mut self.site;
            site.dispatcher
                .note_answer(now_ms, &order, &answer, &site.workload);
        }
    }

    fn report_of(&self, worker: &Incarnation) -> Report {
        let worker = self.site.workload.worker(worker).unwrap();
        let running = worker.runs.keys().map(|run| {
            let key = self.key(*run);
            let active = &self.active[&key];
            let ran_ms = active.saved_ms + self.site.now_ms - active.started_ms;
            Running {
                run: *run,
                checkpoint: None,
                percent: (ran_ms * 100 / self.jobs[&key.0.job].run_ms).min(99),
                load: 0,
            }
        });
        Report {
            running: running.collect(),
            ..Report::default()
        }
    }
}

fn work(count: u32, cpu_millis: u64, accelerators: u64) -> StepSpec {
    StepSpec {
        count,
        needs: Resources {
            cpu_millis,
            memory_mb: 1_000,
            accelerators,
        },
        ..StepSpec::default()
    }
}
