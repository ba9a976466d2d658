//! What the last pass of planning left behind that explains why work waits.

use super::Room;
use super::Unit;
use super::collect;
use crate::job::Resources;
use crate::job::StepId;
use crate::state::Start;
use bh_protocol::Incarnation;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// What the last pass looked at and held back. It explains why work waits; no placement depends on it.
#[derive(Clone, Debug, Default)]
pub(super) struct LastPass {
    /// Steps that it looked at.
    pub considered: BTreeSet<StepId>,
    /// Steps of which it planned starts.
    pub started: BTreeSet<StepId>,
    /// What it promised to work that does not begin yet, or kept for gangs, by worker.
    pub reserved_capacity: BTreeMap<Incarnation, Resources>,
    /// Steps to which it promised that, the first in its order.
    pub reserved_for: Vec<StepId>,
    /// Workers that it kept for work of priority 0.
    pub urgent_only: BTreeSet<Incarnation>,
}

impl LastPass {
    /// What a pass over `units` left in `rooms`, with the starts it planned and which steps wait with room promised to them.
    pub fn new(
        units: &[Unit],
        rooms: &[Room],
        starts: &[Start],
        waits: impl Fn(StepId) -> bool,
    ) -> Self {
        /// Steps that are remembered, at most.
        const MAX_REPORTED_STEPS: usize = 4;
        let reserved_capacity = rooms.iter().map(|room| {
            let mut reserved_capacity = room.reserved_capacity;
            reserved_capacity.add(&room.held_for_gangs);
            (room.worker.clone(), reserved_capacity)
        });
        let urgent_only = rooms.iter().filter(|room| room.urgent_only);
        Self {
            considered: collect::steps(units),
            started: starts.iter().map(|start| start.run.task.step).collect(),
            reserved_for: units
                .iter()
                .map(|unit| unit.step)
                .filter(|step| waits(*step))
                .take(MAX_REPORTED_STEPS)
                .collect(),
            reserved_capacity: reserved_capacity
                .filter(|(_, reserved_capacity)| *reserved_capacity != Resources::default())
                .collect(),
            urgent_only: urgent_only.map(|room| room.worker.clone()).collect(),
        }
    }
}
