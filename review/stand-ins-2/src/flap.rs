//! Two of twenty workers go down and up by turns for some seconds. The work that they were given is started again, and no run of it ends
//! `failed`. Is it carried out?

use crate::cluster::VGOS;
use crate::setup::Site;
use crate::setup::sleep_ms;
use serde_json::json;

const WORKERS: usize = 20;
/// A tenth of the workers.
const FLAPPING: usize = 2;
/// Period of going down and up.
const PERIOD_MS: u64 = 820;
/// How long the workers go down and up.
const FOR_MS: u64 = 6_400;
/// The service that takes the other workers.
const OTHER_JOB: &str = "36f85c0e7a21d94b";
const BATCH: &str = "5c0e7a21d94b36f8";
const SERVICE: &str = "7a21d94b36f85c0e";

pub fn run(binary: &str, record: &str, trouble: bool) -> Result<Vec<String>, String> {
    let mut site = Site::start(binary, record, VGOS, None)?;
    for number in 0..WORKERS {
        let worker = site.add_worker(number);
        if number < WORKERS - FLAPPING {
            worker.start();
        }
    }
    // A service takes all workers but those that start last. It is not stopped for other work.
    sleep_ms(1_500);
    let others = (WORKERS - FLAPPING) * 2;
    let step = json!({"count": others, "cpu": 1000, "requestMemoryMb": 1000, "gpu": 4, "longRunning": true});
    if !site.submit("urgent", OTHER_JOB, "service:300", step) {
        return Err("a job was not accepted".to_owned());
    }
    if !site.wait(15_000, |site| site.running() == others) {
        return Err("the other service did not start".to_owned());
    }
    let flapping: Vec<_> = site.workers[WORKERS - FLAPPING..].to_vec();
    for worker in &flapping {
        worker.start();
    }
    sleep_ms(1_000);
    let batch =
        json!({"count": 1, "cpu": 1000, "requestMemoryMb": 1000, "gpu": 4, "estimatedMs": 3_000});
    let service =
        json!({"count": 2, "cpu": 1000, "requestMemoryMb": 1000, "gpu": 4, "longRunning": true});
    if !site.submit("urgent", BATCH, "work:3000", batch)
        || !site.submit("urgent", SERVICE, "service:300", service)
    {
        return Err("a job was not accepted".to_owned());
    }
    if trouble {
        let until_ms = site.record.now_ms() + FOR_MS;
        while site.record.now_ms() < until_ms {
            for worker in &flapping {
                worker.end("goes down");
            }
            sleep_ms(PERIOD_MS / 2);
            for worker in &flapping {
                worker.start();
            }
            sleep_ms(PERIOD_MS / 2);
        }
    } else {
        sleep_ms(FOR_MS);
    }
    site.record.line("all workers stay up from now on");
    // `finish_s` after the end of the traffic jobs are asked for.
    sleep_ms(14_000);
    let mut broken = Vec::new();
    for (id, what) in [(BATCH, "job"), (SERVICE, "long-running job")] {
        let state = site.state("urgent", id).unwrap_or_default();
        let events = site.events_of(id);
        let failed = events.iter().filter(|event| event.what == "failed").count();
        let starts = events.iter().filter(|event| event.what == "start").count();
        site.record.line(&format!(
            "{what} {id}: state {state}, {starts} starts, {failed} runs ended `failed`"
        ));
        if state == "failed" && failed < 2 {
            broken.push(format!("LOST: {what} {id} is shown as `failed`; {failed} of its {starts} runs ended `failed`, maxAttempts is 2"));
        }
        let runs = site.workers.iter().any(|worker| {
            let life = worker.life.lock().expect("life");
            life.as_ref()
                .is_some_and(|life| life.runs.keys().any(|task| task.starts_with(id)))
        });
        if state != "failed" && state != "completed" && !runs {
            broken.push(format!("LOST: {what} {id} is {state}, and nothing of it runs 14 s after the workers are back"));
        }
    }
    let ended = site.cluster.ended();
    if !ended.is_empty() {
        broken.push(format!("these processes ended by themselves: {ended:?}"));
    }
    site.record_log(&["given up", "crashed under"]);
    site.stop();
    Ok(broken)
}
