//! Why a worker gets no new work.

use serde::Deserialize;
use serde::Serialize;

/// Why a worker gets no new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UnusableReason {
    /// It is leaving.
    Draining,
    /// Another incarnation of it is recorded.
    Replaced,
    /// Its data centre is under evacuation.
    Evacuated,
    /// A task under which a worker has crashed has just begun there.
    BesideSuspect,
    /// The upkeep of its VM is next.
    Emptied,
    /// Runs there take much longer than elsewhere.
    Slow,
    /// It has not answered its latest order, or the core that carried one was lost.
    Silent,
    /// It has not been heard of, or not lately.
    Unheard,
    /// It has not answered a look since it started.
    Unverified,
    /// Runs have failed there.
    SetAside,
}

impl UnusableReason {
    /// Whether it ends once the worker is heard or time has passed, without the worker being replaced or anything ordered by operators.
    pub fn is_temporary(self) -> bool {
        match self {
            UnusableReason::Draining | UnusableReason::Replaced | UnusableReason::Evacuated => {
                false
            }
            UnusableReason::BesideSuspect
            | UnusableReason::Emptied
            | UnusableReason::Slow
            | UnusableReason::Silent
            | UnusableReason::Unheard
            | UnusableReason::Unverified
            | UnusableReason::SetAside => true,
        }
    }
}
