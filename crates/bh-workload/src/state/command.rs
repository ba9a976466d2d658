//! What is replicated: every change of the record, in one order.

use super::Crash;
use super::VmUpkeep;
use super::WaveSpec;
use super::WorkerInfo;
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
    /// A caller hands in a job.
    Accept {
        /// Where it was handed in.
        place: Place,
        /// What it asks for.
        spec: JobSpec,
        /// When the leader took it, in milliseconds since 1970.
        now_ms: u64,
    },
    /// A caller takes a job back.
    Cancel {
        /// The job.
        place: Place,
        /// When the leader took the call, in milliseconds since 1970.
        now_ms: u64,
    },
    /// Workers came, are leaving, or are gone.
    Workers(Vec<WorkerChange>),
    /// Runs that are about to be ordered. An order leaves only after this is committed: a leader that comes later must know of
    /// everything that may run.
    Starts(Vec<Start>),
    /// Runs that are over.
    Ends {
        /// The runs.
        ends: Vec<End>,
        /// When the leader learnt of them, in milliseconds since 1970.
        now_ms: u64,
        /// The crash that ended them, if one did. A core of an older version, which does not know it, still ends the runs.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        crash: Option<Crash>,
        /// Runs of gangs that were recorded as lost and turn out to have failed. A core of an older version counts them as nobody's fault.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        late_failures: Vec<RunId>,
    },
    /// An operator orders a wave of upkeep.
    StartWave {
        /// What is asked for.
        spec: WaveSpec,
        /// When the leader took the call, in milliseconds since 1970.
        now_ms: u64,
    },
    /// A VM of a wave came one step further. The order itself leaves only after this is committed: more VMs than allowed could be down at
    /// the same time otherwise, should another core lead next.
    Upkeep {
        /// Number of the wave.
        wave: u64,
        /// The VM.
        vm: Arc<str>,
        /// How far it is.
        upkeep: VmUpkeep,
    },
    /// An operator evacuates a data centre: nothing more begins on its workers until the evacuation is ended.
    Evacuate {
        /// The data centre.
        data_centre: Arc<str>,
        /// When the leader took the call, in milliseconds since 1970.
        now_ms: u64,
    },
    /// An operator ends the evacuation of a data centre.
    EndEvacuation {
        /// The data centre.
        data_centre: Arc<str>,
    },
    /// Drops jobs that ended before a time, in milliseconds since 1970.
    Forget {
        /// The time.
        before_ms: u64,
    },
}

impl Command {
    /// Runs that are over, as of a time that is still to be filled in.
    pub fn ends(ends: Vec<End>) -> Self {
        Command::Ends {
            ends,
            now_ms: 0,
            crash: None,
            late_failures: Vec::new(),
        }
    }

    /// When the leader made it, in milliseconds since 1970, where it holds a time.
    pub fn made_ms(&self) -> Option<u64> {
        match self {
            Command::Ends { now_ms, .. }
            | Command::Accept { now_ms, .. }
            | Command::Cancel { now_ms, .. }
            | Command::StartWave { now_ms, .. }
            | Command::Evacuate { now_ms, .. } => Some(*now_ms),
            _ => None,
        }
    }

    /// The command as of `at_ms`, in milliseconds since 1970, where it holds a time.
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

/// Which queue and job a call concerns, and who calls.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// Host that the caller named.
    pub host: Arc<str>,
    /// Path of the call.
    pub path: Arc<str>,
    /// Key of the caller, if it sent one.
    pub key: Option<Arc<str>>,
}

/// What became of a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum WorkerChange {
    /// A new one, or a known one with other particulars, whatever was known before.
    Known(WorkerInfo),
    /// It gets no new work.
    Draining(Incarnation),
    /// It has ended, and everything that ran on it.
    Gone(Incarnation),
}

/// A run about to be ordered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// The run.
    pub run: RunId,
    /// Worker incarnation it goes to.
    pub worker: Incarnation,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum EndKind {
    /// Its work is done.
    Done,
    /// It failed, through its own fault or the worker's.
    Failed,
    /// It was stopped by our order.
    Stopped,
    /// The worker's lease ran out, as it says or as it surely has by now.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// It waited in vain for the other members of its gang.
    Alone,
    /// It never began.
    NotStarted,
    /// Its worker is gone, or other members of its gang say that it is over; a worker that lives may yet say that it failed.
    Lost,
}

/// A run that is over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// The run.
    pub run: RunId,
    /// Worker incarnation it was on.
    pub worker: Incarnation,
    /// How it ended.
    pub kind: EndKind,
    /// Progress it saved, if any.
    pub checkpoint: Option<Arc<str>>,
}

/// The answer to a command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// It is in effect, or was already.
    Done,
    /// It has no effect, and why.
    Refused(Refusal),
    /// Steps of which at least one start was not taken over into the record; none of a gang's was.
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
    /// There is no such job.
    NoJob,
    /// There is no such wave.
    NoWave,
    /// There is no such data centre.
    NoDataCentre,
    /// The job cannot be read or breaks a limit.
    BadJob(String),
    /// The rules are invalid.
    BadRules(String),
}
