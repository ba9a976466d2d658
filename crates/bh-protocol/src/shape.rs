//! Job shapes: number of tasks, accelerators per task, and how close together they are placed.

use serde::Deserialize;
use serde::Serialize;

/// How close together the tasks of a gang must be placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Adjacency {
    /// All accelerators on one worker.
    Worker,
    /// All accelerators in one rack.
    Rack,
    /// Anywhere in one data centre.
    DataCentre,
}

/// Resources that a gang needs: `tasks` tasks with `accelerators_per_task` accelerators each.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Shape {
    /// Number of tasks; all of them run or none does.
    pub tasks: u32,
    /// Accelerators of each task, all on one worker.
    pub accelerators_per_task: u32,
    /// How close together the tasks must be placed.
    pub adjacent: Adjacency,
}

impl Shape {
    /// Creates a shape of `tasks` tasks with `accelerators_per_task` accelerators each.
    pub fn new(tasks: u32, accelerators_per_task: u32, adjacent: Adjacency) -> Self {
        Self {
            tasks,
            accelerators_per_task,
            adjacent,
        }
    }

    /// Accelerators of the whole gang.
    pub fn accelerators(&self) -> u32 {
        self.tasks.saturating_mul(self.accelerators_per_task)
    }
}
