//! Cancels of jobs, and submissions that arrive after the cancel of their job.

use super::answer_call::change;
use super::core_node::CoreNode;
use crate::calls::Answer;
use bh_workload::admission::retry_after_ms;
use bh_workload::state::Command;
use bh_workload::state::Place;
use bh_workload::state::Refusal;
use std::rc::Rc;

/// When a caller should retry a cancel that was refused, in milliseconds. Old cancels are removed this often.
const RETRY_MS: u64 = 10_000;

/// Cancels a job. If it is not recorded, the cancel is: the submission may still be on its way.
pub(super) async fn cancel(core: &Rc<CoreNode>, place: Place) -> Answer {
    let path = place.path.clone();
    let command = Command::Cancel {
        place,
        // It is replaced when the command is proposed.
        now_ms: 0,
        bars_late_submission: true,
    };
    match change(core, command).await {
        Answer::Refused(Refusal::NoJob) => {
            core.metrics.count("cancels_of_unknown_jobs", 1);
            log::info!(path = &*path; "unknown job cancelled: its submission is refused if it arrives later");
            Answer::Refused(Refusal::NoJob)
        }
        Answer::Refused(Refusal::TooManyCancels) => {
            core.metrics.count("cancels_refused", 1);
            let share = core.group.machine.read().early_cancels_per_caller();
            log::warn!(path = &*path, share; "cancel refused: its caller has cancelled too many unknown jobs");
            Answer::Busy {
                retry_after_ms: retry_after_ms(RETRY_MS, &path),
            }
        }
        answer => answer,
    }
}

/// The answer to a submission whose job was cancelled before it was recorded. Such a cancel stays in force, so the record need not be
/// confirmed.
pub(super) fn check_submission(core: &CoreNode, place: &Place) -> Option<Answer> {
    let is_cancelled = core
        .group
        .machine
        .read()
        .cancelled_early_ms(place)
        .is_some();
    is_cancelled.then_some(Answer::Refused(Refusal::Cancelled))
}
