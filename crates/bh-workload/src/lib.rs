//! Jobs of steps and tasks on leased workers.
//!
//! Three parts, all pure: [`state`] is the replicated record, [`plan`] decides what runs where, [`dispatch`] turns recorded runs
//! into orders to workers and their answers into ends. None owns a socket, file or clock.

pub mod dispatch;
pub mod job;
pub mod pairs;
pub mod plan;
pub mod rules;
pub mod state;
