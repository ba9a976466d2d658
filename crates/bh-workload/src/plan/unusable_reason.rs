//! Reasons why a worker gets no new work. An incarnation is a worker from one start of its process to the next.

use serde::Deserialize;
use serde::Serialize;

/// Why a worker gets no new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UnusableReason {
    /// The worker is draining.
    Draining,
    /// Another incarnation of the worker is recorded.
    Replaced,
    /// The worker's data centre is being evacuated.
    Evacuated,
    /// A suspect has just started on the worker: a task during an earlier run of which a worker crashed.
    BesideSuspect,
    /// The worker's VM is next for upkeep, and the worker is emptied of runs first.
    Emptied,
    /// Runs on the worker take much longer than expected.
    Slow,
    /// The worker has not answered its latest order, or the core that carried an order to it was lost.
    Silent,
    /// The leader has received nothing from the worker since its election, or nothing recent.
    Unheard,
    /// The worker answers, but this incarnation of it has not yet answered a probe of this leader.
    Unverified,
    /// Runs have failed or stalled on the worker, or the worker refused a start as unhealthy or for lack of capacity.
    SetAside,
}

impl UnusableReason {
    /// Returns whether the state ends by itself, once the worker is heard from or some time has passed, without a replacement of the worker
    /// or an order by an operator.
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
