//! Incoming calls of a core: over links from other processes, and over HTTP from workers and operators.

use super::admit::OpenCall;
use super::answer_call::answer_call;
use super::carry;
use super::core_node::CoreNode;
use super::evacuations;
use super::heartbeats;
use crate::calls::Answer;
use crate::calls::Call;
use crate::calls::RETRY_AFTER_MS;
use crate::calls::forward;
use crate::mesh::LinkHandler;
use crate::server;
use bh_group::Formation;
use bh_protocol::wire::RpcKind;
use bh_protocol::wire::RpcRequest;
use bytes::Bytes;
use http::Request;
use http::Response;
use std::rc::Rc;

/// Timeout of a call whose sender does not give one, in milliseconds. Workers and operators try another core after a second.
const DEFAULT_TIMEOUT_MS: u64 = 900;

/// Part of the sender's time limit that is left for the answer to a relayed call to reach the sender, in milliseconds. If a call that was
/// not recorded were answered later than that, its sender would have to take its outcome for unknown.
const RELAY_MARGIN_MS: u64 = 40;

/// Copies of a call of another process while it is carried out: its body, the parsed call, and the record of the change.
const CALL_COPIES: u64 = 3;

/// Creates the handlers for messages that arrive over links.
pub(super) fn link_handler(core: &Rc<CoreNode>) -> LinkHandler {
    let (delivering, answering, telling) = (core.clone(), core.clone(), core.clone());
    LinkHandler {
        deliver: Box::new(move |message| delivering.group.deliver(message)),
        answer: Box::new(move |request| {
            let open = OpenCall::begin(&answering).filter(|_| is_call(&request));
            Box::pin(serve_rpc(answering.clone(), request, open))
        }),
        status: Box::new(move || telling.status()),
    }
}

/// Whether the request is a call that the leader answers, and not one between cores.
fn is_call(request: &RpcRequest) -> bool {
    let others = [RpcKind::Formation, RpcKind::Carry, RpcKind::Signs];
    !others.iter().any(|kind| request.kind == i32::from(*kind))
}

/// Answers a request; `_open` is held until it is answered.
async fn serve_rpc(core: Rc<CoreNode>, request: RpcRequest, _open: Option<OpenCall>) -> Vec<u8> {
    if request.kind == i32::from(RpcKind::Formation) {
        let formation = Formation::of(&core.group, core.mesh.hello().replica);
        return serde_json::to_vec(&formation).unwrap_or_default();
    }
    if request.kind == i32::from(RpcKind::Carry) {
        return carry::carry(&core, &request.body).await;
    }
    if request.kind == i32::from(RpcKind::Signs) {
        heartbeats::handle_relayed(&core, &request.body);
        return Vec::new();
    }
    let bytes = u64::try_from(request.body.len()).unwrap_or(u64::MAX);
    let Ok(_memory) = core.connections.claim(bytes * CALL_COPIES).await else {
        // Nothing was recorded.
        let answer = Answer::Unavailable {
            retry_after_ms: RETRY_AFTER_MS,
        };
        return serde_json::to_vec(&answer).unwrap_or_default();
    };
    let is_relayed = request.kind == i32::from(RpcKind::Relay);
    let answer = match serde_json::from_slice::<Call>(&request.body) {
        Ok(call) if is_relayed => {
            let limit_ms = request.limit_ms.saturating_sub(RELAY_MARGIN_MS).max(1);
            decide(&core, &call, limit_ms).await
        }
        Ok(call) => count_in_progress(&core, answer_call(&core, call)).await,
        Err(error) => {
            log::warn!("a call between processes cannot be read: {error}");
            Answer::Unknown
        }
    };
    serde_json::to_vec(&answer).unwrap_or_default()
}

/// Counts a call as in progress while `work` runs, so that a graceful shutdown waits for it.
async fn count_in_progress<T>(core: &Rc<CoreNode>, work: impl Future<Output = T>) -> T {
    core.in_progress.set(core.in_progress.get() + 1);
    let result = work.await;
    core.in_progress.set(core.in_progress.get() - 1);
    result
}

/// Handles a call of a worker or an operator: answers it if this core leads, and forwards it otherwise.
pub(super) async fn handle(core: Rc<CoreNode>, request: Request<Bytes>) -> Response<Bytes> {
    let _open = OpenCall::begin(&core);
    let received_ms = core.clock.now_ms();
    let uri = request.uri().clone();
    let mut received = match core.parser.parse(request).await {
        Ok(received) => received,
        Err(status) => {
            core.metrics.count("calls_unreadable", 1);
            log::info!(path = uri.path(), status = status.as_u16(); "call not parsed");
            return server::status(status);
        }
    };
    let timeout_ms = received
        .timeout_ms
        .unwrap_or(DEFAULT_TIMEOUT_MS)
        .saturating_sub(core.clock.now_ms() - received_ms);
    let answer = match evacuations::prepare_order(&core, &mut received.call, timeout_ms) {
        Ok(()) => decide(&core, &received.call, timeout_ms).await,
        Err(answer) => answer,
    };
    if let Call::Heartbeat(heartbeat) = &received.call {
        core.undelivered_heartbeats
            .borrow_mut()
            .note(received_ms, heartbeat, &answer);
    }
    (core.dialect.write_answer)(&received.call, &answer)
}

/// Has a call decided by this core if it leads, or else by the leader, within `timeout_ms`.
pub(super) async fn decide(core: &Rc<CoreNode>, call: &Call, timeout_ms: u64) -> Answer {
    let decided = async {
        match answer_call(core, call.clone()).await {
            Answer::NotLeader => handle_as_follower(core, call, timeout_ms).await,
            answer => answer,
        }
    };
    let answer = count_in_progress(core, decided).await;
    log_control(call, &answer);
    answer
}

/// Handles a call while this core does not lead.
async fn handle_as_follower(core: &Rc<CoreNode>, call: &Call, timeout_ms: u64) -> Answer {
    let until_ms = core.clock.now_ms() + timeout_ms;
    if let Call::Heartbeat(heartbeat) = call
        && let Some(answer) = heartbeats::accept_for_leader(core, heartbeat)
    {
        return answer;
    }
    if !matches!(call, Call::SetRules(_) | Call::GetRules) {
        return forward(&core.mesh, call, timeout_ms).await;
    }
    // The rules may take megabytes in each of several copies, here and at the leader, so they are forwarded one at a time.
    let _turn = core.rules_turn.acquire().await;
    let left_ms = until_ms.saturating_sub(core.clock.now_ms());
    forward(&core.mesh, call, left_ms).await
}

fn log_control(call: &Call, answer: &Answer) {
    match call {
        Call::SetRules(Ok(rules)) => {
            log::info!(version = rules.version, answer:? = answer; "rules sent");
        }
        Call::SetRules(Err(problem)) => {
            log::info!(problem = &**problem, answer:? = answer; "unreadable rules sent");
        }
        Call::Evacuate { data_centre, .. } => {
            log::info!(data_centre = &**data_centre, answer:? = answer; "evacuation ordered");
        }
        Call::EndEvacuation { data_centre, .. } => {
            log::info!(data_centre = &**data_centre, answer:? = answer; "end of an evacuation ordered");
        }
        Call::Leave { worker } => {
            log::info!(worker = worker.to_string(), answer:? = answer; "worker leaves");
        }
        Call::Heartbeat(heartbeat) if !matches!(answer, Answer::Heard { .. }) => {
            log::info!(worker = heartbeat.info.id.to_string(), answer:? = answer; "heartbeat not accepted");
        }
        _ => {}
    }
}
