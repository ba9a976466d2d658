//! Entries: callers' side of a deployment.

mod serve;

pub use serve::Entry;
pub use serve::serve;
