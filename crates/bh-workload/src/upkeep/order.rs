//! Orders to the VM platform, and their answers.

use bh_protocol::Incarnation;
use std::sync::Arc;

/// Asks for the upkeep of one VM. The upkeep immediately ends everything that runs on the VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpkeepOrder {
    /// Number of the wave.
    pub wave: u64,
    /// The VM.
    pub vm: Arc<str>,
    /// Worker that ran on it when the order was decided.
    pub worker: Option<Incarnation>,
    /// Name of the leading core, which sends the order.
    pub holder: Arc<str>,
    /// Fencing token: the leader's term.
    pub token: u64,
}

/// The outcome of an upkeep order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpkeepAnswer {
    /// The upkeep has started, or has ended already.
    Done,
    /// An order with a higher token has arrived since.
    Fenced,
    /// The VM is not up, or is about to leave.
    Busy,
    /// The VM does not belong to the wave or does not exist.
    NotPart,
    /// No complete answer: the upkeep may have started.
    Lost,
}
