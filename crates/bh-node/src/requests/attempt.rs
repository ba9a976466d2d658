//! One attempt on one target.

use super::work::Work;
use crate::node::Node;
use bh_net::http_client::Connection;
use bh_net::http_client::SendError;
use bh_protocol::request;
use bh_router::AttemptOutcome;
use bytes::Bytes;
use http::Request;
use http::Response;
use std::net::SocketAddr;

/// Largest answer of a target that is passed on, in bytes.
const MAX_ANSWER_BYTES: u64 = 16 << 20;

/// Sends the request to the target and reads its whole answer.
pub(super) async fn run(
    node: &Node,
    work: &Work,
    id: u64,
    address: &str,
    limit_ms: u64,
    left_ms: u64,
) -> (AttemptOutcome, Option<Response<Bytes>>) {
    let Ok(address) = address.parse::<SocketAddr>() else {
        return (AttemptOutcome::NotConnected, None);
    };
    let Some(request) = build(work, id, address, left_ms) else {
        return (AttemptOutcome::Unused, None);
    };
    let mut connection = match open(node, work, address, limit_ms).await {
        Ok(connection) => connection,
        Err(_) => return (AttemptOutcome::NotConnected, None),
    };
    let result = connection.send(request, limit_ms, MAX_ANSWER_BYTES).await;
    match result {
        Ok(response) if !belongs_to(&response, id) => (AttemptOutcome::Lost, None),
        Ok(response) => {
            node.pool
                .give_back(address, connection, node.clock.now_ms());
            let outcome = if response.status().is_server_error() {
                AttemptOutcome::Failed
            } else {
                AttemptOutcome::Answered
            };
            (outcome, Some(response))
        }
        Err(error) => {
            // A middlebox that forgot this connection has likely forgotten the others to the same target.
            node.pool.forget(address);
            (
                if error.nothing_sent() {
                    AttemptOutcome::NotConnected
                } else {
                    AttemptOutcome::Lost
                },
                None,
            )
        }
    }
}

/// A connection to the target. A non-idempotent request gets a fresh one: an idle one may have been closed by the
/// target just now, and a request lost in it could not be sent again.
async fn open(
    node: &Node,
    work: &Work,
    address: SocketAddr,
    limit_ms: u64,
) -> Result<Connection, SendError> {
    if work.idempotent
        && let Some(connection) = node.pool.take(address, node.clock.now_ms())
    {
        return Ok(connection);
    }
    Connection::open(address, node.config.target_connect_ms.min(limit_ms)).await
}

fn build(work: &Work, id: u64, address: SocketAddr, left_ms: u64) -> Option<Request<Bytes>> {
    let mut builder = Request::builder()
        .method("POST")
        .uri("/v1/run")
        .header("host", address.to_string())
        .header("x-customer", &*work.customer)
        .header("x-request-type", &*work.request_type)
        .header(request::REQUEST_ID, id.to_string())
        .header(request::DEADLINE_MS, left_ms.to_string());
    if !work.idempotent {
        builder = builder.header(request::IDEMPOTENCY_KEY, &*work.key);
    }
    if let Some(content_type) = &work.content_type {
        builder = builder.header("content-type", content_type);
    }
    builder.body(work.body.clone()).ok()
}

/// Whether the answer names this request. A target that answers late or out of order on a shared connection would
/// otherwise hand one caller the answer of another.
fn belongs_to(response: &Response<Bytes>, id: u64) -> bool {
    let echoed = response.headers().get(request::REQUEST_ID);
    echoed.is_some_and(|value| value.as_bytes() == id.to_string().as_bytes())
}
