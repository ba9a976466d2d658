//! What the last pass of planning left behind that explains why work waits.

use super::Room;
use super::Unit;
use super::collect;
use crate::job::Needs;
use crate::job::StepId;
use crate::state::Start;
use bh_protocol::Incarnation;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// What the last pass looked at and held back. It explains why work waits; no placement depends on it.
#[derive(Clone, Debug, Default)]
pub(super) struct LastPass {
    /// Steps that it looked at.
    pub looked_at: BTreeSet<StepId>,
    /// Steps of which it planned starts.
    pub started: BTreeSet<StepId>,
    /// What it promised to work that does not begin yet, or kept for gangs, by worker.
    pub promised: BTreeMap<Incarnation, Needs>,
    /// Steps to which it promised that, the first in its order.
    pub promised_to: Vec<StepId>,
    /// Workers that it kept for work of priority 0.
    pub kept: BTreeSet<Incarnation>,
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
        const MOST_STEPS: usize = 4;
        let promised = rooms.iter().map(|room| {
            let mut promised = room.promised;
            promised.add(&room.held);
            (room.worker.clone(), promised)
        });
        let kept = rooms.iter().filter(|room| room.kept);
        Self {
            looked_at: collect::steps(units),
            started: starts.iter().map(|start| start.run.task.step).collect(),
            promised_to: units
                .iter()
                .map(|unit| unit.step)
                .filter(|step| waits(*step))
                .take(MOST_STEPS)
                .collect(),
            promised: promised
                .filter(|(_, promised)| *promised != Needs::default())
                .collect(),
            kept: kept.map(|room| room.worker.clone()).collect(),
        }
    }
}
