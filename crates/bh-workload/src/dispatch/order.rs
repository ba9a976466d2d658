//! What the leader asks of workers, and what they answer.

use crate::job::RunId;
use crate::state::EndKind;
use bh_protocol::Incarnation;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

/// Wait before an order without an answer is sent again, in milliseconds: above the time of a slow answer, well below the bounds
/// on stops and gang starts.
pub(super) const RETRY_MS: u64 = 300;

/// Wait for an order's answer in milliseconds, in addition to the wait that a probe asks for. A worker answers in a few milliseconds, and a lost
/// packet is sent again after some two hundred.
const ANSWER_MS: u64 = 500;

/// The worker incarnation an order is meant for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Recipient {
    /// Worker id and start time.
    pub worker: Incarnation,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// Number of earlier incarnations of the worker.
    pub restarts: u64,
}

/// One order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Who shall carry it out.
    pub to: Recipient,
    /// The leader's term; see [`Order::fencing_token`].
    pub token: u64,
    /// When it was made, on the leader's clock in milliseconds.
    pub sent_ms: u64,
    /// What to do.
    pub body: OrderBody,
}

impl Order {
    /// Fencing token sent to the worker: increases with the leader's term and with each restart of the worker. A restarted worker has no stored
    /// token; its first order makes it refuse delayed orders for the previous incarnation.
    pub fn fencing_token(&self) -> u64 {
        self.token + self.to.restarts
    }

    /// Longest time to wait for the answer, in milliseconds. Whoever has not answered by then is taken to be silent, and gets no new work.
    pub fn answer_within_ms(&self) -> u64 {
        match &self.body {
            OrderBody::Probe { wait_ms, .. } => ANSWER_MS + wait_ms,
            OrderBody::Start { .. } | OrderBody::Stop { .. } | OrderBody::Pace { .. } => ANSWER_MS,
        }
    }
}

/// What an order asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderBody {
    /// Begin a run.
    Start {
        /// The run.
        run: RunId,
        /// The caller's text.
        text: Arc<str>,
        /// End of the lease on the worker's clock, in milliseconds.
        lease_until_ms: u64,
        /// Saved progress to go on from.
        checkpoint: Option<Arc<str>>,
        /// The adviser's permission.
        permission: Option<Arc<str>>,
    },
    /// End a run.
    Stop {
        /// The run.
        run: RunId,
    },
    /// Let a run work at a share of its speed, until told otherwise.
    Pace {
        /// The run.
        run: RunId,
        /// The share in percent.
        percent: u64,
    },
    /// Renew the lease and report.
    Probe {
        /// End of the lease on the worker's clock, in milliseconds; `None` leaves it as it is.
        lease_until_ms: Option<u64>,
        /// Ends up to this number are recorded and may be forgotten.
        recorded_to: u64,
        /// How long the worker may wait for an end before it answers, in milliseconds.
        wait_ms: u64,
    },
}

impl fmt::Display for OrderBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OrderBody::Start { run, .. } => write!(f, "start {run}"),
            OrderBody::Stop { run } => write!(f, "stop {run}"),
            OrderBody::Pace { run, percent } => write!(f, "pace {run}, {percent} percent"),
            OrderBody::Probe { wait_ms, .. } => write!(f, "probe, waiting {wait_ms} ms"),
        }
    }
}

/// Why a worker did not do as ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// It has seen a higher fencing token.
    Fenced,
    /// This run or a later one has ended there or was stopped.
    Outdated,
    /// The order arrived after its lease had run out.
    Late,
    /// It has no room.
    NoRoom,
    /// The adviser's permission is missing or no longer valid.
    NoPermission,
    /// It could not read the order.
    Malformed,
    /// It says that it is overloaded or unhealthy and has done nothing.
    Unhealthy,
}

/// What came back for an order.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// Done. The report is there for a probe only.
    Done {
        /// The worker's clock in milliseconds.
        clock_ms: Option<u64>,
        /// What runs and what has ended.
        report: Option<Report>,
    },
    /// Not done.
    Denied {
        /// The worker's clock in milliseconds.
        clock_ms: Option<u64>,
        /// Why.
        denial: Denial,
    },
    /// Another incarnation lives at the address.
    OtherIncarnation,
    /// The order was a probe, and another incarnation with the same worker id answered it.
    Restarted {
        /// Start time of that incarnation, in milliseconds since 1970 by the worker's clock.
        started_ms: u64,
        /// Its running and ended runs.
        report: Report,
    },
    /// Nothing listens at the address, and the order was not sent: the process is gone, for good or until it starts again.
    NotListening,
    /// No whole answer: it may have been carried out, or may still be.
    Lost,
    /// The core that was to carry it was lost: as without an answer, but it says nothing of the worker.
    CarrierLost,
}

/// What a worker says of its runs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// What runs.
    pub running: Vec<Running>,
    /// What has ended and was not recorded yet, in order; the oldest ones only when there are very many.
    pub ended: Vec<Ended>,
    /// Whether more ends follow once these are recorded.
    pub more: bool,
}

/// A run in progress.
#[derive(Clone, Debug, PartialEq)]
pub struct Running {
    /// The run.
    pub run: RunId,
    /// Progress it has saved, if any.
    pub checkpoint: Option<Arc<str>>,
    /// Progress in percent.
    pub percent: u64,
    /// For a task with a bound on its response times, their tail in milliseconds; for any other, processors in use in thousandths of a
    /// core. A rough figure of the last half second.
    pub load: u64,
}

/// A run that has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Ended {
    /// Number of the end, growing within a worker's life.
    pub number: u64,
    /// The run.
    pub run: RunId,
    /// How it ended.
    pub kind: EndKind,
    /// Progress it saved, if any.
    pub checkpoint: Option<Arc<str>>,
}
