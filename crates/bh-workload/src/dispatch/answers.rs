//! Applies a worker's answers to its runs.

use super::Answer;
use super::Denial;
use super::Order;
use super::Report;
use super::RunState;
use super::StartPhase;
use super::StopPhase;
use super::Target;
use super::crash::sound_runs;
use super::order::RETRY_MS;
use super::pacing;
use crate::job::RunId;
use crate::state::Command;
use crate::state::End;
use crate::state::EndKind;
use crate::state::Worker;
use crate::state::Workload;
use bh_protocol::Incarnation;

/// The command that records `ends`, if there are any. The caller fills in the time.
fn ends_command(ends: Vec<End>) -> Option<Command> {
    (!ends.is_empty()).then(|| Command::ends(ends))
}

/// Processes the answer to a start order; returns what must be recorded.
pub(super) fn note_start(
    now_ms: u64,
    target: &mut Target,
    run: RunId,
    worker: &Incarnation,
    answer: &Answer,
) -> Option<Command> {
    let run_state = target.runs.get_mut(&run)?;
    let not_started = End {
        run,
        worker: worker.clone(),
        kind: EndKind::NotStarted,
        checkpoint: None,
    };
    match answer {
        Answer::Done { .. } => {
            run_state.start = StartPhase::Confirmed { at_ms: now_ms };
            None
        }
        // Nothing was sent, so the run ends now: its gang or its next attempt need not wait until the lease expires.
        Answer::NotListening if !run_state.may_have_started() => {
            run_state.recording_end = true;
            ends_command(vec![not_started])
        }
        // The worker has had the run: its end is listed, or the worker refuses it for good. The next probe tells which.
        Answer::Denied {
            denial: Denial::Outdated,
            ..
        } => {
            run_state.start = StartPhase::Confirmed { at_ms: now_ms };
            None
        }
        // A report has shown meanwhile that the worker has the run, or has had it.
        Answer::Lost | Answer::NotListening | Answer::CarrierLost
            if matches!(run_state.start, StartPhase::Confirmed { .. }) =>
        {
            run_state.was_unconfirmed = true;
            None
        }
        Answer::Denied {
            denial: Denial::Fenced,
            ..
        }
        | Answer::Lost
        | Answer::NotListening
        | Answer::CarrierLost
        | Answer::OtherIncarnation
        | Answer::Restarted { .. } => {
            run_state.start = StartPhase::Unsure {
                retry_ms: now_ms + RETRY_MS,
            };
            run_state.was_unconfirmed = true;
            None
        }
        Answer::Denied { denial, .. } => {
            run_state.was_unconfirmed = run_state.may_have_started();
            // If no earlier send can have been carried out, the run never started, and its end is recorded.
            let was_unconfirmed = run_state.was_unconfirmed;
            run_state.start = StartPhase::Unsure {
                retry_ms: now_ms + RETRY_MS,
            };
            run_state.stop_requested = !was_unconfirmed;
            run_state.start_refused_ms = was_unconfirmed.then_some(now_ms);
            if *denial == Denial::Unhealthy || *denial == Denial::NoRoom {
                target.set_aside(now_ms);
            }
            // An earlier send may have been carried out: the next report tells, or a confirmed stop.
            if was_unconfirmed {
                return None;
            }
            if let Some(run_state) = target.runs.get_mut(&run) {
                run_state.recording_end = true;
            }
            ends_command(vec![not_started])
        }
    }
}

/// Processes a worker's report; returns the ends to record.
pub(super) fn note_report(
    now_ms: u64,
    order: &Order,
    target: &mut Target,
    (workload, worker): (&Workload, &Worker),
    report: &Report,
) -> Option<Command> {
    for running in &report.running {
        if let Some(run_state) = target.runs.get_mut(&running.run) {
            if !matches!(run_state.start, StartPhase::Confirmed { .. }) {
                run_state.start = StartPhase::Confirmed { at_ms: now_ms };
            }
            if running.percent != run_state.percent {
                run_state.percent = running.percent;
                run_state.progress_ms = now_ms;
            }
            run_state.last_reported_ms = Some(now_ms);
            run_state.load = running.load;
            if running.checkpoint.is_some() {
                run_state.checkpoint = running.checkpoint.clone();
            }
        } else if !worker.runs.contains_key(&running.run) {
            // The run is not recorded: a delayed copy of its start order arrived after the run had ended. It is stopped like any other run.
            let mut run_state = RunState::new(StartPhase::Confirmed { at_ms: now_ms }, now_ms);
            run_state.stop_requested = true;
            target.runs.insert(running.run, run_state);
        }
    }
    pacing::adjust_fill_pace(now_ms, target, worker, workload);
    let mut ends: Vec<End> = Vec::new();
    for ended in &report.ended {
        if ended.number <= target.recorded_to {
            continue;
        }
        match ended.kind {
            EndKind::Done => target.note_success(),
            EndKind::Failed => target.note_failure(now_ms, ended.run.task.step.job),
            _ => {}
        }
        // Its start must not be sent again while the end is being recorded: a restarted worker would carry it out.
        if let Some(run_state) = target.runs.get_mut(&ended.run)
            && !matches!(run_state.start, StartPhase::Confirmed { .. })
        {
            run_state.start = StartPhase::Confirmed { at_ms: now_ms };
        }
        let last_checkpoint = target
            .runs
            .get(&ended.run)
            .and_then(|run_state| run_state.checkpoint.clone());
        ends.push(End {
            run: ended.run,
            worker: order.to.worker.clone(),
            kind: ended.kind,
            checkpoint: ended.checkpoint.clone().or(last_checkpoint),
        });
    }
    // If more ends follow, a run that this report lacks may be among them.
    if !report.more {
        ends.extend(ends_of_missing_runs(order, target, worker, report));
    }
    let not_displaced = not_displaced(target, &ends);
    let cleared = sound_runs(target, &ends, workload);
    target.runs.retain(|run, _| {
        worker.runs.contains_key(run) || report.running.iter().any(|r| r.run == *run)
    });
    let last_number = report.ended.last().map_or(0, |ended| ended.number);
    let late_failures = late_failures(target, report);
    if ends.is_empty() {
        return None;
    }
    target.recording_to = Some(last_number);
    Some(Command::Ends {
        ends,
        // The caller fills in the time.
        now_ms: 0,
        crash: None,
        late_failures,
        not_displaced,
        cleared,
        exonerated: Vec::new(),
    })
}

/// Runs among `ends` that were stopped for another reason than to make room for other work.
pub(super) fn not_displaced(target: &Target, ends: &[End]) -> Vec<RunId> {
    let stopped = ends.iter().filter(|end| end.kind == EndKind::Stopped);
    stopped
        .map(|end| end.run)
        .filter(|run| {
            let run_state = target.runs.get(run);
            run_state.is_some_and(|run_state| !run_state.may_be_displaced())
        })
        .collect()
}

/// Reported failures of runs that are recorded as lost. They count like any other failure: otherwise a gang that always fails would be
/// started once too often. A failure does not count if the lease has expired since, because the run then counts as lost with it, for the
/// worker too. Before its first grant a leader does not know whether the lease has expired, and counts the failure.
fn late_failures(target: &mut Target, report: &Report) -> Vec<RunId> {
    let failed = |run: &RunId| {
        let mut ended = report.ended.iter();
        ended.any(|ended| ended.run == *run && ended.kind == EndKind::Failed)
    };
    // A listed run is kept until its end is recorded: until then the planner counts it as a possible failure.
    target.presumed_lost.retain(|run| {
        let is_running = report.running.iter().any(|running| running.run == *run);
        is_running || report.ended.iter().any(|ended| ended.run == *run)
    });
    let in_lease = target.granted_until_ms == 0
        || target
            .clock
            .is_some_and(|clock| clock.worker_ms <= target.granted_until_ms);
    let presumed_lost = target.presumed_lost.iter().copied();
    presumed_lost
        .filter(|run| in_lease && failed(run))
        .collect()
}

/// Ends of runs that the worker reports neither as running nor as ended, although it had confirmed the start or a stop before the probe was
/// sent.
fn ends_of_missing_runs(
    order: &Order,
    target: &Target,
    worker: &Worker,
    report: &Report,
) -> Vec<End> {
    let listed = |run: &RunId| {
        report.running.iter().any(|running| running.run == *run)
            || report.ended.iter().any(|ended| ended.run == *run)
    };
    target
        .runs
        .iter()
        .filter(|(run, _)| worker.runs.contains_key(run) && !listed(run))
        .filter(|(_, run_state)| {
            let stopped =
                matches!(run_state.stop, StopPhase::Confirmed { at_ms } if at_ms < order.sent_ms);
            let started =
                matches!(run_state.start, StartPhase::Confirmed { at_ms } if at_ms < order.sent_ms);
            stopped || started
        })
        .map(|(run, run_state)| End {
            run: *run,
            worker: order.to.worker.clone(),
            kind: EndKind::NotStarted,
            checkpoint: run_state.checkpoint.clone(),
        })
        .collect()
}
