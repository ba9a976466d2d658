//! Calls of callers, workers and operators.

use bh_protocol::Incarnation;
use bh_workload::job::JobSpec;
use bh_workload::rules::Rules;
use bh_workload::state::Place;
use bh_workload::state::WaveSpec;
use bh_workload::state::WorkerInfo;
use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;

/// A call. All calls are idempotent, so a call without an answer can simply be repeated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Call {
    /// A caller submits a job.
    Submit {
        /// Name of the queue and the job.
        place: Place,
        /// The job's specification, or why it could not be parsed.
        spec: Result<JobSpec, String>,
    },
    /// A caller asks for the state of a job, or for the number of pending jobs of a queue.
    Read {
        /// Name of the queue, and of the job unless the whole queue is meant.
        place: Place,
    },
    /// A caller cancels a job.
    Cancel {
        /// Name of the queue and the job.
        place: Place,
    },
    /// A worker reports that it is alive.
    Heartbeat(WorkerHeartbeat),
    /// A worker announces that it ends now.
    Leave {
        /// The worker; without a start time if the call has none.
        worker: Incarnation,
    },
    /// An operator sets the rules. The error says why they could not be parsed.
    SetRules(Result<Box<Rules>, String>),
    /// An operator reads the rules.
    GetRules,
    /// An operator evacuates a data centre.
    Evacuate {
        /// Its name.
        data_centre: Arc<str>,
        /// Number of the data centre's last change that the core knew when it read the call. Set by that core; absent from calls that cores of
        /// an older version forward.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        known_change: Option<u64>,
    },
    /// An operator ends the evacuation of a data centre.
    EndEvacuation {
        /// Its name.
        data_centre: Arc<str>,
        /// See [`Call::Evacuate`].
        #[serde(default, skip_serializing_if = "Option::is_none")]
        known_change: Option<u64>,
    },
    /// An operator starts a maintenance wave.
    StartWave(WaveSpec),
    /// An operator asks for the progress of a maintenance wave.
    GetWave {
        /// Its number.
        id: u64,
    },
}

impl Call {
    /// Name of what the call is about, by which retries of refused calls are spread.
    pub fn name(&self) -> Arc<str> {
        match self {
            Call::Submit { place, .. } | Call::Read { place } | Call::Cancel { place } => {
                place.path.clone()
            }
            Call::Heartbeat(heartbeat) => Arc::from(heartbeat.info.id.to_string()),
            Call::Leave { worker } => Arc::from(worker.to_string()),
            Call::Evacuate { data_centre, .. } | Call::EndEvacuation { data_centre, .. } => {
                data_centre.clone()
            }
            Call::SetRules(_) | Call::GetRules => Arc::from("rules"),
            Call::StartWave(WaveSpec { id, .. }) | Call::GetWave { id } => {
                Arc::from(id.to_string())
            }
        }
    }
}

/// A worker's regular report about itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerHeartbeat {
    /// Properties of the worker that rarely change.
    pub info: WorkerInfo,
    /// Whether it is leaving.
    pub draining: bool,
    /// Its clock in milliseconds.
    pub clock_ms: Option<u64>,
    /// Increases with each heartbeat of one incarnation. A heartbeat with a lower number than an earlier one was delayed in transit.
    pub sequence: u64,
    /// How much longer the worker is slow after its start, in milliseconds.
    #[serde(default)]
    pub cold_ms: u64,
    /// Minimum time for which a leaving worker still runs, in milliseconds, if it reports one.
    #[serde(default)]
    pub leaves_in_ms: Option<u64>,
}
