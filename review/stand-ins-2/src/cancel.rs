//! A client hands a job in at an entry that stands still for a moment, leaves without an answer, and cancels the job at another entry. The
//! cancel is acknowledged. Does a task of the job start later than `cancel_ms` after that?

use crate::cluster::VGOS;
use crate::http;
use crate::setup::HOST;
use crate::setup::KEY;
use crate::setup::Site;
use crate::setup::sleep_ms;
use serde_json::json;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

/// As many as `vgos-sched` has. One of them stands still.
const ENTRIES: u8 = 8;
const WORKERS: usize = 4;
/// How long an entry stands still.
const FREEZE_MS: u64 = 1_000;
/// After this time without an answer, a client leaves: half of the queue's `targetLatencyMs`.
const PATIENCE_MS: u64 = 500;
/// `cancel_ms`
const CANCEL_MS: u64 = 3_000;
/// How long the work takes that is in progress when the jobs come.
const BUSY_MS: u64 = 9_000;
/// Jobs in progress. The other tenant's guarantee is the fourth worker's accelerators.
const EARLIER: [&str; 3] = ["d94b36f85c0e7a21", "36f85c0e7a21d94b", "4b36f85c0e7a21d9"];
/// A job that waits and is not cancelled.
const WAITING: &str = "85c0e7a21d94b36f";
/// Two of six jobs have clients that leave.
const JOBS: [&str; 2] = ["5c0e7a21d94b36f8", "7a21d94b36f85c0e"];

fn call(
    site: &Site,
    entry: SocketAddr,
    (method, id): (&str, &str),
    body: &str,
    limit_ms: u64,
) -> Option<(u16, String)> {
    let headers = [
        ("Host", HOST.to_owned()),
        ("Authorization", format!("Bearer {KEY}")),
        ("Deadline-Ms", "3000".to_owned()),
    ];
    let path = format!("/batch/{id}");
    let limit = Duration::from_millis(limit_ms);
    let answer = http::call(entry, method, &path, &headers, body, limit);
    site.record.line(&format!(
        "client: {method} {path} at {entry}, waits {limit_ms} ms -> {answer:?}"
    ));
    answer
}

pub fn run(binary: &str, record: &str, trouble: bool) -> Result<Vec<String>, String> {
    let mut site = Site::start_with(binary, record, (VGOS, ENTRIES), None)?;
    for number in 0..WORKERS {
        site.add_worker(number).start();
    }
    sleep_ms(5_000);
    let step = |gpu: u64, ms: u64| json!({"count": 1, "cpu": 1000, "requestMemoryMb": 1000, "gpu": gpu, "estimatedMs": ms});
    for id in EARLIER {
        if !site.submit("batch", id, &format!("work:{BUSY_MS}"), step(8, BUSY_MS)) {
            return Err("earlier work was not accepted".to_owned());
        }
    }
    if !site.wait(5_000, |site| site.running() == EARLIER.len()) {
        return Err("the earlier work did not start".to_owned());
    }
    if !site.submit("batch", WAITING, "work:1000", step(1, 1_000)) {
        return Err("the job that waits was not accepted".to_owned());
    }
    let [slow, sound] = [site.cluster.entries[0], site.cluster.entries[1]];
    let frozen_ms = site.record.now_ms();
    if trouble {
        site.cluster.signal("entry-0", "STOP");
    }
    let body = json!({"spec": "work:1000", "steps": [step(1, 1_000)]}).to_string();
    thread::scope(|scope| {
        for id in JOBS {
            scope.spawn(|| call(&site, slow, ("POST", id), &body, PATIENCE_MS));
        }
    });
    let mut cancelled = Vec::new();
    for id in JOBS {
        for _ in 0..5 {
            let answer = call(&site, sound, ("DELETE", id), "", 3_000);
            if answer.is_some_and(|(status, _)| (200..300).contains(&status) || status == 410) {
                cancelled.push((id, site.record.now_ms()));
                break;
            }
            sleep_ms(100);
        }
    }
    if cancelled.len() < JOBS.len() {
        return Err("a cancel was not acknowledged".to_owned());
    }
    let passed_ms = site.record.now_ms() - frozen_ms;
    sleep_ms(FREEZE_MS.saturating_sub(passed_ms));
    if trouble {
        site.cluster.signal("entry-0", "CONT");
    }
    sleep_ms(13_000);
    let mut broken = Vec::new();
    for (id, at_ms) in cancelled {
        let state = site.state("batch", id);
        for event in site.events_of(id) {
            if event.what == "start" && event.at_ms > at_ms + CANCEL_MS {
                broken.push(format!(
                    "UNASKED: {}#{} starts on {} {} ms after the cancelling of its job was acknowledged; cancel_ms is {CANCEL_MS}; at the end the job is shown as {}",
                    event.task, event.attempt, event.worker, event.at_ms - at_ms, state.as_deref().unwrap_or("nothing")
                ));
            }
        }
    }
    let ended = site.cluster.ended();
    if !ended.is_empty() {
        broken.push(format!("these processes ended by themselves: {ended:?}"));
    }
    site.record_log(&["job handed in", "job cancelled", "run planned", "job over"]);
    site.stop();
    Ok(broken)
}
