//! What a worker's answers mean for its runs.

use super::Answer;
use super::Denial;
use super::Order;
use super::Report;
use super::RunWatch;
use super::StartPhase;
use super::StopPhase;
use super::Target;
use super::order::RETRY_MS;
use super::pacing;
use crate::job::RunId;
use crate::state::Command;
use crate::state::End;
use crate::state::EndKind;
use crate::state::Worker;
use crate::state::Workload;
use bh_protocol::Incarnation;

/// Ends as a command, with the time left for the caller to fill in.
fn ends_command(ends: Vec<End>) -> Option<Command> {
    (!ends.is_empty()).then(|| Command::ends(ends))
}

/// Takes the answer to a start order; returns what must be recorded.
pub(super) fn note_start(
    now_ms: u64,
    target: &mut Target,
    run: RunId,
    worker: &Incarnation,
    answer: &Answer,
) -> Option<Command> {
    let watch = target.runs.get_mut(&run)?;
    let not_started = End {
        run,
        worker: worker.clone(),
        kind: EndKind::NotStarted,
        checkpoint: None,
    };
    match answer {
        Answer::Done { .. } => {
            watch.start = StartPhase::Confirmed { at_ms: now_ms };
            None
        }
        // Nothing was sent: a gang, or another worker, need not wait for the end of a lease.
        Answer::NotListening if !watch.may_have_begun() => {
            watch.settled = true;
            ends_command(vec![not_started])
        }
        // The run was there: its end is listed, or it is fenced off for good. The next look tells which.
        Answer::Denied {
            denial: Denial::Outdated,
            ..
        } => {
            watch.start = StartPhase::Confirmed { at_ms: now_ms };
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
            watch.start = StartPhase::Unsure {
                retry_ms: now_ms + RETRY_MS,
            };
            watch.was_unsure = true;
            None
        }
        Answer::Denied { denial, .. } => {
            watch.was_unsure = watch.may_have_begun();
            let was_unsure = watch.was_unsure;
            watch.start = StartPhase::Unsure {
                retry_ms: now_ms + RETRY_MS,
            };
            watch.give_up = !was_unsure;
            watch.refused_ms = was_unsure.then_some(now_ms);
            if *denial == Denial::Unhealthy || *denial == Denial::NoRoom {
                target.set_aside(now_ms);
            }
            // An earlier send may have been carried out: the next report tells, or a confirmed stop.
            if was_unsure {
                return None;
            }
            if let Some(watch) = target.runs.get_mut(&run) {
                watch.settled = true;
            }
            ends_command(vec![not_started])
        }
    }
}

/// Takes a worker's report; returns the ends to record.
pub(super) fn note_report(
    now_ms: u64,
    order: &Order,
    target: &mut Target,
    (workload, worker): (&Workload, &Worker),
    report: &Report,
) -> Option<Command> {
    for running in &report.running {
        if let Some(watch) = target.runs.get_mut(&running.run) {
            if !matches!(watch.start, StartPhase::Confirmed { .. }) {
                watch.start = StartPhase::Confirmed { at_ms: now_ms };
            }
            if running.percent != watch.percent {
                watch.percent = running.percent;
                watch.progress_ms = now_ms;
            }
            watch.seen_ms = Some(now_ms);
            watch.load = running.load;
            if running.checkpoint.is_some() {
                watch.checkpoint = running.checkpoint.clone();
            }
        } else if !worker.runs.contains_key(&running.run) {
            // Nothing recorded: a copy of an order that came after its run had been given up. It is stopped like any other.
            let mut watch = RunWatch::new(StartPhase::Confirmed { at_ms: now_ms }, now_ms);
            watch.give_up = true;
            target.runs.insert(running.run, watch);
        }
    }
    pacing::adjust(now_ms, target, worker, workload);
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
        let seen = target
            .runs
            .get(&ended.run)
            .and_then(|watch| watch.checkpoint.clone());
        ends.push(End {
            run: ended.run,
            worker: order.to.worker.clone(),
            kind: ended.kind,
            checkpoint: ended.checkpoint.clone().or(seen),
        });
    }
    if !report.more {
        ends.extend(missing(order, target, worker, report));
    }
    target.runs.retain(|run, _| {
        worker.runs.contains_key(run) || report.running.iter().any(|r| r.run == *run)
    });
    let newest = report.ended.last().map_or(0, |ended| ended.number);
    let late_failures = late_failures(target, report);
    if ends.is_empty() {
        return None;
    }
    target.recording_to = Some(newest);
    Some(Command::Ends {
        ends,
        now_ms: 0,
        crash: None,
        late_failures,
    })
}

/// Listed failures of runs that had been taken to be over. They count like any other: a gang that fails whenever it runs would be begun once too often.
/// But those whose lease has run out since count as lost with it, for the worker too. Before its first grant a leader does not know that.
fn late_failures(target: &mut Target, report: &Report) -> Vec<RunId> {
    let failed = |run: &RunId| {
        let mut ended = report.ended.iter();
        ended.any(|ended| ended.run == *run && ended.kind == EndKind::Failed)
    };
    // What is listed is kept until that is recorded: the plan counts it as a possible failure until then.
    target.unsaid.retain(|run| {
        let runs = report.running.iter().any(|running| running.run == *run);
        runs || report.ended.iter().any(|ended| ended.run == *run)
    });
    let in_lease = target.granted_ms == 0
        || target
            .clock
            .is_some_and(|clock| clock.worker_ms <= target.granted_ms);
    let unsaid = target.unsaid.iter().copied();
    unsaid.filter(|run| in_lease && failed(run)).collect()
}

/// Runs that the worker neither runs nor lists as ended though it must: it had confirmed the start, or a stop, before it was looked at.
fn missing(order: &Order, target: &Target, worker: &Worker, report: &Report) -> Vec<End> {
    let listed = |run: &RunId| {
        report.running.iter().any(|running| running.run == *run)
            || report.ended.iter().any(|ended| ended.run == *run)
    };
    target
        .runs
        .iter()
        .filter(|(run, _)| worker.runs.contains_key(run) && !listed(run))
        .filter(|(_, watch)| {
            let stopped =
                matches!(watch.stop, StopPhase::Confirmed { at_ms } if at_ms < order.sent_ms);
            let started =
                matches!(watch.start, StartPhase::Confirmed { at_ms } if at_ms < order.sent_ms);
            stopped || started
        })
        .map(|(run, watch)| End {
            run: *run,
            worker: order.to.worker.clone(),
            kind: EndKind::NotStarted,
            checkpoint: watch.checkpoint.clone(),
        })
        .collect()
}
