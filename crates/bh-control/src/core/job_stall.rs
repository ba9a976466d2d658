//! A stalled job, as it is reported in the log. Metrics and log lines call a stall a standstill.

use bh_workload::job::JobId;
use bh_workload::plan::RunnableStep;

/// Why a job no longer counts as stalled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StallEnd {
    /// A run of the job is in progress or has finished since.
    Runs,
    /// The job has ended.
    JobOver,
    /// There is no longer free capacity for the job twice over, or half of its pool is in use.
    LessRoom,
}

/// A period in which a job is stalled: none of its tasks runs although there is free capacity.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobStall {
    /// The job.
    pub job: JobId,
    /// How long the job has been stalled since this leader first saw it, in milliseconds.
    pub stalled_ms: u64,
    /// Last known state of one of the job's steps.
    pub step: RunnableStep,
    /// Why the stall ended; `None` while it lasts.
    pub end: Option<StallEnd>,
}
