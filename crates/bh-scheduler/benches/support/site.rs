//! A deterministic in-memory simulation of one data centre: the scheduler, the job table and workers that carry out orders.
#![allow(dead_code, reason = "the tests and the benches each use a part of it")]

use bh_protocol::job::Phase;
use bh_protocol::job::Placement;
use bh_protocol::job::Spec;
use bh_protocol::target::TaskPhase;
use bh_protocol::target::TaskReport;
use bh_scheduler::Action;
use bh_scheduler::Command;
use bh_scheduler::Event;
use bh_scheduler::JobTable;
use bh_scheduler::Limits;
use bh_scheduler::Outcome;
use bh_scheduler::RecordedJob;
use bh_scheduler::Scheduler;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Time until an action of the scheduler is carried out.
const ORDER_MS: u64 = 5;
/// Lease of workers and tasks.
pub const LEASE_MS: u64 = 3_000;

/// Tasks of one attempt on one worker.
#[derive(Clone, Debug)]
struct HeldTasks {
    tasks: Vec<u32>,
    accelerators: u32,
    phase: TaskPhase,
    ends_ms: u64,
    checkpoint_ms: Option<u64>,
}

/// A simulated worker.
#[derive(Clone, Debug)]
pub struct FakeWorker {
    pub rack: Arc<str>,
    pub accelerators: u32,
    pub incarnation: u64,
    pub up: bool,
    pub disconnected: bool,
    pub leaving: bool,
    pub fails_everything: bool,
    pub refuses: bool,
    held: BTreeMap<(u64, u64), HeldTasks>,
}

#[derive(Clone, Debug)]
enum Pending {
    CarryOut(Action),
    TaskEnds {
        worker: Arc<str>,
        job: u64,
        epoch: u64,
    },
    CheckpointEnds {
        worker: Arc<str>,
        job: u64,
        epoch: u64,
    },
    Lost {
        worker: Arc<str>,
        incarnation: u64,
    },
    LeaseEnds {
        worker: Arc<str>,
        incarnation: u64,
    },
    Announce {
        worker: Arc<str>,
    },
}

/// What the simulation tracks about a job, independently of the scheduler.
#[derive(Clone, Debug)]
pub struct JobHistory {
    pub fails: bool,
    pub first_start_ms: Option<u64>,
    pub ended_ms: Option<u64>,
    /// Accelerator milliseconds that were lost when attempts were stopped.
    pub lost_work: u64,
    attempt_start_ms: u64,
    remaining_ms: u64,
}

/// Faults to inject, which the checks must detect.
#[derive(Clone, Copy, Debug, Default)]
pub struct InjectedFaults {
    /// The decision to start is reported as recorded although it is not.
    pub skips_start_record: bool,
    /// Workers confirm a stop order but continue to run the tasks.
    pub ignores_stops: bool,
    /// Tasks of disconnected workers don't end when their leases expire.
    pub ignores_leases: bool,
}

/// The simulated data centre.
pub struct Site {
    pub faults: InjectedFaults,
    pub scheduler: Scheduler,
    pub table: JobTable,
    pub now_ms: u64,
    pub workers: BTreeMap<Arc<str>, FakeWorker>,
    pub histories: BTreeMap<u64, JobHistory>,
    /// Time that a checkpoint takes. A checkpointed job resumes from its checkpoint.
    pub checkpoint_ms: u64,
    pub problems: Vec<String>,
    pending: BTreeMap<(u64, u64), Pending>,
    sequence: u64,
    term: u64,
    limits: Limits,
}

impl Site {
    pub fn new(limits: Limits) -> Self {
        let mut scheduler = Scheduler::new(1, Limits::default(), LEASE_MS, 0);
        scheduler.step(0, Event::LimitsChanged(limits.clone()));
        Self {
            faults: InjectedFaults::default(),
            scheduler,
            table: JobTable::new(),
            now_ms: 0,
            workers: BTreeMap::new(),
            histories: BTreeMap::new(),
            checkpoint_ms: 200,
            problems: Vec::new(),
            pending: BTreeMap::new(),
            sequence: 0,
            term: 1,
            limits,
        }
    }

    pub fn add_worker(&mut self, name: &str, rack: &str, accelerators: u32) {
        let worker = FakeWorker {
            rack: Arc::from(rack),
            accelerators,
            incarnation: 1,
            up: true,
            disconnected: false,
            leaving: false,
            fails_everything: false,
            refuses: false,
            held: BTreeMap::new(),
        };
        let name: Arc<str> = Arc::from(name);
        self.workers.insert(name.clone(), worker);
        self.announce(&name);
    }

    fn later(&mut self, after_ms: u64, pending: Pending) {
        self.sequence += 1;
        self.pending
            .insert((self.now_ms + after_ms, self.sequence), pending);
    }

    pub fn feed(&mut self, event: Event) {
        let actions = self.scheduler.step(self.now_ms, event);
        for action in actions {
            self.later(ORDER_MS, Pending::CarryOut(action));
        }
    }

    /// Changes the limits.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits.clone();
        self.feed(Event::LimitsChanged(limits));
    }

    /// Submits a job that has to run for `run_ms`. Returns its number.
    pub fn submit(&mut self, spec: Spec, run_ms: u64, fails: bool) -> u64 {
        let outcome = self.table.apply(Command::Submit {
            spec,
            submitted_wall_ms: self.now_ms,
        });
        let Outcome::Submitted { job } = outcome else {
            panic!("a submission of the test was refused: {outcome:?}");
        };
        let history = JobHistory {
            fails,
            first_start_ms: None,
            ended_ms: None,
            lost_work: 0,
            attempt_start_ms: 0,
            remaining_ms: run_ms,
        };
        self.histories.insert(job, history);
        self.announce_job(job);
        job
    }

    fn announce_job(&mut self, job: u64) {
        let Some(record) = self.table.get(job) else {
            return;
        };
        let recorded = RecordedJob {
            job,
            spec: record.spec.clone(),
            submitted_ms: record.submitted_wall_ms,
            phase: record.phase,
            epoch: record.epoch,
            placement: record.placement.clone(),
        };
        self.feed(Event::JobRecorded(recorded));
    }

    pub fn cancel(&mut self, customer: &str, jobs: Vec<u64>) {
        if let Outcome::Cancelled { jobs } = self.table.apply(Command::Cancel {
            customer: Arc::from(customer),
            jobs,
        }) {
            for job in &jobs {
                self.record_end(*job);
            }
            self.feed(Event::JobsCancelled { jobs });
        }
    }

    /// Replaces the leader. The new one knows only the job table and what the workers announce.
    pub fn change_leader(&mut self) {
        self.term += 1;
        self.pending
            .retain(|_, pending| !matches!(pending, Pending::CarryOut(_)));
        self.scheduler = Scheduler::new(self.term, Limits::default(), LEASE_MS, self.now_ms);
        self.feed(Event::LimitsChanged(self.limits.clone()));
        let open: Vec<u64> = self
            .table
            .iter()
            .filter(|(_, record)| !record.phase.is_final())
            .map(|(job, _)| job)
            .collect();
        for job in open {
            self.announce_job(job);
        }
        let names: Vec<Arc<str>> = self.workers.keys().cloned().collect();
        for name in names {
            self.announce(&name);
        }
    }

    /// Kills a worker's process with its tasks. The leader notices when the worker's lease expires.
    pub fn kill_worker(&mut self, name: &Arc<str>) {
        let Some(worker) = self.workers.get_mut(name).filter(|worker| worker.up) else {
            return;
        };
        worker.up = false;
        worker.held.clear();
        let incarnation = worker.incarnation;
        self.later(
            LEASE_MS,
            Pending::Lost {
                worker: name.clone(),
                incarnation,
            },
        );
    }

    pub fn start_worker(&mut self, name: &Arc<str>) {
        let Some(worker) = self.workers.get_mut(name).filter(|worker| !worker.up) else {
            return;
        };
        worker.up = true;
        worker.disconnected = false;
        worker.incarnation += 1;
        self.announce(name);
    }

    /// Disconnects or reconnects a worker. While it is disconnected, orders and reports are lost. Its tasks end when their
    /// leases expire, before the leader gives their accelerators to other jobs.
    pub fn set_disconnected(&mut self, name: &Arc<str>, disconnected: bool) {
        let Some(worker) = self
            .workers
            .get_mut(name)
            .filter(|worker| worker.up && worker.disconnected != disconnected)
        else {
            return;
        };
        worker.disconnected = disconnected;
        let incarnation = worker.incarnation;
        if disconnected {
            self.later(
                LEASE_MS - ORDER_MS,
                Pending::LeaseEnds {
                    worker: name.clone(),
                    incarnation,
                },
            );
            self.later(
                LEASE_MS,
                Pending::Lost {
                    worker: name.clone(),
                    incarnation,
                },
            );
        } else {
            self.announce(name);
        }
    }

    fn reaches(&self, name: &str) -> bool {
        self.workers
            .get(name)
            .is_some_and(|worker| worker.up && !worker.disconnected)
    }

    /// Sends a worker's announcement to the leader.
    pub fn announce(&mut self, name: &Arc<str>) {
        if !self.reaches(name) {
            return;
        }
        let worker = &self.workers[name];
        let mut tasks = Vec::new();
        for ((job, epoch), held) in &worker.held {
            for task in &held.tasks {
                tasks.push(TaskReport {
                    job: *job,
                    epoch: *epoch,
                    task: *task,
                    phase: held.phase,
                });
            }
        }
        let event = Event::WorkerAnnounced {
            name: name.clone(),
            incarnation: worker.incarnation,
            rack: worker.rack.clone(),
            accelerators: worker.accelerators,
            leaving: worker.leaving,
            tasks: tasks.clone(),
        };
        self.feed(event);
        self.apply_answer(name, &tasks);
    }

    /// Applies the leader's answer to an announcement on the worker.
    fn apply_answer(&mut self, name: &Arc<str>, reports: &[TaskReport]) {
        for report in reports {
            let key = bh_protocol::target::TaskKey {
                job: report.job,
                epoch: report.epoch,
                task: report.task,
            };
            let holds = matches!(report.phase, TaskPhase::Prepared | TaskPhase::Running);
            let end_recorded = self.table.get(report.job).is_none_or(|record| {
                record.phase.is_final()
                    || record.epoch != report.epoch
                    || record.phase == Phase::Queued
            });
            let wanted = self.scheduler.should_renew_lease(&key);
            if let Some(worker) = self.workers.get_mut(name)
                && ((holds && !wanted) || (!holds && end_recorded))
            {
                worker.held.remove(&(report.job, report.epoch));
            }
        }
    }

    /// Advances time to `until_ms` and carries out everything that is due by then.
    pub fn run_until(&mut self, until_ms: u64) {
        while let Some((at, _)) = self
            .pending
            .first_key_value()
            .map(|(key, _)| *key)
            .filter(|(at, _)| *at <= until_ms)
        {
            self.now_ms = self.now_ms.max(at);
            if let Some((_, pending)) = self.pending.pop_first() {
                self.handle_pending(pending);
            }
        }
        self.now_ms = self.now_ms.max(until_ms);
        self.feed(Event::Tick);
    }

    fn handle_pending(&mut self, pending: Pending) {
        match pending {
            Pending::CarryOut(action) => self.carry_out(action),
            Pending::TaskEnds { worker, job, epoch } => self.task_ends(&worker, job, epoch),
            Pending::CheckpointEnds { worker, job, epoch } => {
                self.checkpoint_ends(&worker, job, epoch)
            }
            Pending::Announce { worker } => self.announce(&worker),
            Pending::LeaseEnds { .. } if self.faults.ignores_leases => {}
            Pending::LeaseEnds {
                worker,
                incarnation,
            } => {
                if let Some(worker) = self
                    .workers
                    .get_mut(&worker)
                    .filter(|worker| worker.disconnected && worker.incarnation == incarnation)
                {
                    for held in worker.held.values_mut() {
                        held.phase = TaskPhase::Stopped;
                    }
                }
            }
            Pending::Lost {
                worker,
                incarnation,
            } => {
                let is_lost = self
                    .workers
                    .get(&worker)
                    .is_some_and(|w| w.incarnation == incarnation && (!w.up || w.disconnected));
                if is_lost {
                    self.feed(Event::WorkerLost { name: worker });
                }
            }
        }
    }

    fn task_ends(&mut self, name: &Arc<str>, job: u64, epoch: u64) {
        let fails_job = self
            .histories
            .get(&job)
            .is_some_and(|history| history.fails);
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let fails = fails_job || worker.fails_everything;
        let now_ms = self.now_ms;
        if let Some(held) = worker
            .held
            .get_mut(&(job, epoch))
            .filter(|held| held.phase == TaskPhase::Running && held.ends_ms <= now_ms)
        {
            held.phase = if fails {
                TaskPhase::Failed
            } else {
                TaskPhase::Done
            };
            self.announce(name);
        }
    }

    fn checkpoint_ends(&mut self, name: &Arc<str>, job: u64, epoch: u64) {
        let now_ms = self.now_ms;
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if let Some(held) = worker.held.get_mut(&(job, epoch)).filter(|held| {
            held.checkpoint_ms.is_some_and(|at| at <= now_ms) && held.phase == TaskPhase::Running
        }) {
            held.phase = TaskPhase::Stopped;
            self.save_progress(job);
            self.announce(name);
        }
    }

    /// Deducts the work since the last checkpoint from the job's remaining time.
    fn save_progress(&mut self, job: u64) {
        let now_ms = self.now_ms;
        if let Some(history) = self.histories.get_mut(&job) {
            let done = now_ms.saturating_sub(history.attempt_start_ms);
            history.remaining_ms = history.remaining_ms.saturating_sub(done).max(1);
            history.attempt_start_ms = now_ms;
        }
    }

    /// Counts the work that the stopped attempt did since its last checkpoint as lost.
    fn count_lost_work(&mut self, job: u64) {
        let now_ms = self.now_ms;
        let accelerators = self
            .table
            .get(job)
            .map_or(0, |record| u64::from(record.spec.shape.accelerators()));
        if let Some(history) = self.histories.get_mut(&job) {
            history.lost_work += now_ms.saturating_sub(history.attempt_start_ms) * accelerators;
        }
    }

    fn record_end(&mut self, job: u64) {
        let now_ms = self.now_ms;
        if let Some(history) = self.histories.get_mut(&job) {
            history.ended_ms.get_or_insert(now_ms);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Prepare {
                job,
                epoch,
                placement,
            } => self.prepare(job, epoch, &placement),
            Action::RecordStart {
                job,
                epoch,
                placement,
            } => {
                let accepted = self.faults.skips_start_record
                    || self.table.apply(Command::Start {
                        job,
                        epoch,
                        placement,
                    }) == Outcome::Recorded;
                self.feed(Event::StartRecorded {
                    job,
                    epoch,
                    accepted,
                });
            }
            Action::Start {
                job,
                epoch,
                placement,
            } => self.start(job, epoch, &placement),
            Action::Checkpoint {
                job,
                epoch,
                workers,
            } => {
                let after_ms = self.checkpoint_ms;
                for name in workers {
                    if !self.reaches(&name) {
                        continue;
                    }
                    let at = self.now_ms + after_ms;
                    if let Some(held) = self
                        .workers
                        .get_mut(&name)
                        .and_then(|worker| worker.held.get_mut(&(job, epoch)))
                    {
                        held.checkpoint_ms = Some(at);
                    }
                    self.later(
                        after_ms,
                        Pending::CheckpointEnds {
                            worker: name,
                            job,
                            epoch,
                        },
                    );
                }
            }
            Action::Stop {
                job,
                epoch,
                workers,
            } => {
                for name in workers {
                    let confirmed = self.reaches(&name);
                    if confirmed
                        && !self.faults.ignores_stops
                        && let Some(worker) = self.workers.get_mut(&name)
                    {
                        worker.held.retain(|(held_job, held_epoch), _| {
                            *held_job != job || *held_epoch > epoch
                        });
                    }
                    self.feed(Event::StopSent {
                        job,
                        epoch,
                        worker: name,
                        confirmed,
                    });
                }
            }
            Action::RecordRequeue { job, epoch, reason } => {
                self.count_lost_work(job);
                self.table.apply(Command::Requeue { job, epoch, reason });
                self.feed(Event::Requeued { job, epoch });
            }
            Action::RecordEnd {
                job,
                epoch,
                phase,
                reason,
            } => {
                self.table.apply(Command::End {
                    job,
                    epoch,
                    phase,
                    reason,
                });
                self.record_end(job);
            }
        }
    }

    fn prepare(&mut self, job: u64, epoch: u64, placement: &Placement) {
        let Some(per_task) = self
            .table
            .get(job)
            .map(|record| record.spec.shape.accelerators_per_task)
        else {
            return;
        };
        let mut refused = BTreeSet::new();
        for (name, tasks) in placement.tasks_by_worker() {
            let reaches = self.reaches(&name);
            let Some(worker) = self.workers.get_mut(&name).filter(|_| reaches) else {
                refused.insert(name);
                continue;
            };
            let needed = per_task * u32::try_from(tasks.len()).unwrap_or(u32::MAX);
            let in_use: u32 = worker
                .held
                .values()
                .filter(|held| holds(held.phase))
                .map(|held| held.accelerators)
                .sum();
            if worker.refuses || in_use + needed > worker.accelerators {
                refused.insert(name);
                continue;
            }
            worker.held.insert(
                (job, epoch),
                HeldTasks {
                    tasks,
                    accelerators: needed,
                    phase: TaskPhase::Prepared,
                    ends_ms: 0,
                    checkpoint_ms: None,
                },
            );
        }
        self.feed(Event::Prepared {
            job,
            epoch,
            refused,
        });
    }

    fn start(&mut self, job: u64, epoch: u64, placement: &Placement) {
        let now_ms = self.now_ms;
        let start_recorded = self
            .table
            .get(job)
            .is_some_and(|record| record.epoch == epoch && record.phase != Phase::Queued);
        if !start_recorded {
            self.problems.push(format!(
                "job {job} attempt {epoch} is started without a decision"
            ));
        }
        let remaining_ms = self
            .histories
            .get(&job)
            .map_or(1, |history| history.remaining_ms);
        let mut refused = BTreeSet::new();
        for name in placement.tasks_by_worker().into_keys() {
            let reaches = self.reaches(&name);
            let held = self
                .workers
                .get_mut(&name)
                .filter(|_| reaches)
                .and_then(|worker| worker.held.get_mut(&(job, epoch)));
            match held {
                Some(held) if held.phase == TaskPhase::Prepared => {
                    held.phase = TaskPhase::Running;
                    held.ends_ms = now_ms + remaining_ms;
                    self.later(
                        remaining_ms,
                        Pending::TaskEnds {
                            worker: name.clone(),
                            job,
                            epoch,
                        },
                    );
                    self.later(ORDER_MS, Pending::Announce { worker: name });
                }
                // An earlier leader has already started these tasks.
                Some(held) if held.phase == TaskPhase::Running => {}
                _ => {
                    refused.insert(name);
                }
            }
        }
        if let Some(history) = self.histories.get_mut(&job) {
            history.first_start_ms.get_or_insert(now_ms);
            history.attempt_start_ms = now_ms;
        }
        self.feed(Event::StartSent {
            job,
            epoch,
            refused,
        });
    }

    /// Returns the attempts with a running task, and on how many workers each of them runs.
    pub fn running_attempts(&self) -> BTreeMap<(u64, u64), usize> {
        let mut attempts = BTreeMap::new();
        for worker in self.workers.values().filter(|worker| worker.up) {
            for (key, held) in &worker.held {
                if held.phase == TaskPhase::Running {
                    *attempts.entry(*key).or_insert(0) += 1;
                }
            }
        }
        attempts
    }

    /// Checks what must hold at all times.
    pub fn check(&mut self) {
        if let Err(problem) = self.scheduler.check_invariants() {
            self.problems.push(problem);
        }
        let attempts = self.running_attempts();
        let mut jobs = BTreeSet::new();
        for (job, epoch) in attempts.keys() {
            if !jobs.insert(*job) {
                self.problems.push(format!(
                    "two attempts of job {job} run at {} ms",
                    self.now_ms
                ));
            }
            let recorded = self.table.get(*job).map_or(0, |record| record.epoch);
            if recorded < *epoch {
                self.problems.push(format!(
                    "job {job} runs attempt {epoch}, the record knows {recorded}"
                ));
            }
        }
        for (name, worker) in &self.workers {
            let in_use: u32 = worker
                .held
                .values()
                .filter(|held| holds(held.phase))
                .map(|held| held.accelerators)
                .sum();
            if in_use > worker.accelerators {
                self.problems.push(format!(
                    "worker {name} runs {in_use} accelerators of {}",
                    worker.accelerators
                ));
            }
        }
    }

    /// Checks that every running attempt runs on all its workers. This holds only after a time without faults.
    pub fn check_gangs_complete(&mut self) {
        for ((job, epoch), count) in self.running_attempts() {
            let workers = self
                .table
                .get(job)
                .map_or(0, |record| record.placement.per_worker().len());
            if workers != count {
                self.problems.push(format!(
                    "job {job} attempt {epoch} runs on {count} of {workers} workers"
                ));
            }
        }
    }
}

fn holds(phase: TaskPhase) -> bool {
    matches!(phase, TaskPhase::Prepared | TaskPhase::Running)
}
