//! Hands requests to other entries.

use super::final_answer::AnswerHead;
use super::final_answer::FinalAnswer;
use super::work::Work;
use crate::node::Node;
use crate::node::into_result;
use bh_net::link::CallError;
use bh_protocol::Code;
use bh_protocol::Executed;
use bh_protocol::Failure;
use bh_protocol::wire::RpcKind;
use bytes::Bytes;
use std::rc::Rc;

/// Time added to the wait for another entry, in milliseconds, so that its own answer at the deadline arrives first.
const ANSWER_SLACK_MS: u64 = 50;

/// What came of handing a request on.
pub(super) enum Handed {
    /// It has its final answer.
    Answer(FinalAnswer),
    /// The other entry did not run it.
    Refused,
}

/// Hands the request to another entry.
pub(super) async fn hand_on(node: &Rc<Node>, work: &Work, entry: &str, left_ms: u64) -> Handed {
    let Some(peer) = node.peers.get(entry).cloned() else {
        return Handed::Refused;
    };
    let handed = Work {
        left_ms,
        ..work.clone()
    };
    let Ok(head) = serde_json::to_string(&handed) else {
        return Handed::Refused;
    };
    let result = peer
        .call(
            RpcKind::RunRequest,
            "",
            head,
            work.body.to_vec(),
            left_ms + ANSWER_SLACK_MS,
        )
        .await;
    match result.map(into_result) {
        Ok(Ok((label, body))) => Handed::Answer(answered(&label, body)),
        Ok(Err(failure)) if is_refusal_of_entry(&failure) => Handed::Refused,
        Ok(Err(failure)) => Handed::Answer(FinalAnswer::Failed(failure)),
        Err(CallError::NotSent) => Handed::Refused,
        // The other entry may have sent it to a target. An idempotent request may run again.
        Err(CallError::Lost) if work.idempotent => Handed::Refused,
        Err(CallError::Lost) => Handed::Answer(FinalAnswer::Failed(Failure::new(
            Code::OutcomeUnknown,
            format!("entry {entry} did not answer"),
        ))),
    }
}

/// Whether the failure is about the other entry rather than the request: another one may do better.
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
            "another entry's answer could not be read",
        )),
    }
}
