//! A job as the leader's scheduler sees it.

use crate::cells::WorkerId;
use bh_protocol::job::Phase;
use bh_protocol::job::Placement;
use bh_protocol::job::Spec;
use bh_protocol::job::TaskPlace;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

/// What follows when every task of a job has stopped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum AfterStop {
    /// Wait for another placement.
    Requeue { reason: String },
    /// The job has ended, or ends.
    End { phase: Phase, reason: String },
    /// Nothing was recorded for this attempt: simply wait again, not before the given time.
    Retry { not_before_ms: u64 },
}

/// Where a job is on its way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    /// Waits for a placement.
    Queued,
    /// Has a placement and waits for the borrowers on it to leave.
    Reclaiming {
        /// Jobs that must leave.
        victims: BTreeSet<u64>,
    },
    /// The workers are asked to hold the accelerators.
    Preparing,
    /// The decision to start is being recorded.
    Deciding,
    /// Started; some tasks may not have reported yet.
    Running {
        /// Tasks that reported themselves running.
        running: BTreeSet<u32>,
        /// Tasks that ended with success.
        done: BTreeSet<u32>,
        /// When all tasks must have reported.
        report_by_ms: u64,
    },
    /// Being stopped.
    Stopping {
        /// Workers that have not confirmed.
        pending: BTreeSet<Arc<str>>,
        /// When the stop began.
        since_ms: u64,
        /// When the checkpoint wait is over; `None` once the stop order is out.
        checkpoint_until_ms: Option<u64>,
        /// When an unconfirmed stop order is sent again.
        retry_ms: u64,
    },
    /// Stopped; the record of that is on its way.
    Recording,
}

/// A job and its attempt.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub spec: Spec,
    pub submitted_ms: u64,
    pub state: State,
    pub epoch: u64,
    /// Worker of each task in the current attempt.
    pub places: Vec<WorkerId>,
    /// Guaranteed cell the attempt runs in.
    pub cell: Option<usize>,
    /// Workers on which it failed, each once.
    pub failed_on: BTreeSet<WorkerId>,
    /// Attempts that failed or were refused, whatever the reason.
    pub failures: u32,
    /// Workers whose process died and came back soon after it had started there.
    pub crashes: u32,
    /// Times it was stopped for another job.
    pub preempted: u32,
    pub not_before_ms: u64,
    pub started_ms: u64,
    pub after_stop: Option<AfterStop>,
    pub reason: String,
}

impl Job {
    pub fn new(spec: Spec, submitted_ms: u64) -> Self {
        Self {
            spec,
            submitted_ms,
            state: State::Queued,
            epoch: 0,
            places: Vec::new(),
            cell: None,
            failed_on: BTreeSet::new(),
            failures: 0,
            crashes: 0,
            preempted: 0,
            not_before_ms: 0,
            started_ms: 0,
            after_stop: None,
            reason: String::new(),
        }
    }

    /// Accelerators the attempt holds on each worker.
    pub fn held(&self) -> BTreeMap<WorkerId, u32> {
        let mut held = BTreeMap::new();
        for id in &self.places {
            *held.entry(*id).or_insert(0) += self.spec.shape.accelerators_per_task;
        }
        held
    }

    pub fn placement(&self, name_of: impl Fn(WorkerId) -> Arc<str>) -> Placement {
        let tasks = self
            .places
            .iter()
            .enumerate()
            .map(|(task, id)| TaskPlace {
                task: u32::try_from(task).unwrap_or(u32::MAX),
                worker: name_of(*id),
            })
            .collect();
        Placement { tasks }
    }

    /// Whether it holds accelerators that another job may claim.
    pub fn is_stoppable(&self) -> bool {
        self.cell.is_none() && matches!(self.state, State::Running { .. })
    }
}
