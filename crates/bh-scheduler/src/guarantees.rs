//! Binds guaranteed shapes to accelerators.
//!
//! Every guaranteed shape has a cell: specific accelerators on specific workers. Cells never overlap, and a guaranteed
//! job runs in its own cell. Any other job that uses accelerators of a cell is a borrower and can be stopped. So each
//! unused guaranteed shape can be freed at any time by stopping borrowers only. When workers are lost, their cells are
//! bound again to the remaining workers. A cell that fits nowhere is reported as uncovered.

use crate::inventory::Inventory;
use crate::inventory::WorkerId;
use crate::limits::Limits;
use crate::placement::Search;
use bh_protocol::shape::Shape;
use std::collections::BTreeMap;
use std::sync::Arc;

/// One guaranteed shape and the accelerators bound to it.
#[derive(Clone, Debug)]
pub struct GuaranteedCell {
    /// Customer that has the guarantee.
    pub customer: Arc<str>,
    /// Name of the shape.
    pub shape_name: Arc<str>,
    /// The shape.
    pub shape: Shape,
    /// Worker of each task; empty while the guarantee is uncovered.
    pub bound_to: Vec<WorkerId>,
    /// Job that runs in the cell.
    pub used_by: Option<u64>,
}

impl GuaranteedCell {
    /// Whether the guarantee is bound to accelerators.
    pub fn is_covered(&self) -> bool {
        !self.bound_to.is_empty()
    }
}

/// All guaranteed shapes of a data centre.
#[derive(Clone, Debug, Default)]
pub struct Guarantees {
    cells: Vec<GuaranteedCell>,
}

impl Guarantees {
    /// Creates an empty set of guarantees.
    pub fn new() -> Self {
        Self::default()
    }

    /// All guaranteed shapes.
    pub fn cells(&self) -> &[GuaranteedCell] {
        &self.cells
    }

    /// Number of guaranteed shapes that are not bound to accelerators.
    pub fn uncovered(&self) -> usize {
        self.cells.iter().filter(|cell| !cell.is_covered()).count()
    }

    /// Indices of the cells that guarantee `shape_name` to `customer` and that no job uses.
    pub(crate) fn unused(&self, customer: &str, shape_name: &str) -> impl Iterator<Item = usize> {
        self.cells
            .iter()
            .enumerate()
            .filter(move |(_, cell)| {
                cell.used_by.is_none()
                    && *cell.customer == *customer
                    && *cell.shape_name == *shape_name
            })
            .map(|(index, _)| index)
    }

    pub(crate) fn cell(&self, index: usize) -> &GuaranteedCell {
        &self.cells[index]
    }

    /// Applies new settings. Cells that are still guaranteed keep their binding and job. Returns the new cell index of each
    /// guaranteed job, or `None` for a job whose cell is no longer guaranteed and that becomes a borrower.
    pub(crate) fn configure(
        &mut self,
        inventory: &mut Inventory,
        limits: &Limits,
    ) -> BTreeMap<u64, Option<usize>> {
        let mut wanted = limits.guarantees.clone();
        let mut kept = Vec::new();
        let mut new_cells = BTreeMap::new();
        // Cells in use are kept first, because dropping one of two equal cells must not stop a job.
        let mut old = std::mem::take(&mut self.cells);
        old.sort_by_key(|cell| cell.used_by.is_none());
        for mut cell in old {
            let key = (cell.customer.clone(), cell.shape_name.clone());
            let still_guaranteed = match wanted.get_mut(&key) {
                Some((shape, count)) if *shape == cell.shape && *count > 0 => {
                    *count -= 1;
                    true
                }
                _ => false,
            };
            if still_guaranteed {
                if let Some(job) = cell.used_by {
                    new_cells.insert(job, Some(kept.len()));
                }
                kept.push(cell);
            } else {
                if let Some(job) = cell.used_by {
                    new_cells.insert(job, None);
                }
                unbind(inventory, &mut cell);
            }
        }
        for ((customer, shape_name), (shape, count)) in wanted {
            for _ in 0..count {
                kept.push(GuaranteedCell {
                    customer: customer.clone(),
                    shape_name: shape_name.clone(),
                    shape,
                    bound_to: Vec::new(),
                    used_by: None,
                });
            }
        }
        self.cells = kept;
        new_cells
    }

    /// Unbinds unused cells on workers that are lost, leaving or overcommitted, then binds all uncovered cells, the largest
    /// shapes first.
    pub(crate) fn rebind(&mut self, inventory: &mut Inventory) {
        for cell in &mut self.cells {
            let unusable = cell.bound_to.iter().any(|id| {
                let worker = inventory.worker(*id);
                !worker.alive || worker.leaving || worker.bound > worker.capacity
            });
            if unusable && cell.used_by.is_none() {
                unbind(inventory, cell);
            }
        }
        let mut uncovered: Vec<usize> = (0..self.cells.len())
            .filter(|index| !self.cells[*index].is_covered())
            .collect();
        uncovered.sort_by_key(|index| {
            (
                std::cmp::Reverse(self.cells[*index].shape.accelerators()),
                *index,
            )
        });
        for index in uncovered {
            let cell = &mut self.cells[index];
            // Prefers workers whose bindable accelerators are free now, because a cell that is bound to a borrower's
            // accelerators needs a reclaim later.
            let free_place = Search::new(inventory, |id| {
                inventory
                    .worker(id)
                    .bindable()
                    .min(inventory.worker(id).free())
            })
            .place(&cell.shape);
            let place = free_place.or_else(|| {
                Search::new(inventory, |id| inventory.worker(id).bindable()).place(&cell.shape)
            });
            if let Some(place) = place {
                for id in &place {
                    inventory.bind(*id, cell.shape.accelerators_per_task);
                }
                cell.bound_to = place;
            }
        }
    }

    /// Moves an unused cell to the workers in `place`, whose accelerators must be bindable.
    pub(crate) fn move_to(
        &mut self,
        inventory: &mut Inventory,
        index: usize,
        place: Vec<WorkerId>,
    ) {
        let cell = &mut self.cells[index];
        unbind(inventory, cell);
        for id in &place {
            inventory.bind(*id, cell.shape.accelerators_per_task);
        }
        cell.bound_to = place;
    }

    /// Assigns the cell to `job`.
    pub(crate) fn occupy(&mut self, inventory: &mut Inventory, index: usize, job: u64) {
        let cell = &mut self.cells[index];
        cell.used_by = Some(job);
        for id in &cell.bound_to {
            inventory.use_bound(*id, cell.shape.accelerators_per_task);
        }
    }

    /// Makes the cell unused again.
    pub(crate) fn vacate(&mut self, inventory: &mut Inventory, index: usize) {
        let cell = &mut self.cells[index];
        cell.used_by = None;
        for id in &cell.bound_to {
            inventory.release_bound(*id, cell.shape.accelerators_per_task);
        }
    }
}

fn unbind(inventory: &mut Inventory, cell: &mut GuaranteedCell) {
    let per_task = cell.shape.accelerators_per_task;
    for id in std::mem::take(&mut cell.bound_to) {
        inventory.unbind(id, per_task);
        if cell.used_by.is_some() {
            inventory.release_bound(id, per_task);
        }
    }
}
