//! Listens for connections of clients and of other processes.

use bh_net::connections::Connections;
use bh_net::http_server;
use bh_net::http_server::Limits;
use bh_net::http_server::Service;
use bh_net::http_server::parse_cost;
use bh_net::link;
use bh_protocol::Code;
use bh_protocol::Failure;
use bytes::Bytes;
use http::Response;
use http::StatusCode;
use monoio::net::TcpListener;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio_util::sync::CancellationToken;

/// Time after which an idle connection is closed, in milliseconds.
const IDLE_TIMEOUT_MS: u64 = 60_000;
/// Maximum number of connections at a time of a listener that is not for calls.
const MAX_SIDE_CONNECTIONS: usize = 16;
/// Maximum size of a body at a listener that is not for calls, in bytes; its requests need none.
const MAX_SIDE_BODY_BYTES: u64 = 64 << 10;

/// Listens on `address` for clients.
///
/// # Errors
///
/// [`Code::BadConfigFile`] when the address is in use or not the VM's.
pub fn bind(address: SocketAddr) -> Result<TcpListener, Failure> {
    http_server::bind(address).map_err(|error| not_listening(address, &error))
}

/// Listens on `address` for links from other processes.
///
/// # Errors
///
/// [`Code::BadConfigFile`] when the address is in use or not the VM's.
pub fn bind_links(address: SocketAddr) -> Result<TcpListener, Failure> {
    link::bind(address).map_err(|error| not_listening(address, &error))
}

fn not_listening(address: SocketAddr, error: &io::Error) -> Failure {
    Failure::new(
        Code::BadConfigFile,
        format!("{address} cannot be listened on: {error}"),
    )
}

/// Creates a response without a body.
pub fn status(status: StatusCode) -> Response<Bytes> {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = status;
    response
}

/// How calls are served until `closing` is cancelled.
pub fn for_calls(connections: &Rc<Connections>, closing: CancellationToken) -> Service {
    Service {
        connections: connections.clone(),
        listener: connections.add_listener(),
        max_open: connections.limits().max_open,
        limits: Limits::new(IDLE_TIMEOUT_MS),
        draining: closing.clone(),
        closing,
    }
}

/// How calls are served whose bodies are documents of any number of values, until `closing` is cancelled.
pub fn for_documents(connections: &Rc<Connections>, closing: CancellationToken) -> Service {
    let limits = Limits::new(IDLE_TIMEOUT_MS);
    Service {
        limits: limits.with_parse_bytes(|_, body| parse_cost::of_document(body)),
        ..for_calls(connections, closing)
    }
}

/// How readiness checks or an operator's requests are served until `closing` is cancelled.
pub fn for_side_requests(connections: &Rc<Connections>, closing: CancellationToken) -> Service {
    Service {
        max_open: MAX_SIDE_CONNECTIONS,
        limits: Limits::new(IDLE_TIMEOUT_MS).with_max_body_bytes(MAX_SIDE_BODY_BYTES),
        ..for_calls(connections, closing)
    }
}
