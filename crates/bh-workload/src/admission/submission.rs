//! A submission that is judged.

use crate::job::JobId;
use crate::job::JobSpec;
use crate::rules::Queue;
use std::sync::Arc;

/// A valid submission of a job that is not recorded.
pub(super) struct Submission<'a> {
    /// Name of the job.
    pub id: JobId,
    /// Its queue.
    pub queue: &'a Arc<Queue>,
    /// Its customer, if the caller was identified.
    pub customer: Option<&'a Arc<str>>,
    /// What is to run.
    pub spec: &'a JobSpec,
    /// When it is judged, in milliseconds since 1970.
    pub wall_ms: u64,
}
