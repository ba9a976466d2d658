//! Outcome of the last planning pass, to explain why work waits.

use super::Room;
use super::Unit;
use super::collect;
use crate::job::Resources;
use crate::job::StepId;
use crate::state::Start;
use bh_protocol::Incarnation;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// What the last pass considered, started and withheld. It only serves to explain why work waits; no placement depends on it.
#[derive(Clone, Debug, Default)]
pub(super) struct LastPass {
    /// Steps that the pass considered.
    pub considered: BTreeSet<StepId>,
    /// Steps of which the pass started tasks.
    pub started: BTreeSet<StepId>,
    /// Resources that the pass reserved for waiting units or held for gangs, by worker.
    pub reserved_capacity: BTreeMap<Incarnation, Resources>,
    /// The first steps, by precedence, for which the pass reserved or held capacity.
    pub reserved_for: Vec<StepId>,
    /// Workers that the pass kept for work of priority 0.
    pub urgent_only: BTreeSet<Incarnation>,
}

impl LastPass {
    /// Collects the outcome of a pass over `units` that left `rooms` and planned `starts`. `has_withheld` returns whether capacity is reserved or
    /// held for a step.
    pub fn new(
        units: &[Unit],
        rooms: &[Room],
        starts: &[Start],
        has_withheld: impl Fn(StepId) -> bool,
    ) -> Self {
        /// Maximum number of steps in `reserved_for`.
        const MAX_REPORTED_STEPS: usize = 4;
        let reserved_capacity = rooms.iter().filter_map(|room| {
            let mut reserved_capacity = room.reserved_capacity;
            reserved_capacity.add(&room.held_for_gangs);
            let is_any = reserved_capacity != Resources::default();
            is_any.then(|| (room.worker.clone(), reserved_capacity))
        });
        let urgent_only = rooms.iter().filter(|room| room.urgent_only);
        Self {
            considered: collect::steps_of(units),
            started: starts.iter().map(|start| start.run.task.step).collect(),
            reserved_for: units
                .iter()
                .map(|unit| unit.step)
                .filter(|step| has_withheld(*step))
                .take(MAX_REPORTED_STEPS)
                .collect(),
            reserved_capacity: reserved_capacity.collect(),
            urgent_only: urgent_only.map(|room| room.worker.clone()).collect(),
        }
    }
}
