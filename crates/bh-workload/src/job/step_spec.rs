//! Specification of a step.

use super::Resources;
use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;

/// One step of a job. All its tasks have the same specification.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task needs.
    pub needs: Resources,
    /// Run time of a task as the caller declares it, in milliseconds; 0 if not declared. It is often far off.
    pub declared_ms: u64,
    /// Positions of the earlier steps that must be done before this one starts.
    pub after: Vec<u32>,
    /// Whether the tasks save checkpoints.
    pub checkpoints: bool,
    /// Whether the tasks are a gang, which runs either as a whole or not at all.
    pub gang: bool,
    /// Whether the tasks run slower when they are spread over several racks.
    pub rack_local: bool,
    /// Label that a worker must have to run the tasks.
    pub required_label: Option<Arc<str>>,
    /// Rack that holds the input data. The tasks run slower on other racks.
    pub near_rack: Option<Arc<str>>,
    /// Maximum number of tasks of the step on one worker; `None` for no limit.
    pub most_per_worker: Option<u32>,
    /// Whether several copies of a task may run at the same time.
    pub speculative: bool,
    /// Whether the tasks are a service, which runs until the job is cancelled.
    pub long_running: bool,
    /// Name of the image that the tasks run. Tasks with the same image have similar run times.
    pub image: Option<Arc<str>>,
    /// Objective for the tail latency of a serving task, in milliseconds.
    pub tail_target_ms: Option<u64>,
    /// Whether the tasks use only processor time that other tasks leave idle.
    pub fills_idle: bool,
    /// Maximum number of tasks that the system may make unavailable at the same time; `None` for no limit.
    pub most_unavailable: Option<u32>,
}

impl StepSpec {
    /// Returns the maximum number of tasks of the step on one worker.
    pub fn most_on_worker(&self) -> u64 {
        self.most_per_worker
            .map_or(u64::MAX, |most| u64::from(most.max(1)))
    }

    /// Returns the resources that a task reserves on its worker. Tasks that use only idle processor time reserve no cores.
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
