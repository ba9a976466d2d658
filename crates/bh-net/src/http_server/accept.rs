//! Accepts connections of clients.

use super::Limits;
use super::connection;
use crate::connections::Connections;
use crate::connections::KERNEL_BUFFER_BYTES;
use crate::runtime::sleep_ms;
use bytes::Bytes;
use http::Request;
use http::Response;
use monoio::net::ListenerOpts;
use monoio::net::TcpListener;
use rustix::io::Errno;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio_util::sync::CancellationToken;

/// Time to wait after a connection could not be accepted, in milliseconds. Most likely there are no free file descriptors, and connections that
/// close free some.
const ACCEPT_RETRY_MS: u64 = 10;

/// Listens on `address` for clients.
///
/// # Errors
///
/// When the address is in use or not the VM's.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    // With port reuse, two processes could listen on the same address and each would get some of the connections.
    let options = ListenerOpts::new()
        .reuse_port(false)
        .recv_buf_size(KERNEL_BUFFER_BYTES)
        .send_buf_size(KERNEL_BUFFER_BYTES);
    TcpListener::bind_with_config(address, &options)
}

/// How the connections of one listener are served.
#[derive(Clone)]
pub struct Service {
    /// All connections of the process.
    pub connections: Rc<Connections>,
    /// Number of the listener in the table of connections.
    pub listener: u64,
    /// Maximum number of open connections of this listener.
    pub max_open: usize,
    /// Limits of each connection.
    pub limits: Limits,
    /// Once cancelled, connections close after their next answer.
    pub draining: CancellationToken,
    /// Once cancelled, no connection is accepted, and idle ones close.
    pub closing: CancellationToken,
}

impl Service {
    /// Number of open connections of this listener.
    pub fn open(&self) -> usize {
        self.connections.open_at(self.listener)
    }
}

/// Serves connections until `closing` is cancelled. Where there are too many, those that stay open without ending their request give way.
pub async fn accept<F: Future<Output = Response<Bytes>> + 'static>(
    listener: TcpListener,
    service: Service,
    handler: impl Fn(Request<Bytes>) -> F + Clone + 'static,
) {
    loop {
        let next = async {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    if lacks_descriptors(&error) {
                        service.connections.evict_for_connection(None);
                    }
                    sleep_ms(ACCEPT_RETRY_MS).await;
                    return None;
                }
            };
            let connections = &service.connections;
            let slot = connections.add_when_possible(service.listener, service.max_open);
            Some((stream, slot.await))
        };
        let accepted = monoio::select! {
            accepted = next => accepted,
            () = service.closing.cancelled() => return,
        };
        let Some((stream, slot)) = accepted else {
            continue;
        };
        let (service, handler) = (service.clone(), handler.clone());
        monoio::spawn(async move {
            let Service {
                limits,
                draining,
                closing,
                ..
            } = service;
            connection::serve(stream, limits, slot, &draining, &closing, handler).await;
        });
    }
}

/// Whether a connection could not be accepted since too many files and connections are open.
fn lacks_descriptors(error: &io::Error) -> bool {
    matches!(
        Errno::from_io_error(error),
        Some(Errno::MFILE | Errno::NFILE)
    )
}
