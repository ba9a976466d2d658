//! Why a submission is refused.

use serde::Deserialize;
use serde::Serialize;

/// Why the leader refuses a submission that may be sent again later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The leader is behind, and the shedding level in force includes the submission's priority.
    LeaderBehind,
    /// The customer has too many waiting jobs.
    TooManyWaiting,
    /// The job cannot end while it is worth anything.
    Hopeless,
}

impl RefusalReason {
    /// Name in log lines and reports.
    pub fn name(self) -> &'static str {
        match self {
            RefusalReason::LeaderBehind => "leader_behind",
            RefusalReason::TooManyWaiting => "too_many_waiting",
            RefusalReason::Hopeless => "hopeless",
        }
    }
}
