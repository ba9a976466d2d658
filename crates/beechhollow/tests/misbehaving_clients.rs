//! Memory, descriptors and answers of the processes while clients send large requests, never end them and stay connected.
//!
//! The bounds are the memory of the VMs that the processes run on. The system counts what it holds for a process's connections as memory of
//! that process.
#![expect(
    clippy::unwrap_used,
    reason = "a test that meets the unexpected shall end"
)]

mod support;

use bh_testkit::Crowd;
use bh_testkit::EntryOptions;
use bh_testkit::Script;
use bh_testkit::crowd;
use bh_testkit::http_raw;
use bh_testkit::http_raw::RawAnswer;
use bh_testkit::ports;
use bh_testkit::process;
use rstest::rstest;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use support::LeadingCore;
use support::Process;
use support::entry_config;
use support::metric;
use support::start_leading_core;
use support::wait_for_listener;

/// Memory of the VM of an entry.
const ENTRY_BYTES: u64 = 260_000_000;
/// Memory of the VM of a core.
const CORE_BYTES: u64 = 256_000_000;
/// Size of the largest body.
const MAX_BODY_BYTES: usize = 8 << 20;
/// How far from the end of the largest body the clients stop.
const MISSING_BYTES: usize = 64 << 10;
/// Number of clients in a crowd.
const CLIENTS: usize = 40;
/// Number of clients of the metrics, which takes fewer connections.
const METRICS_CLIENTS: usize = 16;
const TIMEOUT: Duration = Duration::from_secs(20);
/// Longest write of a client.
const WRITE_BYTES: usize = 64 << 10;

/// One test at a time: the crowds of two would slow each other down.
static TURN: Mutex<()> = Mutex::new(());

fn take_turn() -> MutexGuard<'static, ()> {
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}

/// How clients send their bodies.
#[derive(Clone, Copy, Debug)]
enum Sending {
    /// The length is announced.
    Whole,
    /// The length is announced, and the body comes in small writes.
    Pieces,
    LargeChunks,
    ByteChunks,
}

fn head(address: SocketAddr, framing: &str) -> Vec<u8> {
    format!("POST /queue/00000000000000ab HTTP/1.1\r\nhost: {address}\r\n{framing}\r\n\r\n")
        .into_bytes()
}

fn chunk(bytes: usize) -> Vec<u8> {
    format!("{bytes:x}\r\n{}\r\n", "x".repeat(bytes)).into_bytes()
}

/// A body that stops short of its end.
fn unfinished(address: SocketAddr, sending: Sending) -> Script {
    let announced = format!("content-length: {MAX_BODY_BYTES}");
    let chunked = "transfer-encoding: chunked".to_owned();
    let (framing, block, write_bytes) = match sending {
        Sending::Whole => (announced, b"x".to_vec(), WRITE_BYTES),
        Sending::Pieces => (announced, b"x".to_vec(), 4 << 10),
        Sending::LargeChunks => (chunked, chunk(WRITE_BYTES), WRITE_BYTES),
        Sending::ByteChunks => (chunked, chunk(1), WRITE_BYTES),
    };
    Script {
        head: head(address, &framing),
        block,
        bytes: MAX_BODY_BYTES - MISSING_BYTES,
        write_bytes,
    }
}

/// A process whose memory is watched.
struct Watched {
    pid: u32,
    /// Ports on which it listens.
    ports: Vec<u16>,
    peak_bytes: u64,
    peak_descriptors: usize,
}

impl Watched {
    fn new(pid: u32, addresses: &[SocketAddr]) -> Self {
        Self {
            pid,
            ports: addresses.iter().map(SocketAddr::port).collect(),
            peak_bytes: 0,
            peak_descriptors: 0,
        }
    }

    fn sample(&mut self) {
        let held_bytes = process::resident_bytes(self.pid) + process::queued_bytes(&self.ports);
        let peak = held_bytes.max(process::peak_resident_bytes(self.pid));
        self.peak_bytes = self.peak_bytes.max(peak);
        let descriptors = process::open_descriptors(self.pid);
        self.peak_descriptors = self.peak_descriptors.max(descriptors);
    }

    fn check(&self, max_bytes: u64) {
        assert!(
            process::open_descriptors(self.pid) > 0,
            "the process has ended"
        );
        println!(
            "{} bytes, {} descriptors",
            self.peak_bytes, self.peak_descriptors
        );
        assert!(
            self.peak_bytes <= max_bytes,
            "{} bytes, {max_bytes} at most",
            self.peak_bytes
        );
    }
}

/// An entry in front of a core that leads.
struct Site {
    core: LeadingCore,
    entry: Process,
    callers: SocketAddr,
    readiness: SocketAddr,
    entry_metrics: SocketAddr,
}

impl Site {
    fn start(name: &str, entry_config_lines: &str) -> Self {
        let core = start_leading_core(name, "");
        set_rules(core.control, &[]);
        let mut addresses = ports::free(3);
        addresses.push(core.control);
        let config = entry_config(&addresses, core.peer_port) + entry_config_lines;
        let entry = Process::start(&format!("{name}-entry"), &config);
        wait_for_listener(addresses[0]);
        let site = Self {
            core,
            entry,
            callers: addresses[0],
            readiness: addresses[1],
            entry_metrics: addresses[2],
        };
        let until = Instant::now() + TIMEOUT;
        while get(site.callers, "/queue/").status != 200 {
            assert!(Instant::now() < until, "the entry does not serve calls");
            thread::sleep(Duration::from_millis(50));
        }
        site
    }

    fn watched_entry(&self) -> Watched {
        let addresses = [self.callers, self.readiness, self.entry_metrics];
        Watched::new(self.entry.child.id(), &addresses)
    }

    fn watched_core(&self) -> Watched {
        let peers = SocketAddr::from(([127, 0, 0, 1], self.core.peer_port));
        let addresses = [self.core.control, self.core.metrics, peers];
        Watched::new(self.core.process.child.id(), &addresses)
    }

    /// Submits a job whose body has `padding` before its end.
    fn submit(&self, job: usize, padding: usize) -> RawAnswer {
        let body = padded_job(padding);
        http_raw::send(self.callers, "POST", &job_path(job), &[], &body, TIMEOUT)
    }
}

fn get(address: SocketAddr, path: &str) -> RawAnswer {
    http_raw::send(address, "GET", path, &[], &[], TIMEOUT)
}

fn job_path(job: usize) -> String {
    format!("/queue/{job:016x}")
}

/// A job whose body has `padding` spaces, which mean nothing.
fn padded_job(padding: usize) -> Vec<u8> {
    let steps = [
        json!({"count": 1, "cpu": 1_000, "requestMemoryMb": 1_000, "gpu": 1, "estimatedMs": 1_000}),
    ];
    let job = json!({"spec": "x", "steps": steps}).to_string();
    let (last, job) = job.as_bytes().split_last().unwrap();
    let mut body = job.to_vec();
    body.resize(body.len() + padding, b' ');
    body.push(*last);
    body
}

/// Sets rules with a public queue, and with pools of these names beside its own.
fn set_rules(control: SocketAddr, pools: &[String]) {
    let pool = |name: &str| json!({"name": name, "healthPath": "/health", "maxConnections": 64, "enforcesCapacity": false});
    let others = pools.iter().map(|name| pool(name));
    let pools: Vec<serde_json::Value> = std::iter::once(pool("pool")).chain(others).collect();
    let rules = json!({"version": pools.len(),
        "routes": [{"name": "queue", "host": "127.0.0.1", "pathPrefix": "/queue/", "kind": "non_idempotent", "timeoutMs": 3_000,
            "targetLatencyMs": 1_000, "priority": 1, "service": "pool", "maxAttempts": 2, "slackFactor": 3.0, "public": true}],
        "services": pools, "tenants": []});
    let body = rules.to_string();
    let answer = http_raw::send(control, "PUT", "/-/config", &[], body.as_bytes(), TIMEOUT);
    assert_eq!(answer.status, 200, "{answer:?}");
}

/// Runs a crowd and checks that the process stays within its bound, and answers an ordinary request while the crowd is there and
/// afterwards.
fn check_crowd(
    watched: &mut Watched,
    max_bytes: u64,
    crowd: Crowd,
    ordinary: impl Fn() -> RawAnswer,
) {
    watched.sample();
    crowd.wait_until_settled(|| watched.sample());
    let answer = ordinary();
    watched.sample();
    drop(crowd);
    watched.check(max_bytes);
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(ordinary().status, 200);
}

/// Guards against an entry that runs out of memory while callers hold unfinished bodies of legal size.
#[rstest]
#[case::whole(Sending::Whole)]
#[case::pieces(Sending::Pieces)]
#[case::large_chunks(Sending::LargeChunks)]
#[case::byte_chunks(Sending::ByteChunks)]
fn unfinished_bodies_of_callers_fit_into_memory(#[case] sending: Sending) {
    let _turn = take_turn();
    let site = Site::start("callers-crowd", "");
    let crowd = Crowd::start(site.callers, CLIENTS, &unfinished(site.callers, sending));
    check_crowd(&mut site.watched_entry(), ENTRY_BYTES, crowd, || {
        get(site.callers, "/queue/")
    });
}

/// Guards against an entry that runs out of memory through the listener for readiness checks or for metrics.
#[rstest]
#[case::readiness(CLIENTS, "/-/readiness", |site: &Site| site.readiness)]
#[case::metrics(METRICS_CLIENTS, "/metrics", |site: &Site| site.entry_metrics)]
fn unfinished_bodies_at_other_listeners_of_an_entry_fit_into_memory(
    #[case] clients: usize,
    #[case] path: &str,
    #[case] address: fn(&Site) -> SocketAddr,
) {
    let _turn = take_turn();
    let site = Site::start("entry-crowd", "");
    let address = address(&site);
    let script = unfinished(address, Sending::ByteChunks);
    let crowd = Crowd::start(address, clients, &script);
    check_crowd(&mut site.watched_entry(), ENTRY_BYTES, crowd, || {
        get(address, path)
    });
}

/// Guards against a core that runs out of memory while clients hold unfinished bodies at its listeners.
#[rstest]
#[case::control(CLIENTS, "/-/config", Sending::ByteChunks, |site: &Site| site.core.control)]
#[case::control_whole(CLIENTS, "/-/config", Sending::Whole, |site: &Site| site.core.control)]
#[case::metrics(METRICS_CLIENTS, "/metrics", Sending::ByteChunks, |site: &Site| site.core.metrics)]
fn unfinished_bodies_at_a_core_fit_into_memory(
    #[case] clients: usize,
    #[case] path: &str,
    #[case] sending: Sending,
    #[case] address: fn(&Site) -> SocketAddr,
) {
    let _turn = take_turn();
    let site = Site::start("core-crowd", "");
    let address = address(&site);
    let crowd = Crowd::start(address, clients, &unfinished(address, sending));
    check_crowd(&mut site.watched_core(), CORE_BYTES, crowd, || {
        get(address, path)
    });
}

/// Guards against limits of each listener that together are more than the memory of the VM.
#[test]
fn crowds_at_all_listeners_fit_into_memory_together() {
    let _turn = take_turn();
    let site = Site::start("all-listeners", "");
    let (mut entry, mut core) = (site.watched_entry(), site.watched_core());
    let crowds = [
        (site.callers, CLIENTS),
        (site.readiness, CLIENTS),
        (site.entry_metrics, METRICS_CLIENTS),
        (site.core.control, CLIENTS),
        (site.core.metrics, METRICS_CLIENTS),
    ];
    let crowds =
        crowds.map(|(at, count)| Crowd::start(at, count, &unfinished(at, Sending::LargeChunks)));
    for crowd in &crowds {
        crowd.wait_until_settled(|| {
            entry.sample();
            core.sample();
        });
    }
    let submitted = site.submit(1, 0);
    let configured = get(site.core.control, "/-/config");
    let ready = get(site.readiness, "/-/readiness");
    entry.sample();
    core.sample();
    drop(crowds);
    entry.check(ENTRY_BYTES);
    core.check(CORE_BYTES);
    for answer in [submitted, configured, ready] {
        assert_eq!(answer.status, 200, "{answer:?}");
    }
}

/// Guards against an entry of the own interface that runs out of memory while callers hold unfinished bodies.
#[rstest]
#[case::whole(Sending::Whole)]
#[case::byte_chunks(Sending::ByteChunks)]
fn unfinished_bodies_at_an_entry_of_the_own_interface_fit_into_memory(#[case] sending: Sending) {
    let _turn = take_turn();
    let mut cluster = bh_testkit::Cluster::new(support::BINARY, vec![EntryOptions::new("a1", "a")]);
    cluster.start_all();
    cluster.wait_ready();
    let address = cluster.http("a1");
    let mut watched = Watched::new(cluster.pid("a1").unwrap(), &[address]);
    let crowd = Crowd::start(address, CLIENTS, &unfinished(address, sending));
    check_crowd(&mut watched, CORE_BYTES, crowd, || get(address, "/healthz"));
}

/// Guards against clients over the limit that take memory before they are refused.
#[rstest]
#[case::announced(true)]
#[case::just_sent(false)]
fn bodies_over_the_limit_are_refused(#[case] announced: bool) {
    let _turn = take_turn();
    let site = Site::start("over-limit", "");
    let framing = if announced {
        format!("content-length: {}", 8 * MAX_BODY_BYTES)
    } else {
        "transfer-encoding: chunked".to_owned()
    };
    let script = Script {
        head: head(site.callers, &framing),
        block: chunk(WRITE_BYTES),
        bytes: 8 * MAX_BODY_BYTES,
        write_bytes: WRITE_BYTES,
    };
    let crowd = Crowd::start(site.callers, CLIENTS, &script);
    check_crowd(&mut site.watched_entry(), ENTRY_BYTES, crowd, || {
        get(site.callers, "/queue/")
    });
    let announcing = if announced {
        script.head
    } else {
        let mut bytes = script.head;
        bytes.extend(chunk(WRITE_BYTES).repeat(MAX_BODY_BYTES / WRITE_BYTES + 1));
        bytes
    };
    let answer = http_raw::send_bytes(site.callers, &announcing, TIMEOUT);
    assert_eq!(answer.status, 413, "{answer:?}");
    assert_eq!(answer.header("x-ran"), Some("no"));
}

/// Guards against a job of many small steps that takes many times its size in the entry, in the call to the leader and in the core.
#[test]
fn a_body_of_many_small_steps_fits_into_memory() {
    const BODY_BYTES: usize = 7 << 20;
    let _turn = take_turn();
    let site = Site::start("small-steps", "");
    let (mut entry, mut core) = (site.watched_entry(), site.watched_core());
    let step = "{\"count\":1}";
    let steps = vec![step; BODY_BYTES / (step.len() + 1)].join(",");
    let body = format!("{{\"spec\":\"x\",\"steps\":[{steps}]}}");
    let path = job_path(1);
    let answer = http_raw::send(site.callers, "POST", &path, &[], body.as_bytes(), TIMEOUT);
    entry.sample();
    core.sample();
    entry.check(ENTRY_BYTES);
    core.check(CORE_BYTES);
    assert_eq!(answer.status, 400, "{answer:?}");
    assert_eq!(get(site.callers, &path).status, 410);
    assert_eq!(site.submit(2, 0).status, 200);
}

/// Guards against fields of a job that take many times their size in memory: lists, and values of any form.
#[rstest]
#[case::steps_before("after", "0,")]
#[case::any_value("fillCount", "[],")]
#[case::unknown_field("unknown", "[],")]
fn a_body_with_a_long_list_fits_into_memory(#[case] field: &str, #[case] element: &str) {
    const BODY_BYTES: usize = 7 << 20;
    const SENDERS: usize = 8;
    let _turn = take_turn();
    let site = Site::start("long-list", "");
    let (mut entry, mut core) = (site.watched_entry(), site.watched_core());
    let elements = element.repeat(BODY_BYTES / element.len());
    let list = elements.trim_end_matches(',');
    let body = format!("{{\"spec\":\"x\",\"steps\":[{{\"count\":1,\"{field}\":[{list}]}}]}}");
    let statuses: Vec<u16> = thread::scope(|scope| {
        let submit = |job| {
            let (callers, body) = (site.callers, body.as_bytes());
            let path = job_path(job);
            move || http_raw::send(callers, "POST", &path, &[], body, TIMEOUT).status
        };
        let senders: Vec<_> = (0..SENDERS).map(|job| scope.spawn(submit(job))).collect();
        while senders.iter().any(|sender| !sender.is_finished()) {
            entry.sample();
            core.sample();
            thread::sleep(Duration::from_millis(20));
        }
        let ended = senders.into_iter().map(|sender| sender.join().unwrap());
        ended.collect()
    });
    entry.check(ENTRY_BYTES);
    core.check(CORE_BYTES);
    let is_answer = |status: &u16| matches!(status, 200 | 400 | 503);
    assert!(statuses.iter().all(is_answer), "{statuses:?}");
    assert_eq!(site.submit(SENDERS, 0).status, 200);
}

/// Guards against a bound that refuses a single large body although nothing else goes on.
#[rstest]
#[case::announced(false)]
#[case::chunked(true)]
fn a_single_legal_body_is_served(#[case] is_chunked: bool) {
    const PADDING: usize = MAX_BODY_BYTES - (64 << 10);
    let _turn = take_turn();
    let site = Site::start("legal-body", "");
    let answer = if is_chunked {
        let mut bytes = format!(
            "POST {} HTTP/1.1\r\nhost: {}\r\ntransfer-encoding: chunked\r\n\r\n",
            job_path(1),
            site.callers
        )
        .into_bytes();
        for part in padded_job(PADDING).chunks(WRITE_BYTES) {
            bytes.extend(format!("{:x}\r\n", part.len()).into_bytes());
            bytes.extend(part);
            bytes.extend(b"\r\n");
        }
        bytes.extend(b"0\r\n\r\n");
        http_raw::send_bytes(site.callers, &bytes, TIMEOUT)
    } else {
        site.submit(1, PADDING)
    };
    assert_eq!(answer.status, 200, "{answer:?}");
    let read = get(site.callers, &job_path(1));
    assert_eq!(read.status, 200, "{read:?}");
}

/// Guards against a bound that refuses rules which a core can store.
#[test]
fn the_largest_rules_are_accepted() {
    /// Largest document of rules on a disk of the default size.
    const MAX_RULES_BYTES: usize = 4_000_000;
    let _turn = take_turn();
    let core = start_leading_core("largest-rules", "");
    let route = |number: usize| {
        json!({"name": format!("route-{number}"), "host": "queue.example", "pathPrefix": format!("/route-{number}/"), "kind": "non_idempotent",
            "timeoutMs": 3_000, "targetLatencyMs": 1_000, "priority": 1, "service": "pool", "maxAttempts": 2, "slackFactor": 3.0,
            "public": false})
    };
    let rules = |count: usize| {
        let routes: Vec<serde_json::Value> = (0..count).map(route).collect();
        json!({"version": 1, "routes": routes, "services": [{"name": "pool"}], "tenants": []})
            .to_string()
    };
    let per_route = (rules(11_000).len() - rules(10_000).len()).div_ceil(1_000);
    let body = rules(MAX_RULES_BYTES / per_route - 100);
    assert!(body.len() > MAX_RULES_BYTES * 9 / 10 && body.len() <= MAX_RULES_BYTES);
    let mut watched = Watched::new(core.process.child.id(), &[core.control]);
    let body = body.as_bytes();
    let answer = http_raw::send(core.control, "PUT", "/-/config", &[], body, TIMEOUT);
    watched.sample();
    assert!(matches!(answer.status, 200 | 504), "{answer:?}");
    watched.check(CORE_BYTES);
    let until = Instant::now() + TIMEOUT;
    while get(core.control, "/-/config").json()["version"] != 1 {
        assert!(Instant::now() < until, "the rules are not in force");
        thread::sleep(Duration::from_millis(50));
    }
}

/// Guards against a submission that is refused and runs nevertheless, and against a crowd of legal bodies of which none is served.
#[test]
fn refused_submissions_of_a_crowd_never_run() {
    let _turn = take_turn();
    let site = Site::start("refused", "");
    let body = padded_job(MAX_BODY_BYTES - (1 << 10));
    let (rest, sent) = (&body[body.len() - 1..], body.len() - 1);
    let script = |job: usize| Script {
        head: format!(
            "POST {} HTTP/1.1\r\nhost: {}\r\ncontent-length: {}\r\n\r\n",
            job_path(job),
            site.callers,
            body.len()
        )
        .into_bytes(),
        block: body[..sent].to_vec(),
        bytes: sent,
        write_bytes: sent,
    };
    let crowd = Crowd::start_each(site.callers, (0..CLIENTS).map(script).collect());
    let mut watched = site.watched_entry();
    crowd.wait_until_settled(|| watched.sample());
    let mut statuses = Vec::new();
    for stream in crowd.into_streams() {
        let answer = stream.and_then(|mut stream| crowd::finish(&mut stream, rest, TIMEOUT));
        if let Some(answer) = &answer
            && answer.status == 503
        {
            assert!(answer.header("retry-after").is_some(), "{answer:?}");
        }
        statuses.push(answer.map(|answer| answer.status));
        watched.sample();
    }
    watched.check(ENTRY_BYTES);
    assert!(statuses.contains(&Some(200)), "{statuses:?}");
    for (job, status) in statuses.iter().enumerate() {
        let read = get(site.callers, &job_path(job)).status;
        match status {
            Some(200) => assert_eq!(read, 200, "job {job}"),
            Some(_) => assert_eq!(read, 410, "job {job}, submission answered {status:?}"),
            // Without an answer its outcome is open.
            None => assert!(matches!(read, 200 | 410), "job {job}"),
        }
    }
    assert_eq!(site.submit(CLIENTS, 0).status, 200);
}

/// Guards against answers that pile up since nobody reads them.
#[test]
fn unread_answers_fit_into_memory() {
    const POOLS: usize = 30_000;
    const REQUESTS: usize = 16;
    let _turn = take_turn();
    let site = Site::start("unread", "");
    let pools: Vec<String> = (0..POOLS).map(|pool| format!("pool-{pool}")).collect();
    set_rules(site.core.control, &pools);
    let control = site.core.control;
    let request = format!("GET /-/config HTTP/1.1\r\nhost: {control}\r\n\r\n");
    let script = Script {
        head: Vec::new(),
        bytes: request.len() * REQUESTS,
        block: request.into_bytes(),
        write_bytes: WRITE_BYTES,
    };
    let crowd = Crowd::start(control, CLIENTS, &script);
    check_crowd(&mut site.watched_core(), CORE_BYTES, crowd, || {
        get(control, "/-/config")
    });
}

/// Guards against strangers whose first frame on a link takes memory before they have introduced themselves.
#[test]
fn unfinished_frames_of_strangers_fit_into_memory() {
    const FRAME_BYTES: usize = 60 << 20;
    let _turn = take_turn();
    let site = Site::start("strangers", "");
    let peers = SocketAddr::from(([127, 0, 0, 1], site.core.peer_port));
    let script = Script {
        head: u32::try_from(FRAME_BYTES).unwrap().to_be_bytes().to_vec(),
        block: vec![0; WRITE_BYTES],
        bytes: FRAME_BYTES / 2,
        write_bytes: WRITE_BYTES,
    };
    let crowd = Crowd::start(peers, CLIENTS, &script);
    check_crowd(&mut site.watched_core(), CORE_BYTES, crowd, || {
        get(site.callers, "/queue/")
    });
}

/// Guards against clients that keep all connections of a process with unfinished heads, or with nothing sent at all, so that other callers are
/// disconnected.
#[rstest]
#[case::open_heads("GET /queue/ HTTP/1.1\r\nhost: 127")]
#[case::nothing_sent("")]
fn ordinary_callers_find_a_connection(#[case] sent: &str) {
    const DESCRIPTORS: usize = 80;
    const OPEN: usize = 90;
    const ORDINARY: usize = 20;
    let _turn = take_turn();
    let site = Site::start("open-heads", &format!("descriptors: {DESCRIPTORS}\n"));
    let mut watched = site.watched_entry();
    let script = Script {
        head: sent.as_bytes().to_vec(),
        block: Vec::new(),
        bytes: 0,
        write_bytes: WRITE_BYTES,
    };
    let crowd = Crowd::start(site.callers, OPEN, &script);
    crowd.wait_until_settled(|| watched.sample());
    let streams = crowd.into_streams();
    for _ in 0..ORDINARY {
        assert_eq!(get(site.callers, "/queue/").status, 200);
        watched.sample();
    }
    drop(streams);
    watched.check(ENTRY_BYTES);
    assert!(
        watched.peak_descriptors <= DESCRIPTORS,
        "{} descriptors",
        watched.peak_descriptors
    );
    assert_eq!(metric(site.entry_metrics, "ready"), Some(1));
}
