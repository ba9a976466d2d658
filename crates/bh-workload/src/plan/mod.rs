//! Decides what runs where.

mod availability;
mod claim;
mod collect;
mod entitled;
mod evict;
mod explain;
mod keep_room;
mod leaving;
mod overdue;
mod pass;
mod place;
mod planner;
mod reserve;
mod room;
mod runtimes;
mod speeds;
mod tried;
mod unit;

pub use availability::Availability;
pub use entitled::entitled_jobs;
pub use entitled::widest;
pub use evict::Borrower;
pub use explain::JobReport;
pub use explain::RunReport;
pub use explain::StepReport;
pub use explain::Wait;
pub use overdue::Overdue;
pub use overdue::OverdueRun;
pub use place::Placement;
pub use planner::Plan;
pub use planner::Planner;
pub use planner::Unclaimed;
pub use room::Room;
pub use runtimes::Runtimes;
pub use speeds::Speeds;
pub use unit::Unit;
