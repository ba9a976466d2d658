//! Unit of placement: a whole gang, or tasks of one step that are placed one by one.

use crate::job::Resources;
use crate::job::StepId;
use crate::job::StepSpec;
use crate::rules::AdviserTiming;
use bh_protocol::Incarnation;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Tasks of one step that wait for placement.
#[derive(Clone, Debug)]
pub struct Unit {
    /// The step.
    pub step: StepId,
    /// Indices of the waiting tasks; for a gang, of all its tasks.
    pub indices: Vec<u32>,
    /// Number of each task's next run, in the order of `indices`.
    pub attempts: Vec<u32>,
    /// Specification of the step.
    pub spec: StepSpec,
    /// Number of workers that crashed under one task; the maximum over the waiting tasks.
    pub crashes: u32,
    /// Whether the unit waits for workers on which nothing has just started. If such a worker crashes, the unit's tasks are known to be the
    /// cause.
    pub isolated: bool,
    /// Whether the unit waits while there is room only on workers that have crashed in the last few seconds.
    pub needs_steady_worker: bool,
    /// Name of the pool that runs the unit.
    pub pool: Arc<str>,
    /// Resources that each task reserves.
    pub needs: Resources,
    /// Timing of the queue's adviser, if it has one.
    pub advised: Option<AdviserTiming>,
    /// Workers that the adviser permits; `None` if the queue has no adviser.
    pub permitted: Option<BTreeSet<Incarnation>>,
    /// Priority of the queue; 0 is the most urgent.
    pub priority: u32,
    /// Whether the customer's guarantee covers the job.
    pub guaranteed: bool,
    /// When the job was accepted or the occurrence was due, in milliseconds since 1970.
    pub ready_ms: u64,
    /// Latest end with which the occurrence meets its completion objective, in milliseconds since 1970.
    pub due_ms: u64,
    /// Expected run time of a task, in milliseconds.
    pub expected_ms: u64,
    /// Expected run time, in milliseconds, if a unit that prefers one rack is spread over several.
    pub expected_spread_ms: u64,
    /// Time within which the unit ends if it may use capacity that is held for gangs, in milliseconds; `None` if it may not.
    pub backfill_ms: Option<u64>,
    /// Whether the completion objective leaves little time beyond the run time itself.
    pub tight_deadline: bool,
    /// Whether workers are ranked by their own speeds, and not only by those of their data centres.
    pub by_worker: bool,
    /// Largest [`super::Room::runtime_percent`] with which the unit is on time if it starts now; the maximum if that excludes no worker.
    pub max_runtime_percent: u64,
    /// Whether this is a gang that is on time if it starts now, but probably late if it keeps waiting.
    pub last_chance: bool,
    /// Whether the job is expected to meet its completion objective if the unit starts now.
    pub on_time: bool,
    /// Whether the unit has been stalled beside free capacity for so long that it starts on any eligible worker.
    pub relaxed: bool,
    /// Value of the job relative to its work, reduced if the job is late or its priority low. Units with a larger value come first.
    pub value_density: f64,
}

impl Unit {
    /// Returns whether the unit may use workers that are kept for work of priority 0 (see [`super::Room::urgent_only`]).
    pub fn may_use_headroom(&self) -> bool {
        self.priority == 0 || self.last_chance || self.relaxed
    }

    /// Returns whether the unit goes where runs are fastest. A gang is as slow as its slowest member.
    pub fn prefers_fast_workers(&self) -> bool {
        self.tight_deadline || self.by_worker && self.spec.gang
    }

    /// Returns whether the unit would be late on some workers.
    pub fn is_limited(&self) -> bool {
        self.max_runtime_percent < u64::MAX
    }

    /// Returns a unit that may run on workers of any speed.
    pub fn without_limit(&self) -> Unit {
        Unit {
            max_runtime_percent: u64::MAX,
            ..self.clone()
        }
    }

    /// Returns whether a worker has crashed under one of the tasks, which may be the cause.
    pub fn is_suspect(&self) -> bool {
        self.crashes > 0
    }

    /// Returns the expected work of all tasks in the unit, in thousandths of core-milliseconds.
    pub fn work(&self) -> u64 {
        self.spec.needs.weight() * self.expected_ms * self.count()
    }

    /// Returns a unit of only the first task.
    pub fn first_task(&self) -> Unit {
        Unit {
            indices: self.indices.iter().take(1).copied().collect(),
            attempts: self.attempts.iter().take(1).copied().collect(),
            ..self.clone()
        }
    }

    /// Returns a unit without the first `placed` tasks.
    pub fn without_first(&self, placed: u64) -> Unit {
        let placed = usize::try_from(placed).unwrap_or(usize::MAX);
        Unit {
            indices: self.indices.iter().skip(placed).copied().collect(),
            attempts: self.attempts.iter().skip(placed).copied().collect(),
            ..self.clone()
        }
    }

    /// Returns the number of tasks in the unit.
    pub fn count(&self) -> u64 {
        u64::try_from(self.indices.len()).unwrap_or(u64::MAX)
    }
}
