//! Scheduling of jobs, which consist of steps and tasks, on leased workers.
//!
//! The modules do no I/O: [`state`] is the replicated record, [`plan`] decides which task runs on which worker, [`dispatch`] turns recorded
//! runs into orders to workers and their answers into ends of runs, and [`upkeep`] empties VMs and orders their maintenance. None of them
//! owns a socket, a file or a clock.

pub mod dispatch;
pub mod job;
pub mod pairs;
pub mod plan;
pub mod rules;
pub mod state;
pub mod upkeep;
