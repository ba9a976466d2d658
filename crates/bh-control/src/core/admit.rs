//! Admission of calls by the leader: submissions that are refused before anything is recorded, reads that are shed, and the measure of how
//! far the leader is behind.

use super::answer_call::change;
use super::answer_call::confirm_state;
use super::cancels;
use super::core_node::CoreNode;
use super::leadership::Leadership;
use super::shortage;
use crate::calls::Answer;
use crate::observe::Metrics;
use bh_workload::admission::AdmissionController;
use bh_workload::admission::Backlog;
use bh_workload::admission::CallId;
use bh_workload::admission::LoadReport;
use bh_workload::admission::RefusalReason;
use bh_workload::admission::RefusedSubmission;
use bh_workload::admission::ShedLevel;
use bh_workload::job::JobSpec;
use bh_workload::state::Command;
use bh_workload::state::Place;
use bh_workload::state::Workload;
use std::rc::Rc;

/// A call that the leader has not answered yet. Its age counts as lag until this is dropped, also if the call is given up.
pub(super) struct OpenCall {
    core: Rc<CoreNode>,
    id: CallId,
}

impl OpenCall {
    /// Begins a call that arrives now, if this core leads. Calls that arrive at other cores wait for the leader, which is no load of theirs.
    pub(super) fn begin(core: &Rc<CoreNode>) -> Option<Self> {
        core.leadership.borrow().as_ref()?;
        let id = core.open_calls.borrow_mut().begin(core.clock.now_ms());
        Some(Self {
            core: core.clone(),
            id,
        })
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.core.open_calls.borrow_mut().end(self.id);
    }
}

/// Records a submission, or refuses it before anything is recorded.
pub(super) async fn submit(core: &Rc<CoreNode>, place: Place, spec: JobSpec) -> Answer {
    if let Some(answer) = cancels::check_submission(core, &place) {
        return answer;
    }
    if let Some(answer) = shortage::check_submission(core, &place).await {
        return answer;
    }
    if let Some(answer) = refuse(core, &place, &spec).await {
        return answer;
    }
    let noted = note(core, |leadership, workload| {
        leadership.admission.note_admitted(&place, workload);
        leadership.term
    });
    let command = Command::Accept {
        place: place.clone(),
        spec,
        // It is replaced when the command is proposed.
        now_ms: 0,
    };
    let answer = change(core, command).await;
    // A submission without a known outcome may still be recorded, so a resend of it must not be refused.
    if answer != Answer::Unknown {
        note(core, |leadership, workload| {
            if Some(leadership.term) != noted {
                return;
            }
            let admission = &mut leadership.admission;
            if answer == Answer::Done {
                admission.note_recorded(&place, workload);
            } else {
                admission.note_not_recorded(&place, workload);
            }
        });
    }
    answer
}

/// Applies `change` to the state of this core as the leader; `None` if it does not lead.
fn note<T>(core: &CoreNode, change: impl FnOnce(&mut Leadership, &Workload) -> T) -> Option<T> {
    let mut held = core.leadership.borrow_mut();
    let leadership = held.as_mut()?;
    Some(change(leadership, &core.group.machine.read()))
}

/// Returns the answer to a submission that is refused; `None` if it is to be recorded.
///
/// A leader that was replaced without knowing it would refuse a job that its successor has accepted. So the state is confirmed first, and
/// the submission is judged again on it.
async fn refuse(core: &Rc<CoreNode>, place: &Place, spec: &JobSpec) -> Option<Answer> {
    check(core, place, spec)?;
    if let Err(answer) = confirm_state(core).await {
        return Some(answer);
    }
    let refused = check(core, place, spec)?;
    note(core, |leadership, _| {
        leadership.admission.note_refused(&refused);
    });
    report_refused(core, &refused, place);
    Some(Answer::Busy {
        retry_after_ms: refused.retry_after_ms,
    })
}

fn check(core: &CoreNode, place: &Place, spec: &JobSpec) -> Option<RefusedSubmission> {
    note(core, |leadership, workload| {
        let now_ms = core.clock.now_ms();
        let wall_ms = core.wall_ms();
        let Leadership {
            admission, planner, ..
        } = leadership;
        if admission.needs_backlog(now_ms) {
            let backlog = Backlog::new(wall_ms, workload, planner);
            let took_ms = core.clock.now_ms().saturating_sub(now_ms);
            core.metrics.time_ms("admission_snapshot", took_ms);
            admission.set_backlog((now_ms, took_ms), backlog, workload);
        }
        admission.check(wall_ms, (place, spec), workload, planner)
    })?
}

fn report_refused(core: &CoreNode, refused: &RefusedSubmission, place: &Place) {
    core.metrics.count("submissions_refused", 1);
    let by_reason = match refused.reason {
        RefusalReason::LeaderBehind => "submissions_refused_leader_behind",
        RefusalReason::TooManyWaiting => "submissions_refused_too_many_waiting",
        RefusalReason::Hopeless => "submissions_refused_hopeless",
    };
    core.metrics.count(by_reason, 1);
    let customer = refused.customer.as_deref().unwrap_or("-");
    log::info!(
        path = &*place.path, customer, queue = &*refused.queue, reason = refused.reason.name(), retry_after_ms = refused.retry_after_ms;
        "submission refused"
    );
}

/// Returns the answer to a read of a queue's length if such reads are shed.
pub(super) fn shed_read(core: &CoreNode, place: &Place) -> Option<Answer> {
    let retry_after_ms = note(core, |leadership, workload| {
        leadership.admission.shed_queue_read(place, workload)
    })??;
    core.metrics.count("queue_reads_shed", 1);
    Some(Answer::Busy { retry_after_ms })
}

/// Takes note that an iteration of the leader's loop begins at `now_ms`, and adapts the shedding level.
pub(super) fn note_iteration(core: &CoreNode, now_ms: u64) {
    adapt_level(core, |admission, oldest_call_ms| {
        admission.note_iteration(now_ms, oldest_call_ms)
    });
}

/// Takes note that the handling of a call begins, and adapts the shedding level.
pub(super) fn note_call(core: &CoreNode) {
    let now_ms = core.clock.now_ms();
    adapt_level(core, |admission, oldest_call_ms| {
        admission.note_call(now_ms, oldest_call_ms)
    });
}

/// Calls `adapt`, which gets the arrival of the oldest unanswered call and returns the level before if it has changed.
fn adapt_level(
    core: &CoreNode,
    adapt: impl FnOnce(&mut AdmissionController, Option<u64>) -> Option<ShedLevel>,
) {
    let oldest_call_ms = core.open_calls.borrow().oldest_ms();
    let mut held = core.leadership.borrow_mut();
    let Some(leadership) = held.as_mut() else {
        return;
    };
    let admission = &mut leadership.admission;
    if let Some(before) = adapt(admission, oldest_call_ms) {
        core.metrics.count("shed_level_changes", 1);
        log::warn!(
            core = &*core.config.name, term = leadership.term, level:? = admission.level(), before:? = before, lag_ms = admission.lag_ms();
            "shedding level changed"
        );
    }
}

/// Sets the gauges of shedding. On a core that does not lead they are 0.
pub(super) fn set_gauges(leadership: Option<&Leadership>, metrics: &Metrics) {
    let admission = leadership.map(|leadership| &leadership.admission);
    let level = admission.map_or(0, |admission| admission.level().number());
    metrics.gauge("shed_level", level);
    let lag_ms = admission.map_or(0, |admission| admission.lag_ms());
    metrics.gauge("leader_lag_ms", lag_ms);
}

impl CoreNode {
    /// The load of this core as operators read it; `None` if it does not lead.
    pub fn load_report(&self) -> Option<LoadReport> {
        let wall_ms = self.wall_ms();
        let held = self.leadership.borrow();
        let leadership = held.as_ref()?;
        let workload = self.group.machine.read();
        let planner = &leadership.planner;
        Some(leadership.admission.report(wall_ms, &workload, planner))
    }
}
