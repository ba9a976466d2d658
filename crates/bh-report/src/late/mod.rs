//! Reports which jobs were late and what they spent their time on, from the logs of entries and cores.

mod cause;
mod job_log;
mod late_report;
mod log_line;

pub use cause::Cause;
pub use late_report::LateJob;
pub use late_report::LateReport;
pub use late_report::late_report;
pub use log_line::LogLine;
