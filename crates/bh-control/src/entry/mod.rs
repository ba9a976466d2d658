//! Entries: the processes that callers connect to.

mod readiness;
mod serve;

pub use readiness::Readiness;
pub use serve::Entry;
pub use serve::serve;
