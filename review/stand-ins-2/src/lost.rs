//! A worker with a task of a service is lost for good. Some seconds later guaranteed work needs room. Is a task of the service stopped although
//! as many as the step's `missTolerance` allows have been away for `noticeMs`?

use crate::cluster::KYH;
use crate::setup::GUARANTEED_KEY;
use crate::setup::Site;
use crate::setup::sleep_ms;
use serde_json::json;

/// One of eight is lost.
const WORKERS: usize = 8;
const MISS_TOLERANCE: usize = 1;
/// `noticeMs`
const NOTICE_MS: u64 = 4_500;
/// When the guaranteed work comes after the loss.
const AFTER_MS: u64 = 6_000;
const SERVICE: &str = "5c0e7a21d94b36f8";
const URGENT: &str = "7a21d94b36f85c0e";

pub fn run(binary: &str, record: &str, trouble: bool) -> Result<Vec<String>, String> {
    let mut site = Site::start(binary, record, KYH, None)?;
    for number in 0..WORKERS {
        site.add_worker(number).start();
    }
    sleep_ms(2_000);
    let step = json!({
        "count": WORKERS, "cpu": 1000, "requestMemoryMb": 1000, "gpu": 8, "longRunning": true, "missTolerance": MISS_TOLERANCE
    });
    if !site.submit("batch", SERVICE, "service:300", step) {
        return Err("the service was not accepted".to_owned());
    }
    if !site.wait(20_000, |site| site.running() == WORKERS) {
        return Err("the service did not start".to_owned());
    }
    sleep_ms(3_000);
    let lost_ms = site.record.now_ms();
    if trouble {
        site.workers[WORKERS - 1].end("is lost for good");
    }
    sleep_ms(AFTER_MS);
    let step =
        json!({"count": 1, "cpu": 1000, "requestMemoryMb": 1000, "gpu": 8, "estimatedMs": 2_000});
    if !site.submit_as(GUARANTEED_KEY, ("urgent", URGENT), "work:2000", step) {
        return Err("the guaranteed work was not accepted".to_owned());
    }
    sleep_ms(8_000);
    let mut broken = Vec::new();
    for event in site.events_of(SERVICE) {
        let others_away = trouble && event.at_ms >= lost_ms + NOTICE_MS;
        if event.what == "stopped" && event.at_work && others_away && event.at_ms < lost_ms + 20_000
        {
            // The lost task is at work again once it has started elsewhere.
            let lost = site.events_of(SERVICE);
            let lost: Vec<_> = lost
                .iter()
                .filter(|other| other.what == "lost" && other.at_ms.abs_diff(lost_ms) < 100)
                .collect();
            let still_away = lost.iter().filter(|lost| {
                let events = site.events_of(SERVICE);
                !events.iter().any(|other| {
                    other.task == lost.task
                        && other.what == "start"
                        && other.at_ms > lost_ms
                        && other.at_ms < event.at_ms
                })
            });
            let away = still_away.count();
            if away >= MISS_TOLERANCE {
                broken.push(format!(
                    "AVAIL: {}#{} on {} was at work and was stopped {} ms after {away} other task of its step was lost with its worker; missTolerance is {MISS_TOLERANCE}",
                    event.task, event.attempt, event.worker, event.at_ms - lost_ms
                ));
            }
        }
    }
    let ended = site.cluster.ended();
    if !ended.is_empty() {
        broken.push(format!("these processes ended by themselves: {ended:?}"));
    }
    site.record_log(&["stopped to make room", "run over", "run planned"]);
    site.stop();
    Ok(broken)
}
