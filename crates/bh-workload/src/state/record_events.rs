//! Changes of the record since the leader last took them.

use crate::job::JobId;
use bh_protocol::Incarnation;
use std::collections::BTreeSet;

/// Changes of the record on which the leader's orders and plans depend. Not replicated.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecordEvents {
    /// Workers whose runs or state changed.
    pub workers: BTreeSet<Incarnation>,
    /// Jobs that ended.
    pub ended_jobs: BTreeSet<JobId>,
    /// Whether a new planning pass is due: there may be new work, or capacity has become free.
    pub plan: bool,
}

impl RecordEvents {
    pub(super) fn mark_worker(&mut self, worker: &Incarnation) {
        self.workers.insert(worker.clone());
        self.plan = true;
    }

    pub(super) fn mark_workers<'a>(&mut self, workers: impl Iterator<Item = &'a Incarnation>) {
        self.workers.extend(workers.cloned());
        self.plan = true;
    }
}
