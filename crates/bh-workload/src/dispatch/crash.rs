//! Finds the runs that may have crashed a worker.

use super::RunState;
use super::StartPhase;
use super::Target;
use crate::job::RunId;
use crate::job::StepSpec;
use crate::state::End;
use crate::state::Evidence;
use crate::state::Suspect;
use crate::state::Workload;

/// Reported run time from which a run no longer counts as just started, in milliseconds. A run that crashes its worker at its start does so
/// within a fraction of this time, and a report comes every second or two.
const JUST_STARTED_MS: u64 = 1_000;
/// Time after the confirmation of a start, in milliseconds, within which the worker must be lost for the run to be suspected of crashing it
/// at its start. When a process crashes its connections break, which shows within some milliseconds.
const START_CRASH_WINDOW_MS: u64 = 400;
/// Run time from which a run is not a suspect at all, in milliseconds. It is far above the time in which a start does its harm, and below
/// the run time of most long jobs: these must not be given up because some of their workers crash for other reasons over hours.
const MAX_SUSPECT_RUN_TIME_MS: u64 = 30_000;
/// The same for a task of a service, which must be restarted however its runs end. It is far above the time in which a start does its harm.
const MAX_SUSPECT_SERVICE_RUN_TIME_MS: u64 = 5_000;

/// Minimum time from the crash of a worker until its next incarnation answers, in milliseconds.
const MIN_RESTART_MS: u64 = 150;
/// Last attempt of a task whose run is not suspected if another incarnation answers within [`MIN_RESTART_MS`] of its first start order. The limit
/// ensures that a task is given up if it crashes workers that restart faster than that.
const MAX_UNSUSPECTED_ATTEMPTS: u32 = 8;

/// Run time until which no other runs may start beside a run, in milliseconds, when `crashes` workers have crashed under its task. If other
/// runs started beside it sooner, they would be lost with it if it crashed its worker, and nothing would tell which run caused the crash.
/// After two crashes without proof, the task may be one that crashes its worker some time after its start. `spec` is that of its step.
pub fn isolation_ms(crashes: u32, spec: Option<&StepSpec>) -> u64 {
    match crashes {
        0 => 0,
        1 => JUST_STARTED_MS,
        _ => max_suspect_run_time_ms(spec),
    }
}

/// Run time from which a run is no suspect of a crash, in milliseconds.
fn max_suspect_run_time_ms(spec: Option<&StepSpec>) -> u64 {
    if spec.is_some_and(|spec| spec.long_running) {
        MAX_SUSPECT_SERVICE_RUN_TIME_MS
    } else {
        MAX_SUSPECT_RUN_TIME_MS
    }
}

impl RunState {
    /// Run time when the worker last reported the run, in milliseconds.
    pub fn run_time_ms(&self) -> u64 {
        match (self.start, self.last_reported_ms) {
            (StartPhase::Confirmed { at_ms }, Some(last_reported_ms)) => {
                last_reported_ms.saturating_sub(at_ms)
            }
            _ => 0,
        }
    }

    /// Whether the worker confirmed that it has the run, or has had it.
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

    /// Whether it certainly started at `since_ms` or later. The start time of a run is unknown if a start order for it once had no answer.
    fn started_since(&self, since_ms: u64) -> bool {
        !self.was_unconfirmed
            && matches!(self.start, StartPhase::Confirmed { at_ms } if at_ms >= since_ms)
    }

    /// Whether the start order of an unconfirmed run counts as sent after the crash of the worker: another incarnation answered at
    /// `now_ms`, sooner than the worker could have restarted.
    fn was_sent_after_crash(&self, now_ms: u64, attempt: u32) -> bool {
        !self.is_confirmed()
            && attempt <= MAX_UNSUSPECTED_ATTEMPTS
            && self
                .first_sent_ms
                .is_some_and(|sent_ms| now_ms < sent_ms + MIN_RESTART_MS)
    }

    /// Whether it may have started and has not been reported as running for long.
    pub fn has_just_started(&self) -> bool {
        self.start != StartPhase::Unsent && self.run_time_ms() < JUST_STARTED_MS
    }
}

/// The runs that may have crashed the worker of `target`.
///
/// A crashed worker reports nothing any more; only its earlier answers are known. A run that was never ordered is not a suspect, nor is one
/// that had been running for long. A start order without an answer may never have reached the worker: if another run had certainly just
/// started, that run is the cause. If the worker was cut off, a run may have ended well before the worker crashed for another reason; so
/// nothing is certain unless the silence began at the moment of the crash. An unconfirmed run whose start was first sent less than
/// [`MIN_RESTART_MS`] before another incarnation answered is not a suspect in the first [`MAX_UNSUSPECTED_ATTEMPTS`] attempts of its task:
/// the worker had crashed before the start arrived.
///
/// A worker that announced that it leaves may have left without a crash. Only a run that started at the very last may have crashed it
/// before.
pub(super) fn suspects(
    now_ms: u64,
    target: &Target,
    workload: &Workload,
    leaving: bool,
) -> Vec<Suspect> {
    let silent_ms = target.silent_since_ms.unwrap_or(now_ms);
    let since_ms = silent_ms.saturating_sub(START_CRASH_WINDOW_MS);
    // A run whose lease has just expired is in both maps until its end is recorded.
    let expired_runs = || {
        let expired_runs = target.expired_runs.iter();
        expired_runs.filter(|(run, _)| !target.runs.contains_key(run))
    };
    let runs = || target.runs.iter().chain(expired_runs());
    let is_alone = |run: &RunId| {
        runs()
            .filter(|(_, run_state)| run_state.has_just_started())
            .all(|(other, _)| are_same_or_in_one_gang(workload, run, other))
    };
    let evidence = |run: &RunId, run_state: &RunState| {
        if !run_state.is_confirmed() || !target.ended_abruptly() {
            Evidence::Possible
        } else if !run_state.started_since(since_ms) {
            Evidence::Present
        } else if is_alone(run) {
            Evidence::Alone
        } else {
            Evidence::JustBegun
        }
    };
    let mut suspects: Vec<Suspect> = runs()
        .filter(|(_, run_state)| run_state.start != StartPhase::Unsent)
        .filter(|(run, run_state)| !run_state.was_sent_after_crash(now_ms, run.attempt))
        .filter(|(run, run_state)| !has_worked_soundly(run, run_state, workload))
        .map(|(run, run_state)| Suspect {
            run: *run,
            evidence: evidence(run, run_state),
        })
        .collect();
    let cause_is_known = suspects.iter().any(Suspect::had_just_started);
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

/// Whether a run had worked for so long that it is no suspect of a crash.
fn has_worked_soundly(run: &RunId, run_state: &RunState, workload: &Workload) -> bool {
    let spec = workload.step_spec(run.task.step);
    run_state.run_time_ms() >= max_suspect_run_time_ms(spec)
}

/// Runs among `ends` that had worked soundly and clear their tasks of crashes counted before.
pub(super) fn sound_runs(target: &Target, ends: &[End], workload: &Workload) -> Vec<RunId> {
    let runs = ends.iter().map(|end| end.run);
    let is_sound = |run: &RunId| {
        let task = workload.task(run.task);
        let run_state = target.runs.get(run);
        task.is_some_and(|task| task.all_crashes() > 0)
            && run_state.is_some_and(|run_state| has_worked_soundly(run, run_state, workload))
    };
    runs.filter(is_sound).collect()
}

/// Whether two runs are the same, or members of the same gang.
fn are_same_or_in_one_gang(workload: &Workload, run: &RunId, other: &RunId) -> bool {
    let step = run.task.step;
    let gang = || workload.step_spec(step).is_some_and(|spec| spec.gang);
    run == other || step == other.task.step && gang()
}
