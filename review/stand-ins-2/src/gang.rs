//! A service whose tasks are a gang is at work beside work that may be stopped. Work comes that a guarantee covers. Are more tasks of the service
//! stopped than its `missTolerance` allows?

use crate::cluster::KYH;
use crate::setup::GUARANTEED_KEY;
use crate::setup::Site;
use crate::setup::sleep_ms;
use serde_json::json;

/// Tasks of the service, one a worker. One more worker has other work.
const MEMBERS: usize = 4;
const MISS_TOLERANCE: usize = 1;
const SERVICE: &str = "5c0e7a21d94b36f8";
const OTHER_JOB: &str = "36f85c0e7a21d94b";
const URGENT: &str = "7a21d94b36f85c0e";

pub fn run(binary: &str, record: &str, trouble: bool) -> Result<Vec<String>, String> {
    let mut site = Site::start(binary, record, KYH, None)?;
    site.add_worker(MEMBERS).start();
    sleep_ms(1_500);
    let other =
        json!({"count": 1, "cpu": 1000, "requestMemoryMb": 1000, "gpu": 8, "estimatedMs": 100_000});
    if !site.submit("urgent", OTHER_JOB, "work:100000", other)
        || !site.wait(10_000, |site| site.running() == 1)
    {
        return Err("the other work did not start".to_owned());
    }
    sleep_ms(30_000);
    for number in 0..MEMBERS {
        site.add_worker(number).start();
    }
    sleep_ms(1_500);
    let step = json!({
        "count": MEMBERS, "cpu": 1000, "requestMemoryMb": 1000, "gpu": 8, "gangScheduled": true, "longRunning": true,
        "missTolerance": MISS_TOLERANCE
    });
    if !site.submit("urgent", SERVICE, "gang:300", step)
        || !site.wait(10_000, |site| site.running() == MEMBERS + 1)
    {
        return Err("the service did not start".to_owned());
    }
    sleep_ms(3_000);
    if trouble {
        let step = json!({"count": 1, "cpu": 1000, "requestMemoryMb": 1000, "gpu": 8, "estimatedMs": 2_000});
        if !site.submit_as(GUARANTEED_KEY, ("urgent", URGENT), "work:2000", step) {
            return Err("the guaranteed work was not accepted".to_owned());
        }
    }
    sleep_ms(6_000);
    let mut broken = Vec::new();
    let events = site.events_of(SERVICE);
    let ended: Vec<_> = events
        .iter()
        .filter(|event| event.what != "start" && event.at_work)
        .collect();
    if ended.len() > MISS_TOLERANCE {
        let ways: Vec<String> = ended
            .iter()
            .map(|event| {
                format!(
                    "{} on {} {} at {} ms",
                    event.task, event.worker, event.what, event.at_ms
                )
            })
            .collect();
        broken.push(format!(
            "AVAIL: {} tasks at work of one step ended by stops, missTolerance is {MISS_TOLERANCE}: {}",
            ended.len(),
            ways.join("; ")
        ));
    }
    let ended = site.cluster.ended();
    if !ended.is_empty() {
        broken.push(format!("these processes ended by themselves: {ended:?}"));
    }
    site.record_log(&["stopped to make room", "run planned", "run over"]);
    site.stop();
    Ok(broken)
}
