//! Best-fit placement of gangs on workers and racks.

use crate::inventory::Inventory;
use crate::inventory::RackId;
use crate::inventory::WorkerId;
use bh_protocol::shape::Adjacency;
use bh_protocol::shape::Shape;

/// A placement search in which `usable` limits the accelerators that may be taken on each worker.
pub struct Search<'a, U: Fn(WorkerId) -> u32> {
    inventory: &'a Inventory,
    usable: U,
}

/// Capacity of one rack for tasks of a shape.
struct RackCapacity {
    rack: RackId,
    tasks: u32,
    usable: u32,
    idle: bool,
}

impl<'a, U: Fn(WorkerId) -> u32> Search<'a, U> {
    /// Creates a search; `usable` returns how many accelerators of a worker may be taken.
    pub fn new(inventory: &'a Inventory, usable: U) -> Self {
        Self { inventory, usable }
    }

    /// Returns a worker for each task, or `None` if the gang doesn't fit.
    pub fn place(&self, shape: &Shape) -> Option<Vec<WorkerId>> {
        if shape.tasks == 0 || shape.accelerators_per_task == 0 {
            return None;
        }
        match shape.adjacent {
            Adjacency::Worker => self.place_on_worker(shape),
            Adjacency::Rack => self.place_in_rack(shape),
            Adjacency::DataCentre => self.place_anywhere(shape),
        }
    }

    /// Chooses the worker with the fewest accelerators left over; among equal ones, the worker in the rack with the fewest free.
    fn place_on_worker(&self, shape: &Shape) -> Option<Vec<WorkerId>> {
        let needed = shape.accelerators();
        let mut best: Option<(u32, u32, WorkerId)> = None;
        for rack in self.inventory.racks() {
            let rack_free = rack.capacity.saturating_sub(rack.used);
            for id in &rack.workers {
                let usable = (self.usable)(*id);
                if usable >= needed {
                    let key = (usable - needed, rack_free, *id);
                    if best.is_none_or(|other| key < other) {
                        best = Some(key);
                    }
                }
            }
        }
        let (_, _, worker) = best?;
        Some(vec![worker; to_usize(shape.tasks)])
    }

    fn capacity(&self, rack: RackId, shape: &Shape) -> RackCapacity {
        let rack_state = self.inventory.rack(rack);
        let mut tasks = 0;
        let mut usable = 0;
        for id in &rack_state.workers {
            let count = (self.usable)(*id);
            usable += count;
            tasks += count / shape.accelerators_per_task;
        }
        RackCapacity {
            rack,
            tasks,
            usable,
            idle: rack_state.is_idle(),
        }
    }

    fn capacities(&self, shape: &Shape) -> impl Iterator<Item = RackCapacity> {
        let count = RackId::try_from(self.inventory.racks().len()).unwrap_or(RackId::MAX);
        (0..count)
            .map(|rack| self.capacity(rack, shape))
            .filter(|capacity| capacity.tasks > 0)
    }

    /// Chooses the rack with the fewest accelerators left over; among equal ones, a rack in use before an idle one.
    fn place_in_rack(&self, shape: &Shape) -> Option<Vec<WorkerId>> {
        let needed = shape.accelerators();
        let best = self
            .capacities(shape)
            .filter(|capacity| capacity.tasks >= shape.tasks)
            .min_by_key(|capacity| (capacity.usable - needed, capacity.idle, capacity.rack))?;
        let mut placed = Vec::new();
        self.fill(best.rack, shape, shape.tasks, &mut placed);
        Some(placed)
    }

    /// Uses as few racks as possible, and a best fit for the last one.
    fn place_anywhere(&self, shape: &Shape) -> Option<Vec<WorkerId>> {
        let mut capacities: Vec<RackCapacity> = self.capacities(shape).collect();
        let total: u64 = capacities
            .iter()
            .map(|capacity| u64::from(capacity.tasks))
            .sum();
        if total < u64::from(shape.tasks) {
            return None;
        }
        capacities.sort_by_key(|capacity| {
            (
                std::cmp::Reverse(capacity.tasks),
                capacity.idle,
                capacity.rack,
            )
        });
        let mut remaining = shape.tasks;
        let mut placed = Vec::with_capacity(to_usize(shape.tasks));
        while remaining > 0 {
            // The smallest rack that takes all remaining tasks, or else the largest one.
            let fitting = capacities
                .iter()
                .rposition(|capacity| capacity.tasks >= remaining)
                .unwrap_or(0);
            let capacity = capacities.remove(fitting);
            let count = capacity.tasks.min(remaining);
            self.fill(capacity.rack, shape, count, &mut placed);
            remaining -= count;
        }
        Some(placed)
    }

    /// Places `count` tasks in a rack, on the fullest workers first, so that whole workers stay free.
    fn fill(&self, rack: RackId, shape: &Shape, count: u32, placed: &mut Vec<WorkerId>) {
        let per_task = shape.accelerators_per_task;
        let mut workers: Vec<(u32, WorkerId)> = self
            .inventory
            .rack(rack)
            .workers
            .iter()
            .map(|id| ((self.usable)(*id), *id))
            .filter(|(usable, _)| *usable >= per_task)
            .collect();
        workers.sort_unstable();
        let mut remaining = count;
        for (usable, id) in workers {
            let here = (usable / per_task).min(remaining);
            for _ in 0..here {
                placed.push(id);
            }
            remaining -= here;
            if remaining == 0 {
                return;
            }
        }
    }
}

fn to_usize(count: u32) -> usize {
    // Lossless on the supported 32- and 64-bit platforms.
    count as usize
}
