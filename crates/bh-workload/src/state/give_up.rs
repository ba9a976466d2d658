//! Why a job was given up.

use crate::job::RunId;
use crate::job::StepId;
use serde::Deserialize;
use serde::Serialize;

/// Why a job was given up as failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GiveUp {
    /// A task or gang of this step failed as often as its queue allows.
    Failures {
        /// The step.
        step: StepId,
    },
    /// Workers crashed under a task.
    Crashes {
        /// The last run of the task.
        run: RunId,
    },
}
