//! Why tasks wait.

use super::UnusableReason;
use crate::dispatch::RunPhase;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Why tasks wait.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WaitReason {
    /// Their time has not come.
    NotDue {
        /// When it comes, in milliseconds since 1970.
        due_ms: u64,
    },
    /// Earlier steps are not done.
    EarlierSteps {
        /// Their positions.
        steps: Vec<u32>,
    },
    /// Some of a gang's earlier runs may still go on.
    EarlierRuns,
    /// Their runs are recorded, and none is known to be at work.
    Ordered {
        /// How far the run has come that has been so for longest.
        phase: RunPhase,
    },
    /// A gang that must not begin before it is known whether earlier attempts of it have failed: it may have no attempt left.
    UncertainFailures,
    /// All workers that may run them are in data centres under evacuation.
    Evacuated {
        /// The data centres.
        data_centres: BTreeSet<Arc<str>>,
    },
    /// No worker that can be used now may run them: label, pool, or the adviser.
    NoWorkerAllowed,
    /// The workers that may run them are too small.
    NoWorkerLargeEnough,
    /// The adviser has not said yet whether more workers may run them.
    Advice,
    /// Workers have room that get no new work now.
    WorkersUnusable {
        /// Places on such workers.
        places: u64,
        /// Why most of these places can't be used.
        why: UnusableReason,
    },
    /// Room is being made by stopping others.
    RoomIsMade {
        /// On so many workers.
        workers: usize,
    },
    /// There are fewer places free than tasks.
    NoRoom {
        /// Tasks.
        tasks: u64,
        /// Places.
        places: u64,
    },
    /// There is room, but the last plan promised it to other work.
    RoomPromised {
        /// Places that are left.
        places: u64,
        /// The first of the steps that it was promised to, `JOB.OCCURRENCE.STEP`.
        to: Vec<String>,
    },
    /// There is room, but the last plan kept it for work of priority 0.
    RoomKept {
        /// Places that are left.
        places: u64,
    },
    /// A worker has crashed under one of the tasks, which wait for a while for workers on which nothing has just begun.
    Apart {
        /// Workers that crashed.
        crashes: u32,
    },
    /// There is room only on workers on which the tasks have failed or were slow.
    WorkersAvoided {
        /// Number of these workers.
        workers: usize,
    },
    /// There is room, but not in a rack in which they are fast.
    Rack,
    /// Their starts are planned and are being recorded.
    StartRecording,
    /// There is room, but no plan was made since they could begin.
    NotPlanned,
    /// Nothing of them is recorded as running or waiting, though they are not done.
    Unexplained,
    /// There are places enough; taken by work that comes first, or by the tasks at the next plan.
    Placing,
}

impl WaitReason {
    /// Every reason that work may wait for whose turn has come, as [`WaitReason::reason`] names it.
    pub const REASONS: [&'static str; 28] = [
        "earlier_runs",
        "start_unsent",
        "start_in_flight",
        "start_unsure",
        "run_unreported",
        "worker_silent",
        "run_stopping",
        "end_recording",
        "uncertain_failures",
        "evacuated",
        "no_worker_allowed",
        "no_worker_large_enough",
        "advice",
        "workers_silent",
        "workers_unheard",
        "workers_set_aside",
        "workers_closed",
        "room_is_made",
        "no_room",
        "room_promised",
        "room_kept",
        "apart",
        "workers_avoided",
        "rack",
        "start_recording",
        "not_planned",
        "unexplained",
        "placing",
    ];

    /// Short name of the reason, for metrics and logs.
    pub fn reason(&self) -> &'static str {
        match self {
            WaitReason::NotDue { .. } => "not_due",
            WaitReason::EarlierSteps { .. } => "earlier_steps",
            WaitReason::EarlierRuns => "earlier_runs",
            WaitReason::Ordered { phase } => match phase {
                RunPhase::Unsent => "start_unsent",
                RunPhase::InFlight => "start_in_flight",
                RunPhase::Unsure => "start_unsure",
                // Never told of work of which nothing runs.
                RunPhase::Running => "running",
                RunPhase::Unreported => "run_unreported",
                RunPhase::Silent => "worker_silent",
                RunPhase::Stopping => "run_stopping",
                RunPhase::Ending => "end_recording",
            },
            WaitReason::UncertainFailures => "uncertain_failures",
            WaitReason::Evacuated { .. } => "evacuated",
            WaitReason::NoWorkerAllowed => "no_worker_allowed",
            WaitReason::NoWorkerLargeEnough => "no_worker_large_enough",
            WaitReason::Advice => "advice",
            WaitReason::WorkersUnusable { why, .. } => match why {
                UnusableReason::Silent => "workers_silent",
                UnusableReason::Unheard | UnusableReason::Unverified => "workers_unheard",
                UnusableReason::SetAside | UnusableReason::Slow => "workers_set_aside",
                UnusableReason::Draining
                | UnusableReason::Replaced
                | UnusableReason::Evacuated
                | UnusableReason::BesideSuspect
                | UnusableReason::Emptied => "workers_closed",
            },
            WaitReason::RoomIsMade { .. } => "room_is_made",
            WaitReason::NoRoom { .. } => "no_room",
            WaitReason::RoomPromised { .. } => "room_promised",
            WaitReason::RoomKept { .. } => "room_kept",
            WaitReason::Apart { .. } => "apart",
            WaitReason::WorkersAvoided { .. } => "workers_avoided",
            WaitReason::Rack => "rack",
            WaitReason::StartRecording => "start_recording",
            WaitReason::NotPlanned => "not_planned",
            WaitReason::Unexplained => "unexplained",
            WaitReason::Placing => "placing",
        }
    }
}
