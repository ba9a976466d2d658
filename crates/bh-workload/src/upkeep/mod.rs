//! Waves of upkeep: which VM is emptied and serviced when.

mod emptying;
mod order;
mod wave_scheduler;

pub use emptying::Emptying;
pub use order::UpkeepAnswer;
pub use order::UpkeepOrder;
pub use wave_scheduler::Step;
pub use wave_scheduler::WaveScheduler;
