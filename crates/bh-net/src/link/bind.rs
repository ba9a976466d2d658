//! Listens for links.

use monoio::net::ListenerOpts;
use monoio::net::TcpListener;
use std::io;
use std::net::SocketAddr;

/// Listens on `address` for links from other processes, with the system's own buffers: they carry more data than the connections of clients.
///
/// # Errors
///
/// When the address is in use or not the VM's.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    // With port reuse, two processes could listen on the same address and each would get some of the connections.
    let options = ListenerOpts::new().reuse_port(false);
    TcpListener::bind_with_config(address, &options)
}
