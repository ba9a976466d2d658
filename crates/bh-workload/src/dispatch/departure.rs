//! The command that is recorded when a worker is gone.

use super::Restart;
use super::Target;
use super::crash::sound_runs;
use super::crash::suspects;
use crate::state::Command;
use crate::state::Crash;
use crate::state::End;
use crate::state::EndKind;
use crate::state::WorkerChange;
use crate::state::Workload;
use bh_protocol::Incarnation;

/// Whether a worker is recorded as leaving.
pub(super) fn is_leaving(id: &Incarnation, workload: &Workload) -> bool {
    workload.worker(id).is_some_and(|worker| worker.draining)
}

/// The command that records a worker as gone. Unless the worker had announced that it leaves, or its VM is in upkeep, it is recorded as
/// crashed. The cause of the crash (a task, the VM, a power failure of the rack) is not visible here; [`Evidence`](crate::state::Evidence)
/// describes what is known of each suspected run.
pub(super) fn gone_command(
    now_ms: u64,
    id: &Incarnation,
    target: &Target,
    workload: &Workload,
) -> Command {
    let leaving = is_leaving(id, workload);
    let suspects = match &target.restart {
        // A run that reached the later incarnation cannot have crashed the earlier one.
        Some(Restart {
            reported_runs,
            suspects,
            ..
        }) => {
            let suspects = suspects.iter().filter(|s| !reported_runs.contains(&s.run));
            suspects.copied().collect()
        }
        None => suspects(now_ms, target, workload, leaving),
    };
    // A core of an older version recorded the worker without its start time, so the first reported start time is not evidence of a crash.
    let is_first_start_time = id.started_ms.is_none() && target.restart.is_some();
    let announced = target.announced_end
        || is_first_start_time
        || leaving && suspects.is_empty()
        || workload.is_in_upkeep(id);
    if announced {
        return Command::Workers(vec![WorkerChange::Gone(id.clone())]);
    }
    let recorded = workload.worker(id).into_iter();
    let ends: Vec<End> = recorded
        .flat_map(|worker| worker.runs.keys())
        .map(|run| End {
            run: *run,
            worker: id.clone(),
            kind: EndKind::Lost,
            checkpoint: target
                .runs
                .get(run)
                .and_then(|run_state| run_state.checkpoint.clone()),
        })
        .collect();
    Command::Ends {
        cleared: sound_runs(target, &ends, workload),
        ends,
        now_ms: 0,
        crash: Some(Crash {
            worker: id.clone(),
            suspects,
        }),
        late_failures: Vec::new(),
        exonerated: Vec::new(),
        not_displaced: Vec::new(),
    }
}
