//! The leader's orders to workers.

mod answers;
mod broken_gangs;
mod crash;
mod dispatcher;
mod fill_pace;
mod order;
mod pace;
mod pacing;
mod permissions;
mod run_watch;
mod target;
mod timing;
mod worker_turn;

pub use broken_gangs::BrokenGangs;
pub use crash::apart_ms;
pub use dispatcher::Dispatcher;
pub use fill_pace::FillPace;
pub use order::Answer;
pub use order::Denial;
pub use order::Ended;
pub use order::Order;
pub use order::OrderBody;
pub use order::Recipient;
pub use order::Report;
pub use order::Running;
pub use pace::Pace;
pub use permissions::Permission;
pub use permissions::Permissions;
pub use permissions::Question;
pub use run_watch::RunWatch;
pub use run_watch::StartPhase;
pub use run_watch::StopPhase;
pub use target::ClockReading;
pub use target::Target;
pub use timing::Timing;
