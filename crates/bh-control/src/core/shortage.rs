//! Refusal of changes that the disks of the cores cannot take.

use super::answer_call::confirm_state;
use super::answer_call::refused;
use super::core_node::CoreNode;
use crate::calls::Answer;
use crate::config::StorageLimits;
use bh_group::GroupStatus;
use bh_workload::admission::retry_after_ms;
use bh_workload::rules::Rules;
use bh_workload::state::Place;
use bh_workload::state::Refusal;
use std::rc::Rc;

/// When a caller should retry a change that was refused, in milliseconds. Disk space is looked for each second.
const RETRY_MS: u64 = 3_000;

/// Why new jobs and rules are refused. Smaller changes, which let the work in progress go on, are recorded all the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// The disks of half of the voters or more have little space left.
    DiskSpace,
    /// The record is larger than a core is to hold.
    RecordSize,
}

impl Shortage {
    /// What the leader with this `status` lacks.
    pub fn new(status: &GroupStatus, limits: &StorageLimits) -> Option<Self> {
        if !status.has_space {
            Some(Shortage::DiskSpace)
        } else if status.snapshot_bytes > limits.state_bytes {
            Some(Shortage::RecordSize)
        } else {
            None
        }
    }

    fn of(core: &CoreNode) -> Option<Self> {
        Shortage::new(&core.group.status(), &core.config.storage_limits())
    }

    fn refuse(self, core: &CoreNode, name: &str) -> Answer {
        core.metrics.count("changes_refused_no_room", 1);
        log::warn!(name, shortage:? = self; "change refused: no room to record it");
        Answer::NoRoom {
            retry_after_ms: retry_after_ms(RETRY_MS, name),
        }
    }
}

/// The answer to a submission if there is no room to record a job. A job that is recorded already is acknowledged again.
pub(super) async fn check_submission(core: &Rc<CoreNode>, place: &Place) -> Option<Answer> {
    let shortage = Shortage::of(core)?;
    if let Err(answer) = confirm_state(core).await {
        return Some(answer);
    }
    let workload = core.group.machine.read();
    if let Err(refusal) = workload.find(place) {
        return Some(refused(refusal));
    }
    if workload.is_submitted(place) {
        return Some(Answer::Done);
    }
    Some(shortage.refuse(core, &place.path))
}

/// The answer to new rules if they are too large, or if there is no room to record them. Rules that are not newer than those in force are
/// acknowledged.
pub(super) async fn check_rules(core: &Rc<CoreNode>, rules: &Rules) -> Option<Answer> {
    let limit = core.config.storage_limits().rules_bytes;
    if u64::try_from(rules.document.len()).unwrap_or(u64::MAX) > limit {
        let problem = format!("the document is larger than {limit} bytes");
        return Some(Answer::Refused(Refusal::BadRules(problem)));
    }
    let shortage = Shortage::of(core)?;
    if let Err(answer) = confirm_state(core).await {
        return Some(answer);
    }
    if let Some(problem) = rules.problem() {
        return Some(Answer::Refused(Refusal::BadRules(problem)));
    }
    let in_force = core.group.machine.read().rules.clone();
    if in_force.is_some_and(|in_force| in_force.version >= rules.version) {
        return Some(Answer::Done);
    }
    Some(shortage.refuse(core, &format!("rules {}", rules.version)))
}
