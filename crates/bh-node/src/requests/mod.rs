//! Short requests: from a caller's head to a final answer.

mod attempt;
mod execute;
mod final_answer;
mod forward;
mod record;
mod work;

pub use execute::execute;
pub use final_answer::FinalAnswer;
pub use forward::serve_forwarded;
pub use work::Work;
