//! Job shapes: how many tasks, how many accelerators each, and how near to each other.

use serde::Deserialize;
use serde::Serialize;

/// How near the tasks of a gang must be to each other.
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

/// A gang's demand: `tasks` tasks with `accelerators_per_task` accelerators each.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Shape {
    /// Number of tasks; all of them run or none does.
    pub tasks: u32,
    /// Accelerators of each task, all on one worker.
    pub accelerators_per_task: u32,
    /// How near the tasks must be.
    pub adjacent: Adjacency,
}

impl Shape {
    /// A shape of `tasks` tasks with `accelerators_per_task` accelerators each.
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
