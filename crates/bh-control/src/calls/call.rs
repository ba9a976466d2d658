//! What callers, workers and operators ask for.

use bh_protocol::Incarnation;
use bh_workload::job::JobSpec;
use bh_workload::rules::Rules;
use bh_workload::state::Place;
use bh_workload::state::WaveSpec;
use bh_workload::state::WorkerInfo;
use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;

/// One call. Every kind may be made again without doing anything twice, so a call without an answer is simply repeated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Call {
    /// A caller hands in a job.
    Submit {
        /// Queue and job.
        place: Place,
        /// What it asks for, or why that cannot be read.
        spec: Result<JobSpec, String>,
    },
    /// A caller asks for the state of a job, or for the jobs of a queue that wait.
    Read {
        /// Queue, and job unless the whole queue is meant.
        place: Place,
    },
    /// A caller takes a job back.
    Cancel {
        /// Queue and job.
        place: Place,
    },
    /// A worker says that it is there.
    Heartbeat(WorkerHeartbeat),
    /// A worker says that it ends now.
    Leave {
        /// The worker; without a start time if the call has none.
        worker: Incarnation,
    },
    /// An operator sets the rules, or something that cannot be read as rules.
    SetRules(Result<Box<Rules>, String>),
    /// An operator reads the rules.
    GetRules,
    /// An operator evacuates a data centre.
    Evacuate {
        /// Its name.
        data_centre: Arc<str>,
    },
    /// An operator ends the evacuation of a data centre.
    EndEvacuation {
        /// Its name.
        data_centre: Arc<str>,
    },
    /// An operator orders a wave of upkeep.
    StartWave(WaveSpec),
    /// An operator asks how far a wave is.
    GetWave {
        /// Its number.
        id: u64,
    },
}

/// What a worker says of itself from time to time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerHeartbeat {
    /// What does not change during its life.
    pub info: WorkerInfo,
    /// Whether it is leaving.
    pub draining: bool,
    /// Its clock in milliseconds.
    pub clock_ms: Option<u64>,
    /// Grows with each heartbeat of one life; a lower one after a higher one was held up on its way.
    pub sequence: u64,
    /// How much longer it is slow after its start, in milliseconds.
    #[serde(default)]
    pub cold_ms: u64,
    /// Shortest time for which it still runs while it is leaving, in milliseconds, if it says so.
    #[serde(default)]
    pub leaves_in_ms: Option<u64>,
}
