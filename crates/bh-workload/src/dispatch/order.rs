//! Orders from the leader to workers, and their answers.

use crate::job::RunId;
use crate::state::EndKind;
use bh_protocol::Incarnation;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

/// Delay before an order without an answer is sent again, in milliseconds: longer than a slow answer takes, and much shorter than the
/// times within which runs must stop and gangs must start.
pub(super) const RETRY_MS: u64 = 300;

/// Time to wait for the answer to an order, in milliseconds, in addition to the wait that a probe asks for. A worker answers in a few
/// milliseconds, and a lost packet is sent again after about 200 milliseconds.
const ANSWER_MS: u64 = 500;

/// The worker incarnation an order is meant for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Recipient {
    /// Worker id and start time.
    pub worker: Incarnation,
    /// Address at which it receives orders.
    pub address: SocketAddr,
    /// Number of earlier incarnations of the worker.
    pub restarts: u64,
}

/// One order to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The worker incarnation that should carry it out.
    pub to: Recipient,
    /// The leader's term; see [`Order::fencing_token`].
    pub token: u64,
    /// When it was created, on the leader's clock in milliseconds.
    pub sent_ms: u64,
    /// What to do.
    pub body: OrderBody,
}

impl Order {
    /// Fencing token sent to the worker: increases with the leader's term and with each restart of the worker. A restarted worker has no stored
    /// token; the higher token of its first order makes it refuse delayed orders for the previous incarnation.
    pub fn fencing_token(&self) -> u64 {
        self.token + self.to.restarts
    }

    /// Longest time to wait for the answer, in milliseconds. A worker that has not answered by then counts as silent and gets no new work.
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
    /// Start a run.
    Start {
        /// The run.
        run: RunId,
        /// The caller's text, passed on unchanged.
        text: Arc<str>,
        /// End of the lease on the worker's clock, in milliseconds.
        lease_until_ms: u64,
        /// Checkpoint to resume from.
        checkpoint: Option<Arc<str>>,
        /// The permission of the adviser, an external service that says which workers may run a step.
        permission: Option<Arc<str>>,
    },
    /// Stop a run.
    Stop {
        /// The run.
        run: RunId,
    },
    /// Run a task at a share of its full speed until the next pace order.
    Pace {
        /// The run.
        run: RunId,
        /// The share in percent.
        percent: u64,
    },
    /// Renew the lease and ask for a report.
    Probe {
        /// End of the lease on the worker's clock, in milliseconds; `None` leaves the lease unchanged.
        lease_until_ms: Option<u64>,
        /// Ends up to this number are recorded; the worker may forget them.
        recorded_to: u64,
        /// How long the worker may hold back its answer while no run ends, in milliseconds.
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

/// Why a worker refused an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// It has seen a higher fencing token.
    Fenced,
    /// This run or a later run of the same task has ended there or was stopped.
    Outdated,
    /// The order arrived after the end of the lease that it carries.
    Late,
    /// It has not enough free capacity.
    NoRoom,
    /// The adviser's permission is missing or no longer valid.
    NoPermission,
    /// It could not parse the order.
    Malformed,
    /// It reports that it is overloaded or unhealthy, and has done nothing.
    Unhealthy,
}

/// The outcome of sending an order.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The order was carried out. Only the answer to a probe has a report.
    Done {
        /// The worker's clock in milliseconds.
        clock_ms: Option<u64>,
        /// The worker's running and ended runs.
        report: Option<Report>,
    },
    /// The order was refused.
    Denied {
        /// The worker's clock in milliseconds.
        clock_ms: Option<u64>,
        /// The reason.
        denial: Denial,
    },
    /// Another incarnation runs at the address.
    OtherIncarnation,
    /// The order was a probe, and another incarnation with the same worker id answered it.
    Restarted {
        /// Start time of that incarnation, in milliseconds since 1970 by the worker's clock.
        started_ms: u64,
        /// Its running and ended runs.
        report: Report,
    },
    /// Nothing listens at the address, and the order was not sent: the process has ended, for good or until it starts again.
    NotListening,
    /// No complete answer: the order may have been carried out, or may be carried out later.
    Lost,
    /// The core that passed the order on to the worker was lost. The order may have been carried out, but nothing follows about the worker.
    CarrierLost,
}

/// A worker's report on its runs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Runs in progress.
    pub running: Vec<Running>,
    /// Ended runs whose ends are not acknowledged as recorded yet, in order of their ends; only the oldest ones if there are very many.
    pub ended: Vec<Ended>,
    /// Whether more ends will be reported once these are recorded.
    pub more: bool,
}

/// A run in progress.
#[derive(Clone, Debug, PartialEq)]
pub struct Running {
    /// The run.
    pub run: RunId,
    /// Its last checkpoint, if any.
    pub checkpoint: Option<Arc<str>>,
    /// Progress in percent.
    pub percent: u64,
    /// For a task with a bound on its response times, their tail in milliseconds; for any other task, the processors in use in thousandths
    /// of a core. A rough figure for the last half second.
    pub load: u64,
}

/// A run that has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Ended {
    /// Number of the end; increases during a worker's life.
    pub number: u64,
    /// The run.
    pub run: RunId,
    /// How it ended.
    pub kind: EndKind,
    /// Its last checkpoint, if any.
    pub checkpoint: Option<Arc<str>>,
}
