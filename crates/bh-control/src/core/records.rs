//! Commands that the leader replicates.

use super::core_node::CoreNode;
use super::departures::log_given_up;
use bh_group::encode;
use bh_protocol::Code;
use bh_protocol::Failure;
use bh_protocol::Incarnation;
use bh_workload::dispatch::RecordOutcome;
use bh_workload::state::Command;
use bh_workload::state::Reply;
use std::collections::BTreeSet;
use std::rc::Rc;

/// Time to wait for a commit, in milliseconds. A command that takes longer may still be committed, and then shows in the replicated state.
pub(super) const RECORD_TIMEOUT_MS: u64 = 3_000;

/// Where a recorded command comes from.
#[derive(Clone, Copy, Debug)]
pub(super) struct Origin {
    /// Term of the leader that records it. A later leader is not told of the result.
    pub term: u64,
    /// Highest number up to which a worker listed the ends in it; `None` for ends that no worker listed.
    pub listed_to: Option<u64>,
}

/// Replicates a command of the leader itself, and passes the result to the dispatcher.
pub(super) fn record(core: &Rc<CoreNode>, command: Command, origin: Origin) {
    let core = core.clone();
    monoio::spawn(async move {
        let workers: BTreeSet<Incarnation> = match &command {
            Command::Ends { ends, .. } => ends.iter().map(|end| end.worker.clone()).collect(),
            _ => BTreeSet::new(),
        };
        let suspects = match &command {
            Command::Ends {
                crash: Some(crash), ..
            } => crash.suspects.clone(),
            _ => Vec::new(),
        };
        let result = propose(&core, command).await;
        log_given_up(&core, &suspects);
        if let Err(failure) = &result {
            log::warn!(core = &*core.config.name; "not recorded: {failure}");
        }
        if let Some(leadership) = core.leadership.borrow_mut().as_mut()
            && leadership.term == origin.term
        {
            let dispatcher = &mut leadership.dispatcher;
            for worker in workers {
                dispatcher.note_recorded(&worker, origin.listed_to, outcome(&result));
            }
        }
        core.wake();
    });
}

fn outcome(result: &Result<Reply, Failure>) -> RecordOutcome {
    match result {
        Ok(_) => RecordOutcome::Recorded,
        Err(failure) if failure.code == Code::NoQuorum => RecordOutcome::NotRecorded,
        Err(_) => RecordOutcome::Unknown,
    }
}

/// Replicates a command with the current wall time filled in.
///
/// # Errors
///
/// Those of [`bh_group::Group::propose`].
pub(super) async fn propose(core: &Rc<CoreNode>, command: Command) -> Result<Reply, Failure> {
    let now_ms = core.wall_ms();
    let command = command.at(now_ms);
    let bytes = encode(&command)?;
    let time_update = core.group.machine.read().time_update(&command, now_ms);
    if let Some(time_update) = time_update {
        core.group.propose_unanswered(encode(&time_update)?);
    }
    let began_ms = core.clock.now_ms();
    let reply = core.group.propose(bytes, RECORD_TIMEOUT_MS).await?;
    let took_ms = core.clock.now_ms().saturating_sub(began_ms);
    core.metrics.time_ms("record", took_ms);
    bh_group::decode(&reply)
}
