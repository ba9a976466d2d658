//! Why a job was given up.

use super::Outcome;
use super::Workload;
use crate::job::JobId;
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
        /// Its last run.
        run: RunId,
    },
}

impl Workload {
    /// Ends a job as failed, unless it has ended.
    pub(super) fn give_up(&mut self, id: JobId, why: GiveUp, now_ms: u64) {
        if let Some(job) = self.jobs.get_mut(&id)
            && job.outcome.is_none()
        {
            job.given_up = Some(why);
        }
        self.close(id, Outcome::Failed, now_ms);
    }
}
