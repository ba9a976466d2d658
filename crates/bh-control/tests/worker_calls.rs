//! Calls to workers and their timeouts.
#![expect(
    clippy::unwrap_used,
    reason = "a test that meets the unexpected shall end"
)]

use bh_control::core::WorkerCalls;
use bh_net::Clock;
use bh_net::http_client::SendError;
use bh_net::runtime;
use bytes::Bytes;
use http::Request;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

/// Timeout of a call, in milliseconds.
const TIMEOUT_MS: u64 = 500;
/// Time after which the worker closes the kept-alive connection, in milliseconds.
const CLOSE_AFTER_MS: u64 = 400;

/// Reads one request without a body.
fn read_request(stream: &mut TcpStream) {
    let mut request = Vec::new();
    let mut byte = [0];
    while !request.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).unwrap();
        request.push(byte[0]);
    }
}

/// Answers one request, closes the connection while the next one waits, and answers nothing on any later connection.
fn answer_once(listener: &TcpListener) {
    let (mut first, _) = listener.accept().unwrap();
    read_request(&mut first);
    first
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        .unwrap();
    read_request(&mut first);
    thread::sleep(Duration::from_millis(CLOSE_AFTER_MS));
    drop(first);
    let _silent = listener.accept().unwrap();
    thread::sleep(Duration::from_millis(2 * TIMEOUT_MS));
}

fn request() -> Request<Bytes> {
    let mut request = Request::new(Bytes::new());
    *request.uri_mut() = "/-/hold".parse().unwrap();
    request
}

/// A core carries an order to a lost worker. The sender waits no longer than the timeout and the time for the carrier; if the answer came
/// later, the carrier would count as lost, and the worker would never be found silent.
#[test]
fn a_call_takes_no_longer_than_its_limit() {
    /// Margin for late timers on a busy machine, in milliseconds.
    const TIMER_MARGIN_MS: u64 = 100;
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || answer_once(&listener));
    runtime::run(1, async move {
        let clock = Clock::new();
        let calls = WorkerCalls::new(clock.clone(), 1_024);
        calls.send(address, request(), TIMEOUT_MS).await.unwrap();
        let from_ms = clock.now_ms();
        let answer = calls.send(address, request(), TIMEOUT_MS).await;
        let took_ms = clock.now_ms() - from_ms;
        assert!(answer.is_err());
        assert!(took_ms <= TIMEOUT_MS + TIMER_MARGIN_MS, "took {took_ms} ms");
    })
    .unwrap();
}

/// Answers one request, closes the connection once the next one has arrived, and stops listening.
fn answer_once_and_end(listener: TcpListener) {
    let (mut first, _) = listener.accept().unwrap();
    read_request(&mut first);
    first
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        .unwrap();
    read_request(&mut first);
    drop(listener);
    drop(first);
}

/// Guards against a start that counts as not sent because nothing listens at the worker's address any more, although it was sent over a
/// kept-alive connection before.
#[test]
fn a_call_that_was_sent_before_it_was_refused_says_so() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || answer_once_and_end(listener));
    runtime::run(1, async move {
        let calls = WorkerCalls::new(Clock::new(), 1_024);
        calls.send(address, request(), TIMEOUT_MS).await.unwrap();
        let sent = calls.send(address, request(), TIMEOUT_MS).await;
        assert!(sent.is_err_and(|why| why.error == SendError::Refused && why.repeated));
        let unsent = calls.send(address, request(), TIMEOUT_MS).await;
        assert!(unsent.is_err_and(|why| why.error == SendError::Refused && !why.repeated));
    })
    .unwrap();
}
