//! When the tasks of a worker that fell silent have ended.

use std::collections::BTreeMap;
use std::sync::Arc;

/// The last contact with each worker, and the workers whose tasks may still run.
///
/// A worker ends its tasks when their lease is not renewed. The lease counts from the answer to the worker's last
/// announcement or from the last order it got, whichever was later; an order may well have reached a worker whose
/// announcements no longer reach us. Starting a gang elsewhere before that would run it twice at a time.
#[derive(Clone, Debug)]
pub struct TaskLeases {
    lease_ms: u64,
    contact_ms: BTreeMap<Arc<str>, u64>,
    ending: BTreeMap<Arc<str>, u64>,
}

impl TaskLeases {
    /// No workers; tasks have leases of `lease_ms`.
    pub fn new(lease_ms: u64) -> Self {
        Self {
            lease_ms,
            contact_ms: BTreeMap::new(),
            ending: BTreeMap::new(),
        }
    }

    /// Notes an announcement of a worker, or an order that may have reached it.
    pub fn note_contact(&mut self, now_ms: u64, worker: &Arc<str>) {
        self.contact_ms.insert(worker.clone(), now_ms);
        if let Some(until_ms) = self.ending.get_mut(worker) {
            *until_ms = (*until_ms).max(now_ms + self.lease_ms);
        }
    }

    /// Notes workers whose own lease lapsed; returns those whose tasks have all ended by now, this time's or earlier
    /// ones'.
    pub fn expire_workers(&mut self, now_ms: u64, gone: &[Arc<str>]) -> Vec<Arc<str>> {
        for worker in gone {
            let contact_ms = self.contact_ms.remove(worker).unwrap_or(now_ms);
            self.ending
                .insert(worker.clone(), contact_ms + self.lease_ms);
        }
        let ended: Vec<Arc<str>> = self
            .ending
            .iter()
            .filter(|(_, until_ms)| now_ms >= **until_ms)
            .map(|(worker, _)| worker.clone())
            .collect();
        for worker in &ended {
            self.ending.remove(worker);
        }
        ended
    }

    /// Notes that a worker is back before its tasks counted as ended.
    pub fn worker_returned(&mut self, worker: &str) {
        self.ending.remove(worker);
    }
}
