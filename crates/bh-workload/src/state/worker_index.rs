//! Index of the recorded workers, by address and by VM.

use super::WorkerInfo;
use bh_protocol::Incarnation;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

/// Which workers are recorded at each address and on each VM.
///
/// Each new worker is compared with those at its address, and each VM of a wave of upkeep with those on it. Without the index both are scans
/// of all workers, so a fleet that registers, or a wave over it, takes time that grows with the square of the fleet.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct WorkerIndex {
    by_address: BTreeMap<SocketAddr, BTreeSet<Incarnation>>,
    by_vm: BTreeMap<Arc<str>, BTreeSet<Incarnation>>,
}

impl WorkerIndex {
    /// Creates the index of `workers`.
    pub fn new<'a>(workers: impl Iterator<Item = &'a WorkerInfo>) -> Self {
        let mut index = Self::default();
        for worker in workers {
            index.insert(worker);
        }
        index
    }

    /// Adds a worker.
    pub fn insert(&mut self, worker: &WorkerInfo) {
        let at_address = self.by_address.entry(worker.address).or_default();
        at_address.insert(worker.id.clone());
        if let Some(vm) = &worker.vm {
            let on_vm = self.by_vm.entry(vm.clone()).or_default();
            on_vm.insert(worker.id.clone());
        }
    }

    /// Removes a worker.
    pub fn remove(&mut self, worker: &WorkerInfo) {
        remove_from(&mut self.by_address, &worker.address, &worker.id);
        if let Some(vm) = &worker.vm {
            remove_from(&mut self.by_vm, vm, &worker.id);
        }
    }

    /// The workers at an address.
    pub fn at(&self, address: SocketAddr) -> impl Iterator<Item = &Incarnation> {
        self.by_address.get(&address).into_iter().flatten()
    }

    /// The workers on a VM.
    pub fn on_vm(&self, vm: &str) -> impl Iterator<Item = &Incarnation> {
        self.by_vm.get(vm).into_iter().flatten()
    }
}

/// Removes `worker` from the set at `key`, and the set if that leaves it empty.
fn remove_from<K: Ord>(
    sets: &mut BTreeMap<K, BTreeSet<Incarnation>>,
    key: &K,
    worker: &Incarnation,
) {
    if let Some(workers) = sets.get_mut(key) {
        workers.remove(worker);
        if workers.is_empty() {
            sets.remove(key);
        }
    }
}
