//! Reasons why tasks wait. The module head of [`super`] explains *room*, *kept room*, *apart* and *set aside*; [`RunPhase`] and
//! [`UnusableReason`] explain their variants. A *unit* is the waiting tasks of one step.

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
    /// The job has a schedule, and this occurrence (repetition) of it is not due yet.
    NotDue {
        /// When it is due, in milliseconds since 1970.
        due_ms: u64,
    },
    /// Earlier steps are not done.
    EarlierSteps {
        /// Positions of these steps.
        steps: Vec<u32>,
    },
    /// Earlier runs of the gang may still be running.
    EarlierRuns,
    /// The start of the tasks is decided and their runs are recorded, but none is known to be running.
    Ordered {
        /// Phase of the run that has been in its phase for longest.
        phase: RunPhase,
    },
    /// It is unknown whether earlier attempts of the gang have failed, and if they have, the gang has no attempts left.
    UncertainFailures,
    /// All workers that may run the tasks are in data centres that are being evacuated.
    Evacuated {
        /// The data centres.
        data_centres: BTreeSet<Arc<str>>,
    },
    /// No worker that is usable now may run the tasks, because of the label that the tasks require, the pool of their queue, or the
    /// adviser, an external service that says which workers may run a step.
    NoWorkerAllowed,
    /// The workers that may run the tasks are too small.
    NoWorkerLargeEnough,
    /// The adviser has not yet answered whether more workers may run the tasks.
    Advice,
    /// There would be room for all the tasks if the workers that get no new work for a time were usable.
    WorkersUnusable {
        /// How many of the tasks fit on such workers.
        places: u64,
        /// The reason that concerns the most of these tasks.
        why: UnusableReason,
    },
    /// Other runs are being stopped to make room.
    RoomIsMade {
        /// Number of workers on which room is being made.
        workers: usize,
    },
    /// There is room for fewer tasks than wait.
    NoRoom {
        /// Number of tasks.
        tasks: u64,
        /// How many of them fit.
        places: u64,
    },
    /// There is room, but the last plan reserved it for units for which other runs are being stopped, or held it for gangs that do not fit
    /// yet.
    RoomPromised {
        /// How many of the tasks fit into what is left.
        places: u64,
        /// The first steps for which it was reserved or held, `JOB.OCCURRENCE.STEP`.
        to: Vec<String>,
    },
    /// There is room, but the last plan kept it for work of priority 0, the most urgent, that may arrive.
    RoomKept {
        /// How many of the tasks fit into what is left.
        places: u64,
    },
    /// A worker has crashed while it ran one of the tasks. The tasks start only on workers that have not crashed in the last few seconds, if
    /// there are any, and for a while only where nothing has just started: if such a worker crashes too, the tasks are known to be the cause.
    Apart {
        /// Number of workers that crashed.
        crashes: u32,
    },
    /// There is room only on workers on which the tasks have failed or were slow.
    WorkersAvoided {
        /// Number of these workers.
        workers: usize,
    },
    /// There is room, but not in a rack in which the tasks run at full speed.
    Rack,
    /// Starts of the tasks are planned and are being recorded.
    StartRecording,
    /// There is room, but no plan has been made since the tasks became ready.
    NotPlanned,
    /// The tasks are not done, but are recorded neither as running nor as waiting.
    Unexplained,
    /// There is room for all the tasks, and no other reason applies. Either more important work takes the room, or the tasks start at the next plan.
    Placing,
}

impl WaitReason {
    /// All results of [`WaitReason::reason`] for work that is due and not blocked by earlier steps.
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

    /// Returns a short name of the reason, for metrics and logs.
    pub fn reason(&self) -> &'static str {
        match self {
            WaitReason::NotDue { .. } => "not_due",
            WaitReason::EarlierSteps { .. } => "earlier_steps",
            WaitReason::EarlierRuns => "earlier_runs",
            WaitReason::Ordered { phase } => match phase {
                RunPhase::Unsent => "start_unsent",
                RunPhase::InFlight => "start_in_flight",
                RunPhase::Unsure => "start_unsure",
                // Not reported, because a step with a running task does not wait.
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
                // Workers to which the leader gives no new work on purpose.
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
