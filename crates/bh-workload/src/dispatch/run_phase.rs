//! The phase of a recorded run, as known to the leader.

use super::Dispatcher;
use super::StartPhase;
use super::fleet_counts::is_unreported;
use crate::job::RunId;
use crate::state::Workload;
use bh_protocol::Incarnation;
use serde::Deserialize;
use serde::Serialize;

/// The phase of a recorded run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunPhase {
    /// Its start order has not been sent.
    Unsent,
    /// Its start order is in flight.
    InFlight,
    /// Unconfirmed: its start order had no answer, or an earlier leader recorded the run. The run may have started.
    Unsure,
    /// The worker has confirmed the start, and its later reports list the run.
    Running,
    /// The worker has confirmed the start, but its latest report does not list the run.
    Unreported,
    /// The worker has confirmed the start, but has not answered its latest order.
    Silent,
    /// The run should end: it is no longer wanted in the record, or the leader has requested its stop.
    Stopping,
    /// Its end is being recorded.
    Ending,
}

impl RunPhase {
    /// The phase of a recorded run at `now_ms`, and since when it has been in that phase, both on the leader's clock in milliseconds.
    pub fn of(
        now_ms: u64,
        workload: &Workload,
        dispatcher: &Dispatcher,
        (worker, run): (&Incarnation, RunId),
    ) -> (RunPhase, u64) {
        let target = dispatcher.view(worker);
        let run_state = target.and_then(|target| target.runs.get(&run));
        let (Some(target), Some(run_state)) = (target, run_state) else {
            // The dispatcher does not know the run yet.
            return (RunPhase::Unsent, now_ms);
        };
        let is_listed = run_state.last_reported_ms == Some(target.reported_ms);
        let reported_since = |at_ms: u64| target.reported_ms >= at_ms;
        let confirmed_ms = run_state.confirmed_ms();
        // The newest report does not list the run as running, and the ends in it are being recorded, probably that of the run among them.
        let is_end_in_flight =
            target.recording_to.is_some() && !is_listed && confirmed_ms.is_some_and(reported_since);
        if run_state.recording_end || is_end_in_flight {
            return (RunPhase::Ending, target.reported_ms.max(run_state.since_ms));
        }
        let ordered_ms = run_state.first_sent_ms.unwrap_or(run_state.since_ms);
        if !workload.should_run(run) || run_state.stop_requested {
            return (RunPhase::Stopping, ordered_ms);
        }
        match run_state.start {
            StartPhase::Unsent => (RunPhase::Unsent, run_state.since_ms),
            StartPhase::InFlight => (RunPhase::InFlight, ordered_ms),
            StartPhase::Unsure { .. } => (RunPhase::Unsure, ordered_ms),
            StartPhase::Confirmed { at_ms } => {
                if let Some(since_ms) = target.silent_since_ms {
                    (RunPhase::Silent, since_ms)
                } else if is_unreported(target, run_state) {
                    (
                        RunPhase::Unreported,
                        run_state.last_reported_ms.unwrap_or(at_ms),
                    )
                } else {
                    (RunPhase::Running, at_ms)
                }
            }
        }
    }

    /// Whether the run uses capacity of its worker, as far as known: it runs there, or is about to.
    pub fn takes_room(self) -> bool {
        match self {
            RunPhase::InFlight | RunPhase::Running | RunPhase::Silent | RunPhase::Stopping => true,
            RunPhase::Unsent | RunPhase::Unsure | RunPhase::Unreported | RunPhase::Ending => false,
        }
    }
}
