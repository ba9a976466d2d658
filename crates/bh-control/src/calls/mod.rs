//! Calls and answers, independent of the wire format.

mod answer;
mod call;
mod forward;

pub use answer::Answer;
pub use call::Call;
pub use call::WorkerHeartbeat;
pub use forward::RETRY_AFTER_MS;
pub use forward::forward;
