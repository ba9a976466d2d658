//! Targets: who is there, who is leaving, and which entry may send work to which.
//!
//! A target takes eight short requests at a time, over all entries together, and does not protect itself. So every
//! target is owned by one entry at a time, under a lease that the leader of the data centre grants; the other entries
//! hand requests to the owner. [`Registry`] is the leader's side, [`OwnedTargets`] the entry's.

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
