//! Commands: the changes of the record, replicated in one order.

use super::Crash;
use super::VmUpkeep;
use super::WaveSpec;
use super::WorkerInfo;
use super::job::is_false;
use crate::job::JobSpec;
use crate::job::RunId;
use crate::job::StepId;
use crate::rules::Rules;
use bh_protocol::Incarnation;
use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;

/// One change of the record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// New rules; only a higher version than the one in force has an effect.
    SetRules(Box<Rules>),
    /// A caller submits a job.
    Accept {
        /// Host, path and key of the call.
        place: Place,
        /// What the job asks for.
        spec: JobSpec,
        /// When the leader received the call, in milliseconds since 1970.
        now_ms: u64,
    },
    /// A caller cancels a job.
    Cancel {
        /// The job.
        place: Place,
        /// When the leader received the call, in milliseconds since 1970.
        now_ms: u64,
        /// Whether the job, if it is not recorded, is refused when its submission arrives later. A core of an older version does not know this
        /// field and accepts the submission.
        #[serde(default, skip_serializing_if = "is_false")]
        bars_late_submission: bool,
    },
    /// Workers were added or changed, are leaving, or are gone.
    Workers(Vec<WorkerChange>),
    /// Runs that are about to be ordered. A start order is sent only after this is committed: a later leader must know every run that may
    /// be in progress.
    Starts(Vec<Start>),
    /// Runs that have ended.
    Ends {
        /// The runs.
        ends: Vec<End>,
        /// When the leader learned of the ends, in milliseconds since 1970.
        now_ms: u64,
        /// The crash that ended them, if any. A core of an older version does not know this field and still ends the runs.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        crash: Option<Crash>,
        /// Gang runs that were recorded as lost and are now reported as failed. A core of an older version does not count these failures.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        late_failures: Vec<RunId>,
        /// Runs among `ends` that were stopped, but not to make room for other work: they were overdue, their worker leaves or gets upkeep,
        /// or they were no longer wanted. A core of an older version does not know this field and counts no displacements.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        not_displaced: Vec<RunId>,
        /// Runs whose tasks are cleared of the crashes counted before: they had worked soundly for long. A core of an older version does not know
        /// this field and keeps the counts.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        cleared: Vec<RunId>,
        /// Suspects of this crash, or of others recorded shortly before, against which it is no evidence: many workers were lost at once. For each of
        /// their tasks, one crash is taken back, once. A core of an older version does not know this field and keeps the counts.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        exonerated: Vec<RunId>,
    },
    /// An operator orders a wave of upkeep.
    StartWave {
        /// What is asked for.
        spec: WaveSpec,
        /// When the leader received the call, in milliseconds since 1970.
        now_ms: u64,
    },
    /// The upkeep of a VM of a wave has progressed. The order to the VM is sent only after this is committed: otherwise, after a change of
    /// leader, more VMs than allowed could be down at the same time.
    Upkeep {
        /// Number of the wave.
        wave: u64,
        /// The VM.
        vm: Arc<str>,
        /// Its new state.
        upkeep: VmUpkeep,
    },
    /// An operator evacuates a data centre: no run starts on its workers until the evacuation is ended.
    Evacuate {
        /// The data centre.
        data_centre: Arc<str>,
        /// When the leader received the call, in milliseconds since 1970.
        now_ms: u64,
        /// Number of the data centre's last change that was known where the order was read. The order is refused if the data centre has changed
        /// since: it was delayed, and what it would undo came later. A core of an older version does not know this field and carries the
        /// order out.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        known_change: Option<u64>,
    },
    /// An operator ends the evacuation of a data centre.
    EndEvacuation {
        /// The data centre.
        data_centre: Arc<str>,
        /// See [`Command::Evacuate`].
        #[serde(default, skip_serializing_if = "Option::is_none")]
        known_change: Option<u64>,
    },
    /// Removes jobs that ended before a time, in milliseconds since 1970.
    Forget {
        /// The time.
        before_ms: u64,
    },
}

impl Command {
    /// The command for runs that have ended. The time is filled in later.
    pub fn ends(ends: Vec<End>) -> Self {
        Command::Ends {
            ends,
            now_ms: 0,
            crash: None,
            late_failures: Vec::new(),
            not_displaced: Vec::new(),
            cleared: Vec::new(),
            exonerated: Vec::new(),
        }
    }

    /// A command that only advances the record's time to `now_ms`, in milliseconds since 1970.
    pub fn time(now_ms: u64) -> Self {
        // Cores of an older version know no command that is only a time.
        Command::ends(Vec::new()).at(now_ms)
    }

    /// When the leader created the command, in milliseconds since 1970, if the command has a time.
    pub fn time_ms(&self) -> Option<u64> {
        match self {
            Command::Ends { now_ms, .. }
            | Command::Accept { now_ms, .. }
            | Command::Cancel { now_ms, .. }
            | Command::StartWave { now_ms, .. }
            | Command::Evacuate { now_ms, .. } => Some(*now_ms),
            _ => None,
        }
    }

    /// The command with its time set to `at_ms`, in milliseconds since 1970, if it has a time.
    pub fn at(mut self, at_ms: u64) -> Self {
        if let Command::Ends { now_ms, .. }
        | Command::Accept { now_ms, .. }
        | Command::Cancel { now_ms, .. }
        | Command::StartWave { now_ms, .. }
        | Command::Evacuate { now_ms, .. } = &mut self
        {
            *now_ms = at_ms;
        }
        self
    }
}

/// The queue and job that a call names, and its caller.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// Host named in the call.
    pub host: Arc<str>,
    /// Path of the call.
    pub path: Arc<str>,
    /// Key of the caller, if it sent one.
    pub key: Option<Arc<str>>,
}

/// A change of a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum WorkerChange {
    /// A new worker, or new details of a known worker, which replace the old ones.
    Known(WorkerInfo),
    /// It gets no new work.
    Draining(Incarnation),
    /// It has ended, together with everything that ran on it.
    Gone(Incarnation),
}

/// A run that is about to be ordered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// The run.
    pub run: RunId,
    /// Worker incarnation on which it should start.
    pub worker: Incarnation,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum EndKind {
    /// It succeeded.
    Done,
    /// It failed; the cause may be the task or the worker.
    Failed,
    /// It was stopped by an order of the leader.
    Stopped,
    /// The worker's lease expired: the worker reported it, or the lease has certainly expired by the leader's clock.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// It timed out waiting for the other members of its gang.
    Alone,
    /// It never started.
    NotStarted,
    /// Its worker is gone, or the ends of other members of its gang prove that it has ended. In the second case the worker may still report
    /// that the run failed.
    Lost,
}

/// A run that has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// The run.
    pub run: RunId,
    /// Worker incarnation it was on.
    pub worker: Incarnation,
    /// How it ended.
    pub kind: EndKind,
    /// Its last checkpoint, if any.
    pub checkpoint: Option<Arc<str>>,
}

/// The answer to a command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The command is in effect, or was before.
    Done,
    /// The command has no effect, for this reason.
    Refused(Refusal),
    /// Steps with at least one start that was not recorded; of a gang, either all starts are recorded or none.
    Started(Vec<StepId>),
}

/// Why a call has no effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// There are no rules yet.
    NoRules,
    /// No queue is at that host and path.
    NoQueue,
    /// The key is missing or unknown.
    NoKey,
    /// No such job exists.
    NoJob,
    /// The job was cancelled before its submission arrived.
    Cancelled,
    /// The caller has cancelled too many jobs that are not recorded.
    TooManyCancels,
    /// No such wave exists.
    NoWave,
    /// No such data centre exists.
    NoDataCentre,
    /// The call was delayed, and what it would change has been changed since it was read.
    Outdated,
    /// The job cannot be parsed or exceeds a limit.
    BadJob(String),
    /// The rules are invalid.
    BadRules(String),
}
