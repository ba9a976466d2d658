//! Runs that may have crashed the worker they were on.

use crate::job::RunId;
use bh_protocol::Incarnation;
use serde::Deserialize;
use serde::Serialize;

/// How strongly the known facts suggest that a run crashed its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Evidence {
    /// The run may not have been there: its start had no answer, so it may not have started, or the worker was silent before the crash, so
    /// the run may have ended.
    Possible,
    /// The run was in progress.
    Present,
    /// The run had just started.
    JustBegun,
    /// The run had just started, and no other runs had except members of its gang.
    Alone,
}

/// A run that may have crashed its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// The run.
    pub run: RunId,
    /// The evidence against it.
    pub evidence: Evidence,
}

impl Suspect {
    /// Whether the run had certainly just started.
    pub fn had_just_started(&self) -> bool {
        matches!(self.evidence, Evidence::JustBegun | Evidence::Alone)
    }
}

/// A crashed worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The worker.
    pub worker: Incarnation,
    /// Runs that may have crashed it.
    pub suspects: Vec<Suspect>,
}
