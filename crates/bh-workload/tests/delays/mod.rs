//! A site whose record, orders and answers take time: workers in memory, a log that commits late, a leader that loses the processor.

mod event;
pub mod faults;
pub mod fleet;
mod gangs;
pub mod history;
mod leader;
pub mod load;
mod log;
mod network;
mod reached;
mod site;
mod stands;
mod telling;
mod work;

pub use reached::Reached;
pub use site::findings;
pub use site::reached;
pub use site::stretches;
pub use site::trace;
pub use stands::Stretch;

/// Failures after which a task must not begin, as the rules of `support` say.
pub const MAX_ATTEMPTS: usize = 2;
