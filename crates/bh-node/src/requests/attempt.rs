//! One attempt to run a short request on one target.

use super::short_request::ShortRequest;
use crate::node::Node;
use bh_net::http_client::Connection;
use bh_net::http_client::SendError;
use bh_protocol::request;
use bh_router::AttemptOutcome;
use bytes::Bytes;
use http::Request;
use http::Response;
use std::net::SocketAddr;

/// Largest answer of a target that is returned to the caller, in bytes.
const MAX_ANSWER_BYTES: u64 = 16 << 20;

/// Sends the request to the target and reads the complete answer. `left_ms` is the time until the caller's deadline.
pub(super) async fn run(
    node: &Node,
    short_request: &ShortRequest,
    id: u64,
    address: &str,
    timeout_ms: u64,
    left_ms: u64,
) -> (AttemptOutcome, Option<Response<Bytes>>) {
    let Ok(address) = address.parse::<SocketAddr>() else {
        return (AttemptOutcome::NotConnected, None);
    };
    let Some(http_request) = build(short_request, id, address, left_ms) else {
        return (AttemptOutcome::Unused, None);
    };
    let mut connection = match open(node, short_request, address, timeout_ms).await {
        Ok(connection) => connection,
        Err(_) => return (AttemptOutcome::NotConnected, None),
    };
    let result = connection
        .send(http_request, timeout_ms, MAX_ANSWER_BYTES)
        .await;
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
            // A middlebox that dropped this connection has likely dropped the other idle connections to the target too.
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

/// Returns a connection to the target. A non-idempotent request gets a new one: the target may just have closed an idle
/// connection, and a request lost on it could not be sent again.
async fn open(
    node: &Node,
    short_request: &ShortRequest,
    address: SocketAddr,
    timeout_ms: u64,
) -> Result<Connection, SendError> {
    if short_request.idempotent
        && let Some(connection) = node.pool.take(address, node.clock.now_ms())
    {
        return Ok(connection);
    }
    let limit_ms = node.config.target_connect_ms.min(timeout_ms);
    let connection = Connection::open(address, limit_ms).await?;
    Ok(connection.with_memory_of(node.callers.connections.clone()))
}

fn build(
    short_request: &ShortRequest,
    id: u64,
    address: SocketAddr,
    left_ms: u64,
) -> Option<Request<Bytes>> {
    let mut builder = Request::builder()
        .method("POST")
        .uri("/v1/run")
        .header("host", address.to_string())
        .header("x-customer", &*short_request.customer)
        .header("x-request-type", &*short_request.request_type)
        .header(request::REQUEST_ID, id.to_string())
        .header(request::DEADLINE_MS, left_ms.to_string());
    if !short_request.idempotent {
        builder = builder.header(request::IDEMPOTENCY_KEY, &*short_request.key);
    }
    if let Some(content_type) = &short_request.content_type {
        builder = builder.header("content-type", content_type);
    }
    builder.body(short_request.body.clone()).ok()
}

/// Whether the answer echoes this request's id. Otherwise a target that answers late or out of order on a reused
/// connection could give one caller the answer to another caller's request.
fn belongs_to(response: &Response<Bytes>, id: u64) -> bool {
    let echoed = response.headers().get(request::REQUEST_ID);
    echoed.is_some_and(|value| value.as_bytes() == id.to_string().as_bytes())
}
