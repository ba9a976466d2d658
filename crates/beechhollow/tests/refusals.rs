//! Refusals: each has a result code and says whether the request ran.

mod support;

use bh_testkit::http_raw;
use bh_testkit::http_raw::LIMIT;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use support::request;
use support::small_cluster;
use support::start_workers;

/// Malformed request heads, with the result code of their refusal.
fn malformed_heads() -> Vec<(&'static str, Vec<u8>, u32)> {
    let path = "/v1/customers/lumen/requests/read";
    let head = |lines: &str| format!("POST {path} HTTP/1.1\r\nhost: x\r\n{lines}\r\n").into_bytes();
    vec![
        ("no version", b"GET /healthz\r\n\r\n".to_vec(), 101),
        (
            "two lengths",
            head("content-length: 1\r\ncontent-length: 2\r\n"),
            102,
        ),
        (
            "length and chunks",
            head("content-length: 1\r\ntransfer-encoding: chunked\r\n"),
            102,
        ),
        (
            "two encodings",
            head("transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n"),
            102,
        ),
        (
            "another encoding",
            head("transfer-encoding: gzip, chunked\r\n"),
            102,
        ),
        ("negative length", head("content-length: -1\r\n"), 101),
        ("signed length", head("content-length: +1\r\n"), 101),
        ("length list", head("content-length: 1, 1\r\n"), 101),
        ("NUL in a header", head("x-a: b\0c\r\n"), 101),
        ("bare newline", head("x-a: b\nx-c: d\r\n"), 101),
        (
            "space before the colon",
            head("content-length : 1\r\n"),
            101,
        ),
        ("folded header", head("x-a: b\r\n c\r\n"), 101),
        (
            "huge head",
            head(&format!("x-a: {}\r\n", "a".repeat(20_000))),
            103,
        ),
        ("many headers", head(&"x-a: b\r\n".repeat(80)), 103),
        ("huge body", head("content-length: 99999999999\r\n"), 104),
    ]
}

/// Requests that are malformed or ambiguous are refused at once with a result code, and never reach a worker. The same holds
/// for unknown names, wrong methods and large bodies.
#[test]
fn malformed_and_unknown_are_refused_by_number() {
    let cluster = small_cluster();
    let workers = start_workers(&cluster, 2);
    let address = cluster.http("a1");
    for (what, bytes, code) in malformed_heads() {
        let answer = http_raw::send_bytes(address, &bytes, LIMIT);
        assert_eq!(answer.code(), Some(code), "{what}: {answer:?}");
        assert_eq!(answer.header("x-ran"), Some("no"), "{what}");
    }
    let unknown = [
        ("GET", "/nothing", 105),
        ("PUT", "/v1/settings", 106),
        ("POST", "/v1/customers/nobody/requests/read", 110),
        ("POST", "/v1/customers/lumen/requests/nothing", 111),
        ("GET", "/v1/customers/lumen/jobs/77?data_centre=a", 113),
        ("POST", "/v1/settings", 107),
    ];
    for (method, path, code) in unknown {
        let answer = http_raw::send(address, method, path, &[], b"{", LIMIT);
        assert_eq!(answer.code(), Some(code), "{method} {path}: {answer:?}");
    }
    assert_eq!(
        request(&cluster, "a1", "small", None, "longer than ten").code(),
        Some(104)
    );
    assert_eq!(
        workers
            .iter()
            .map(|worker| worker.stats().runs)
            .sum::<u64>(),
        0
    );
}

/// Two pipelined requests on one connection are answered in order, a chunked body is read to its end, and a caller that
/// waits for `100 Continue` gets it.
#[test]
fn connections_are_reused_and_bodies_are_read_whole() {
    let cluster = small_cluster();
    let _workers = start_workers(&cluster, 2);
    let mut stream = TcpStream::connect(cluster.http("a1")).unwrap();
    stream.set_read_timeout(Some(LIMIT)).unwrap();
    let one = |body: &str| {
        format!(
            "POST /v1/customers/lumen/requests/read HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        )
    };
    stream
        .write_all(format!("{}{}", one("first"), one("second")).as_bytes())
        .unwrap();
    let mut text = String::new();
    let mut chunk = [0; 4096];
    while !text.contains("ran: second") {
        let count = stream.read(&mut chunk).unwrap();
        assert!(count > 0, "closed after {text}");
        text.push_str(&String::from_utf8_lossy(&chunk[..count]));
    }
    assert!(text.find("ran: first") < text.find("ran: second"));
    let chunked = "POST /v1/customers/lumen/requests/read HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n";
    let answer = http_raw::send_bytes(cluster.http("a2"), chunked.as_bytes(), LIMIT);
    assert!(answer.text().ends_with("ran: hello world"), "{answer:?}");
    let expecting = "POST /v1/customers/lumen/requests/read HTTP/1.1\r\nhost: x\r\nexpect: 100-continue\r\ncontent-length: 4\r\n\r\nbody";
    let answer = http_raw::send_bytes(cluster.http("a2"), expecting.as_bytes(), LIMIT);
    assert!(answer.text().ends_with("ran: body"), "{answer:?}");
}

/// A caller that does not finish its request head is disconnected after the idle timeout, and others are served meanwhile.
#[test]
fn slow_senders_are_closed() {
    let mut cluster = bh_testkit::Cluster::new(
        support::BINARY,
        vec![bh_testkit::EntryOptions::new("a1", "a")],
    )
    .with_config_lines("idle_connection_ms: 400\n");
    cluster.start_all();
    cluster.wait_ready();
    let mut slow = TcpStream::connect(cluster.http("a1")).unwrap();
    slow.write_all(b"GET /healthz HT").unwrap();
    slow.set_read_timeout(Some(LIMIT)).unwrap();
    assert_eq!(http_raw::get(cluster.http("a1"), "/healthz").status, 200);
    let closed = slow.read(&mut [0; 16]);
    assert!(matches!(closed, Ok(0)), "{closed:?}");
}

/// Without any target, a request is refused with a result code and a time for the retry, long before its deadline of four
/// seconds: a late answer would only keep the caller from trying elsewhere.
#[test]
fn without_any_target_the_refusal_comes_soon() {
    let cluster = small_cluster();
    let start = std::time::Instant::now();
    let answer = request(&cluster, "a1", "read", None, "x");
    assert_eq!(
        (answer.code(), answer.header("x-ran")),
        (Some(200), Some("no")),
        "{answer:?}"
    );
    assert!(answer.header("retry-after").is_some());
    assert!(
        start.elapsed() < std::time::Duration::from_millis(2_000),
        "{:?}",
        start.elapsed()
    );
}

/// The entry must not use io_uring or start processes, since the machines on which it runs forbid both.
#[test]
fn the_entry_uses_epoll_and_has_no_child() {
    let cluster = small_cluster();
    let _workers = start_workers(&cluster, 2);
    assert_eq!(request(&cluster, "a1", "read", None, "x").code(), Some(0));
    let pid = cluster.pid("a1").unwrap();
    let links: Vec<String> = std::fs::read_dir(format!("/proc/{pid}/fd"))
        .unwrap()
        .filter_map(|entry| std::fs::read_link(entry.ok()?.path()).ok())
        .map(|link| link.to_string_lossy().into_owned())
        .collect();
    assert!(
        links.iter().any(|link| link.contains("eventpoll")),
        "{links:?}"
    );
    assert!(
        !links.iter().any(|link| link.contains("io_uring")),
        "{links:?}"
    );
    for task in std::fs::read_dir(format!("/proc/{pid}/task")).unwrap() {
        let children =
            std::fs::read_to_string(task.unwrap().path().join("children")).unwrap_or_default();
        assert_eq!(children.trim(), "");
    }
}
