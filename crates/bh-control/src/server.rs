//! Accepts and serves HTTP connections.

use bh_net::http_server;
use bh_net::http_server::Limits;
use bh_net::runtime::sleep_ms;
use bh_protocol::Code;
use bh_protocol::Failure;
use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use monoio::net::ListenerOpts;
use monoio::net::TcpListener;
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio_util::sync::CancellationToken;

/// Time after which an idle connection is closed, in milliseconds.
const IDLE_TIMEOUT_MS: u64 = 60_000;
/// Time to wait after a connection could not be accepted, in milliseconds.
const ACCEPT_RETRY_MS: u64 = 10;

/// Listens on `address`.
///
/// # Errors
///
/// [`Code::BadConfigFile`] when the address is in use or not the VM's.
pub fn bind(address: SocketAddr) -> Result<TcpListener, Failure> {
    // Without this, two processes could listen on the same address and each would get some of the connections.
    let options = ListenerOpts::new().reuse_port(false);
    TcpListener::bind_with_config(address, &options).map_err(|error| {
        Failure::new(
            Code::BadConfigFile,
            format!("{address} cannot be listened on: {error}"),
        )
    })
}

/// Creates a response without a body.
pub fn status(status: StatusCode) -> Response<Bytes> {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = status;
    response
}

/// Serves connections until `closing` is cancelled, at most `max_open` at a time; `open` counts the open ones.
pub async fn serve<F: Future<Output = Response<Bytes>> + 'static>(
    listener: TcpListener,
    closing: CancellationToken,
    (open, max_open): (Rc<Cell<usize>>, usize),
    handler: impl Fn(Request<Bytes>) -> F + Clone + 'static,
) {
    let limits = Limits::new(IDLE_TIMEOUT_MS);
    loop {
        let accepted = monoio::select! {
            accepted = listener.accept() => accepted,
            () = closing.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else {
            sleep_ms(ACCEPT_RETRY_MS).await;
            continue;
        };
        if open.get() >= max_open {
            log::warn!(open = open.get(); "a connection was refused: too many are open");
            continue;
        }
        open.set(open.get() + 1);
        let (closing, open, handler) = (closing.clone(), open.clone(), handler.clone());
        monoio::spawn(async move {
            http_server::serve(stream, limits, &closing, &closing, handler).await;
            open.set(open.get() - 1);
        });
    }
}
