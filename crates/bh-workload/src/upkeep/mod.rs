//! Upkeep waves: decides which VM is emptied next and when its upkeep is ordered.

mod emptying;
mod order;
mod wave_scheduler;

pub use emptying::Emptying;
pub use order::UpkeepAnswer;
pub use order::UpkeepOrder;
pub use wave_scheduler::UpkeepAction;
pub use wave_scheduler::WaveScheduler;
