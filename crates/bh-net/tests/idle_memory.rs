//! Memory that idle client connections take.

#![expect(
    clippy::unwrap_used,
    reason = "a test that meets the unexpected shall end"
)]

use bh_net::http_client::Connection;
use bh_net::http_client::Pool;
use bh_net::runtime;
use bytes::Bytes;
use http::Request;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;

/// About the number of connections that a leader keeps to 350 workers, two or three each.
const CONNECTIONS: u64 = 800;
/// The epoll registration, the state of the socket and the entry in the pool take about 1 KiB; the rest allows for the allocator.
const MAX_BYTES_PER_CONNECTION: u64 = 4 << 10;
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";

/// Answers one request on each connection and keeps all connections open, without buffers of its own for them.
fn worker(listener: &TcpListener) -> Vec<TcpStream> {
    let mut request = [0; 1_024];
    (0..CONNECTIONS)
        .map(|_| {
            let (mut stream, _) = listener.accept().unwrap();
            let _ = stream.read(&mut request).unwrap();
            stream.write_all(ANSWER).unwrap();
            stream
        })
        .collect()
}

fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap();
    let pages: u64 = text.split(' ').nth(1).unwrap().parse().unwrap();
    pages * PAGE_BYTES
}

async fn exchange(address: SocketAddr) -> Connection {
    let mut connection = Connection::open(address, 1_000).await.unwrap();
    let mut request = Request::new(Bytes::from_static(b"{}"));
    *request.method_mut() = http::Method::POST;
    let answer = connection.send(request, 1_000, 1_024).await.unwrap();
    assert_eq!(answer.status(), 200);
    connection
}

/// Guards against idle connections that keep their buffers. A leader runs on a small VM and keeps connections to every worker. The
/// buffers of the connections to 350 workers once took 60 MB; with more workers the process would have run out of memory.
#[test]
fn idle_connections_hold_no_buffers() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let worker = std::thread::spawn(move || worker(&listener));
    let growth = runtime::run(1, async move {
        let pool = Pool::new().with_max_idle_ms(60_000);
        pool.give_back(address, exchange(address).await, 0);
        let before = resident_bytes();
        let mut connections = Vec::new();
        for _ in 1..CONNECTIONS {
            connections.push(exchange(address).await);
        }
        resident_bytes().saturating_sub(before)
    })
    .unwrap();
    worker.join().unwrap();
    let per_connection = growth / CONNECTIONS;
    assert!(
        per_connection < MAX_BYTES_PER_CONNECTION,
        "{per_connection} bytes per connection"
    );
}
