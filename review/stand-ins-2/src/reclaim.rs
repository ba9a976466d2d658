//! Large work of another tenant comes at once and takes all workers. Then a tenant asks for the accelerators that it is guaranteed, on workers of
//! a kind. Does the work begin?

use crate::cluster::KYH;
use crate::setup::GUARANTEED_KEY;
use crate::setup::Site;
use crate::setup::sleep_ms;
use serde_json::json;

const WORKERS: usize = 8;
/// Workers of the kind that the guaranteed work requires; the last ones.
const OF_KIND: usize = 3;
const MISS_TOLERANCE: usize = 1;
/// `reclaimMs`
const RECLAIM_MS: u64 = 3_400;
/// How long the guaranteed work is followed.
const WATCH_MS: u64 = 60_000;
const SERVICE: &str = "5c0e7a21d94b36f8";
const URGENT: &str = "7a21d94b36f85c0e";

pub fn run(binary: &str, record: &str, trouble: bool) -> Result<Vec<String>, String> {
    let mut site = Site::start(binary, record, KYH, None)?;
    for number in 0..WORKERS {
        let kind = if number + OF_KIND < WORKERS { "a" } else { "b" };
        site.add_worker_of(number, kind).start();
    }
    sleep_ms(2_000);
    if trouble {
        let step = json!({
            "count": WORKERS, "cpu": 1000, "requestMemoryMb": 1000, "gpu": 8, "longRunning": true, "missTolerance": MISS_TOLERANCE
        });
        if !site.submit("batch", SERVICE, "service:300", step) {
            return Err("the service was not accepted".to_owned());
        }
        if !site.wait(20_000, |site| site.running() == WORKERS) {
            return Err("the service did not start".to_owned());
        }
    }
    // Nothing is disrupted for longer than `contactMs` before the guaranteed work comes.
    sleep_ms(8_000);
    let step = json!({"count": 1, "cpu": 1000, "requestMemoryMb": 1000, "gpu": 8, "estimatedMs": 2_000, "requirements": "b"});
    if !site.submit_as(GUARANTEED_KEY, ("urgent", URGENT), "work:2000", step) {
        return Err("the guaranteed work was not accepted".to_owned());
    }
    let accepted_ms = site.record.now_ms();
    site.wait(WATCH_MS, |site| !site.events_of(URGENT).is_empty());
    let begun_ms = site.events_of(URGENT).first().map(|event| event.at_ms);
    let mut broken = Vec::new();
    match begun_ms {
        Some(at_ms) if at_ms <= accepted_ms + RECLAIM_MS => {}
        Some(at_ms) => broken.push(format!(
            "RECLAIM: guaranteed work began {} ms after its acknowledgement",
            at_ms - accepted_ms
        )),
        None => broken.push(format!(
            "RECLAIM: guaranteed work had not begun {WATCH_MS} ms after its acknowledgement"
        )),
    }
    let ended = site.cluster.ended();
    if !ended.is_empty() {
        broken.push(format!("these processes ended by themselves: {ended:?}"));
    }
    site.record_log(&["stopped to make room", "run planned", "stands still"]);
    site.stop();
    Ok(broken)
}
