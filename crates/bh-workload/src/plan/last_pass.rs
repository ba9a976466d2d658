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

/// What the last pass looked at and held back. Planning itself does not use it.
#[derive(Clone, Debug, Default)]
pub(super) struct LastPass {
    /// Steps that it looked at.
    pub looked_at: BTreeSet<StepId>,
    /// Steps of which it planned starts.
    pub started: BTreeSet<StepId>,
    /// What it promised to work that does not begin yet, or kept for gangs, by worker.
    pub promised: BTreeMap<Incarnation, Needs>,
    /// Workers that it kept for work of priority 0.
    pub kept: BTreeSet<Incarnation>,
}

impl LastPass {
    /// What a pass over `units` left in `rooms`, with the starts it planned.
    pub fn new(units: &[Unit], rooms: &[Room], starts: &[Start]) -> Self {
        let promised = rooms.iter().map(|room| {
            let mut promised = room.promised;
            promised.add(&room.held);
            (room.worker.clone(), promised)
        });
        let kept = rooms.iter().filter(|room| room.kept);
        Self {
            looked_at: collect::steps(units),
            started: starts.iter().map(|start| start.run.task.step).collect(),
            promised: promised
                .filter(|(_, promised)| *promised != Needs::default())
                .collect(),
            kept: kept.map(|room| room.worker.clone()).collect(),
        }
    }
}
