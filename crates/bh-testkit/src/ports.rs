//! Finds free ports on the loopback address.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

/// First port of the range. The range lies below the ports that the system gives to outgoing connections: one of those
/// could otherwise occupy a port after it is chosen here and before it is used.
const FIRST_PORT: u16 = 12_000;
/// Number of ports in the range.
const PORT_COUNT: u16 = 18_000;
/// Distance between the first ports of processes with consecutive ids, so that concurrent test binaries seldom choose the
/// same ports.
const STRIDE: u32 = 97;

static NEXT_STEP: AtomicU16 = AtomicU16::new(0);
/// UDP sockets on the ports that this process has chosen, held until it ends. Nothing uses UDP here: the sockets tell other
/// processes that choose ports at the same time, such as a soak beside the tests, that a port is reserved although nothing
/// listens on it yet.
static RESERVED: Mutex<Vec<UdpSocket>> = Mutex::new(Vec::new());

/// Returns different addresses that nothing listens on, and reserves their ports until this process ends.
///
/// # Panics
///
/// When the range has no free port left.
pub fn free(count: usize) -> Vec<SocketAddr> {
    let offset =
        u16::try_from(std::process::id().wrapping_mul(STRIDE) % u32::from(PORT_COUNT)).unwrap_or(0);
    let mut addresses = Vec::with_capacity(count);
    for _ in 0..PORT_COUNT {
        if addresses.len() == count {
            return addresses;
        }
        let step = NEXT_STEP.fetch_add(1, Ordering::SeqCst) % PORT_COUNT;
        let port = FIRST_PORT + (offset + step) % PORT_COUNT;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let Ok(reservation) = UdpSocket::bind(address) else {
            continue;
        };
        if TcpListener::bind(address).is_ok() {
            addresses.push(address);
            let mut reserved = RESERVED.lock().unwrap_or_else(PoisonError::into_inner);
            reserved.push(reservation);
        }
    }
    panic!("no {count} free ports");
}
