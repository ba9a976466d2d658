//! A crowd of clients that send the same bytes, stop short of the end and stay connected.

use crate::http_raw;
use crate::http_raw::RawAnswer;
use std::io::ErrorKind;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

const POLL: Duration = Duration::from_millis(20);
/// Time without any progress after which clients count as held up by the server.
const MAX_STANDSTILL: Duration = Duration::from_secs(3);
/// Longest time for a crowd to send everything.
const MAX_SENDING: Duration = Duration::from_secs(120);

/// What a client of a crowd sends: the head, then `block` again and again.
#[derive(Clone, Debug)]
pub struct Script {
    /// First bytes.
    pub head: Vec<u8>,
    /// Repeated bytes.
    pub block: Vec<u8>,
    /// Number of bytes to send after the head; the last block may be cut.
    pub bytes: usize,
    /// Longest write.
    pub write_bytes: usize,
}

/// Clients that run until they are dropped.
pub struct Crowd {
    shared: Arc<Shared>,
    clients: Vec<JoinHandle<Option<TcpStream>>>,
}

#[derive(Default)]
struct Shared {
    stop: AtomicBool,
    sent_bytes: AtomicU64,
    settled: AtomicUsize,
}

impl Crowd {
    /// Connects `count` clients to `address`; each sends `script` on its own.
    pub fn start(address: SocketAddr, count: usize, script: &Script) -> Crowd {
        Crowd::start_each(address, vec![script.clone(); count])
    }

    /// Connects a client to `address` for each script.
    pub fn start_each(address: SocketAddr, scripts: Vec<Script>) -> Crowd {
        let shared = Arc::new(Shared::default());
        let clients = scripts.into_iter().map(|script| {
            let shared = shared.clone();
            thread::spawn(move || {
                let stream = send(address, &script, &shared);
                shared.settled.fetch_add(1, Ordering::SeqCst);
                stream
            })
        });
        let clients = clients.collect();
        Crowd { shared, clients }
    }

    /// Waits until every client has sent all, was disconnected, or is held up by the server. Calls `sample` meanwhile.
    pub fn wait_until_settled(&self, mut sample: impl FnMut()) {
        let start = Instant::now();
        let mut last = (0, Instant::now());
        while self.shared.settled.load(Ordering::SeqCst) < self.clients.len()
            && start.elapsed() < MAX_SENDING
            && last.1.elapsed() < MAX_STANDSTILL
        {
            sample();
            let sent_bytes = self.shared.sent_bytes.load(Ordering::SeqCst);
            if sent_bytes != last.0 {
                last = (sent_bytes, Instant::now());
            }
            thread::sleep(POLL);
        }
        sample();
    }

    /// Ends the sending; returns the connections that were opened, also those that the server has closed.
    pub fn into_streams(mut self) -> Vec<Option<TcpStream>> {
        self.shared.stop.store(true, Ordering::SeqCst);
        let clients = std::mem::take(&mut self.clients);
        clients
            .into_iter()
            .map(|client| client.join().unwrap_or(None))
            .collect()
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::SeqCst);
        for client in std::mem::take(&mut self.clients) {
            // A client that panicked has already printed why.
            let _ = client.join();
        }
    }
}

/// Sends a script; returns the connection, if it could be opened, also if the server closed it.
fn send(address: SocketAddr, script: &Script, shared: &Shared) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_write_timeout(Some(POLL)).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut left = script.bytes;
    if !write(&mut stream, &script.head, shared) {
        return Some(stream);
    }
    // Blocks are written many at a time, so that small ones do not take a write each.
    let repeats = (script.write_bytes / script.block.len().max(1)).max(1);
    let blocks = script.block.repeat(repeats);
    while left > 0 {
        let count = left.min(blocks.len());
        if !write(&mut stream, &blocks[..count], shared) {
            return Some(stream);
        }
        left -= count;
    }
    Some(stream)
}

/// Writes all bytes; returns `false` if the server closed the connection or the crowd ends.
fn write(stream: &mut TcpStream, bytes: &[u8], shared: &Shared) -> bool {
    let mut at = 0;
    while at < bytes.len() {
        if shared.stop.load(Ordering::SeqCst) {
            return false;
        }
        match stream.write(&bytes[at..]) {
            Ok(count) => {
                at += count;
                let count = u64::try_from(count).unwrap_or(0);
                shared.sent_bytes.fetch_add(count, Ordering::SeqCst);
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => return false,
        }
    }
    true
}

/// Sends `rest` on the connection of a client and reads the answer, if there is one.
pub fn finish(stream: &mut TcpStream, rest: &[u8], limit: Duration) -> Option<RawAnswer> {
    stream.set_read_timeout(Some(limit)).ok()?;
    // A server that has refused the request may have closed the connection; its answer can still be read.
    let _ = stream.write_all(rest);
    http_raw::read_answer(stream)
}
