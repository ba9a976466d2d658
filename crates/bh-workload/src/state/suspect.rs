//! Runs that may have crashed the worker they were on.

use crate::job::RunId;
use bh_protocol::Incarnation;
use serde::Deserialize;
use serde::Serialize;

/// What is known of a run on a worker that crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Evidence {
    /// Its start had no answer, so that it may not have begun; or the worker was silent before it crashed, so that it may have ended.
    Possible,
    /// It was there.
    Present,
    /// It had just begun.
    JustBegun,
    /// The same, and nothing else had but members of its gang.
    Alone,
}

/// A run that may have crashed its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// The run.
    pub run: RunId,
    /// What speaks against it.
    pub evidence: Evidence,
}

impl Suspect {
    /// Whether the run had surely just begun.
    pub fn had_just_begun(&self) -> bool {
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
