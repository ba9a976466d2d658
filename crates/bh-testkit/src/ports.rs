//! Free ports on the loopback address.

use std::net::SocketAddr;
use std::net::TcpListener;

/// Addresses that nobody listens on, all different.
///
/// # Panics
///
/// When the system has no free port.
pub fn free(count: usize) -> Vec<SocketAddr> {
    let listeners: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind("127.0.0.1:0").expect("no free port on the loopback address"))
        .collect();
    listeners
        .iter()
        .map(|listener| {
            listener
                .local_addr()
                .expect("a bound listener has an address")
        })
        .collect()
}
