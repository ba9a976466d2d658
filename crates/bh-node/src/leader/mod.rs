//! What the leader of a data centre's group does beside replicating: it keeps the targets and places the jobs.

mod call;
mod carry_out;
mod duties;
mod jobs_group;
mod orders;

pub use call::LeaderAnswer;
pub use call::LeaderCall;
pub use duties::Duties;
pub use jobs_group::JobsGroup;
