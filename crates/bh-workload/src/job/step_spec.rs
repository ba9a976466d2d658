//! What a caller asks of one step.

use super::Resources;
use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;

/// One step of a job: tasks that are alike.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// What each task takes.
    pub needs: Resources,
    /// Declared run time of a task in milliseconds; 0 when not declared. Often far off.
    pub declared_ms: u64,
    /// Earlier steps that must be done first.
    pub after: Vec<u32>,
    /// Whether the tasks save their progress.
    pub checkpoints: bool,
    /// Whether the tasks run only together.
    pub gang: bool,
    /// Whether the tasks are slower when they run on more than one rack.
    pub rack_local: bool,
    /// Label that a worker must have.
    pub required_label: Option<Arc<str>>,
    /// Rack that holds the data; the tasks are slower elsewhere.
    pub near_rack: Option<Arc<str>>,
    /// Most tasks of the step on one worker; `None` for any number.
    pub most_per_worker: Option<u32>,
    /// Whether copies of a task may run side by side.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// Name of what the tasks run; tasks of one name behave alike.
    pub image: Option<Arc<str>>,
    /// Bound on the tail of a serving task's response times, in milliseconds.
    pub tail_target_ms: Option<u64>,
    /// Whether the tasks only use processors that others leave idle.
    pub fills_idle: bool,
    /// Tasks that the system may make unavailable at a time; `None` when the step states no such limit.
    pub most_unavailable: Option<u32>,
}

impl StepSpec {
    /// Most tasks of the step on one worker.
    pub fn most_on_worker(&self) -> u64 {
        self.most_per_worker
            .map_or(u64::MAX, |most| u64::from(most.max(1)))
    }

    /// What a task takes of a worker's capacity: processors that others leave idle are not taken from anyone.
    pub fn reserved(&self) -> Resources {
        Resources {
            cpu_millis: if self.fills_idle {
                0
            } else {
                self.needs.cpu_millis
            },
            ..self.needs
        }
    }
}
