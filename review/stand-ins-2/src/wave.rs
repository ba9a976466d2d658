//! A wave of upkeep names a machine that is idle, and whose worker crashes as the wave begins. A service's tasks begin on the machine's next
//! worker. Does the upkeep end more of them at a time, while they are at work, than the step's `missTolerance` allows?

use crate::cluster::VGOS;
use crate::cluster::free;
use crate::platform::Platform;
use crate::setup::Site;
use crate::setup::sleep_ms;
use crate::worker::Event;
use serde_json::json;
use std::time::Duration;

/// One of eight crashes at a time.
const MACHINES: usize = 8;
/// Tasks of a service that fit on a worker.
const PER_WORKER: usize = 4;
const MISS_TOLERANCE: usize = 1;
/// How long the machine is down after the crash, by round, in milliseconds.
const DOWN_MS: [u64; 7] = [4_500, 4_400, 4_300, 4_200, 4_100, 4_000, 3_900];
/// Time from the start of a wave until its round is over, in milliseconds.
const ROUND_MS: u64 = 9_000;
/// `noticeMs`
const NOTICE_MS: u64 = 4_500;
/// The service that takes the other machines.
const OTHER_JOB: &str = "7a21d94b36f85c0e";

fn job(round: usize) -> String {
    format!("5c0e7a21d94b36f{round}")
}

pub fn run(binary: &str, record: &str, trouble: bool) -> Result<Vec<String>, String> {
    let address = free(251);
    let mut site = Site::start(binary, record, VGOS, Some(address))?;
    let platform = Platform::start(address, site.record.clone());
    for number in 0..MACHINES {
        let worker = site.add_worker(number);
        if number + 1 < MACHINES {
            worker.start();
        }
    }
    platform.set_workers(site.workers.clone());
    sleep_ms(1_500);
    let step = |count: usize| {
        json!({
            "count": count, "cpu": 1000, "requestMemoryMb": 1000, "gpu": 2, "longRunning": true, "missTolerance": MISS_TOLERANCE
        })
    };
    let others = (MACHINES - 1) * PER_WORKER;
    if !site.submit("urgent", OTHER_JOB, "service:300", step(others)) {
        return Err("the job was not accepted".to_owned());
    }
    if !site.wait(15_000, |site| site.running() == others) {
        return Err("the service did not start".to_owned());
    }
    let idle = site.workers[MACHINES - 1].clone();
    idle.start();
    sleep_ms(2_000);
    for (round, down_ms) in DOWN_MS.into_iter().enumerate() {
        let began_ms = site.record.now_ms();
        if trouble {
            idle.end("crashes");
        }
        let wave = u64::try_from(round).unwrap_or(0) + 1;
        platform.add_wave(wave, std::slice::from_ref(&idle.machine));
        let body =
            json!({"wave": wave, "machines": [idle.machine], "deadlineS": 60, "maxCount": 1})
                .to_string();
        let sent =
            site.cluster
                .control_call("POST", "/-/wave-start", &body, Duration::from_secs(5));
        if sent.is_none_or(|(status, _)| status != 200) {
            return Err("the wave was not acknowledged".to_owned());
        }
        if !site.submit("urgent", &job(round), "service:300", step(PER_WORKER)) {
            return Err("the job was not accepted".to_owned());
        }
        sleep_ms((began_ms + down_ms).saturating_sub(site.record.now_ms()));
        if trouble {
            idle.start();
        }
        sleep_ms((began_ms + ROUND_MS).saturating_sub(site.record.now_ms()));
        site.client("DELETE", &format!("/urgent/{}", job(round)), "", 5);
        sleep_ms(2_000);
    }
    let mut broken = judge(&site, &platform);
    let ended = site.cluster.ended();
    if !ended.is_empty() {
        broken.push(format!("these processes ended by themselves: {ended:?}"));
    }
    site.record_log(&["upkeep", "worker gone"]);
    site.stop();
    Ok(broken)
}

/// AVAIL for the upkeeps: the tasks of a step that one of them ended while they were at work, and the others of the step that were away.
fn judge(site: &Site, platform: &Platform) -> Vec<String> {
    let mut broken = Vec::new();
    for upkeep in platform.upkeeps() {
        for round in 0..DOWN_MS.len() {
            let events = site.events_of(&job(round));
            let at_work = events
                .iter()
                .filter(|event| {
                    event.what == "lost" && event.worker == upkeep.worker && event.at_work
                })
                .filter(|event| event.at_ms.abs_diff(upkeep.at_ms) < 100)
                .count();
            let away = away_at(&events, &job(round), upkeep.at_ms.saturating_sub(100));
            if at_work == 0 {
                continue;
            }
            site.record.line(&format!(
                "the upkeep of {} at {} ms ended {at_work} tasks of {} at work on {}; {away} others had been away for noticeMs",
                upkeep.machine,
                upkeep.at_ms,
                job(round),
                upkeep.worker
            ));
            if at_work - 1 + away >= MISS_TOLERANCE {
                broken.push(format!(
                    "AVAIL: the upkeep of {} ended {at_work} tasks of one step that were at work on its sound worker {}; missTolerance is {MISS_TOLERANCE}",
                    upkeep.machine, upkeep.worker
                ));
            }
        }
    }
    broken
}

/// Number of tasks that had been at work and were not any more for `noticeMs` at a time.
fn away_at(events: &[Event], job: &str, at_ms: u64) -> usize {
    (0..PER_WORKER)
        .filter(|index| {
            let name = format!("{job}.0.0.{index}");
            let last = events
                .iter()
                .rfind(|event| event.task == name && event.at_ms <= at_ms);
            last.is_some_and(|event| event.what != "start" && event.at_ms + NOTICE_MS <= at_ms)
        })
        .count()
}
