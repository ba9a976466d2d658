//! Free ports on the loopback address.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

/// Ports are taken from below the range that the system gives to outgoing connections: one of those could otherwise
/// take a port between its choice here and its use.
const FIRST: u16 = 12_000;
const COUNT: u16 = 18_000;
/// Ports that one process steps over at its start, so that test binaries that run side by side seldom meet.
const STRIDE: u32 = 97;

static NEXT: AtomicU16 = AtomicU16::new(0);
/// Datagram sockets on the ports that were given out, held until the process ends. Nothing here uses datagrams: they tell other processes that choose
/// ports at the same time, such as a soak beside the tests, that a port is taken though nobody listens on it yet.
static GIVEN: Mutex<Vec<UdpSocket>> = Mutex::new(Vec::new());

/// Addresses that nobody listens on, all different.
///
/// # Panics
///
/// When the range has no free port left.
pub fn free(count: usize) -> Vec<SocketAddr> {
    let offset =
        u16::try_from(std::process::id().wrapping_mul(STRIDE) % u32::from(COUNT)).unwrap_or(0);
    let mut addresses = Vec::with_capacity(count);
    for _ in 0..COUNT {
        if addresses.len() == count {
            return addresses;
        }
        let step = NEXT.fetch_add(1, Ordering::SeqCst) % COUNT;
        let port = FIRST + (offset + step) % COUNT;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let Ok(mark) = UdpSocket::bind(address) else {
            continue;
        };
        if TcpListener::bind(address).is_ok() {
            addresses.push(address);
            let mut given = GIVEN.lock().unwrap_or_else(PoisonError::into_inner);
            given.push(mark);
        }
    }
    panic!("no {count} free ports");
}
