//! What the leader of a data centre's group does besides replication: it tracks the targets and places the jobs.

mod actions;
mod call;
mod jobs_group;
mod leader_state;
mod orders;

pub use call::LeaderAnswer;
pub use call::LeaderCall;
pub use jobs_group::JobsGroup;
pub use leader_state::LeaderState;
