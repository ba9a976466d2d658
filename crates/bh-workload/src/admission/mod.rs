//! Admission: which submissions the leader refuses before it records them, and what it sheds when it falls behind.
//!
//! The order of shedding is that of [`ShedLevel`]; `docs/design/admission.md` has it as a table.

mod admitted_jobs;
mod backlog;
mod controller;
mod leader_lag;
mod load_report;
mod load_shedder;
mod open_calls;
mod policy;
mod pool_backlog;
mod queue_load;
mod refusal_counts;
mod refusal_reason;
mod refused_submission;
mod retry_time;
mod shed_level;
mod submission;

pub use backlog::Backlog;
pub use controller::AdmissionController;
pub use leader_lag::LeaderLag;
pub use load_report::LoadReport;
pub use load_shedder::LoadShedder;
pub use open_calls::CallId;
pub use open_calls::OpenCalls;
pub use policy::AdmissionPolicy;
pub use pool_backlog::PoolBacklog;
pub use queue_load::QueueLoad;
pub use refusal_counts::RefusalCounts;
pub use refusal_reason::RefusalReason;
pub use refused_submission::RefusedSubmission;
pub use retry_time::retry_after_ms;
pub use shed_level::ShedLevel;
