//! Answers calls as the leader.

use super::admit;
use super::cancels;
use super::core_node::CoreNode;
use super::departures::log_departures;
use super::detection::Detection;
use super::heartbeats::handle_heartbeat;
use super::records::propose;
use super::shortage;
use super::submission::Submission;
use crate::calls::Answer;
use crate::calls::Call;
use crate::calls::RETRY_AFTER_MS;
use bh_protocol::Code;
use bh_protocol::Failure;
use bh_protocol::Incarnation;
use bh_workload::state::Command;
use bh_workload::state::Place;
use bh_workload::state::Refusal;
use bh_workload::state::Reply;
use bh_workload::state::Worker;
use bh_workload::state::WorkerChange;
use bh_workload::state::Workload;
use std::rc::Rc;

/// Time to wait until a read is confirmed to see the latest state, in milliseconds: one round trip between the cores, with margin for a
/// slow one.
const READ_TIMEOUT_MS: u64 = 1_000;

/// Answers `call`, or returns [`Answer::NotLeader`] if this core does not lead.
///
/// Every call is decided here, on the latest applied rules, and never by an entry. So no process can act on an older version of the rules
/// after another one has shown a newer one.
pub async fn answer_call(core: &Rc<CoreNode>, call: Call) -> Answer {
    if core.leadership.borrow().is_none() || !core.group.is_leader() {
        return Answer::NotLeader;
    }
    admit::note_call(core);
    let submission = Submission::of_call(&core.group.machine.read(), &call);
    let answer = decide_call(core, call).await;
    if let Some(submission) = submission {
        submission.log(core, &answer);
    }
    answer
}

/// Decides `call` as the leader.
async fn decide_call(core: &Rc<CoreNode>, call: Call) -> Answer {
    match call {
        Call::Submit {
            place,
            spec: Ok(spec),
        } => admit::submit(core, place, spec).await,
        Call::Submit {
            place,
            spec: Err(problem),
        } => match confirm_state(core).await {
            Err(answer) => answer,
            Ok(()) => match core.group.machine.read().find(&place) {
                Ok(_) => Answer::Refused(Refusal::BadJob(problem)),
                Err(refusal) => refused(refusal),
            },
        },
        Call::Cancel { place } => cancels::cancel(core, place).await,
        Call::Read { place } => read(core, &place).await,
        Call::Heartbeat(heartbeat) => handle_heartbeat(core, heartbeat).await,
        Call::Leave { worker } => leave(core, &worker).await,
        Call::SetRules(Ok(rules)) => match shortage::check_rules(core, &rules).await {
            Some(answer) => answer,
            None => change(core, Command::SetRules(rules)).await,
        },
        Call::SetRules(Err(problem)) => Answer::Refused(Refusal::BadRules(problem)),
        Call::StartWave(_) if core.config.vm_service_address.is_none() => {
            Answer::Refused(Refusal::NoWave)
        }
        // Here and below, a time of 0 is replaced when the command is proposed.
        Call::StartWave(spec) => change(core, Command::StartWave { spec, now_ms: 0 }).await,
        Call::Evacuate {
            data_centre,
            known_change,
        } => {
            let command = Command::Evacuate {
                data_centre: data_centre.clone(),
                now_ms: 0,
                known_change,
            };
            change_data_centre(core, &data_centre, command).await
        }
        Call::EndEvacuation {
            data_centre,
            known_change,
        } => {
            let command = Command::EndEvacuation {
                data_centre: data_centre.clone(),
                known_change,
            };
            change_data_centre(core, &data_centre, command).await
        }
        Call::GetWave { id } => match confirm_state(core).await {
            Err(answer) => answer,
            Ok(()) => match core.group.machine.read().wave(id) {
                Some(wave) => Answer::Wave {
                    is_over: wave.has_ended(),
                },
                None => Answer::Refused(Refusal::NoWave),
            },
        },
        Call::GetRules => match confirm_state(core).await {
            Err(answer) => answer,
            Ok(()) => match &core.group.machine.read().rules {
                Some(rules) => Answer::Rules(rules.document.clone()),
                None => unavailable(),
            },
        },
    }
}

async fn read(core: &Rc<CoreNode>, place: &Place) -> Answer {
    if let Some(answer) = admit::shed_read(core, place) {
        return answer;
    }
    match confirm_state(core).await {
        Err(answer) => answer,
        Ok(()) => read_state(core, place),
    }
}

/// Handles a worker's announcement that it ends now. The worker is removed from the record once it has certainly ended. Until then it is
/// probed, and recorded as draining, so that no leader gives it new work.
async fn leave(core: &Rc<CoreNode>, worker: &Incarnation) -> Answer {
    let term = core.group.status().term;
    let now_ms = core.clock.now_ms();
    let (worker, removal) = {
        let workload = core.group.machine.read();
        let mut held = core.leadership.borrow_mut();
        let Some(leadership) = held.as_mut() else {
            return Answer::NotLeader;
        };
        let Some(worker) = leaving_incarnation(&workload, worker) else {
            leadership.dispatcher.check_incarnations(worker, &workload);
            return Answer::Done;
        };
        let removal = leadership
            .dispatcher
            .note_announced_end(now_ms, &worker, &workload);
        (worker, removal)
    };
    if let Some(removal) = removal {
        log_departures(core, term, &removal, Detection::Leave);
        return change(core, removal).await;
    }
    log::info!(worker = worker.to_string(), term; "worker leaves with open runs");
    change(
        core,
        Command::Workers(vec![WorkerChange::Draining(worker.clone())]),
    )
    .await
}

/// The recorded incarnation that a leave call refers to; `worker` itself if no incarnation of it is recorded. A call without a start time
/// refers to the draining incarnation only: it may be a delayed call from an earlier incarnation while a later one is still working.
fn leaving_incarnation(workload: &Workload, worker: &Incarnation) -> Option<Incarnation> {
    let lacks_start_time =
        |other: &Worker| worker.started_ms.is_none() && other.info.id.started_ms.is_some();
    let mut incarnations = workload.incarnations(worker).peekable();
    if incarnations.peek().is_none() {
        return Some(worker.clone());
    }
    let leaving = incarnations
        .find(|other| other.info.id == *worker || lacks_start_time(other) && other.draining);
    leaving.map(|leaving| leaving.info.id.clone())
}

/// Records a change of a data centre if the data centre exists. A name that this core's config does not list is known if workers have come
/// from there; if the config lists none, every name is accepted.
async fn change_data_centre(core: &Rc<CoreNode>, name: &str, command: Command) -> Answer {
    let listed = &core.config.data_centres;
    let is_known = listed.is_empty()
        || listed.iter().any(|data_centre| **data_centre == *name)
        || core.group.machine.read().knows_data_centre(name);
    if !is_known {
        return Answer::Refused(Refusal::NoDataCentre);
    }
    change(core, command).await
}

fn unavailable() -> Answer {
    Answer::Unavailable {
        retry_after_ms: RETRY_AFTER_MS,
    }
}

/// Answer for a refusal. Without rules nothing is known about queues; the queue may exist a moment later, so the call can be retried.
pub(super) fn refused(refusal: Refusal) -> Answer {
    match refusal {
        Refusal::NoRules => unavailable(),
        refusal => Answer::Refused(refusal),
    }
}

/// Waits until reads on this core are certain to see every change that was committed before; fails if that takes too long or this core no longer leads.
pub(super) async fn confirm_state(core: &Rc<CoreNode>) -> Result<(), Answer> {
    core.group
        .read(READ_TIMEOUT_MS)
        .await
        .map_err(|_| Answer::NotLeader)
}

/// Records a change in the replicated state and answers the call with the result.
pub(super) async fn change(core: &Rc<CoreNode>, command: Command) -> Answer {
    let reply = propose(core, command).await;
    core.wake();
    match reply {
        Ok(Reply::Refused(refusal)) => refused(refusal),
        Ok(_) => Answer::Done,
        Err(failure) => failed(&failure),
    }
}

/// Answer for a proposal that failed. Without a quorum nothing was recorded, so another core may be asked; else the change may be recorded.
fn failed(failure: &Failure) -> Answer {
    match failure.code {
        Code::NoQuorum => Answer::NotLeader,
        _ => Answer::Unknown,
    }
}

/// Reads the state of a job, or the number of pending jobs if the path names only a queue.
fn read_state(core: &Rc<CoreNode>, place: &Place) -> Answer {
    let workload = core.group.machine.read();
    let found = match workload.find(place) {
        Ok(found) => found,
        Err(refusal) => return refused(refusal),
    };
    if found.rest.is_empty() {
        return Answer::Pending(workload.pending(&found.queue.name));
    }
    match workload.find_job(place) {
        Ok((_, job)) => Answer::State(job.state()),
        Err(refusal) => refused(refusal),
    }
}
