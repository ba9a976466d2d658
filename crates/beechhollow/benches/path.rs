//! Overhead of an entry on a short request, compared with calling the worker directly in the same run.
//!
//! `cargo bench -p beechhollow --bench path`.

use bh_testkit::Cluster;
use bh_testkit::EntryOptions;
use bh_testkit::Worker;
use bh_testkit::cluster::ADMINISTRATOR_SHA256;
use bh_testkit::http_raw;
use bh_testkit::process::resident_mib;
use bh_testkit::worker::WorkerOptions;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

const BINARY: &str = env!("CARGO_BIN_EXE_beechhollow");
/// Number of requests in a latency series, after 500 for warm-up.
const SAMPLES: usize = 5_000;
/// Number of concurrent callers; the rates are also taken with twice as many.
const CALLERS: usize = 8;
/// Duration of a rate series.
const SERIES_DURATION: Duration = Duration::from_secs(4);

/// Opens a caller's connection.
fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("a connection");
    stream.set_nodelay(true).expect("a socket option");
    stream
}

/// Sends a request and reads the answer, which must be a success.
fn exchange(stream: &mut TcpStream, bytes: &[u8]) {
    stream.write_all(bytes).expect("the request is sent");
    let answer = http_raw::read_answer(stream).expect("a whole answer");
    assert_eq!(answer.status, 200, "{}", answer.text());
}

/// A request with a body of 16 bytes and the header lines `extra`.
fn request_bytes(path: &str, extra: &str) -> Vec<u8> {
    format!("POST {path} HTTP/1.1\r\nhost: x\r\n{extra}content-length: 16\r\n\r\n0123456789abcdef")
        .into_bytes()
}

/// Median and 99th percentile of the response time, in milliseconds.
fn latencies(address: SocketAddr, bytes: &[u8]) -> (f64, f64) {
    let mut stream = connect(address);
    let mut values = Vec::with_capacity(SAMPLES);
    for sample in 0..SAMPLES + 500 {
        let start = Instant::now();
        exchange(&mut stream, bytes);
        if sample >= 500 {
            values.push(start.elapsed().as_secs_f64() * 1e3);
        }
    }
    values.sort_by(f64::total_cmp);
    (values[SAMPLES / 2], values[SAMPLES * 99 / 100])
}

/// Requests per second of several callers.
fn rate(addresses: &[SocketAddr], bytes: &[u8], callers: usize) -> f64 {
    let (stop, count) = (AtomicBool::new(false), AtomicU64::new(0));
    thread::scope(|scope| {
        for index in 0..callers {
            let (stop, count) = (&stop, &count);
            let address = addresses[index % addresses.len()];
            scope.spawn(move || {
                let mut stream = connect(address);
                while !stop.load(Ordering::Relaxed) {
                    exchange(&mut stream, bytes);
                    count.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
        thread::sleep(SERIES_DURATION);
        stop.store(true, Ordering::Relaxed);
    });
    count.load(Ordering::Relaxed) as f64 / SERIES_DURATION.as_secs_f64()
}

fn main() {
    let mut cluster = Cluster::new(BINARY, vec![EntryOptions::new("a1", "a")]);
    cluster.start_all();
    cluster.wait_ready();
    thread::sleep(Duration::from_secs(1));
    let idle_mib = cluster.pid("a1").map_or(0.0, resident_mib);
    let yaml = format!(
        "system: {{administrator_tokens_sha256: [{ADMINISTRATOR_SHA256}]}}\nteams: {{t: {{request_types: {{read: {{idempotent: true}}, book: {{}}}}, customers: {{c: {{}}}}}}}}\n"
    );
    assert_eq!(cluster.apply("a1", "one", 0, &yaml).code(), Some(0));
    let workers: Vec<Worker> = (0..2)
        .map(|n| {
            Worker::start(WorkerOptions::new(
                &format!("w{n}"),
                "a",
                "r",
                cluster.entries_of("a"),
            ))
        })
        .collect();
    let address = cluster.http("a1");
    let through_entry = request_bytes("/v1/customers/c/requests/read", "");
    let direct = request_bytes("/v1/run", "x-request-id: 1\r\n");
    let non_idempotent = request_bytes("/v1/customers/c/requests/book", "");
    cluster.wait_until("targets", Duration::from_secs(20), || {
        let slots = http_raw::get(address, "/v1/status").json()["slots"].as_u64();
        slots == Some(16)
    });
    let worker_addresses: Vec<SocketAddr> = workers.iter().map(Worker::address).collect();
    let (direct_p50, direct_p99) = latencies(worker_addresses[0], &direct);
    let (entry_p50, entry_p99) = latencies(address, &through_entry);
    let (book_p50, book_p99) = latencies(address, &non_idempotent);
    println!(
        "one caller, ms: direct p50 {direct_p50:.3} p99 {direct_p99:.3}; through an entry p50 {entry_p50:.3} p99 {entry_p99:.3}; non-idempotent p50 {book_p50:.3} p99 {book_p99:.3}"
    );
    println!(
        "added: p50 {:.3} ms, p99 {:.3} ms",
        entry_p50 - direct_p50,
        entry_p99 - direct_p99
    );
    for callers in [CALLERS, CALLERS * 2] {
        let direct_one = rate(&worker_addresses[..1], &direct, callers);
        let direct_two = rate(&worker_addresses, &direct, callers);
        let entry = rate(&[address], &through_entry, callers);
        println!(
            "{callers} callers, requests a second: one worker direct {direct_one:.0}, two workers direct {direct_two:.0}, through one entry {entry:.0} ({:.2} of one worker direct)",
            entry / direct_one
        );
    }
    let loaded_mib = cluster.pid("a1").map_or(0.0, resident_mib);
    println!(
        "resident memory of the entry: idle {idle_mib:.1} MiB, after the load {loaded_mib:.1} MiB"
    );
}
