//! Cores: the replicated record and its leader.

mod advice;
mod answer_call;
mod carriers;
mod carry;
mod carry_delay;
mod core_node;
mod departures;
mod driver;
mod evacuations;
mod formation;
mod heartbeats;
mod incoming;
mod job_ends;
mod leader_loop;
mod leadership;
mod operator;
mod orders;
mod planning;
mod records;
mod serve;
mod sign;
mod unheard;
mod upkeep;
mod worker_calls;

pub use carriers::Carrier;
pub use carriers::are_shared;
pub use carriers::carrier_of;
pub use carry_delay::CarryDelay;
pub use core_node::CoreNode;
pub use evacuations::Evacuation;
pub use evacuations::EvacuationOrdered;
pub use leadership::Leadership;
pub use operator::CoreReport;
pub use serve::serve;
pub use unheard::Unheard;
pub use worker_calls::WorkerCalls;
