//! Placement: decides which task runs on which worker, and explains why tasks wait.
//!
//! A few terms are also the names of metrics and of reasons that operators see:
//!
//! - *Room* is the free capacity of a worker.
//! - A *unit* is the waiting tasks of one step: all tasks of a gang, or tasks that are placed one by one.
//! - A worker is *set aside* for a while after runs have failed, stalled or been very slow on it, or after it has refused a start as
//!   unhealthy or for lack of capacity.
//! - A worker is *cold* for a while after it has started, and runs tasks more slowly during that time.
//! - *Kept room* is free capacity that is kept for work of priority 0, so that such work starts without delay. Besides that work, only gangs
//!   that must start soon to be on time, and units that have been stalled for long, may use it.
//! - Tasks wait *apart* when a worker has crashed under one of them: for a short time they wait for workers on which nothing has just
//!   started. If such a worker crashes too, the tasks are known to be the cause.

mod backfill;
mod collect;
mod customer_load;
mod customer_share;
mod decided;
mod disruption_budget;
mod explain;
mod failed_searches;
mod fleet_load;
mod guaranteed;
mod hold_for_gang;
mod in_time;
mod last_pass;
mod learning;
mod leaving;
mod load_counts;
mod overdue;
mod pass;
mod place;
mod planner;
mod policy;
mod preempt;
mod preemption;
mod preemption_candidates;
mod queue_load;
mod reclaimable;
mod reservation;
mod room;
mod runnable;
mod runtimes;
mod shared_stops;
mod shares;
mod slow_limits;
mod speeds;
mod stall_check;
mod stall_tracker;
mod stop_costs;
mod stop_group;
mod stop_search;
mod tail_check;
mod unit;
mod unusable_reason;
mod urgent_headroom;
mod wait_explainer;
mod wait_reason;
mod waiting_work;
mod worker_learning;
mod worker_speeds;

pub use customer_load::CustomerLoad;
pub use customer_share::CustomerShare;
pub use decided::Plan;
pub use decided::ReleaseReason;
pub use disruption_budget::DisruptionBudget;
pub use explain::BlockingRun;
pub use explain::JobReport;
pub use explain::RunReport;
pub use explain::StepReport;
pub use fleet_load::FleetLoad;
pub use guaranteed::guaranteed_jobs;
pub use guaranteed::peak_accelerators;
pub use load_counts::LoadCounts;
pub use overdue::OverdueReason;
pub use overdue::OverdueRun;
pub use place::Placement;
pub use planner::Planner;
pub use policy::Policy;
pub use preemption::PreemptionCandidate;
pub(crate) use preemption::with_gang;
pub use queue_load::QueueLoad;
pub use room::Room;
pub use runnable::RunnableStep;
pub use runnable::Survey;
pub use runtimes::Runtimes;
pub use speeds::Speeds;
pub use stall_check::StallCheck;
pub use unit::Unit;
pub use unusable_reason::UnusableReason;
pub use wait_reason::WaitReason;
pub use waiting_work::JobForecast;
pub use waiting_work::WaitingStep;
pub use waiting_work::WaitingWork;
pub use waiting_work::priority_density;
