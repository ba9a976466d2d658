//! Which accelerators are bound to which guaranteed shape.
//!
//! Every guaranteed shape is bound to a cell: concrete accelerators on concrete workers. Cells never overlap, and a
//! guaranteed job runs in its own cell. All other jobs are borrowers wherever they overlap a cell, and can be stopped.
//! So at every moment each unused guaranteed shape can be freed by stopping borrowers only. When workers are lost,
//! their cells are bound anew on what is left; a cell that no longer fits anywhere is reported as uncovered.

use crate::cells::Cells;
use crate::cells::WorkerId;
use crate::limits::Limits;
use crate::placement::Search;
use bh_protocol::shape::Shape;
use std::collections::BTreeMap;
use std::sync::Arc;

/// One guaranteed shape.
#[derive(Clone, Debug)]
pub struct Cell {
    /// Customer it is guaranteed to.
    pub customer: Arc<str>,
    /// Name of the shape.
    pub shape_name: Arc<str>,
    /// The shape.
    pub shape: Shape,
    /// Worker of each task; empty while it is not covered by hardware.
    pub bound_to: Vec<WorkerId>,
    /// Job that uses it.
    pub used_by: Option<u64>,
}

impl Cell {
    /// Whether hardware stands behind the guarantee.
    pub fn is_covered(&self) -> bool {
        !self.bound_to.is_empty()
    }
}

/// All guaranteed shapes of a data centre.
#[derive(Clone, Debug, Default)]
pub struct Guarantees {
    cells: Vec<Cell>,
}

impl Guarantees {
    /// No guarantees.
    pub fn new() -> Self {
        Self::default()
    }

    /// All guaranteed shapes.
    pub fn cells(&self) -> &[Cell] {
        &self.cells
    }

    /// Guaranteed shapes without hardware behind them.
    pub fn uncovered(&self) -> usize {
        self.cells.iter().filter(|cell| !cell.is_covered()).count()
    }

    /// Whether `customer` has a guarantee of `shape_name` that no job uses.
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

    pub(crate) fn cell(&self, index: usize) -> &Cell {
        &self.cells[index]
    }

    /// Takes new settings over. Cells that stay keep their binding and job; a cell in use that is no longer
    /// guaranteed is returned so that its job becomes a borrower.
    pub(crate) fn configure(
        &mut self,
        cells: &mut Cells,
        limits: &Limits,
    ) -> BTreeMap<u64, Option<usize>> {
        let mut wanted = limits.guarantees.clone();
        let mut kept = Vec::new();
        let mut moved = BTreeMap::new();
        // Cells in use are kept first: dropping one of two equal cells must not stop a job.
        let mut old = std::mem::take(&mut self.cells);
        old.sort_by_key(|cell| cell.used_by.is_none());
        for mut cell in old {
            let key = (cell.customer.clone(), cell.shape_name.clone());
            let stays = match wanted.get_mut(&key) {
                Some((shape, count)) if *shape == cell.shape && *count > 0 => {
                    *count -= 1;
                    true
                }
                _ => false,
            };
            if stays {
                if let Some(job) = cell.used_by {
                    moved.insert(job, Some(kept.len()));
                }
                kept.push(cell);
            } else {
                if let Some(job) = cell.used_by {
                    moved.insert(job, None);
                }
                unbind(cells, &mut cell);
            }
        }
        for ((customer, shape_name), (shape, count)) in wanted {
            for _ in 0..count {
                kept.push(Cell {
                    customer: customer.clone(),
                    shape_name: shape_name.clone(),
                    shape,
                    bound_to: Vec::new(),
                    used_by: None,
                });
            }
        }
        self.cells = kept;
        moved
    }

    /// Binds what is not covered, the largest shapes first, and unbinds what stands on lost or leaving workers.
    pub(crate) fn rebind(&mut self, cells: &mut Cells) {
        for cell in &mut self.cells {
            let broken = cell.bound_to.iter().any(|id| {
                let worker = cells.worker(*id);
                !worker.alive || worker.leaving || worker.bound > worker.capacity
            });
            if broken && cell.used_by.is_none() {
                unbind(cells, cell);
            }
        }
        let mut open: Vec<usize> = (0..self.cells.len())
            .filter(|index| !self.cells[*index].is_covered())
            .collect();
        open.sort_by_key(|index| {
            (
                std::cmp::Reverse(self.cells[*index].shape.accelerators()),
                *index,
            )
        });
        for index in open {
            let cell = &mut self.cells[index];
            // Prefer workers whose bindable accelerators are free now; a binding under a borrower costs a reclaim later.
            let calm = Search::new(cells, |id| {
                cells.worker(id).bindable().min(cells.worker(id).free())
            })
            .place(&cell.shape);
            let place = calm.or_else(|| {
                Search::new(cells, |id| cells.worker(id).bindable()).place(&cell.shape)
            });
            if let Some(place) = place {
                for id in &place {
                    cells.bind(*id, cell.shape.accelerators_per_task);
                }
                cell.bound_to = place;
            }
        }
    }

    /// Moves an unused cell to `place`, which must be bindable.
    pub(crate) fn move_to(&mut self, cells: &mut Cells, index: usize, place: Vec<WorkerId>) {
        let cell = &mut self.cells[index];
        unbind(cells, cell);
        for id in &place {
            cells.bind(*id, cell.shape.accelerators_per_task);
        }
        cell.bound_to = place;
    }

    /// Lets `job` use the cell.
    pub(crate) fn occupy(&mut self, cells: &mut Cells, index: usize, job: u64) {
        let cell = &mut self.cells[index];
        cell.used_by = Some(job);
        for id in &cell.bound_to {
            cells.use_bound(*id, cell.shape.accelerators_per_task);
        }
    }

    /// Ends the use of the cell.
    pub(crate) fn vacate(&mut self, cells: &mut Cells, index: usize) {
        let cell = &mut self.cells[index];
        cell.used_by = None;
        for id in &cell.bound_to {
            cells.release_bound(*id, cell.shape.accelerators_per_task);
        }
    }
}

fn unbind(cells: &mut Cells, cell: &mut Cell) {
    let per_task = cell.shape.accelerators_per_task;
    for id in std::mem::take(&mut cell.bound_to) {
        cells.unbind(id, per_task);
        if cell.used_by.is_some() {
            cells.release_bound(id, per_task);
        }
    }
}
