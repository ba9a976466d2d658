//! Where a gang fits, and which of the places leaves the least behind.

use crate::cells::Cells;
use crate::cells::RackId;
use crate::cells::WorkerId;
use bh_protocol::shape::Adjacency;
use bh_protocol::shape::Shape;

/// A search over the accelerators that `usable` grants on each worker.
pub struct Search<'a, U: Fn(WorkerId) -> u32> {
    cells: &'a Cells,
    usable: U,
}

/// Room in one rack for tasks of a shape.
struct RackRoom {
    rack: RackId,
    tasks: u32,
    usable: u32,
    intact: bool,
}

impl<'a, U: Fn(WorkerId) -> u32> Search<'a, U> {
    /// A search where `usable` says how many accelerators of each worker may be taken.
    pub fn new(cells: &'a Cells, usable: U) -> Self {
        Self { cells, usable }
    }

    /// One worker for each task, or `None` when the gang does not fit.
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

    /// Best fit: the worker that is left with the least, on the rack that is already most in use.
    fn place_on_worker(&self, shape: &Shape) -> Option<Vec<WorkerId>> {
        let needed = shape.accelerators();
        let mut best: Option<(u32, u32, WorkerId)> = None;
        for rack in self.cells.racks() {
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

    fn room(&self, rack: RackId, shape: &Shape) -> RackRoom {
        let cell = self.cells.rack(rack);
        let mut tasks = 0;
        let mut usable = 0;
        for id in &cell.workers {
            let count = (self.usable)(*id);
            usable += count;
            tasks += count / shape.accelerators_per_task;
        }
        RackRoom {
            rack,
            tasks,
            usable,
            intact: cell.is_intact(),
        }
    }

    fn rooms(&self, shape: &Shape) -> impl Iterator<Item = RackRoom> {
        let count = RackId::try_from(self.cells.racks().len()).unwrap_or(RackId::MAX);
        (0..count)
            .map(|rack| self.room(rack, shape))
            .filter(|room| room.tasks > 0)
    }

    /// The rack that is left with the least, a broken one before an intact one.
    fn place_in_rack(&self, shape: &Shape) -> Option<Vec<WorkerId>> {
        let needed = shape.accelerators();
        let best = self
            .rooms(shape)
            .filter(|room| room.tasks >= shape.tasks)
            .min_by_key(|room| (room.usable - needed, room.intact, room.rack))?;
        let mut placed = Vec::new();
        self.fill(best.rack, shape, shape.tasks, &mut placed);
        Some(placed)
    }

    /// As few racks as possible, the last one a best fit.
    fn place_anywhere(&self, shape: &Shape) -> Option<Vec<WorkerId>> {
        let mut rooms: Vec<RackRoom> = self.rooms(shape).collect();
        let total: u64 = rooms.iter().map(|room| u64::from(room.tasks)).sum();
        if total < u64::from(shape.tasks) {
            return None;
        }
        rooms.sort_by_key(|room| (std::cmp::Reverse(room.tasks), room.intact, room.rack));
        let mut left = shape.tasks;
        let mut placed = Vec::with_capacity(to_usize(shape.tasks));
        while left > 0 {
            // A rack that takes all the rest with the least left over; else the roomiest one.
            let fitting = rooms
                .iter()
                .rposition(|room| room.tasks >= left)
                .unwrap_or(0);
            let room = rooms.remove(fitting);
            let count = room.tasks.min(left);
            self.fill(room.rack, shape, count, &mut placed);
            left -= count;
        }
        Some(placed)
    }

    /// Places `count` tasks in a rack, on the fullest workers first so that whole workers stay free.
    fn fill(&self, rack: RackId, shape: &Shape, count: u32, placed: &mut Vec<WorkerId>) {
        let per_task = shape.accelerators_per_task;
        let mut workers: Vec<(u32, WorkerId)> = self
            .cells
            .rack(rack)
            .workers
            .iter()
            .map(|id| ((self.usable)(*id), *id))
            .filter(|(usable, _)| *usable >= per_task)
            .collect();
        workers.sort_unstable();
        let mut left = count;
        for (usable, id) in workers {
            let here = (usable / per_task).min(left);
            for _ in 0..here {
                placed.push(id);
            }
            left -= here;
            if left == 0 {
                return;
            }
        }
    }
}

fn to_usize(count: u32) -> usize {
    // Lossless on the 32- and 64-bit systems this is built for.
    count as usize
}
