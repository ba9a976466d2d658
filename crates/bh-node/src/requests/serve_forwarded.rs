//! Runs requests that other entries forwarded to this one.

use super::execute::execute;
use super::final_answer::AnswerHead;
use super::final_answer::FinalAnswer;
use super::short_request::ShortRequest;
use crate::node::Node;
use crate::node::from_json;
use bh_protocol::Code;
use bh_protocol::Failure;
use bh_protocol::wire::RpcRequest;
use bytes::Bytes;
use std::rc::Rc;

/// Copies of a body while its request runs: one here, and one in the encoder that sends it to a target.
const COPIES: u64 = 2;

/// Runs a request that another entry forwarded to this one.
///
/// # Errors
///
/// The failure that the request ended with.
pub async fn serve_forwarded(
    node: &Rc<Node>,
    request: RpcRequest,
) -> Result<(String, Vec<u8>), Failure> {
    let bytes = u64::try_from(request.body.len()).unwrap_or(u64::MAX);
    let connections = &node.callers.connections;
    // The entry that forwarded it may ask another one.
    let _memory = connections
        .claim(bytes.saturating_mul(COPIES))
        .await
        .map_err(|_| Failure::new(Code::Overloaded, "no memory for the request"))?;
    let mut short_request: ShortRequest = from_json(request.head.as_bytes())?;
    short_request.body = Bytes::from(request.body);
    match execute(node, short_request, true).await {
        FinalAnswer::Answered {
            status,
            content_type,
            body,
        } => {
            let head = serde_json::to_string(&AnswerHead {
                status,
                content_type,
            })
            .map_err(|error| Failure::new(Code::Internal, error.to_string()))?;
            Ok((head, body.to_vec()))
        }
        FinalAnswer::Failed(failure) => Err(failure),
    }
}
