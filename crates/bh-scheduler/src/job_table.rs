//! The replicated table of jobs, which outlives any leader.

use bh_protocol::Code;
use bh_protocol::Failure;
use bh_protocol::job::Phase;
use bh_protocol::job::Placement;
use bh_protocol::job::Spec;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

/// Ended jobs that are kept for `job status` and for repeated submissions with the same key.
pub const ENDED_KEPT: usize = 20_000;

/// A change of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Record a new job.
    Submit {
        /// What the job asks for.
        spec: Spec,
        /// Wall clock of the entry (the process that takes callers' requests) that accepted the job, in milliseconds since 1970.
        submitted_wall_ms: u64,
    },
    /// Record the decision to start. From then on every task is told to start, by this leader or the next one.
    Start {
        /// Job number.
        job: u64,
        /// Epoch of the attempt.
        epoch: u64,
        /// Worker of each task.
        placement: Placement,
    },
    /// Record that the attempt was stopped and the job is back in the queue.
    Requeue {
        /// Job number.
        job: u64,
        /// Epoch of the attempt.
        epoch: u64,
        /// Reason, shown to the caller.
        reason: String,
    },
    /// Record the end of the job.
    End {
        /// Job number.
        job: u64,
        /// Epoch of the attempt.
        epoch: u64,
        /// Final phase.
        phase: Phase,
        /// Reason, shown to the caller.
        reason: String,
    },
    /// Cancel jobs for the caller.
    Cancel {
        /// Customer that must own all the jobs.
        customer: Arc<str>,
        /// Job numbers.
        jobs: Vec<u64>,
    },
}

/// Answer to a [`Command`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The submission is recorded, by this command or an earlier one with the same key.
    Submitted {
        /// Job number.
        job: u64,
    },
    /// The change is recorded.
    Recorded,
    /// The change doesn't fit the job's current state and was ignored.
    Stale,
    /// Jobs that this command cancelled.
    Cancelled {
        /// Job numbers.
        jobs: Vec<u64>,
    },
    /// The command was refused.
    Refused {
        /// Number of the result code.
        code: u32,
        /// What was refused, as the result's label.
        label: String,
    },
}

impl Outcome {
    /// The failure to return to the caller, if the command was refused.
    pub fn failure(&self) -> Option<Failure> {
        match self {
            Outcome::Refused { code, label } => Some(Failure::new(
                Code::from_number(*code).unwrap_or(Code::Internal),
                label.clone(),
            )),
            _ => None,
        }
    }
}

/// One job in the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// What the job asks for.
    pub spec: Spec,
    /// When the job was submitted, in milliseconds since 1970.
    pub submitted_wall_ms: u64,
    /// Phase.
    pub phase: Phase,
    /// Epoch of the last attempt that was started; 0 before the first.
    pub epoch: u64,
    /// Number of attempts started.
    pub attempts: u64,
    /// Placement of the current attempt; empty unless the job is started.
    pub placement: Placement,
    /// Why the job waits or ended.
    pub reason: String,
}

/// All jobs of a data centre.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct JobTable {
    next_job: u64,
    jobs: BTreeMap<u64, JobRecord>,
    keys: BTreeMap<Arc<str>, u64>,
    ended: VecDeque<u64>,
}

impl JobTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the job's record, if the job is known.
    pub fn get(&self, job: u64) -> Option<&JobRecord> {
        self.jobs.get(&job)
    }

    /// Iterates over all jobs in the order of submission.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &JobRecord)> {
        self.jobs.iter().map(|(job, record)| (*job, record))
    }

    /// Applies one change. It is deterministic: replicas that apply the same changes in the same order are equal.
    pub fn apply(&mut self, command: Command) -> Outcome {
        match command {
            Command::Submit {
                spec,
                submitted_wall_ms,
            } => self.submit(spec, submitted_wall_ms),
            Command::Start {
                job,
                epoch,
                placement,
            } => self.start(job, epoch, placement),
            Command::Requeue { job, epoch, reason } => self.requeue(job, epoch, reason),
            Command::End {
                job,
                epoch,
                phase,
                reason,
            } => self.end(job, epoch, phase, reason),
            Command::Cancel { customer, jobs } => self.cancel(&customer, jobs),
        }
    }

    fn submit(&mut self, spec: Spec, submitted_wall_ms: u64) -> Outcome {
        let key: Arc<str> = Arc::from(format!("{}/{}", spec.customer, spec.key));
        if let Some(job) = self.keys.get(&key) {
            let same = self.jobs.get(job).is_some_and(|record| record.spec == spec);
            return if same {
                Outcome::Submitted { job: *job }
            } else {
                Outcome::Refused {
                    code: Code::KeyReused.number(),
                    label: format!("key `{}`", spec.key),
                }
            };
        }
        self.next_job += 1;
        let job = self.next_job;
        self.keys.insert(key, job);
        let record = JobRecord {
            spec,
            submitted_wall_ms,
            phase: Phase::Queued,
            epoch: 0,
            attempts: 0,
            placement: Placement::default(),
            reason: String::new(),
        };
        self.jobs.insert(job, record);
        Outcome::Submitted { job }
    }

    /// Accepts a start only for a queued job and a newer epoch, so that a leader that was deposed between its prepare
    /// orders and its decision can't start a gang that its successor has placed elsewhere.
    fn start(&mut self, job: u64, epoch: u64, placement: Placement) -> Outcome {
        match self.jobs.get_mut(&job) {
            Some(record) if record.phase == Phase::Queued && epoch > record.epoch => {
                record.phase = Phase::Started;
                record.epoch = epoch;
                record.attempts += 1;
                record.placement = placement;
                record.reason.clear();
                Outcome::Recorded
            }
            _ => Outcome::Stale,
        }
    }

    fn requeue(&mut self, job: u64, epoch: u64, reason: String) -> Outcome {
        match self.jobs.get_mut(&job) {
            Some(record) if record.phase == Phase::Started && record.epoch == epoch => {
                record.phase = Phase::Queued;
                record.placement = Placement::default();
                record.reason = reason;
                Outcome::Recorded
            }
            _ => Outcome::Stale,
        }
    }

    fn end(&mut self, job: u64, epoch: u64, phase: Phase, reason: String) -> Outcome {
        match self.jobs.get_mut(&job) {
            Some(record)
                if !record.phase.is_final() && record.epoch <= epoch && phase.is_final() =>
            {
                record.phase = phase;
                record.reason = reason;
                self.mark_ended(job);
                Outcome::Recorded
            }
            _ => Outcome::Stale,
        }
    }

    fn cancel(&mut self, customer: &str, jobs: Vec<u64>) -> Outcome {
        // All or nothing: a request that names another customer's job cancels none.
        let owned = |job: &u64| {
            self.jobs
                .get(job)
                .is_some_and(|record| &*record.spec.customer == customer)
        };
        if let Some(other) = jobs.iter().find(|job| !owned(job)) {
            let label = format!("job {other} of customer `{customer}`");
            return Outcome::Refused {
                code: Code::UnknownJob.number(),
                label,
            };
        }
        let mut cancelled = Vec::new();
        for job in jobs {
            if let Some(record) = self
                .jobs
                .get_mut(&job)
                .filter(|record| !record.phase.is_final())
            {
                record.phase = Phase::Cancelled;
                record.reason = "cancelled by the caller".to_owned();
                cancelled.push(job);
            }
        }
        for job in &cancelled {
            self.mark_ended(*job);
        }
        Outcome::Cancelled { jobs: cancelled }
    }

    fn mark_ended(&mut self, job: u64) {
        self.ended.push_back(job);
        if self.ended.len() > ENDED_KEPT
            && let Some(oldest) = self.ended.pop_front()
            && let Some(record) = self.jobs.remove(&oldest)
        {
            self.keys
                .remove(&*format!("{}/{}", record.spec.customer, record.spec.key));
        }
    }
}
