//! Membership of targets, and the leases by which entries own them.
//!
//! An *entry* is the process of a VM that takes callers' requests. A *target* is a worker as the entries see it.
//!
//! A target serves eight short requests at a time, from all entries together, and doesn't protect itself against more. So
//! each target is owned by one entry at a time, under a lease that the leader of the data centre grants. The other
//! entries forward requests to the owner. [`Registry`] is the leader's side and [`OwnedTargets`] the entry's.

mod claim;
mod grant;
mod leaderless_targets;
mod owned_targets;
mod registry;
mod target;
mod task_leases;

pub use claim::Claim;
pub use claim::Claims;
pub use grant::Grant;
pub use grant::GrantedTarget;
pub use leaderless_targets::LeaderlessTargets;
pub use owned_targets::OwnedTargets;
pub use registry::Registry;
pub use target::TargetView;
pub use task_leases::TaskLeases;
