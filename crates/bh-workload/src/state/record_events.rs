//! What has changed in the record since somebody last looked.

use crate::job::JobId;
use bh_protocol::Incarnation;
use std::collections::BTreeSet;

/// Changes, as far as the leader's orders depend on them. Not replicated.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecordEvents {
    /// Workers whose runs or state changed.
    pub workers: BTreeSet<Incarnation>,
    /// Jobs that ended.
    pub ended_jobs: BTreeSet<JobId>,
    /// Whether work may wait that did not before, or room has become free.
    pub plan: bool,
}

impl RecordEvents {
    pub(super) fn note_worker(&mut self, worker: &Incarnation) {
        self.workers.insert(worker.clone());
        self.plan = true;
    }

    pub(super) fn note_everything<'a>(&mut self, workers: impl Iterator<Item = &'a Incarnation>) {
        self.workers.extend(workers.cloned());
        self.plan = true;
    }
}
