//! Starting, observing and stopping the processes of a deployment.

mod support;

use bh_testkit::http_raw;
use bh_testkit::ports;
use std::io::Read;
use std::time::Duration;
use std::time::Instant;
use support::Process;
use support::entry_config;
use support::metric;
use support::start_leading_core;
use support::wait_for_listener;

/// Number of calls that are refused, each with a log line: more lines than the pipe and the log queue hold together.
const REFUSED_CALLS: usize = 8_000;

/// The log of an entry that gets SIGTERM must say that it started, drained and ended. If the last line were missing, the end would look like a
/// crash. The entry serves its metrics until it gets the signal.
#[test]
fn the_last_lines_of_a_process_are_written() {
    let addresses = ports::free(4);
    let mut process = Process::start("last-lines", &entry_config(&addresses, 1));
    wait_for_listener(addresses[0]);
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

/// When an entry's data centre is cut off, the entry is not ready and the load balancer sends new connections elsewhere, but open connections stay.
/// Callers must be told to close these, or they are refused on them until they give up.
#[test]
fn an_entry_that_is_not_ready_keeps_no_connection() {
    let addresses = ports::free(4);
    let _process = Process::start("not-ready", &entry_config(&addresses, 1));
    wait_for_listener(addresses[0]);
    let request = b"GET /queue/00000000000000ab HTTP/1.1\r\nhost: x\r\n\r\n";
    let refused = http_raw::send_bytes(addresses[0], request, Duration::from_secs(5));
    assert_eq!(refused.status, 503);
    assert_eq!(refused.header("connection"), Some("close"));
}

/// The reader of the log hangs, and the pipe fills up. A process that waits for its log would answer no caller. Instead it drops log lines and counts
/// them, and still ends on SIGTERM.
#[test]
fn a_log_that_nobody_reads_stops_no_caller() {
    let addresses = ports::free(4);
    let mut process = Process::start("unread-log", &entry_config(&addresses, 1));
    wait_for_listener(addresses[0]);
    let start = Instant::now();
    for _ in 0..REFUSED_CALLS {
        assert_eq!(
            http_raw::get(addresses[0], "/q/00000000000000ab").status,
            503
        );
    }
    assert!(start.elapsed() < Duration::from_secs(60));
    let dropped = metric(addresses[2], "log_lines_dropped").unwrap();
    assert!(dropped > 0, "no line was left out");
    process.terminate();
    assert!(process.child.wait().unwrap().success());
}

/// A core that forms a group of its own shows in its metrics and its status that it leads. For an unknown job the answer has a result code.
#[test]
fn a_core_tells_what_it_is() {
    let core = start_leading_core("core", "");
    let metrics = core.metrics;
    assert_eq!(metric(metrics, "voters"), Some(1));
    assert_eq!(metric(metrics, "workers"), Some(0));
    let status = http_raw::get(metrics, "/v1/status").text();
    assert!(status.contains("\"leads\":true"), "{status}");
    let job = http_raw::get(metrics, "/v1/jobs/5c0e7a21d94b36f8");
    assert_eq!(job.status, 404);
    assert!(job.text().contains("\"code\":113"), "{}", job.text());
}

/// An operator starts and ends the evacuation of a data centre, through the product's own interface or the platform's, and sees it in the metrics and the
/// status. An unknown data centre is refused and nothing is recorded. Orders are idempotent: one that is sent twice, or ends what never started, is
/// acknowledged.
#[test]
fn a_core_takes_evacuations() {
    const WAIT: Duration = Duration::from_secs(10);
    let core = start_leading_core("evacuations", "data_centres: 'dc,other'\n");
    let (control, metrics) = (core.control, core.metrics);
    let send =
        |address, method: &str, path: &str| http_raw::send(address, method, path, &[], &[], WAIT);
    let ended = send(metrics, "DELETE", "/v1/evacuations/other");
    assert_eq!(ended.status, 200);
    for _ in 0..2 {
        let started = send(metrics, "POST", "/v1/evacuations/other");
        assert_eq!(started.status, 200, "{}", started.text());
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
