//! A small site in memory: the record, which is the replicated state, the leader's dispatcher and planner, and workers that carry out their
//! orders. An open run is one whose start is recorded and whose end is not.
//!
//! [`Site::plan_and_start`] records starts, [`Site::send_starts`] then sends the start orders to the workers.
#![expect(
    clippy::unwrap_used,
    reason = "a test that meets the unexpected shall end"
)]
#![allow(dead_code, reason = "each test file uses a part")]

pub mod admitting;
pub mod live_worker;
pub mod modelled_leader;
pub mod stalled_steps;
pub mod uneven_fleet;

use bh_group::Machine;
use bh_protocol::Incarnation;
use bh_workload::dispatch::Answer;
use bh_workload::dispatch::Dispatcher;
use bh_workload::dispatch::Order;
use bh_workload::dispatch::OrderBody;
use bh_workload::dispatch::Report;
use bh_workload::dispatch::Running;
use bh_workload::dispatch::Timing;
use bh_workload::job::JobId;
use bh_workload::job::JobSpec;
use bh_workload::job::Resources;
use bh_workload::job::RunId;
use bh_workload::job::StepId;
use bh_workload::job::StepSpec;
use bh_workload::job::TaskId;
use bh_workload::plan::Plan;
use bh_workload::plan::Planner;
use bh_workload::rules::Customer;
use bh_workload::rules::Pool;
use bh_workload::rules::Queue;
use bh_workload::rules::Rules;
use bh_workload::state::Command;
use bh_workload::state::End;
use bh_workload::state::EndKind;
use bh_workload::state::Place;
use bh_workload::state::Reply;
use bh_workload::state::WorkerChange;
use bh_workload::state::WorkerInfo;
use bh_workload::state::Workload;
use std::collections::BTreeSet;
use std::sync::Arc;

pub const HOST: &str = "jobs.example";
pub const POOL: &str = "pool";
/// Time without urgent work after which no capacity is kept for it, in milliseconds.
const QUIET_MS: u64 = 60_000;
/// Name of the second data centre of a site that has two.
pub const FAR: &str = "far";
/// Wall time at which the clock of every site starts, in milliseconds since 1970.
pub const START_WALL_MS: u64 = 1_000_000;

/// The record, the leader and the clock of a site.
#[derive(Clone)]
pub struct Site {
    pub workload: Workload,
    pub dispatcher: Dispatcher,
    pub planner: Planner,
    pub now_ms: u64,
    next_job: u64,
    /// Orders that [`Site::answer_for`] sent to other workers, which have had no answer.
    in_flight: Vec<Order>,
}

/// Rules with one queue for each priority: `/p0/`, `/p1/`, `/p2/`. The customer `guaranteed` is guaranteed 16 accelerators, `other` none.
pub fn rules(version: u64) -> Rules {
    let queue = |priority: u32| {
        Arc::new(Queue {
            name: Arc::from(format!("q{priority}")),
            host: Arc::from(HOST),
            path_prefix: Arc::from(format!("/p{priority}/")),
            pool: Arc::from(POOL),
            priority,
            max_attempts: 2,
            timeout_ms: 3_000,
            target_latency_ms: 1_000,
            slack_factor: 3.0,
            public: false,
            advised: None,
        })
    };
    let customer = |name: &str, guaranteed_accelerators| {
        Arc::new(Customer {
            name: Arc::from(name),
            keys: vec![Arc::from(format!("key-{name}"))],
            guaranteed_accelerators,
        })
    };
    Rules {
        version,
        document: Arc::from(format!("version {version}")),
        queues: vec![queue(0), queue(1), queue(2)],
        pools: vec![Arc::new(Pool {
            name: Arc::from(POOL),
            ..Pool::default()
        })],
        customers: vec![customer("guaranteed", 16), customer("other", 0)],
    }
}

/// The rules of [`rules`], with `max_attempts` allowed failures in each queue.
pub fn rules_with_attempts(version: u64, max_attempts: u32) -> Rules {
    let mut changed = rules(version);
    for queue in &mut changed.queues {
        *queue = Arc::new(Queue {
            max_attempts,
            ..Queue::clone(queue)
        });
    }
    changed
}

/// Parses a worker incarnation, `ID` or `ID@STARTED_MS`.
pub fn worker_id(text: &str) -> Incarnation {
    Incarnation::parse(text).unwrap()
}

/// A worker with eight accelerators, in a rack of `per_rack` workers.
pub fn worker_info(index: usize, per_rack: usize) -> WorkerInfo {
    let rack: Arc<str> = Arc::from(format!("rack{}", index / per_rack));
    WorkerInfo {
        id: worker_id(&format!("w{index:02}")),
        vm: Some(Arc::from(format!("vm{index:02}"))),
        pool: Arc::from(POOL),
        address: format!("10.0.{}.{}:80", index / 250, index % 250 + 1)
            .parse()
            .unwrap(),
        data_centre: Arc::from("dc"),
        labels: vec![Arc::from("a"), rack.clone()],
        rack,
        capacity: Resources {
            cpu_millis: 128_000,
            memory_mb: 512_000,
            accelerators: 8,
        },
        sequence: 0,
    }
}

/// A step of `count` tasks with `accelerators` accelerators each. `declared_ms` is the run time of a task that the caller declares.
pub fn step(count: u32, accelerators: u64) -> StepSpec {
    StepSpec {
        count,
        needs: Resources {
            cpu_millis: 1_000,
            memory_mb: 1_000,
            accelerators,
        },
        declared_ms: 5_000,
        ..StepSpec::default()
    }
}

/// Starts the waiting work, and lets workers report it as running after `run_ms`.
pub fn start_and_run(site: &mut Site, run_ms: u64) {
    site.plan_and_start();
    site.send_starts();
    site.advance(run_ms);
    site.report();
}

/// Place of a job in the queue of `priority`, with the customer's key.
pub fn place(priority: u32, customer: &str, job: JobId) -> Place {
    Place {
        host: Arc::from(HOST),
        path: Arc::from(format!("/p{priority}/{job}")),
        key: Some(Arc::from(format!("key-{customer}"))),
    }
}

/// Place of a job in the queue of `priority`, without a key.
pub fn keyless(priority: u32, job: JobId) -> Place {
    Place {
        key: None,
        ..place(priority, "", job)
    }
}

impl Site {
    /// A site of `workers` workers with eight accelerators each, `per_rack` of them in a rack.
    pub fn new(workers: usize, per_rack: usize) -> Self {
        let mut workload = Workload::default();
        workload.apply(Command::SetRules(Box::new(rules(1))));
        let known = (0..workers)
            .map(|index| WorkerChange::Known(worker_info(index, per_rack)))
            .collect();
        workload.apply(Command::Workers(known));
        let now_ms = 1;
        let dispatcher = Dispatcher::new(Timing::DEFAULT, 1, now_ms, &workload);
        let mut site = Self {
            workload,
            dispatcher,
            planner: Planner::new(),
            now_ms,
            next_job: 1,
            in_flight: Vec::new(),
        };
        site.heartbeats();
        site.workload.take_events();
        site
    }

    pub fn wall_ms(&self) -> u64 {
        START_WALL_MS + self.now_ms
    }

    /// Every worker sends a heartbeat.
    pub fn heartbeats(&mut self) {
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

    /// Advances the clock; every worker sends a heartbeat.
    pub fn advance(&mut self, by_ms: u64) {
        self.now_ms += by_ms;
        self.heartbeats();
    }

    /// Submits a job to the queue of `priority`, where 0 is the most urgent, for one of the customers of [`rules`].
    pub fn submit(&mut self, priority: u32, customer: &str, steps: Vec<StepSpec>) -> JobId {
        let id = JobId(self.next_job);
        self.next_job += 1;
        let reply = self.submit_at(place(priority, customer, id), steps);
        assert_eq!(reply, Reply::Done);
        id
    }

    /// Submits a job at `place`.
    pub fn submit_at(&mut self, place: Place, steps: Vec<StepSpec>) -> Reply {
        let spec = JobSpec {
            text: Arc::from("text"),
            steps,
            schedule: None,
        };
        let now_ms = self.wall_ms();
        self.workload.apply(Command::Accept {
            place,
            spec,
            now_ms,
        })
    }

    pub fn cancel(&mut self, priority: u32, customer: &str, job: JobId) {
        let reply = self.cancel_at(place(priority, customer, job));
        assert_eq!(reply, Reply::Done);
        self.take_events();
    }

    /// Cancels the job at `place`.
    pub fn cancel_at(&mut self, place: Place) -> Reply {
        let now_ms = self.wall_ms();
        self.workload.apply(Command::Cancel {
            place,
            now_ms,
            bars_late_submission: true,
        })
    }

    /// Removes old jobs and cancels as the leader does now.
    pub fn remove_old(&mut self) {
        let before_ms = self.wall_ms() - Timing::DEFAULT.retention_ms;
        self.workload.apply(Command::Forget { before_ms });
    }

    /// Replaces the record by a copy that went through a snapshot.
    pub fn restore_from_snapshot(&mut self) {
        let machine = Machine::new(self.workload.clone(), Workload::CODEC);
        let bytes = machine.snapshot().unwrap();
        machine.restore(&bytes).unwrap();
        self.workload = machine.read().clone();
    }

    /// Makes a plan without recording it.
    pub fn plan(&mut self) -> Plan {
        self.planner.plan(
            self.now_ms,
            self.wall_ms(),
            &self.workload,
            &self.dispatcher,
        )
    }

    /// Makes a plan and records its starts, without sending the start orders.
    pub fn plan_and_start(&mut self) -> Plan {
        let plan = self.plan();
        let reply = self.workload.apply(Command::Starts(plan.starts.clone()));
        assert_eq!(reply, Reply::Started(Vec::new()));
        self.take_events();
        plan
    }

    /// Passes the events of the record to the dispatcher.
    pub fn take_events(&mut self) {
        let record_events = self.workload.take_events();
        self.dispatcher
            .note_events(self.now_ms, &record_events, &self.workload);
    }

    /// Another core becomes leader, with the fencing token `token`.
    pub fn take_over(&mut self, token: u64) {
        self.dispatcher = Dispatcher::new(Timing::DEFAULT, token, self.now_ms, &self.workload);
        self.planner = Planner::new();
        self.heartbeats();
    }

    /// Sends the orders that are due; the workers confirm each one, without a report.
    pub fn send_starts(&mut self) {
        let (orders, _) = self.dispatcher.orders(self.now_ms, &self.workload, true);
        for order in orders {
            let answer = Answer::Done {
                clock_ms: Some(self.now_ms),
                report: None,
            };
            self.dispatcher
                .note_answer(self.now_ms, &order, &answer, &self.workload);
        }
    }

    /// Records that a worker now has this many accelerators.
    pub fn set_accelerators(&mut self, worker: &Incarnation, accelerators: u64) {
        let mut info = self.workload.worker(worker).unwrap().info.clone();
        info.capacity.accelerators = accelerators;
        let known = WorkerChange::Known(info);
        self.workload.apply(Command::Workers(vec![known]));
        self.take_events();
    }

    /// A site of `workers` workers in each of the data centres `dc` and `far`, `per_rack` of them in a rack. No capacity is kept for urgent work
    /// there.
    pub fn in_two_data_centres(workers: usize, per_rack: usize) -> Self {
        let mut site = Self::new(2 * workers, per_rack);
        for index in workers..2 * workers {
            let mut info = worker_info(index, per_rack);
            info.data_centre = Arc::from(FAR);
            let known = WorkerChange::Known(info);
            site.workload.apply(Command::Workers(vec![known]));
        }
        site.take_events();
        site.advance(QUIET_MS);
        site
    }

    /// Returns whether a worker is in the data centre `far`.
    pub fn is_far(&self, worker: &Incarnation) -> bool {
        let worker = self.workload.worker(worker);
        worker.is_some_and(|worker| &*worker.info.data_centre == FAR)
    }

    /// Starts the evacuation of a data centre.
    pub fn evacuate(&mut self, data_centre: &str) {
        let reply = self.workload.apply(Command::Evacuate {
            data_centre: Arc::from(data_centre),
            now_ms: self.wall_ms(),
            known_change: None,
        });
        assert_eq!(reply, Reply::Done);
        self.take_events();
    }

    /// Ends the evacuation of a data centre.
    pub fn end_evacuation(&mut self, data_centre: &str) {
        let reply = self.workload.apply(Command::EndEvacuation {
            data_centre: Arc::from(data_centre),
            known_change: None,
        });
        assert_eq!(reply, Reply::Done);
        self.take_events();
    }

    /// Returns the orders that are due, for all workers, and records the ends that the dispatcher found.
    pub fn orders(&mut self) -> Vec<Order> {
        let (orders, ends) = self.dispatcher.orders(self.now_ms, &self.workload, true);
        if !ends.is_empty() {
            let now_ms = self.wall_ms();
            self.workload.apply(Command::ends(ends).at(now_ms));
            self.take_events();
        }
        orders
    }

    /// Returns the order to a worker that is due now and whose body `is_wanted`.
    pub fn order_to(
        &mut self,
        worker: &Incarnation,
        is_wanted: impl Fn(&OrderBody) -> bool,
    ) -> Order {
        let orders = self.orders();
        let mut own = orders
            .into_iter()
            .filter(|order| order.to.worker == *worker && is_wanted(&order.body));
        own.next().unwrap()
    }

    /// Answer of a worker that has carried out an order, without a report.
    pub fn done(&self) -> Answer {
        Answer::Done {
            clock_ms: Some(self.now_ms),
            report: None,
        }
    }

    /// Answer of a worker to a probe: it runs what is recorded for it, except the runs in `except`.
    pub fn probe_answer(&self, worker: &Incarnation, except: &[RunId]) -> Answer {
        let mut report = self.report_of(worker);
        report
            .running
            .retain(|running| !except.contains(&running.run));
        Answer::Done {
            clock_ms: Some(self.now_ms),
            report: Some(report),
        }
    }

    /// Workers answer the orders that are due and report all runs that are recorded for them as running.
    pub fn report(&mut self) {
        let (orders, _) = self.dispatcher.orders(self.now_ms, &self.workload, true);
        for order in orders {
            let answer = Answer::Done {
                clock_ms: Some(self.now_ms),
                report: Some(self.report_of(&order.to.worker)),
            };
            self.dispatcher
                .note_answer(self.now_ms, &order, &answer, &self.workload);
        }
    }

    /// The due starts are carried out, and every worker is probed and reports that its runs are fully at work.
    pub fn report_fully_at_work(&mut self) {
        /// Number of steps within which each worker is probed, and their length in milliseconds.
        const STEPS: u64 = 10;
        const STEP_MS: u64 = 100;
        for _ in 0..STEPS {
            for order in self.orders() {
                let mut report = self.report_of(&order.to.worker);
                for running in &mut report.running {
                    running.percent = 100;
                }
                let is_probe = matches!(order.body, OrderBody::Probe { .. });
                let answer = Answer::Done {
                    clock_ms: Some(self.now_ms),
                    report: is_probe.then_some(report),
                };
                self.dispatcher
                    .note_answer(self.now_ms, &order, &answer, &self.workload);
            }
            self.advance(STEP_MS);
        }
    }

    /// A worker answers its probe and reports the progress of a run, in percent.
    pub fn report_percent(&mut self, worker: &Incarnation, run: RunId, percent: u64) {
        let mut report = self.report_of(worker);
        let own = report.running.iter_mut().find(|running| running.run == run);
        own.unwrap().percent = percent;
        let answer = Answer::Done {
            clock_ms: Some(self.now_ms),
            report: Some(report),
        };
        self.answer_for(worker, &answer);
    }

    /// Report that lists all runs recorded for a worker as running.
    fn report_of(&self, worker: &Incarnation) -> Report {
        let worker = self.workload.worker(worker);
        let runs = worker.into_iter().flat_map(|worker| worker.runs.keys());
        let running = runs.map(|run| Running {
            run: *run,
            checkpoint: None,
            percent: 1,
            load: 0,
        });
        Report {
            running: running.collect(),
            ..Report::default()
        }
    }

    /// All orders to a worker that are due get `answer`, once the next probe is due if there are none yet; the commands that follow from it are
    /// recorded.
    pub fn answer_for(&mut self, worker: &Incarnation, answer: &Answer) {
        /// Time between two probes of a worker, in milliseconds.
        const NEXT_PROBE_MS: u64 = 400;
        let is_own = |order: &Order| order.to.worker == *worker;
        let mut orders = self.dispatcher.orders(self.now_ms, &self.workload, true).0;
        if !orders.iter().any(is_own) {
            let in_flight = self.in_flight.extract_if(.., |order| is_own(order));
            orders.extend(in_flight);
        }
        if !orders.iter().any(is_own) {
            self.now_ms += NEXT_PROBE_MS;
            orders = self.dispatcher.orders(self.now_ms, &self.workload, true).0;
        }
        let (own, others): (Vec<Order>, Vec<Order>) = orders.into_iter().partition(is_own);
        self.in_flight.extend(others);
        let commands: Vec<Command> = own
            .iter()
            .filter_map(|order| {
                self.dispatcher
                    .note_answer(self.now_ms, order, answer, &self.workload)
            })
            .collect();
        for command in commands {
            self.workload.apply(command.at(START_WALL_MS + self.now_ms));
        }
        self.take_events();
    }

    /// Returns the command that follows when another incarnation answers in a worker's place.
    pub fn departure_of(&mut self, worker: &Incarnation) -> Command {
        const NEXT_PROBE_MS: u64 = 400;
        self.now_ms += NEXT_PROBE_MS;
        let (orders, _) = self.dispatcher.orders(self.now_ms, &self.workload, true);
        let own = orders.iter().filter(|order| order.to.worker == *worker);
        let mut commands = own.filter_map(|order| {
            let answer = Answer::OtherIncarnation;
            self.dispatcher
                .note_answer(self.now_ms, order, &answer, &self.workload)
        });
        commands.next().unwrap()
    }

    /// The orders to a worker that are due get no answer.
    pub fn fall_silent(&mut self, worker: &Incarnation) {
        self.answer_for(worker, &Answer::Lost);
    }

    /// A worker crashes; another incarnation answers at its address from now on.
    pub fn crash(&mut self, worker: &Incarnation) {
        let mut info = self.workload.worker(worker).unwrap().info.clone();
        self.answer_for(worker, &Answer::OtherIncarnation);
        assert!(self.workload.worker(worker).is_none(), "{worker} is gone");
        info.id = worker_id(&format!("{worker}'"));
        let known = WorkerChange::Known(info);
        self.workload.apply(Command::Workers(vec![known]));
        self.take_events();
        self.heartbeats();
    }

    /// Some workers crash, and other incarnations answer at their addresses from now on. The others answer their orders.
    pub fn crash_workers(&mut self, crashing: &BTreeSet<Incarnation>) {
        self.advance(400);
        let workers = self.workload.workers().map(|worker| worker.info.clone());
        let crashing: Vec<WorkerInfo> =
            workers.filter(|info| crashing.contains(&info.id)).collect();
        for order in self.orders() {
            let answer = if crashing.iter().any(|info| info.id == order.to.worker) {
                Answer::OtherIncarnation
            } else {
                Answer::Done {
                    clock_ms: Some(self.now_ms),
                    report: None,
                }
            };
            let (dispatcher, workload) = (&mut self.dispatcher, &self.workload);
            let command = dispatcher.note_answer(self.now_ms, &order, &answer, workload);
            if let Some(command) = command {
                let now_ms = self.wall_ms();
                self.workload.apply(command.at(now_ms));
            }
        }
        let restarted = crashing.into_iter().map(|info| WorkerInfo {
            id: worker_id(&format!("{}'", info.id)),
            ..info
        });
        let known = restarted.map(WorkerChange::Known).collect();
        self.workload.apply(Command::Workers(known));
        self.take_events();
        self.heartbeats();
    }

    /// A silent worker restarts: another incarnation sends a heartbeat and answers at its address.
    pub fn restart_silent_worker(&mut self, worker: &Incarnation) {
        let mut info = self.workload.worker(worker).unwrap().info.clone();
        info.id = worker_id(&format!("{worker}'"));
        let known = WorkerChange::Known(info);
        self.workload.apply(Command::Workers(vec![known]));
        self.take_events();
        self.answer_for(worker, &Answer::OtherIncarnation);
    }

    /// Records the end of a run on the worker that has it.
    pub fn end(&mut self, run: RunId, kind: EndKind) {
        let worker = self
            .workload
            .workers()
            .find(|worker| worker.runs.contains_key(&run))
            .map(|worker| worker.info.id.clone())
            .unwrap();
        let end = End {
            run,
            worker,
            kind,
            checkpoint: None,
        };
        let now_ms = self.wall_ms();
        self.workload.apply(Command::ends(vec![end]).at(now_ms));
        self.take_events();
    }

    /// Returns the open runs in the record, with their workers.
    pub fn open_runs(&self) -> Vec<(Incarnation, RunId)> {
        self.workload
            .workers()
            .flat_map(|worker| worker.runs.keys().map(|run| (worker.info.id.clone(), *run)))
            .collect()
    }
}

pub fn task(job: JobId, step: u32, index: u32) -> TaskId {
    TaskId {
        step: StepId {
            job,
            occurrence: 0,
            step,
        },
        index,
    }
}

/// Returns the recorded run of a task of the job's first step.
pub fn run_of(site: &Site, job: JobId, index: u32) -> RunId {
    let runs = site.open_runs();
    let mut own = runs.iter().map(|(_, run)| *run);
    own.find(|run| run.task == task(job, 0, index)).unwrap()
}
