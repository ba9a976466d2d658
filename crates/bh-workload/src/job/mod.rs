//! Specifications of jobs and the identifiers of their parts.

pub mod bounded;
mod job_id;
mod job_spec;
mod resources;
mod step_spec;
mod task_id;

pub use job_id::JobId;
pub use job_spec::JobSpec;
pub use job_spec::MAX_LABEL_BYTES;
pub use job_spec::MAX_LABELS;
pub use job_spec::MAX_OCCURRENCES;
pub use job_spec::MAX_STEPS;
pub use job_spec::MAX_TASKS;
pub use job_spec::MAX_TEXT_BYTES;
pub use job_spec::Schedule;
pub use resources::CORES_PER_ACCELERATOR;
pub use resources::Resources;
pub use step_spec::StepSpec;
pub use task_id::RunId;
pub use task_id::StepId;
pub use task_id::TaskId;
