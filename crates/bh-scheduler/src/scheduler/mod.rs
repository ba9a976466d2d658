//! The scheduler of one data centre.

mod accounts;
mod dispatch;
mod failed_placements;
mod gang;
mod invariants;
mod preemption;
mod stop;
mod workers;

use crate::action::Action;
use crate::event::Event;
use crate::event::RecordedJob;
use crate::guarantees::Guarantees;
use crate::inventory::Inventory;
use crate::inventory::WorkerId;
use crate::job::Job;
use crate::job::State;
use crate::limits::Limits;
use crate::runtimes::Runtimes;
use bh_protocol::job::Phase;
use bh_protocol::job::Placement;
use bh_protocol::shape::Shape;
use bh_protocol::target::TaskKey;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Number of low bits of an epoch that count attempts; the bits above hold the leader's term.
const EPOCH_TERM_SHIFT: u32 = 24;

/// Interval of passes over the queue that no event asks for. It limits their cost: each pass sorts the whole queue.
const PASS_INTERVAL_MS: u64 = 200;

/// Order in the queue: priority, then time of submission, then job number.
type QueueKey = (Reverse<u8>, u64, u64);

/// Places gangs on accelerators.
#[derive(Clone, Debug)]
pub struct Scheduler {
    limits: Limits,
    inventory: Inventory,
    guarantees: Guarantees,
    jobs: BTreeMap<u64, Job>,
    queue: BTreeSet<QueueKey>,
    /// Accelerators held by each team and customer.
    team_used: BTreeMap<Arc<str>, u32>,
    customer_used: BTreeMap<Arc<str>, u32>,
    runtimes: Runtimes,
    next_epoch: u64,
    /// Lease of workers and tasks. A stop order that is not confirmed for so long is repeated; a start may take twice as
    /// long to be reported.
    lease_ms: u64,
    /// Jobs that hold accelerators of each worker, so that a lost worker or a reclaim finds them without a scan.
    on_worker: BTreeMap<WorkerId, BTreeSet<u64>>,
    /// Until this time, workers may not have announced themselves to this leader yet.
    announcements_due_ms: u64,
    dirty: bool,
    /// When the next pass runs for jobs whose wait ends by time alone.
    next_pass_ms: u64,
    actions: Vec<Action>,
}

impl Scheduler {
    /// Creates the scheduler of a leader elected for `term` at `now_ms`. Workers have `lease_ms` to announce themselves
    /// before their tasks count as lost.
    pub fn new(term: u64, limits: Limits, lease_ms: u64, now_ms: u64) -> Self {
        Self {
            limits,
            inventory: Inventory::new(),
            guarantees: Guarantees::new(),
            jobs: BTreeMap::new(),
            queue: BTreeSet::new(),
            team_used: BTreeMap::new(),
            customer_used: BTreeMap::new(),
            runtimes: Runtimes::default(),
            next_epoch: (term << EPOCH_TERM_SHIFT) + 1,
            lease_ms,
            on_worker: BTreeMap::new(),
            announcements_due_ms: now_ms + lease_ms,
            dirty: true,
            next_pass_ms: 0,
            actions: Vec::new(),
        }
    }

    /// Applies `event` at `now_ms` and returns the actions to carry out.
    pub fn step(&mut self, now_ms: u64, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => self.tick(now_ms),
            Event::LimitsChanged(limits) => self.change_limits(limits),
            Event::WorkerAnnounced {
                name,
                incarnation,
                rack,
                accelerators,
                leaving,
                tasks,
            } => {
                self.worker_announced(now_ms, &name, incarnation, &rack, accelerators, leaving);
                self.task_reports(now_ms, &name, &tasks);
            }
            Event::WorkerLost { name } => self.worker_lost(now_ms, &name),
            Event::JobRecorded(recorded) => self.job_recorded(now_ms, recorded),
            Event::JobsCancelled { jobs } => self.jobs_cancelled(now_ms, &jobs),
            Event::Prepared {
                job,
                epoch,
                refused,
            } => self.prepared(now_ms, job, epoch, &refused),
            Event::StartRecorded {
                job,
                epoch,
                accepted,
            } => self.start_recorded(now_ms, job, epoch, accepted),
            Event::StartSent {
                job,
                epoch,
                refused,
            } => self.start_sent(now_ms, job, epoch, &refused),
            Event::StopSent {
                job,
                epoch,
                worker,
                confirmed,
            } => {
                if confirmed {
                    self.worker_stopped(job, epoch, &worker);
                }
            }
            Event::Requeued { job, epoch } => self.requeued(job, epoch),
        }
        if self.dirty {
            self.dirty = false;
            self.dispatch(now_ms);
        }
        std::mem::take(&mut self.actions)
    }

    /// Workers and racks of the data centre.
    pub fn inventory(&self) -> &Inventory {
        &self.inventory
    }

    /// Guaranteed shapes and their cells.
    pub fn guarantees(&self) -> &Guarantees {
        &self.guarantees
    }

    /// State of `job`, or `None` if it has ended or is unknown.
    pub fn state_of(&self, job: u64) -> Option<&State> {
        self.jobs.get(&job).map(|job| &job.state)
    }

    /// Why `job` waits; empty if the scheduler knows no reason.
    pub fn reason_of(&self, job: u64) -> &str {
        self.jobs.get(&job).map_or("", |job| &job.reason)
    }

    /// Whether every task of `job` is reported as running or done.
    pub fn is_running(&self, job: u64) -> bool {
        self.jobs.get(&job).is_some_and(|job| match &job.state {
            State::Running { running, done, .. } => running.len() + done.len() == job.places.len(),
            _ => false,
        })
    }

    /// Placement of the current attempt.
    pub fn placement_of(&self, job: u64) -> Placement {
        self.jobs
            .get(&job)
            .map(|job| self.placement(job))
            .unwrap_or_default()
    }

    /// Number of queued jobs.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Shapes of the queued jobs, for the fragmentation report.
    pub fn queued_shapes(&self) -> BTreeSet<Shape> {
        self.queue
            .iter()
            .filter_map(|(_, _, job)| self.jobs.get(job))
            .map(|job| job.spec.shape)
            .collect()
    }

    /// Whether the leader should renew the lease of this task, so that it may continue to run.
    pub fn should_renew_lease(&self, key: &TaskKey) -> bool {
        self.jobs.get(&key.job).is_some_and(|job| {
            let holds = !matches!(
                job.state,
                State::Queued | State::Reclaiming { .. } | State::RecordingRequeue
            );
            let stopping = matches!(
                job.state,
                State::Stopping {
                    checkpoint_until_ms: None,
                    ..
                }
            );
            holds && !stopping && job.epoch == key.epoch
        })
    }

    /// Whether the shape could be placed if no other job ran. `None` while workers may not have announced themselves yet.
    pub fn can_ever_fit(&self, shape: &Shape, now_ms: u64) -> Option<bool> {
        if now_ms < self.announcements_due_ms {
            return None;
        }
        let search =
            crate::placement::Search::new(&self.inventory, |id| self.inventory.worker(id).capacity);
        Some(search.place(shape).is_some())
    }

    fn placement(&self, job: &Job) -> Placement {
        job.placement(|id| self.inventory.worker(id).name.clone())
    }

    fn change_limits(&mut self, limits: Limits) {
        if limits == self.limits {
            return;
        }
        self.limits = limits;
        let new_cells = self.guarantees.configure(&mut self.inventory, &self.limits);
        for (job, cell) in new_cells {
            if let Some(job) = self.jobs.get_mut(&job) {
                job.cell = cell;
            }
        }
        self.guarantees.rebind(&mut self.inventory);
        self.dirty = true;
    }

    fn job_recorded(&mut self, now_ms: u64, recorded: RecordedJob) {
        let number = recorded.job;
        if recorded.phase.is_final() || self.jobs.contains_key(&number) {
            return;
        }
        let mut job = Job::new(recorded.spec, recorded.submitted_ms);
        job.epoch = recorded.epoch;
        if recorded.phase == Phase::Started {
            self.adopt(now_ms, number, job, &recorded.placement);
        } else {
            self.jobs.insert(number, job);
            self.enqueue(number);
        }
    }

    /// Takes over a job that an earlier leader started. The decision to start is recorded, so this leader completes it: a
    /// worker that reports its tasks as prepared gets the start order again, and tasks that are not reported in time
    /// count as lost. Nothing can be sent to a worker before it announces itself.
    fn adopt(&mut self, now_ms: u64, number: u64, mut job: Job, placement: &Placement) {
        let incarnation = 0;
        for place in &placement.tasks {
            let id = match self.inventory.find(&place.worker) {
                Some(id) => id,
                None => {
                    // The worker has not announced itself yet and is known by name only.
                    let unknown = Arc::from("");
                    let (id, _) =
                        self.inventory
                            .announce(&place.worker, incarnation, &unknown, 0, true);
                    self.inventory.mark_lost(id);
                    id
                }
            };
            job.places.push(id);
        }
        job.started_ms = now_ms;
        job.state = State::Running {
            running: BTreeSet::new(),
            done: BTreeSet::new(),
            report_by_ms: now_ms + 2 * self.lease_ms,
        };
        self.jobs.insert(number, job);
        self.charge(number);
    }

    fn queue_key(&self, number: u64) -> Option<QueueKey> {
        let job = self.jobs.get(&number)?;
        Some((Reverse(job.spec.priority), job.submitted_ms, number))
    }

    fn enqueue(&mut self, number: u64) {
        if let Some(key) = self.queue_key(number) {
            self.queue.insert(key);
            self.dirty = true;
        }
    }

    fn dequeue(&mut self, number: u64) {
        if let Some(key) = self.queue_key(number) {
            self.queue.remove(&key);
        }
    }

    fn tick(&mut self, now_ms: u64) {
        self.tick_running(now_ms);
        self.tick_stopping(now_ms);
        // Some waits end by time alone: retry waits, starvation, and workers that were set aside.
        if now_ms >= self.next_pass_ms {
            self.next_pass_ms = now_ms + PASS_INTERVAL_MS;
            self.dirty |= !self.queue.is_empty();
        }
    }
}
