//! Logs and metrics.

pub mod logging;
