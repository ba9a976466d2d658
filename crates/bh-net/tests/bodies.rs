//! Bodies that a server reads: framings, limits, and what other tasks and connections notice of them.
#![expect(
    clippy::unwrap_used,
    reason = "a test that meets the unexpected shall end"
)]

use bh_net::Clock;
use bh_net::connections::ConnectionLimits;
use bh_net::connections::Connections;
use bh_net::http_client::Connection;
use bh_net::http_client::SendError;
use bh_net::http_server;
use bh_net::http_server::Limits;
use bh_net::http_server::Service;
use bh_net::http_server::parse_cost;
use bh_net::runtime;
use bytes::Bytes;
use http::Request;
use http::Response;
use rstest::rstest;
use std::cell::Cell;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::rc::Rc;
use std::thread;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

const TIMEOUT: Duration = Duration::from_secs(20);
const MAX_BODY_BYTES: u64 = 1 << 20;

/// Serves connections that are answered with the length of their bodies and the first bytes, until `client` has ended.
fn with_server<T: Send + 'static>(
    limits: ConnectionLimits,
    client: impl FnOnce(SocketAddr) -> T + Send + 'static,
) -> (T, Rc<Connections>) {
    runtime::run(1, async move {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = http_server::bind(any).unwrap();
        let address = listener.local_addr().unwrap();
        let connections = Connections::new(Clock::new(), limits);
        let service = Service {
            connections: connections.clone(),
            listener: connections.add_listener(),
            max_open: usize::MAX,
            limits: Limits::new(10_000).with_max_body_bytes(MAX_BODY_BYTES),
            draining: CancellationToken::new(),
            closing: CancellationToken::new(),
        };
        monoio::spawn(http_server::accept(
            listener,
            service,
            |request: Request<Bytes>| async move {
                let body = request.body();
                let first = String::from_utf8_lossy(&body[..body.len().min(8)]).into_owned();
                Response::new(Bytes::from(format!("{} {first}", body.len())))
            },
        ));
        let client = thread::spawn(move || client(address));
        while !client.is_finished() {
            runtime::sleep_ms(5).await;
        }
        (client.join().unwrap(), connections)
    })
    .unwrap()
}

fn plenty() -> ConnectionLimits {
    ConnectionLimits::new(256, 40, 100)
}

/// Sends bytes and reads until the connection closes, or until `answers` bodies have come.
fn exchange(address: SocketAddr, bytes: &[u8], answers: usize) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream.write_all(bytes).unwrap();
    let mut text = String::new();
    let mut chunk = [0; 4_096];
    while text.matches("HTTP/1.1").count() < answers || !text.ends_with(['!', '}']) {
        match stream.read(&mut chunk) {
            Ok(count) if count > 0 => text.push_str(&String::from_utf8_lossy(&chunk[..count])),
            _ => break,
        }
    }
    text
}

fn chunked(body: &str) -> String {
    format!("POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n{body}")
}

/// Guards against chunked bodies that are read wrongly, or that close the connection without an answer.
#[rstest]
#[case::plain("5\r\nhello\r\n3\r\n w!\r\n0\r\n\r\n", "8 hello w!")]
#[case::byte_chunks("1\r\nh\r\n1\r\ni\r\n0000001\r\n!\r\n0\r\n\r\n", "3 hi!")]
#[case::extensions("3;a=b;c=\"d\"\r\nhi!\r\n0;end\r\n\r\n", "3 hi!")]
#[case::trailers("3\r\nhi!\r\n0\r\nx-a: b\r\nx-c: d\r\n\r\n", "3 hi!")]
#[case::no_size("\r\nhi!\r\n0\r\n\r\n", "\"code\":107")]
#[case::sign("+3\r\nhi!\r\n0\r\n\r\n", "\"code\":107")]
#[case::bare_newline("3\nhi!\r\n0\r\n\r\n", "\"code\":107")]
#[case::no_newline_after_payload("3\r\nhi!0\r\n\r\n", "\"code\":107")]
#[case::size_overflow("10000000000000003\r\nhi!\r\n0\r\n\r\n", "\"code\":107")]
#[case::size_over_the_limit("100001\r\nh", "\"code\":104")]
#[case::largest_size("ffffffffffffffff\r\nh", "\"code\":104")]
fn chunked_bodies(#[case] body: &'static str, #[case] expected: &str) {
    let (text, _) = with_server(plenty(), |address| {
        exchange(address, chunked(body).as_bytes(), 1)
    });
    assert!(text.contains(expected), "{text}");
    assert!(text.contains("connection: close"), "{text}");
}

/// Guards against extensions and trailers that are skipped without end.
#[rstest]
#[case::extension("1;")]
#[case::trailer("0\r\nx-a: ")]
fn skipped_bytes_are_bounded(#[case] begin: &'static str) {
    let (text, _) = with_server(plenty(), move |address| {
        let endless = "a".repeat(usize::try_from(MAX_BODY_BYTES).unwrap() + 16);
        exchange(address, chunked(&format!("{begin}{endless}")).as_bytes(), 1)
    });
    assert!(text.contains("\"code\":104"), "{text}");
}

/// Guards against requests behind a body that are lost or read as part of it.
#[test]
fn pipelined_requests_are_answered_in_order() {
    let (text, connections) = with_server(plenty(), |address| {
        let one = |body: &str| {
            format!(
                "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            )
        };
        let requests: String = (1..=50).map(|count| one(&"!".repeat(count))).collect();
        exchange(address, requests.as_bytes(), 50)
    });
    for count in 1..=50 {
        assert!(text.contains(&format!("{count} !")), "{count}: {text}");
    }
    assert_eq!(connections.figures().used_bytes, 0);
}

/// Guards against memory that stays taken after a request, an answer or a connection has ended.
#[test]
fn memory_is_given_back() {
    let (_, connections) = with_server(plenty(), |address| {
        for framing in ["content-length: 500000", "transfer-encoding: chunked"] {
            let mut stream = TcpStream::connect(address).unwrap();
            let head = format!("POST / HTTP/1.1\r\nhost: x\r\n{framing}\r\n\r\n");
            stream.write_all(head.as_bytes()).unwrap();
            stream.write_all(b"40000\r\n").unwrap();
            stream.write_all(&vec![b'a'; 200_000]).unwrap();
            thread::sleep(Duration::from_millis(100));
        }
        let mut left = TcpStream::connect(address).unwrap();
        left.write_all(b"GET / HTT").unwrap();
        drop(left);
        thread::sleep(Duration::from_millis(200));
    });
    let figures = connections.figures();
    assert!(figures.peak_bytes > 200_000, "{figures:?}");
    assert_eq!((figures.used_bytes, figures.open), (0, 0));
}

/// Guards against a body that holds up the other tasks of the process: they have many turns while it is read.
#[test]
fn other_tasks_run_while_a_large_body_is_read() {
    const BODY_BYTES: usize = 192 << 10;
    const MIN_TURNS: u64 = 2;
    let turns = runtime::run(1, async move {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let options = monoio::net::ListenerOpts::new().recv_buf_size(2 * BODY_BYTES);
        let listener = monoio::net::TcpListener::bind_with_config(any, &options).unwrap();
        let address = listener.local_addr().unwrap();
        let client = thread::spawn(move || {
            let mut stream = TcpStream::connect(address).unwrap();
            let head =
                format!("POST / HTTP/1.1\r\nhost: x\r\ncontent-length: {BODY_BYTES}\r\n\r\n");
            stream.write_all(head.as_bytes()).unwrap();
            stream.write_all(&vec![b'a'; BODY_BYTES]).unwrap();
            stream
        });
        let (stream, _) = listener.accept().await.unwrap();
        // All of it is in the receive buffer before the first read, so that the server never waits for it.
        thread::sleep(Duration::from_millis(200));
        let turns = Rc::new(Cell::new(0));
        let at_answer = Rc::new(Cell::new(0));
        let (counting, noting, counted) = (turns.clone(), at_answer.clone(), turns.clone());
        monoio::spawn(async move {
            loop {
                runtime::sleep_ms(1).await;
                counting.set(counting.get() + 1);
            }
        });
        let connections = Connections::new(Clock::new(), plenty());
        let slot = connections.add_when_possible(1, usize::MAX).await;
        let stop = CancellationToken::new();
        let handler = move |_| {
            noting.set(counted.get());
            async { Response::new(Bytes::new()) }
        };
        let limits = Limits::new(10_000);
        let serving = http_server::serve(stream, limits, slot, &stop, &stop, handler);
        runtime::within_ms(1_000, serving).await;
        client.join().unwrap();
        at_answer.get()
    })
    .unwrap();
    assert!(turns >= MIN_TURNS, "{turns} turns");
}

/// Guards against small requests that find no memory since large ones hold all of it.
#[test]
fn small_requests_are_served_beside_unfinished_large_ones() {
    const LARGE: usize = 20;
    let limits = ConnectionLimits {
        max_open: 100,
        max_bytes: 4 << 20,
        max_large_bytes: 3 << 20,
    };
    let (texts, connections) = with_server(limits, |address| {
        let large: Vec<TcpStream> = (0..LARGE)
            .map(|_| {
                let mut stream = TcpStream::connect(address).unwrap();
                let head = "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 700000\r\n\r\n";
                stream.write_all(head.as_bytes()).unwrap();
                // The server may have closed the connection.
                let _ = stream.write_all(&vec![b'a'; 600_000]);
                stream
            })
            .collect();
        let small = "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n\r\nhi!";
        let texts: Vec<String> = (0..10)
            .map(|_| exchange(address, small.as_bytes(), 1))
            .collect();
        drop(large);
        texts
    });
    assert!(texts.iter().all(|text| text.contains("3 hi!")), "{texts:?}");
    let figures = connections.figures();
    assert!(figures.peak_bytes <= limits.max_bytes, "{figures:?}");
    assert!(figures.evicted_for_memory > 0, "{figures:?}");
}

/// Guards against a refusal for want of memory that does not say that the request did not run and when to retry.
#[test]
fn a_request_that_gives_way_is_told_when_to_retry() {
    let limits = ConnectionLimits {
        max_open: 100,
        max_bytes: 4 << 20,
        max_large_bytes: 3 << 20,
    };
    let (text, _) = with_server(limits, |address| {
        let begin = |bytes: usize| {
            let mut stream = TcpStream::connect(address).unwrap();
            stream.set_read_timeout(Some(TIMEOUT)).unwrap();
            let head = "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 700000\r\n\r\n";
            stream.write_all(head.as_bytes()).unwrap();
            stream.write_all(&vec![b'a'; bytes]).unwrap();
            thread::sleep(Duration::from_millis(50));
            stream
        };
        let mut first = begin(600_000);
        let _others: Vec<TcpStream> = (0..4).map(|_| begin(600_000)).collect();
        let mut text = String::new();
        let _ = first.read_to_string(&mut text);
        text
    });
    assert!(text.starts_with("HTTP/1.1 503"), "{text}");
    for part in ["x-result-code: 205", "x-ran: no", "retry-after: 1"] {
        assert!(text.contains(part), "{text}");
    }
}

/// Guards against an answer whose chunk says that it is larger than any limit, and is read until memory ends.
#[rstest]
#[case::head("HTTP/1.1 200 OK\r\nx-a: ")]
#[case::chunk("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n40000000\r\n")]
fn answers_are_read_up_to_their_limit(#[case] begin: &'static str) {
    const ENOUGH_BYTES: usize = 16 << 20;
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let worker = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        stream.set_write_timeout(Some(TIMEOUT)).unwrap();
        stream.write_all(begin.as_bytes()).unwrap();
        let chunk = vec![b'a'; 64 << 10];
        let mut sent = 0;
        while sent < ENOUGH_BYTES && stream.write_all(&chunk).is_ok() {
            sent += chunk.len();
        }
        sent
    });
    let result = runtime::run(1, async move {
        let mut connection = Connection::open(address, 1_000).await.unwrap();
        let request = Request::new(Bytes::new());
        connection.send(request, 10_000, 1 << 20).await.map(|_| ())
    })
    .unwrap();
    assert_eq!(result, Err(SendError::TooLarge { limit: 1 << 20 }));
    assert!(worker.join().unwrap() < ENOUGH_BYTES);
}

/// Guards against a bound of the memory for parsing that is below what the smallest values take.
#[test]
fn the_cost_of_a_document_grows_with_its_values() {
    let keys = format!("[{}\"\"]", "\"\",".repeat(1_000));
    // An empty shared text takes 16 bytes twice, while the list is copied, and an allocation of 32.
    assert!(parse_cost::of_document(keys.as_bytes()) >= 1_000 * 64);
    assert_eq!(parse_cost::of_text(&[b' '; 100]), 300);
}
