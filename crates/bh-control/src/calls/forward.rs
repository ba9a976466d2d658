//! Forwards calls to the current leader.

use super::Answer;
use super::Call;
use crate::mesh::Mesh;
use crate::mesh::Peer;
use bh_net::link::CallError;
use bh_net::runtime::sleep_ms;
use bh_net::runtime::within_ms;
use bh_protocol::wire::RpcReply;
use bh_workload::admission::retry_after_ms;
use bh_workload::state::Refusal;
use std::rc::Rc;

/// Time to wait before the same leader is asked again after it lost a call or had no rules yet, in milliseconds: much shorter than an
/// election.
const RETRY_INTERVAL_MS: u64 = 25;
/// Timeout of one attempt, in milliseconds: a commit takes some tens of milliseconds, and a silent link is closed after about as long as
/// this.
const ATTEMPT_TIMEOUT_MS: u64 = 1_200;
/// Time without contact to a leader after which a call is answered at once, in milliseconds. An election takes less, so a process without a
/// leader for longer is cut off, and another entry may serve the caller.
const LEADERLESS_TIMEOUT_MS: u64 = 1_800;
/// When a caller should retry after no leader was found, in milliseconds: about the duration of an election. [`forward`] spreads the time by
/// the names of the calls, so that callers do not retry together.
pub const RETRY_AFTER_MS: u64 = 1_000;

/// Forwards `call` to the leader and returns its answer, within `limit_ms`.
///
/// A call that may have been recorded is repeated until its outcome is known. `Unavailable` is returned only if it was certainly not
/// recorded, since the caller is then told that nothing will run. The same holds for `Busy` and `NoRoom`, which are final: the leader has decided. A call
/// that changes nothing is never recorded, so its caller may retry at once. Nothing is sent after `limit_ms`.
pub async fn forward(mesh: &Rc<Mesh>, call: &Call, limit_ms: u64) -> Answer {
    let Ok(body) = serde_json::to_vec(call) else {
        return Answer::Refused(Refusal::BadJob("the call cannot be written".to_owned()));
    };
    let until_ms = mesh.now_ms() + limit_ms;
    let mut may_be_recorded = false;
    loop {
        let leader = mesh.fresh_leader();
        let asked_term = leader.as_ref().map(|leader| leader.leader_term());
        let left_ms = until_ms.saturating_sub(mesh.now_ms());
        // The process may have stood still since the last attempt, and the sender may have undone the call since then.
        if let Some(leader) = leader.filter(|_| left_ms > 0) {
            let reply = ask(mesh, &leader, body.clone(), left_ms.min(ATTEMPT_TIMEOUT_MS)).await;
            match reply.map(|reply| serde_json::from_slice::<Answer>(&reply.body)) {
                Ok(Ok(Answer::NotLeader)) | Err(CallError::NotSent) => leader.note_not_leading(),
                Ok(Ok(Answer::Unknown)) | Ok(Err(_)) | Err(CallError::Lost) => {
                    may_be_recorded = modifies_state(call);
                }
                Ok(Ok(Answer::Unavailable { .. })) => {}
                Ok(Ok(Answer::Refused(_) | Answer::Busy { .. } | Answer::NoRoom { .. }))
                    if may_be_recorded =>
                {
                    return Answer::Unknown;
                }
                Ok(Ok(answer)) => return answer,
            }
        }
        let now_ms = mesh.now_ms();
        let cut_off = now_ms >= mesh.leader_last_contact_ms() + LEADERLESS_TIMEOUT_MS;
        if cut_off || now_ms + RETRY_INTERVAL_MS >= until_ms {
            return if may_be_recorded {
                Answer::Unknown
            } else {
                Answer::Unavailable {
                    retry_after_ms: retry_after_ms(RETRY_AFTER_MS, &call.name()),
                }
            };
        }
        let current_term = mesh.fresh_term();
        if current_term.is_some() && current_term == asked_term {
            sleep_ms(RETRY_INTERVAL_MS).await;
        } else if current_term.is_none() {
            let deadline_ms = (until_ms - RETRY_INTERVAL_MS)
                .min(mesh.leader_last_contact_ms() + LEADERLESS_TIMEOUT_MS);
            // The next iteration checks whether the time has run out.
            let _ = within_ms(deadline_ms.saturating_sub(now_ms), mesh.leader_change()).await;
        }
    }
}

/// Asks `leader`, and stops waiting once another core leads in a later term.
///
/// A suspended leader answers nothing, and its link is recognized as silent only after its successor is elected. A call that kept waiting
/// for it would be decided later than calls that arrived half a second after it and were decided on newer rules, so an entry would seem to
/// go back to older rules. A repeated call may be recorded already; it is recognized by its name.
async fn ask(
    mesh: &Rc<Mesh>,
    leader: &Rc<Peer>,
    body: Vec<u8>,
    limit_ms: u64,
) -> Result<RpcReply, CallError> {
    let term = leader.leader_term();
    monoio::select! {
        reply = leader.call(leader.leader_call_kind(), body, limit_ms) => reply,
        () = newer_leader(mesh, term) => Err(CallError::Lost),
    }
}

/// Returns once a core is known to lead in a term after `term`.
async fn newer_leader(mesh: &Rc<Mesh>, term: u64) {
    while mesh.fresh_term().is_none_or(|fresh| fresh <= term) {
        mesh.leader_change().await;
    }
}

fn modifies_state(call: &Call) -> bool {
    !matches!(
        call,
        Call::Read { .. } | Call::GetRules | Call::GetWave { .. }
    )
}
