//! What has changed in the record since somebody last looked.

use crate::job::JobId;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Changes, as far as the leader's orders depend on them. Not replicated.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct News {
    /// Workers whose runs or state changed.
    pub workers: BTreeSet<Arc<str>>,
    /// Jobs that ended.
    pub ended_jobs: BTreeSet<JobId>,
    /// Whether work may wait that did not before, or room has become free.
    pub plan: bool,
}

impl News {
    pub(super) fn note_worker(&mut self, worker: &Arc<str>) {
        self.workers.insert(worker.clone());
        self.plan = true;
    }

    pub(super) fn note_everything<'a>(&mut self, workers: impl Iterator<Item = &'a Arc<str>>) {
        self.workers.extend(workers.cloned());
        self.plan = true;
    }
}
