//! Searches for capacity that failed during a pass.

use super::Unit;
use crate::job::Resources;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Maximum number of requests that are remembered for one class. The requests of a queue differ in size, and comparing with more of them
/// would cost as much as it saves.
const MAX_REQUESTS: usize = 32;

/// A request for capacity: `count` tasks that need `needs` each.
struct Request {
    needs: Resources,
    count: u64,
}

/// Class of units that may run on the same workers: pool, required label, and a key that depends on the kind of search.
type Class<C> = (Arc<str>, Option<Arc<str>>, C);

/// Requests for which there is too little capacity.
///
/// Available capacity only shrinks during a pass, so a request that failed would fail again, and so would any larger one. Without this
/// cache, a long queue in front of a full fleet costs a scan of all workers for each waiting job. Together with collecting the recorded
/// runs only once, it reduces the time of a pass over 540 workers and 100 such jobs from 65 ms to 8 ms (`cargo bench -p bh-workload --bench
/// cost`).
pub(super) struct FailedSearches<C> {
    requests: BTreeMap<Class<C>, Vec<Request>>,
}

impl<C: Ord + Clone> FailedSearches<C> {
    /// Creates an empty cache.
    pub fn new() -> Self {
        Self {
            requests: BTreeMap::new(),
        }
    }

    /// Returns whether a search for `count` tasks of `unit` is known to fail. Relaxed units are never ruled out, because they may use
    /// capacity that is closed to others.
    pub fn rules_out(&self, class: &C, unit: &Unit, count: u64) -> bool {
        if unit.relaxed {
            return false;
        }
        let class = class_of(class.clone(), unit);
        self.requests.get(&class).is_some_and(|requests| {
            requests
                .iter()
                .any(|request| request.count <= count && request.needs.fits_in(&unit.needs))
        })
    }

    /// Records that a search for `count` tasks of `unit` failed. Units that only some workers of their class accept are not recorded,
    /// because their failure says nothing about other units. The same holds for units under which a worker has crashed.
    pub fn record(&mut self, class: C, unit: &Unit, count: u64) {
        let restricted = unit.permitted.is_some() || unit.spec.most_per_worker.is_some();
        if restricted || unit.is_suspect() || unit.relaxed {
            return;
        }
        let needs = unit.needs;
        let requests = self.requests.entry(class_of(class, unit)).or_default();
        requests.retain(|request| !(count <= request.count && needs.fits_in(&request.needs)));
        if requests.len() < MAX_REQUESTS {
            requests.push(Request { needs, count });
        }
    }

    /// Removes all requests, for when capacity may have become available.
    pub fn clear(&mut self) {
        self.requests.clear();
    }
}

fn class_of<C>(class: C, unit: &Unit) -> Class<C> {
    let label = unit.spec.required_label.clone();
    (unit.pool.clone(), label, class)
}
