//! What is placed together: a gang, or one task.

use crate::job::Resources;
use crate::job::StepId;
use crate::job::StepSpec;
use crate::rules::AdviserTiming;
use bh_protocol::Incarnation;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Work that waits to be placed.
#[derive(Clone, Debug)]
pub struct Unit {
    /// The step.
    pub step: StepId,
    /// Tasks of the step that wait; all of them for a gang.
    pub indices: Vec<u32>,
    /// Number the runs take, by position in `indices`.
    pub attempts: Vec<u32>,
    /// What was asked of the step.
    pub spec: StepSpec,
    /// Workers that crashed under one of its tasks, of the task with most of them.
    pub crashes: u32,
    /// Whether it waits for workers on which nothing has just begun: should one of them crash, it tells whether the unit's tasks are the cause.
    pub isolated: bool,
    /// Pool that runs it.
    pub pool: Arc<str>,
    /// What each task takes.
    pub needs: Resources,
    /// The adviser that must be asked, if any.
    pub advised: Option<AdviserTiming>,
    /// Workers that it allows; `None` when there is none.
    pub permitted: Option<BTreeSet<Incarnation>>,
    /// Rank of its queue; 0 comes first.
    pub priority: u32,
    /// Whether the customer's guarantee covers it.
    pub guaranteed: bool,
    /// When it could have begun, in milliseconds since 1970.
    pub ready_ms: u64,
    /// Until when its job is on time, in milliseconds since 1970.
    pub due_ms: u64,
    /// Expected run time of a task in milliseconds.
    pub expected_ms: u64,
    /// The same when the unit is spread over racks though it wants one.
    pub expected_spread_ms: u64,
    /// Whether the objective leaves little time beside the work itself.
    pub tight_deadline: bool,
    /// Whether it is a gang that is on time if it begins now, and hardly if it waits on.
    pub last_chance: bool,
    /// Whether the job can still be done within its objective, as far as is known.
    pub on_time: bool,
    /// Whether it has waited beside ample room for so long that it begins wherever it may.
    pub relaxed: bool,
    /// Value of the whole job against its work, larger first.
    pub value_density: f64,
}

impl Unit {
    /// Whether it may use workers that are kept for work of priority 0.
    pub fn may_use_headroom(&self) -> bool {
        self.priority == 0 || self.last_chance || self.relaxed
    }

    /// Whether a worker has crashed under one of its tasks, which may be the cause.
    pub fn is_suspect(&self) -> bool {
        self.crashes > 0
    }

    /// Work of the tasks to place, in thousandths of core-milliseconds.
    pub fn work(&self) -> u64 {
        self.spec.needs.weight() * self.expected_ms * self.count()
    }

    /// The first task alone.
    pub fn first_task(&self) -> Unit {
        Unit {
            indices: self.indices.iter().take(1).copied().collect(),
            attempts: self.attempts.iter().take(1).copied().collect(),
            ..self.clone()
        }
    }

    /// What is left once the first `placed` tasks are placed.
    pub fn without_first(&self, placed: u64) -> Unit {
        let placed = usize::try_from(placed).unwrap_or(usize::MAX);
        Unit {
            indices: self.indices.iter().skip(placed).copied().collect(),
            attempts: self.attempts.iter().skip(placed).copied().collect(),
            ..self.clone()
        }
    }

    /// Tasks to place.
    pub fn count(&self) -> u64 {
        u64::try_from(self.indices.len()).unwrap_or(u64::MAX)
    }
}
