//! A site whose record, orders and answers take time: workers in memory, a log that commits late, a leader that loses the processor.

mod event;
pub mod faults;
mod gangs;
pub mod history;
mod leader;
mod log;
mod network;
mod reached;
mod site;
mod telling;

pub use reached::Reached;
pub use site::findings;
pub use site::reached;
pub use site::trace;

/// Failures after which a task must not begin, as the rules of `support` say.
pub const MAX_ATTEMPTS: usize = 2;
