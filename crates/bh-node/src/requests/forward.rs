//! Forwards short requests to other entries.

use super::final_answer::AnswerHead;
use super::final_answer::FinalAnswer;
use super::short_request::ShortRequest;
use crate::node::Node;
use crate::node::into_result;
use bh_net::link::CallError;
use bh_protocol::Code;
use bh_protocol::Executed;
use bh_protocol::Failure;
use bh_protocol::wire::RpcKind;
use bytes::Bytes;
use std::rc::Rc;

/// Time added to the wait for another entry, in milliseconds, so that the answer it sends at the deadline still arrives.
const ANSWER_SLACK_MS: u64 = 50;

/// Result of forwarding a request.
pub(super) enum ForwardOutcome {
    /// The request has its final answer.
    Answer(FinalAnswer),
    /// The other entry did not run the request, or the request may run again.
    Refused,
}

/// Forwards the request to another entry and waits for the answer.
pub(super) async fn forward_request(
    node: &Rc<Node>,
    request: &ShortRequest,
    entry: &str,
    left_ms: u64,
) -> ForwardOutcome {
    let Some(peer) = node.peers.get(entry).cloned() else {
        return ForwardOutcome::Refused;
    };
    let forwarded = ShortRequest {
        left_ms,
        ..request.clone()
    };
    let Ok(head) = serde_json::to_string(&forwarded) else {
        return ForwardOutcome::Refused;
    };
    let result = peer
        .call(
            RpcKind::RunRequest,
            "",
            head,
            request.body.to_vec(),
            left_ms + ANSWER_SLACK_MS,
        )
        .await;
    match result.map(into_result) {
        Ok(Ok((label, body))) => ForwardOutcome::Answer(answered(&label, body)),
        Ok(Err(failure)) if is_refusal_of_entry(&failure) => ForwardOutcome::Refused,
        Ok(Err(failure)) => ForwardOutcome::Answer(FinalAnswer::Failed(failure)),
        Err(CallError::NotSent) => ForwardOutcome::Refused,
        // The other entry may have sent the request to a target. An idempotent request may run again.
        Err(CallError::Lost) if request.idempotent => ForwardOutcome::Refused,
        Err(CallError::Lost) => ForwardOutcome::Answer(FinalAnswer::Failed(Failure::new(
            Code::OutcomeUnknown,
            format!("entry {entry} did not answer"),
        ))),
    }
}

/// Whether the failure concerns the other entry rather than the request, so that a third entry may succeed.
fn is_refusal_of_entry(failure: &Failure) -> bool {
    let about_load = matches!(
        failure.code,
        Code::Overloaded | Code::NoTarget | Code::Draining
    );
    about_load && failure.code.executed() == Executed::No
}

fn answered(label: &str, body: Vec<u8>) -> FinalAnswer {
    match serde_json::from_str::<AnswerHead>(label) {
        Ok(head) => FinalAnswer::Answered {
            status: head.status,
            content_type: head.content_type,
            body: Bytes::from(body),
        },
        Err(_) => FinalAnswer::Failed(Failure::new(
            Code::OutcomeUnknown,
            "the answer of another entry could not be parsed",
        )),
    }
}
