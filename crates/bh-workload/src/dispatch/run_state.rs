//! The leader's view of one recorded run: what is known of it beyond the record.

use super::Pace;
use std::sync::Arc;

/// State of the start order of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartPhase {
    /// This leader has not sent it, and no other leader can have sent it.
    Unsent,
    /// It is in flight.
    InFlight,
    /// Unconfirmed: it may have been carried out, or may be carried out later. It is sent again from `retry_ms` on.
    Unsure {
        /// On the leader's clock, in milliseconds.
        retry_ms: u64,
    },
    /// The worker has the run, or has had it.
    Confirmed {
        /// When it was confirmed, on the leader's clock in milliseconds.
        at_ms: u64,
    },
}

/// State of the stop order of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopPhase {
    /// None was sent.
    None,
    /// It is in flight.
    InFlight,
    /// It had no answer or was refused, and is sent again from `retry_ms` on.
    Retry {
        /// On the leader's clock, in milliseconds.
        retry_ms: u64,
    },
    /// The worker has received it: the run ends, or will never start.
    Confirmed {
        /// When it was confirmed, on the leader's clock in milliseconds.
        at_ms: u64,
    },
}

/// The leader's view of one recorded run.
#[derive(Clone, Debug, PartialEq)]
pub struct RunState {
    /// The start order.
    pub start: StartPhase,
    /// The stop order.
    pub stop: StopPhase,
    /// When the start order was first sent, on the leader's clock in milliseconds; `None` if it has not been sent or a previous leader sent it.
    pub first_sent_ms: Option<u64>,
    /// Whether an earlier send of the start order had no answer, so that a refusal of a later one does not prove that the run never
    /// started.
    pub was_unconfirmed: bool,
    /// Whether the last send of the start order was repeated: the connection of the first send broke before an answer came.
    pub was_repeated: bool,
    /// When a send of the start order was refused although an earlier one may have been carried out, on the leader's clock in milliseconds.
    pub start_refused_ms: Option<u64>,
    /// Whether the leader wants the run to end although it should go on according to the record.
    pub stop_requested: bool,
    /// Whether `stop_requested` has another reason than to make room for other work, so that the end does not count as a displacement.
    pub restart_requested: bool,
    /// Whether its end is being recorded.
    pub recording_end: bool,
    /// When the leader first knew of the run, on its clock in milliseconds.
    pub since_ms: u64,
    /// Last progress that the worker reported, in percent.
    pub percent: u64,
    /// When that progress last changed, on the leader's clock in milliseconds.
    pub progress_ms: u64,
    /// When the worker last reported it as running, on the leader's clock in milliseconds.
    pub last_reported_ms: Option<u64>,
    /// Load that the worker last reported, as in [`super::Running`].
    pub load: u64,
    /// The wanted and the confirmed share of its full speed.
    pub pace: Pace,
    /// Last checkpoint that the worker reported.
    pub checkpoint: Option<Arc<str>>,
}

impl RunState {
    /// The state of a run that was recorded by this leader (`Unsent`) or found in the record (`Unsure`).
    pub fn new(start: StartPhase, now_ms: u64) -> Self {
        Self {
            start,
            stop: StopPhase::None,
            first_sent_ms: None,
            was_unconfirmed: matches!(start, StartPhase::Unsure { .. }),
            was_repeated: false,
            start_refused_ms: None,
            stop_requested: false,
            restart_requested: false,
            recording_end: false,
            since_ms: now_ms,
            percent: 0,
            progress_ms: now_ms,
            last_reported_ms: None,
            load: 0,
            pace: Pace::new(start == StartPhase::Unsent),
            checkpoint: None,
        }
    }

    /// Whether an earlier send of the start order may have been carried out, so that a refusal of the last one does not settle the run.
    pub fn may_have_started(&self) -> bool {
        self.was_unconfirmed || self.was_repeated
    }

    /// Whether a start order for the run may reach a later incarnation of its worker. It cannot if it was sent only once and the worker has reported
    /// the run since.
    pub fn may_reach_later_incarnation(&self) -> bool {
        self.start != StartPhase::Unsent
            && (self.last_reported_ms.is_none() || self.may_have_started())
    }

    /// Requests the end of the run for another reason than to make room for other work.
    pub(super) fn request_restart(&mut self) {
        self.restart_requested |= !self.stop_requested;
        self.stop_requested = true;
    }

    /// Whether a stop of the run makes room for other work, as far as this leader knows. The reason of a stop that an earlier leader ordered
    /// is not known.
    pub fn may_be_displaced(&self) -> bool {
        if self.stop_requested {
            !self.restart_requested
        } else {
            self.stop == StopPhase::None
        }
    }

    /// Whether only a report can tell if it has started: its last start order was refused, and an earlier one may have been carried out.
    pub fn awaits_report(&self) -> bool {
        self.start_refused_ms.is_some() && matches!(self.start, StartPhase::Unsure { .. })
    }
}
