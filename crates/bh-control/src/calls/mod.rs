//! Calls and answers, independent of the wire format.

mod answer;
mod call;
mod forward;
mod parser;

pub use answer::Answer;
pub use call::Call;
pub use call::WorkerHeartbeat;
pub use forward::RETRY_AFTER_MS;
pub use forward::forward;
pub use parser::Parser;
