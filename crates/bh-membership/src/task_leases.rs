//! Tracks when the tasks of a lost worker have ended.

use std::collections::BTreeMap;
use std::sync::Arc;

/// The last contact with each worker, and the lost workers whose tasks may still run.
///
/// A worker ends its tasks when their lease is not renewed. The lease starts at the answer to the worker's last announcement
/// or at the last order to the worker, whichever is later: an order may reach a worker whose announcements no longer reach
/// the leader. If a gang were started elsewhere before the lease ends, it would run twice at the same time.
#[derive(Clone, Debug)]
pub struct TaskLeases {
    lease_ms: u64,
    contact_ms: BTreeMap<Arc<str>, u64>,
    tasks_end_ms: BTreeMap<Arc<str>, u64>,
}

impl TaskLeases {
    /// Creates an empty set of workers. Tasks have leases of `lease_ms`.
    pub fn new(lease_ms: u64) -> Self {
        Self {
            lease_ms,
            contact_ms: BTreeMap::new(),
            tasks_end_ms: BTreeMap::new(),
        }
    }

    /// Records an announcement of a worker, or an order that may have reached the worker.
    pub fn note_contact(&mut self, now_ms: u64, worker: &Arc<str>) {
        self.contact_ms.insert(worker.clone(), now_ms);
        if let Some(until_ms) = self.tasks_end_ms.get_mut(worker) {
            *until_ms = (*until_ms).max(now_ms + self.lease_ms);
        }
    }

    /// Records workers whose own lease expired. Returns all workers, recorded now or earlier, whose tasks have ended by now.
    pub fn expire_workers(&mut self, now_ms: u64, expired_workers: &[Arc<str>]) -> Vec<Arc<str>> {
        for worker in expired_workers {
            let contact_ms = self.contact_ms.remove(worker).unwrap_or(now_ms);
            self.tasks_end_ms
                .insert(worker.clone(), contact_ms + self.lease_ms);
        }
        let ended: Vec<Arc<str>> = self
            .tasks_end_ms
            .iter()
            .filter(|(_, until_ms)| now_ms >= **until_ms)
            .map(|(worker, _)| worker.clone())
            .collect();
        for worker in &ended {
            self.tasks_end_ms.remove(worker);
        }
        ended
    }

    /// Records that a worker announced itself again before its tasks counted as ended.
    pub fn worker_returned(&mut self, worker: &str) {
        self.tasks_end_ms.remove(worker);
    }
}
