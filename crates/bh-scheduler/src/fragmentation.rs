//! The share of free accelerators that a shape can't use.

use crate::inventory::Inventory;
use bh_protocol::shape::Adjacency;
use bh_protocol::shape::Shape;
use serde::Serialize;

/// Fragmentation for one shape.
///
/// `value = 1 - usable / free`, where `free` counts all free accelerators and `usable` those that whole copies of the
/// shape could use, packed greedily. 0 means that the shape can use every free accelerator, 1 that it can use none.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fragmentation {
    /// Free accelerators.
    pub free: u32,
    /// Free accelerators that whole copies of the shape could use.
    pub usable: u32,
}

impl Fragmentation {
    /// Computes the fragmentation for `shape` over the live workers.
    pub fn new(inventory: &Inventory, shape: &Shape) -> Self {
        let free = inventory
            .workers()
            .iter()
            .filter(|worker| worker.alive)
            .map(|worker| worker.free())
            .sum();
        Self {
            free,
            usable: copies(inventory, shape) * shape.accelerators(),
        }
    }

    /// The share of free accelerators that the shape can't use, from 0 to 1.
    pub fn value(&self) -> f64 {
        if self.free == 0 {
            0.0
        } else {
            1.0 - f64::from(self.usable) / f64::from(self.free)
        }
    }
}

/// Number of copies of the shape that fit into the free accelerators.
fn copies(inventory: &Inventory, shape: &Shape) -> u32 {
    let tasks_on = |id: &u32| {
        let worker = inventory.worker(*id);
        if worker.alive {
            worker.free() / shape.accelerators_per_task.max(1)
        } else {
            0
        }
    };
    let in_rack = |workers: &[u32]| -> u32 { workers.iter().map(tasks_on).sum() };
    let tasks = shape.tasks.max(1);
    match shape.adjacent {
        Adjacency::Worker => inventory
            .racks()
            .iter()
            .flat_map(|rack| &rack.workers)
            .map(|id| tasks_on(id) / tasks)
            .sum(),
        Adjacency::Rack => inventory
            .racks()
            .iter()
            .map(|rack| in_rack(&rack.workers) / tasks)
            .sum(),
        Adjacency::DataCentre => {
            inventory
                .racks()
                .iter()
                .map(|rack| in_rack(&rack.workers))
                .sum::<u32>()
                / tasks
        }
    }
}
