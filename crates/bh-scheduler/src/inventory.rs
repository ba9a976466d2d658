//! Workers and racks of a data centre, with their used accelerators and those bound to guarantees.
//!
//! Other jobs may borrow bound accelerators that the guaranteed customer does not use. A reclaim stops these borrowers when the customer needs
//! the accelerators.

use crate::health::Health;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Index of a worker in [`Inventory`].
pub type WorkerId = u32;
/// Index of a rack in [`Inventory`].
pub type RackId = u32;

/// One worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Name.
    pub name: Arc<str>,
    /// Rack of the worker.
    pub rack: RackId,
    /// Incarnation of the worker's process.
    pub incarnation: u64,
    /// Accelerators of the worker.
    pub capacity: u32,
    /// Accelerators given to jobs. While a reclaim waits for borrowers to stop, the same accelerators count twice, for the guaranteed job and
    /// for the borrowers, so the sum can exceed `capacity`.
    pub used: u32,
    /// Accelerators bound to guarantees, that is, kept for a customer's guaranteed jobs, whether in use or not.
    pub bound: u32,
    /// Bound accelerators that the guaranteed customer uses.
    pub bound_used: u32,
    /// Whether the worker's lease is valid.
    pub alive: bool,
    /// Whether the worker takes no new work.
    pub leaving: bool,
    /// Failures of jobs on the worker.
    pub health: Health,
}

impl Worker {
    /// Accelerators that no job holds.
    pub fn free(&self) -> u32 {
        self.capacity.saturating_sub(self.used)
    }

    /// Whether new tasks may be placed on the worker. It is set aside for a while after jobs have failed on it.
    pub fn admits(&self, now_ms: u64) -> bool {
        self.alive && !self.leaving && !self.health.is_set_aside(now_ms)
    }

    /// Accelerators that can still be bound to a guarantee.
    pub fn bindable(&self) -> u32 {
        if self.alive && !self.leaving {
            self.capacity.saturating_sub(self.bound)
        } else {
            0
        }
    }

    /// Free accelerators that a job may take without borrowing, since they are not needed for the unused part of a guarantee.
    pub fn free_unbound(&self) -> u32 {
        let unused_bound = self.bound - self.bound_used;
        self.free()
            .min((self.capacity).saturating_sub(self.used + unused_bound))
    }
}

/// One rack.
#[derive(Clone, Debug)]
pub struct Rack {
    /// Name.
    pub name: Arc<str>,
    /// Workers of the rack.
    pub workers: Vec<WorkerId>,
    /// Accelerators of the rack's live workers.
    pub capacity: u32,
    /// Accelerators of the rack's live workers that are given to jobs.
    pub used: u32,
}

impl Rack {
    /// Whether no job holds an accelerator of the rack.
    pub fn is_idle(&self) -> bool {
        self.used == 0
    }
}

/// All workers and racks of a data centre.
#[derive(Clone, Debug, Default)]
pub struct Inventory {
    workers: Vec<Worker>,
    racks: Vec<Rack>,
    worker_ids: BTreeMap<Arc<str>, WorkerId>,
    rack_ids: BTreeMap<Arc<str>, RackId>,
}

fn index(id: u32) -> usize {
    // Lossless on the supported 32- and 64-bit platforms.
    id as usize
}

impl Inventory {
    /// Creates an inventory without workers.
    pub fn new() -> Self {
        Self::default()
    }

    /// All workers, in the order of their first announcement.
    pub fn workers(&self) -> &[Worker] {
        &self.workers
    }

    /// All racks, in the order of their first announcement.
    pub fn racks(&self) -> &[Rack] {
        &self.racks
    }

    /// The worker with this index.
    pub fn worker(&self, id: WorkerId) -> &Worker {
        &self.workers[index(id)]
    }

    /// The rack with this index.
    pub fn rack(&self, id: RackId) -> &Rack {
        &self.racks[index(id)]
    }

    /// Index of the worker with this name.
    pub fn find(&self, name: &str) -> Option<WorkerId> {
        self.worker_ids.get(name).copied()
    }

    pub(crate) fn health_mut(&mut self, id: WorkerId) -> &mut Health {
        &mut self.workers[index(id)].health
    }

    /// Applies a worker's announcement. Returns the worker's index and whether anything changed that affects placement.
    pub(crate) fn announce(
        &mut self,
        name: &Arc<str>,
        incarnation: u64,
        rack: &Arc<str>,
        accelerators: u32,
        leaving: bool,
    ) -> (WorkerId, bool) {
        let rack_id = self.rack_id(rack);
        let id = match self.worker_ids.get(name) {
            Some(id) => *id,
            None => self.add_worker(name, rack_id),
        };
        let old_rack = self.workers[index(id)].rack;
        if old_rack != rack_id {
            self.racks[index(old_rack)]
                .workers
                .retain(|other| *other != id);
            self.racks[index(rack_id)].workers.push(id);
        }
        let worker = &mut self.workers[index(id)];
        let changed = !worker.alive
            || worker.leaving != leaving
            || worker.capacity != accelerators
            || old_rack != rack_id;
        worker.rack = rack_id;
        worker.incarnation = incarnation;
        worker.capacity = accelerators;
        worker.alive = true;
        worker.leaving = leaving;
        if changed {
            self.update_rack_totals(old_rack);
            self.update_rack_totals(rack_id);
        }
        (id, changed)
    }

    fn rack_id(&mut self, rack: &Arc<str>) -> RackId {
        if let Some(id) = self.rack_ids.get(rack) {
            return *id;
        }
        let id = RackId::try_from(self.racks.len()).unwrap_or(RackId::MAX);
        self.racks.push(Rack {
            name: rack.clone(),
            workers: Vec::new(),
            capacity: 0,
            used: 0,
        });
        self.rack_ids.insert(rack.clone(), id);
        id
    }

    fn add_worker(&mut self, name: &Arc<str>, rack: RackId) -> WorkerId {
        let id = WorkerId::try_from(self.workers.len()).unwrap_or(WorkerId::MAX);
        self.workers.push(Worker {
            name: name.clone(),
            rack,
            incarnation: 0,
            capacity: 0,
            used: 0,
            bound: 0,
            bound_used: 0,
            alive: false,
            leaving: false,
            health: Health::default(),
        });
        self.racks[index(rack)].workers.push(id);
        self.worker_ids.insert(name.clone(), id);
        id
    }

    /// Marks a worker as lost because its lease expired.
    pub(crate) fn mark_lost(&mut self, id: WorkerId) {
        self.workers[index(id)].alive = false;
        self.update_rack_totals(self.workers[index(id)].rack);
    }

    fn update_rack_totals(&mut self, rack: RackId) {
        let live = || {
            self.racks[index(rack)]
                .workers
                .iter()
                .map(|id| &self.workers[index(*id)])
                .filter(|worker| worker.alive)
        };
        let capacity = live().map(|worker| worker.capacity).sum();
        let used = live().map(|worker| worker.used).sum();
        let rack = &mut self.racks[index(rack)];
        rack.capacity = capacity;
        rack.used = used;
    }

    /// Counts `count` accelerators of a worker as used by a job.
    pub(crate) fn allocate(&mut self, id: WorkerId, count: u32) {
        let worker = &mut self.workers[index(id)];
        worker.used += count;
        if worker.alive {
            self.racks[index(worker.rack)].used += count;
        }
    }

    /// Counts `count` accelerators of a worker as free again.
    pub(crate) fn release(&mut self, id: WorkerId, count: u32) {
        let worker = &mut self.workers[index(id)];
        worker.used -= count;
        if worker.alive {
            self.racks[index(worker.rack)].used -= count;
        }
    }

    pub(crate) fn bind(&mut self, id: WorkerId, count: u32) {
        self.workers[index(id)].bound += count;
    }

    pub(crate) fn unbind(&mut self, id: WorkerId, count: u32) {
        self.workers[index(id)].bound -= count;
    }

    /// Counts `count` bound accelerators as used by the guaranteed customer, in addition to [`Inventory::allocate`].
    pub(crate) fn use_bound(&mut self, id: WorkerId, count: u32) {
        self.workers[index(id)].bound_used += count;
    }

    /// Counts `count` bound accelerators as no longer used by the guaranteed customer, in addition to [`Inventory::release`].
    pub(crate) fn release_bound(&mut self, id: WorkerId, count: u32) {
        self.workers[index(id)].bound_used -= count;
    }
}
