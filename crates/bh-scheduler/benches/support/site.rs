//! One data centre in memory: the scheduler, its record, and workers that carry orders out. Deterministic; no network.
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

/// Time an order or a record takes, in milliseconds.
const ORDER_MS: u64 = 5;
/// Leases of workers and tasks, in milliseconds.
pub const LEASE_MS: u64 = 3_000;

/// Tasks of one attempt on one worker.
#[derive(Clone, Debug)]
struct Held {
    tasks: Vec<u32>,
    accelerators: u32,
    phase: TaskPhase,
    ends_ms: u64,
    checkpoint_ms: Option<u64>,
}

/// A fake worker.
#[derive(Clone, Debug)]
pub struct FakeWorker {
    pub rack: Arc<str>,
    pub accelerators: u32,
    pub incarnation: u64,
    pub up: bool,
    pub cut: bool,
    pub leaving: bool,
    pub fails_everything: bool,
    pub refuses: bool,
    held: BTreeMap<(u64, u64), Held>,
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

/// What the site knows of a job beside the scheduler.
#[derive(Clone, Debug)]
pub struct Life {
    pub fails: bool,
    pub first_start_ms: Option<u64>,
    pub ended_ms: Option<u64>,
    /// Accelerator milliseconds of attempts that were stopped.
    pub lost_work: u64,
    attempt_start_ms: u64,
    remaining_ms: u64,
}

/// Faults planted in the site, to see the checks catch them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Planted {
    /// The decision to start is reported as recorded and is not.
    pub skips_record: bool,
    /// Workers confirm a stop and run on.
    pub runs_on_after_stop: bool,
    /// Tasks of workers that are cut off do not end by their leases.
    pub ignores_leases: bool,
}

/// The data centre.
pub struct Site {
    pub planted: Planted,
    pub scheduler: Scheduler,
    pub table: JobTable,
    pub now_ms: u64,
    pub workers: BTreeMap<Arc<str>, FakeWorker>,
    pub lives: BTreeMap<u64, Life>,
    /// Time a checkpoint takes, in milliseconds; an attempt that was checkpointed goes on from there.
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
            planted: Planted::default(),
            scheduler,
            table: JobTable::new(),
            now_ms: 0,
            workers: BTreeMap::new(),
            lives: BTreeMap::new(),
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
            cut: false,
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

    /// Changes the settings.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits.clone();
        self.feed(Event::LimitsChanged(limits));
    }

    /// Submits a job that needs `run_ms`; returns its number.
    pub fn submit(&mut self, spec: Spec, run_ms: u64, fails: bool) -> u64 {
        let outcome = self.table.apply(Command::Submit {
            spec,
            submitted_wall_ms: self.now_ms,
        });
        let Outcome::Submitted { job } = outcome else {
            panic!("a submission of the test was refused: {outcome:?}");
        };
        let life = Life {
            fails,
            first_start_ms: None,
            ended_ms: None,
            lost_work: 0,
            attempt_start_ms: 0,
            remaining_ms: run_ms,
        };
        self.lives.insert(job, life);
        self.tell(job);
        job
    }

    fn tell(&mut self, job: u64) {
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
                self.note_end(*job);
            }
            self.feed(Event::JobsCancelled { jobs });
        }
    }

    /// The leader dies; another takes over with what is recorded and what the workers say.
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
            self.tell(job);
        }
        let names: Vec<Arc<str>> = self.workers.keys().cloned().collect();
        for name in names {
            self.announce(&name);
        }
    }

    /// A worker's process dies and its tasks with it; the leader notices when the lease lapses.
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
        worker.cut = false;
        worker.incarnation += 1;
        self.announce(name);
    }

    /// A worker is cut off: orders and reports are lost, and its tasks end by their leases before the leader gives
    /// their places away.
    pub fn set_cut(&mut self, name: &Arc<str>, cut: bool) {
        let Some(worker) = self
            .workers
            .get_mut(name)
            .filter(|worker| worker.up && worker.cut != cut)
        else {
            return;
        };
        worker.cut = cut;
        let incarnation = worker.incarnation;
        if cut {
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
            .is_some_and(|worker| worker.up && !worker.cut)
    }

    /// Sends a worker's announcement.
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
        self.answer(name, &tasks);
    }

    /// What the leader's answer to an announcement makes a worker do.
    fn answer(&mut self, name: &Arc<str>, reports: &[TaskReport]) {
        for report in reports {
            let key = bh_protocol::target::TaskKey {
                job: report.job,
                epoch: report.epoch,
                task: report.task,
            };
            let holds = matches!(report.phase, TaskPhase::Prepared | TaskPhase::Running);
            let settled = self.table.get(report.job).is_none_or(|record| {
                record.phase.is_final()
                    || record.epoch != report.epoch
                    || record.phase == Phase::Queued
            });
            let wanted = self.scheduler.should_renew_lease(&key);
            if let Some(worker) = self.workers.get_mut(name)
                && ((holds && !wanted) || (!holds && settled))
            {
                worker.held.remove(&(report.job, report.epoch));
            }
        }
    }

    /// Lets time pass up to `until_ms`, carrying out what falls due.
    pub fn run_until(&mut self, until_ms: u64) {
        while let Some((at, _)) = self
            .pending
            .first_key_value()
            .map(|(key, _)| *key)
            .filter(|(at, _)| *at <= until_ms)
        {
            self.now_ms = self.now_ms.max(at);
            if let Some((_, pending)) = self.pending.pop_first() {
                self.fall_due(pending);
            }
        }
        self.now_ms = self.now_ms.max(until_ms);
        self.feed(Event::Tick);
    }

    fn fall_due(&mut self, pending: Pending) {
        match pending {
            Pending::CarryOut(action) => self.carry_out(action),
            Pending::TaskEnds { worker, job, epoch } => self.task_ends(&worker, job, epoch),
            Pending::CheckpointEnds { worker, job, epoch } => {
                self.checkpoint_ends(&worker, job, epoch)
            }
            Pending::Announce { worker } => self.announce(&worker),
            Pending::LeaseEnds { .. } if self.planted.ignores_leases => {}
            Pending::LeaseEnds {
                worker,
                incarnation,
            } => {
                if let Some(worker) = self
                    .workers
                    .get_mut(&worker)
                    .filter(|worker| worker.cut && worker.incarnation == incarnation)
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
                let gone = self
                    .workers
                    .get(&worker)
                    .is_some_and(|w| w.incarnation == incarnation && (!w.up || w.cut));
                if gone {
                    self.feed(Event::WorkerLost { name: worker });
                }
            }
        }
    }

    fn task_ends(&mut self, name: &Arc<str>, job: u64, epoch: u64) {
        let fails_job = self.lives.get(&job).is_some_and(|life| life.fails);
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
            self.keep_progress(job);
            self.announce(name);
        }
    }

    /// A checkpoint keeps what the attempt has done.
    fn keep_progress(&mut self, job: u64) {
        let now_ms = self.now_ms;
        if let Some(life) = self.lives.get_mut(&job) {
            let done = now_ms.saturating_sub(life.attempt_start_ms);
            life.remaining_ms = life.remaining_ms.saturating_sub(done).max(1);
            life.attempt_start_ms = now_ms;
        }
    }

    /// Counts what the stopped attempt did since its last checkpoint.
    fn note_lost(&mut self, job: u64) {
        let now_ms = self.now_ms;
        let accelerators = self
            .table
            .get(job)
            .map_or(0, |record| u64::from(record.spec.shape.accelerators()));
        if let Some(life) = self.lives.get_mut(&job) {
            life.lost_work += now_ms.saturating_sub(life.attempt_start_ms) * accelerators;
        }
    }

    fn note_end(&mut self, job: u64) {
        let now_ms = self.now_ms;
        if let Some(life) = self.lives.get_mut(&job) {
            life.ended_ms.get_or_insert(now_ms);
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
                let accepted = self.planted.skips_record
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
                        && !self.planted.runs_on_after_stop
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
                self.note_lost(job);
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
                self.note_end(job);
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
                Held {
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
        let decided = self
            .table
            .get(job)
            .is_some_and(|record| record.epoch == epoch && record.phase != Phase::Queued);
        if !decided {
            self.problems.push(format!(
                "job {job} attempt {epoch} is started without a decision"
            ));
        }
        let remaining_ms = self.lives.get(&job).map_or(1, |life| life.remaining_ms);
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
                // Started before, by an earlier leader.
                Some(held) if held.phase == TaskPhase::Running => {}
                _ => {
                    refused.insert(name);
                }
            }
        }
        if let Some(life) = self.lives.get_mut(&job) {
            life.first_start_ms.get_or_insert(now_ms);
            life.attempt_start_ms = now_ms;
        }
        self.feed(Event::StartSent {
            job,
            epoch,
            refused,
        });
    }

    /// Attempts with a running task, and on how many workers each runs.
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

    /// Checks what must hold at every moment.
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

    /// Checks that every running attempt runs on all its workers: only after a time without faults.
    pub fn check_whole(&mut self) {
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
