//! Short requests, from a caller's HTTP request to its final answer.

mod attempt;
mod execute;
mod final_answer;
mod forward;
mod ledger;
mod serve_forwarded;
mod short_request;

pub use execute::execute;
pub use final_answer::FinalAnswer;
pub use serve_forwarded::serve_forwarded;
pub use short_request::ShortRequest;
