//! Cores: the replicated record and its leader.

mod advice;
mod answer_call;
mod core_node;
mod formation;
mod leader_loop;
mod leadership;
mod operator;
mod orders;
mod planning;
mod records;
mod serve;
mod upkeep;
mod worker_calls;

pub use core_node::CoreNode;
pub use leadership::Leadership;
pub use operator::CoreReport;
pub use serve::serve;
pub use worker_calls::WorkerCalls;
