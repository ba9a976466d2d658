//! The service-level report: durable counters, error-budget burn over several windows, a picture of it, and why jobs
//! were late.
//!
//! An *entry* is the process of a VM that takes callers' requests; a *core* is a process that keeps the replicated record of the workload and may
//! lead.

mod burn;
mod counters;
mod fragmentation;
pub mod late;
mod picture;

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
pub use fragmentation::fragmentation_to_html;
pub use fragmentation::shape_words;
pub use picture::to_html;
