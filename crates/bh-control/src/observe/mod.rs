//! Logs and metrics.

mod bounded_stdout;
mod label_values;
pub mod logging;
mod metrics;
mod serve_metrics;

pub use bounded_stdout::BoundedStdout;
pub use bounded_stdout::MAX_LINES_PER_SECOND;
pub use bounded_stdout::log_lines_dropped;
pub use metrics::Metrics;
pub use serve_metrics::OperatorHooks;
pub use serve_metrics::serve_metrics;
