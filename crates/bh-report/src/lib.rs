//! Service-level reports: request counters, error-budget burn over several windows, fragmentation of the accelerators,
//! their HTML pages, and the causes of late jobs.
//!
//! An *entry* is the process of a VM that takes callers' requests; a *core* is a process that keeps the replicated record of the workload and may
//! lead.

mod burn;
mod counters;
mod fragmentation;
mod html;
pub mod late;

pub use burn::BurnReport;
pub use burn::BurnRow;
pub use burn::Objective;
pub use burn::WINDOWS_MINUTES;
pub use burn::WindowBurn;
pub use burn::report;
pub use counters::Counters;
pub use counters::Tally;
pub use fragmentation::FragmentationReport;
pub use fragmentation::ShapeFragmentation;
pub use fragmentation::describe_shape;
pub use fragmentation::fragmentation_to_html;
pub use html::to_html;
