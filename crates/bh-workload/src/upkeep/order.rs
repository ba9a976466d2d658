//! What the platform of the VMs is asked for.

use bh_protocol::Incarnation;
use std::sync::Arc;

/// Asks for the upkeep of one VM. Everything that runs on it ends at once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpkeepOrder {
    /// Number of the wave.
    pub wave: u64,
    /// The VM.
    pub vm: Arc<str>,
    /// Worker that lived on it when it was decided.
    pub worker: Option<Incarnation>,
    /// Who asks: name of the leading core.
    pub holder: Arc<str>,
    /// Fencing token: the leader's term.
    pub token: u64,
}

/// What came back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpkeepAnswer {
    /// It has begun, or is over already.
    Done,
    /// Somebody with a higher token has asked since.
    Fenced,
    /// The VM is not up, or is leaving.
    Busy,
    /// The VM does not belong to the wave, or there is none of that name.
    NotPart,
    /// No whole answer: it may have begun.
    Lost,
}
