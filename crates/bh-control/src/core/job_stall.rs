//! What is told of a job that stands still.

use bh_workload::job::JobId;
use bh_workload::plan::RunnableStep;

/// Why a stretch in which a job stood still is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StallEnd {
    /// Something of the job runs, or has run.
    Runs,
    /// The job is over.
    JobOver,
    /// There is no longer room for it twice over, or half of its pool is in use.
    LessRoom,
}

/// A stretch in which a job stood still.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobStall {
    /// The job.
    pub job: JobId,
    /// How long it has stood still since this leader first saw it so, in milliseconds.
    pub stalled_ms: u64,
    /// What was last known of one of its steps.
    pub step: RunnableStep,
    /// Why it is over; `None` while it lasts.
    pub end: Option<StallEnd>,
}
