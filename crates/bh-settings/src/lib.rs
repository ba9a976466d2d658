//! The settings tree: reading it from YAML, checking it, comparing it and changing it.
//!
//! Operators configure the whole system by changing this tree. Each team owns the subtree under its name. The
//! replicated [`Machine`] decides which of two concurrent changes wins.
//!
//! An *entry* is the process of a VM that takes callers' requests. The VMs of some entries also vote in the replicated groups. A *target* is a
//! worker as the entries see it: it runs requests and tasks.

pub mod check;
pub mod diff;
pub mod document;
pub mod entry;
pub mod entry_key;
pub mod key;
pub mod machine;
pub mod problem;
pub mod section;
pub mod token;
pub mod tree;

pub use entry::EntryConfig;
pub use machine::Machine;
pub use problem::Problem;
pub use tree::Settings;
