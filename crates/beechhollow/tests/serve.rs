//! The processes of a deployment, as an operator starts and stops them.
#![expect(
    clippy::unwrap_used,
    reason = "a test that meets the unexpected shall end"
)]

use bh_testkit::http_raw;
use bh_testkit::ports;
use std::io::Read;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Calls that are each refused with a log line: more than the pipe and the queue of lines hold together.
const REFUSED_CALLS: usize = 8_000;

/// A process of this run, ended with the test.
struct Process {
    child: Child,
    folder: PathBuf,
}

impl Process {
    /// Starts a process from the text of its file.
    fn start(name: &str, config: &str) -> Self {
        let folder =
            std::env::temp_dir().join(format!("beechhollow-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let file = folder.join("config.yaml");
        let config = config.replace("FOLDER", &folder.join("data").display().to_string());
        std::fs::write(&file, config).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_beechhollow"))
            .args(["serve", "--config"])
            .arg(&file)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        Self { child, folder }
    }

    fn terminate(&self) {
        let stopped = Command::new("kill")
            .arg(self.child.id().to_string())
            .status()
            .unwrap();
        assert!(stopped.success());
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended, which is as well.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn entry_config(addresses: &[SocketAddr]) -> String {
    format!(
        "name: entry\nrole: entry\ndata_centre: dc\nip: 127.0.0.1\npeer_port: 1\ncallers_address: {}\nreadiness_address: {}\n\
         metrics_address: {}\nseeds: '{}'\ngrace_s: 1\n",
        addresses[0], addresses[1], addresses[2], addresses[3]
    )
}

/// Waits until `address` is listened on.
fn wait_for(address: SocketAddr) {
    let until = Instant::now() + Duration::from_secs(10);
    while TcpStream::connect(address).is_err() {
        assert!(Instant::now() < until, "{address} is not listened on");
        thread::sleep(Duration::from_millis(20));
    }
}

/// The value of a metric.
fn metric(address: SocketAddr, name: &str) -> Option<u64> {
    let text = http_raw::get(address, "/metrics").text();
    let line = text
        .lines()
        .find(|line| line.split(' ').next() == Some(name))?;
    line.split(' ').nth(1)?.parse().ok()
}

/// An entry is told to stop. Its log, read to the end, must say that it started, drained and ended: an engineer who finds the last line
/// missing would take it for a crash. Its metrics are served until then.
#[test]
fn the_last_lines_of_a_process_are_written() {
    let addresses = ports::free(4);
    let mut process = Process::start("last-lines", &entry_config(&addresses));
    wait_for(addresses[0]);
    let refused = http_raw::get(addresses[0], "/queue/00000000000000ab");
    assert_eq!(refused.status, 503);
    assert_eq!(metric(addresses[2], "calls_unavailable_total"), Some(1));
    process.terminate();
    let mut output = String::new();
    let mut stdout = process.child.stdout.take().unwrap();
    stdout.read_to_string(&mut output).unwrap();
    assert!(process.child.wait().unwrap().success());
    for line in ["entry starts", "entry drains", "entry ends"] {
        assert!(output.contains(line), "no `{line}` in\n{output}");
    }
}

/// An entry of a data centre that is cut off is not ready, and the balancer leads new connections past it; those that are open stay. Its
/// callers must be told to open new ones, or they are refused on the old ones until they give up.
#[test]
fn an_entry_that_is_not_ready_keeps_no_connection() {
    let addresses = ports::free(4);
    let _process = Process::start("not-ready", &entry_config(&addresses));
    wait_for(addresses[0]);
    let request = b"GET /queue/00000000000000ab HTTP/1.1\r\nhost: x\r\n\r\n";
    let refused = http_raw::send_bytes(addresses[0], request, Duration::from_secs(5));
    assert_eq!(refused.status, 503);
    assert_eq!(refused.header("connection"), Some("close"));
}

/// Whoever reads the log stands still, and the pipe fills up. Callers must not notice: a process that waited for its log would answer
/// nobody. What is left out is counted, and the process still ends when told to.
#[test]
fn a_log_that_nobody_reads_stops_no_caller() {
    let addresses = ports::free(4);
    let mut process = Process::start("unread-log", &entry_config(&addresses));
    wait_for(addresses[0]);
    let began = Instant::now();
    for _ in 0..REFUSED_CALLS {
        assert_eq!(
            http_raw::get(addresses[0], "/q/00000000000000ab").status,
            503
        );
    }
    assert!(began.elapsed() < Duration::from_secs(60));
    let dropped = metric(addresses[2], "log_lines_dropped").unwrap();
    assert!(dropped > 0, "no line was left out");
    process.terminate();
    assert!(process.child.wait().unwrap().success());
}

/// Starts a core with `more` in its file, and waits until it leads; returns where it takes operators and serves its metrics.
fn leading_core(name: &str, more: &str) -> (Process, SocketAddr, SocketAddr) {
    let addresses = ports::free(3);
    let config = format!(
        "name: core\nrole: core\ndata_centre: dc\nip: 127.0.0.1\npeer_port: {}\ncontrol_address: {}\nmetrics_address: {}\n\
         data_folder: FOLDER\nmay_form: true\nseeds: '{}'\ngrace_s: 1\n{more}",
        addresses[2].port(),
        addresses[0],
        addresses[1],
        addresses[0],
    );
    let process = Process::start(name, &config);
    wait_for(addresses[1]);
    let until = Instant::now() + Duration::from_secs(20);
    while metric(addresses[1], "leads") != Some(1) {
        assert!(Instant::now() < until, "it does not lead");
        thread::sleep(Duration::from_millis(50));
    }
    (process, addresses[0], addresses[1])
}

/// A core forms a group of its own and leads. An engineer sees that from outside, in its metrics and in the answers to operators; for a job
/// that is not there the answer carries a numbered code.
#[test]
fn a_core_tells_what_it_is() {
    let (_process, _, metrics) = leading_core("core", "");
    assert_eq!(metric(metrics, "voters"), Some(1));
    assert_eq!(metric(metrics, "workers"), Some(0));
    let status = http_raw::get(metrics, "/v1/status").text();
    assert!(status.contains("\"leads\":true"), "{status}");
    let job = http_raw::get(metrics, "/v1/jobs/5c0e7a21d94b36f8");
    assert_eq!(job.status, 404);
    assert!(job.text().contains("\"code\":113"), "{}", job.text());
}

/// An operator evacuates a data centre by the product's own interface and reads that back, from outside the platform too; a name that the deployment does not have is
/// told at once, and nothing is recorded. Sent twice, or ended without a beginning, an order is acknowledged all the same.
#[test]
fn a_core_takes_evacuations() {
    const WAIT: Duration = Duration::from_secs(10);
    let (_process, control, metrics) = leading_core("evacuations", "data_centres: 'dc,other'\n");
    let send =
        |address, method: &str, path: &str| http_raw::send(address, method, path, &[], &[], WAIT);
    let ended = send(metrics, "DELETE", "/v1/evacuations/other");
    assert_eq!(ended.status, 200);
    for _ in 0..2 {
        let begun = send(metrics, "POST", "/v1/evacuations/other");
        assert_eq!(begun.status, 200, "{}", begun.text());
    }
    assert_eq!(metric(metrics, "data_centres_evacuated"), Some(1));
    let status = http_raw::get(metrics, "/v1/status").text();
    assert!(status.contains("\"data_centre\":\"other\""), "{status}");

    let unknown = send(metrics, "POST", "/v1/evacuations/nowhere");
    assert_eq!(unknown.status, 404);
    assert!(
        unknown.text().contains("\"code\":117"),
        "{}",
        unknown.text()
    );
    assert_eq!(send(control, "POST", "/-/evacuations/nowhere").status, 404);
    assert_eq!(send(metrics, "PUT", "/v1/evacuations/other").status, 405);
    assert_eq!(metric(metrics, "data_centres_evacuated"), Some(1));

    assert_eq!(send(control, "DELETE", "/-/evacuations/other").status, 200);
    assert_eq!(metric(metrics, "data_centres_evacuated"), Some(0));
}
