//! What was looked for in vain during a pass.

use super::Unit;
use crate::job::Resources;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Asks remembered of one class at most: those of a queue differ in size, and looking through more of them would cost as much as it saves.
const MAX_REQUESTS: usize = 32;

/// An ask for room: so many tasks that need so much each.
struct Request {
    needs: Resources,
    count: u64,
}

/// Work that may be put on the same workers: its pool, the label that it asks for, and what else `C` tells apart.
type Class<C> = (Arc<str>, Option<Arc<str>>, C);

/// Asks for which there is no room.
///
/// Room only shrinks during a pass, so what did not fit will not, nor will anything that asks for as much or more. Without this memory a long
/// queue in front of a full fleet costs a look at every worker for each job that waits. With it and runs that are looked up once, a pass over 540
/// workers and 100 such jobs takes 8 ms instead of 65 (`cargo bench -p bh-workload --bench cost`).
pub(super) struct FailedSearches<C> {
    requests: BTreeMap<Class<C>, Vec<Request>>,
}

impl<C: Ord + Clone> FailedSearches<C> {
    /// Nothing was tried yet.
    pub fn new() -> Self {
        Self {
            requests: BTreeMap::new(),
        }
    }

    /// Whether `count` tasks of `unit` surely find no room. Room that others are kept from is open to one that takes any.
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

    /// Notes that there is no room for `count` tasks of `unit`. A unit that not all workers of its class may take says nothing of others,
    /// nor does one that waits for workers of its own.
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

    /// Forgets all: there may be more room.
    pub fn clear(&mut self) {
        self.requests.clear();
    }
}

fn class_of<C>(class: C, unit: &Unit) -> Class<C> {
    let label = unit.spec.required_label.clone();
    (unit.pool.clone(), label, class)
}
