//! Workers that restarted under the same id.

use super::Order;
use super::Report;
use super::RunState;
use super::StopPhase;
use super::Target;
use super::answers::not_displaced;
use super::crash::sound_runs;
use super::crash::suspects;
use super::departure::gone_command;
use super::departure::is_leaving;
use crate::job::RunId;
use crate::state::Command;
use crate::state::End;
use crate::state::Suspect;
use crate::state::Workload;
use bh_protocol::Incarnation;
use std::collections::BTreeSet;

/// State kept after another incarnation of a worker answered in place of the recorded one.
///
/// Both incarnations accept orders at the same address under the same id, so an order for the earlier one that is still in flight is
/// carried out by the later one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Restart {
    /// Start time of the later incarnation, in milliseconds since 1970 by the worker's clock.
    pub started_ms: u64,
    /// When the later incarnation first answered, on the leader's clock in milliseconds.
    pub detected_ms: u64,
    /// Runs of the earlier incarnation that the later one reports as running or ended, so their start orders reached the later one.
    pub reported_runs: BTreeSet<RunId>,
    /// Runs that may have crashed the earlier incarnation.
    pub suspects: Vec<Suspect>,
}

/// Processes a report of a later incarnation of a worker; returns what must be recorded.
///
/// The recorded incarnation and its runs have ended. However, a start order for one of these runs may have reached the later incarnation,
/// or may still reach it. Such a run has ended only once the later incarnation has confirmed a stop of it, which makes it refuse later
/// start orders for the run, and no longer reports it as running.
pub(super) fn note_restart(
    now_ms: u64,
    order: &Order,
    target: &mut Target,
    (id, workload): (&Incarnation, &Workload),
    (started_ms, report): (u64, &Report),
) -> Option<Command> {
    /// Interval between probes of the later incarnation, in milliseconds.
    const PROBE_INTERVAL_MS: u64 = 50;
    let is_new_restart = target
        .restart
        .as_ref()
        .is_none_or(|restart| restart.started_ms != started_ms);
    if is_new_restart {
        let suspects = match target.restart.take() {
            Some(restart) => restart.suspects,
            None => suspects(now_ms, target, workload, is_leaving(id, workload)),
        };
        for run_state in target.runs.values_mut() {
            run_state.stop = StopPhase::None;
        }
        target.restart = Some(Restart {
            started_ms,
            detected_ms: now_ms,
            reported_runs: BTreeSet::new(),
            suspects,
        });
    }
    let worker = workload.worker(id)?;
    let restart = target.restart.as_mut()?;
    let running = report.running.iter().map(|running| running.run);
    let ended = report.ended.iter().map(|ended| ended.run);
    let is_recorded = |run: &RunId| worker.runs.contains_key(run);
    restart
        .reported_runs
        .extend(running.clone().chain(ended).filter(is_recorded));
    target.next_probe_ms = now_ms + PROBE_INTERVAL_MS;
    let ends: Vec<End> = report
        .ended
        .iter()
        .filter(|ended| is_recorded(&ended.run))
        .map(|ended| End {
            run: ended.run,
            worker: id.clone(),
            kind: ended.kind,
            checkpoint: ended.checkpoint.clone(),
        })
        .collect();
    if !ends.is_empty() {
        return Some(Command::Ends {
            not_displaced: not_displaced(target, &ends),
            cleared: sound_runs(target, &ends, workload),
            ends,
            // The caller fills in the time.
            now_ms: 0,
            crash: None,
            late_failures: Vec::new(),
            exonerated: Vec::new(),
        });
    }
    let running: BTreeSet<RunId> = running.collect();
    let has_ended = |(run, run_state): (&RunId, &RunState)| {
        let is_stopped =
            matches!(run_state.stop, StopPhase::Confirmed { at_ms } if at_ms < order.sent_ms);
        !is_recorded(run)
            || !run_state.may_reach_later_incarnation()
            || is_stopped && !running.contains(run)
    };
    let all_ended = target.runs.iter().all(has_ended);
    (all_ended && target.note_gone(now_ms)).then(|| gone_command(now_ms, id, target, workload))
}
