//! Entries: callers' side of a deployment.

mod readiness;
mod serve;

pub use readiness::Readiness;
pub use serve::Entry;
pub use serve::serve;
