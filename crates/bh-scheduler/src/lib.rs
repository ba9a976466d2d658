//! Gang scheduling, guaranteed capacity, placement and reclaim, as pure decision code without I/O.
//!
//! [`Scheduler`] runs on the leader of a data centre's group. It takes the current time and an [`Event`] and returns
//! [`Action`]s. [`JobTable`] is the replicated table of jobs, which outlives any leader.
//!
//! A *guarantee* promises a customer that a number of jobs of a shape can always run. Accelerators on specific workers are *bound* to it; other
//! jobs may use them meanwhile as *borrowers*, and a *reclaim* stops these. A worker is *set aside* for a while after jobs have failed on it.

mod action;
mod event;
mod fragmentation;
mod guarantees;
mod health;
mod inventory;
mod job;
mod job_table;
mod limits;
mod placement;
mod runtimes;
mod scheduler;

pub use action::Action;
pub use event::Event;
pub use event::RecordedJob;
pub use fragmentation::Fragmentation;
pub use guarantees::GuaranteedCell;
pub use guarantees::Guarantees;
pub use inventory::Inventory;
pub use inventory::Worker;
pub use job::State;
pub use job_table::Command;
pub use job_table::JobRecord;
pub use job_table::JobTable;
pub use job_table::Outcome;
pub use limits::Limits;
pub use placement::Search;
pub use scheduler::Scheduler;
