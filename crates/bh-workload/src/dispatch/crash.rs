//! Which runs may have crashed a worker.

use super::RunState;
use super::StartPhase;
use super::Target;
use crate::job::RunId;
use crate::state::Evidence;
use crate::state::Suspect;
use crate::state::Workload;

/// Time at work, as the worker reports it, from which a run is no longer one that has just begun, in milliseconds. What crashes its worker
/// by its start does so within a fraction of it, and a report comes every second or two.
const JUST_BEGUN_MS: u64 = 1_000;
/// Time after the worker's word that it has a run, in milliseconds, within which it must be lost for the run to be suspected of crashing it
/// by its start. A process that crashes breaks its connections off, which shows within some milliseconds.
const AT_ONCE_MS: u64 = 400;
/// Time at work after which a run is no suspect at all, in milliseconds. It is far above the time in which a start does its harm, and below
/// what most long jobs run: these must not be given up because, over hours, some of their workers crashed for other reasons.
const OUTLASTED_MS: u64 = 30_000;

/// Minimum time from the crash of a worker until its next incarnation answers, in milliseconds.
const MIN_RESTART_MS: u64 = 150;
/// Last attempt of a task whose run is not suspected if another incarnation answers within [`MIN_RESTART_MS`] of its first start order. The limit
/// ensures that a task is given up if it crashes workers that restart faster than that.
const MAX_UNSUSPECTED_ATTEMPTS: u32 = 8;

/// How long a run must have been at work until other runs may begin beside it again, in milliseconds, when `crashes` workers have crashed under its
/// task. Were others begun beside it sooner, they would be lost with it if it crashes its worker, and nothing would tell which of them did.
/// After two crashes that proved nothing it may be one that crashes its worker later on.
pub fn isolation_ms(crashes: u32) -> u64 {
    match crashes {
        0 => 0,
        1 => JUST_BEGUN_MS,
        _ => OUTLASTED_MS,
    }
}

impl RunState {
    /// How long the run had been at work when its worker last reported it, in milliseconds.
    pub fn at_work_ms(&self) -> u64 {
        match (self.start, self.last_reported_ms) {
            (StartPhase::Confirmed { at_ms }, Some(last_reported_ms)) => {
                last_reported_ms.saturating_sub(at_ms)
            }
            _ => 0,
        }
    }

    /// Whether the worker said that it has the run, or has had it.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed_ms().is_some()
    }

    /// When the worker confirmed the start, on the leader's clock in milliseconds.
    pub fn confirmed_ms(&self) -> Option<u64> {
        match self.start {
            StartPhase::Confirmed { at_ms } => Some(at_ms),
            _ => None,
        }
    }

    /// Whether it surely began at `since_ms` or later. When a run began whose order once had no answer is not known.
    fn began_since(&self, since_ms: u64) -> bool {
        !self.was_unsure
            && matches!(self.start, StartPhase::Confirmed { at_ms } if at_ms >= since_ms)
    }

    /// Whether the start order of an unconfirmed run is taken to have been sent after the worker crashed: another incarnation answered at `now_ms`, sooner
    /// than the worker could have restarted.
    fn was_sent_after_crash(&self, now_ms: u64, attempt: u32) -> bool {
        !self.is_confirmed()
            && attempt <= MAX_UNSUSPECTED_ATTEMPTS
            && self
                .first_sent_ms
                .is_some_and(|sent_ms| now_ms < sent_ms + MIN_RESTART_MS)
    }

    /// Whether it may have begun, and was not yet seen at work for long.
    pub fn has_just_started(&self) -> bool {
        self.start != StartPhase::Unsent && self.at_work_ms() < JUST_BEGUN_MS
    }
}

/// The runs that may have crashed the worker behind `target`.
///
/// A worker that crashed tells nothing any more; what remains is what it had answered before. A run that was never ordered is no suspect,
/// nor one that was seen at work for long. A start without an answer may never have come to the worker: where another run had surely just
/// begun, that one is the cause. Behind a cut a run may have ended well before the worker crashed for another reason, so where the silence
/// did not begin at once nothing is certain. An unconfirmed run whose start was first sent less than [`MIN_RESTART_MS`] before another incarnation answered
/// is not a suspect in the first [`MAX_UNSUSPECTED_ATTEMPTS`] attempts of its task: the worker had crashed before the start arrived.
///
/// A worker that said that it leaves may have left; only what it began at the very last may have crashed it before.
pub(super) fn suspects(
    now_ms: u64,
    target: &Target,
    workload: &Workload,
    leaving: bool,
) -> Vec<Suspect> {
    let silent_ms = target.silent_since_ms.unwrap_or(now_ms);
    let since_ms = silent_ms.saturating_sub(AT_ONCE_MS);
    // A run whose lease has just run out is in both until that is recorded.
    let lapsed = || {
        let lapsed = target.expired_runs.iter();
        lapsed.filter(|(run, _)| !target.runs.contains_key(run))
    };
    let runs = || target.runs.iter().chain(lapsed());
    let alone = |run: &RunId| {
        runs()
            .filter(|(_, run_state)| run_state.has_just_started())
            .all(|(other, _)| are_together(workload, run, other))
    };
    let evidence = |run: &RunId, run_state: &RunState| {
        if !run_state.is_confirmed() || !target.ended_abruptly() {
            Evidence::Possible
        } else if !run_state.began_since(since_ms) {
            Evidence::Present
        } else if alone(run) {
            Evidence::Alone
        } else {
            Evidence::JustBegun
        }
    };
    let mut suspects: Vec<Suspect> = runs()
        .filter(|(_, run_state)| run_state.start != StartPhase::Unsent)
        .filter(|(run, run_state)| !run_state.was_sent_after_crash(now_ms, run.attempt))
        .filter(|(_, run_state)| run_state.at_work_ms() < OUTLASTED_MS)
        .map(|(run, run_state)| Suspect {
            run: *run,
            evidence: evidence(run, run_state),
        })
        .collect();
    let cause_is_known = suspects.iter().any(Suspect::had_just_begun);
    suspects.retain(|suspect| match suspect.evidence {
        Evidence::Possible => !cause_is_known && !leaving,
        Evidence::Present => !leaving,
        Evidence::JustBegun | Evidence::Alone => true,
    });
    if leaving {
        for suspect in &mut suspects {
            suspect.evidence = Evidence::Possible;
        }
    }
    suspects
}

/// Whether two runs are one, or members of one gang.
fn are_together(workload: &Workload, run: &RunId, other: &RunId) -> bool {
    let step = run.task.step;
    let gang = || workload.step_spec(step).is_some_and(|spec| spec.gang);
    run == other || step == other.task.step && gang()
}
