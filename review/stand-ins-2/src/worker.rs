//! A worker, as PROTOCOL.md describes it under "Running tasks" and "Service discovery". It lives in this process; a crash closes its
//! listener and connections and ends everything that runs on it.

use crate::http;
use crate::http::Request;
use crate::record::Record;
use serde_json::Value;
use serde_json::json;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// Time that a stop takes.
const STOP_MS: u64 = 50;
/// Heartbeat interval.
pub const HEARTBEAT_MS: u64 = 1_500;

/// One run of a task.
#[derive(Clone, Debug)]
pub struct Run {
    pub attempt: u64,
    pub since_ms: u64,
    /// Whether the run has been told to stop, and when it ends.
    pub stops_ms: Option<u64>,
    pub spec: String,
}

/// One life of a worker.
pub struct Life {
    pub id: String,
    pub open: Arc<AtomicBool>,
    pub runs: BTreeMap<String, Run>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    fence: u64,
    lease_ms: u64,
    /// Highest run of each task that was stopped or has ended here.
    over: BTreeMap<String, u64>,
    sequence: u64,
}

/// What a task does, by its spec: `work:MS` ends `done` after that time, `service:MS` is at work after that time and lasts; so does a member of
/// a gang of `gang:MS`, whose members end together.
fn work(spec: &str) -> (bool, u64) {
    let ms = |text: &str| text.parse().unwrap_or(1_000);
    match spec.split_once(':') {
        Some(("service" | "gang", rest)) => (true, ms(rest)),
        Some((_, rest)) => (false, ms(rest)),
        None => (false, 1_000),
    }
}

/// Attempts of gangs of which a member has ended, shared by all workers: the other members end `broken`.
pub type EndedGangs = Arc<Mutex<BTreeSet<(String, u64)>>>;

/// The gang that a run belongs to, if it does: the step and the attempt.
fn gang_of(task: &str, run: &Run) -> Option<(String, u64)> {
    let step = task.rsplit_once('.')?.0;
    run.spec
        .starts_with("gang:")
        .then(|| (step.to_owned(), run.attempt))
}

/// Something that happened to a run.
#[derive(Clone, Debug)]
pub struct Event {
    pub at_ms: u64,
    pub worker: String,
    pub task: String,
    pub attempt: u64,
    /// `start`, `done`, `stopped`, `lapsed`, `broken`, `lost` (with its worker).
    pub what: &'static str,
    /// Whether the run was at work: a service's task after its startup.
    pub at_work: bool,
}

pub struct Worker {
    pub machine: String,
    pub address: SocketAddr,
    pub zone: String,
    pub rack: String,
    pub kind: String,
    pub gpu: u64,
    pub service: String,
    cores: Vec<SocketAddr>,
    pub life: Mutex<Option<Life>>,
    lives: Mutex<u64>,
    pub record: Arc<Record>,
    pub events: Arc<Mutex<Vec<Event>>>,
    pub ended_gangs: EndedGangs,
    /// `holdMaxMs`
    longest_lease_ms: u64,
}

impl Worker {
    pub fn new(
        (machine, address): (&str, SocketAddr),
        (zone, rack, kind, service): (&str, &str, &str, &str),
        cores: Vec<SocketAddr>,
        record: Arc<Record>,
        (events, ended_gangs): (Arc<Mutex<Vec<Event>>>, EndedGangs),
        longest_lease_ms: u64,
    ) -> Arc<Self> {
        Arc::new(Self {
            machine: machine.to_owned(),
            address,
            zone: zone.to_owned(),
            rack: rack.to_owned(),
            kind: kind.to_owned(),
            gpu: 8,
            service: service.to_owned(),
            cores,
            life: Mutex::new(None),
            lives: Mutex::new(0),
            record,
            events,
            ended_gangs,
            longest_lease_ms,
        })
    }

    /// Starts a new life under a new id.
    pub fn start(self: &Arc<Self>) {
        let number = {
            let mut lives = self.lives.lock().expect("lives");
            *lives += 1;
            *lives
        };
        let id = format!("i-{}{number:03x}", self.machine.trim_start_matches("m-"));
        let open = Arc::new(AtomicBool::new(true));
        self.record
            .line(&format!("worker {id} is up on {}", self.machine));
        *self.life.lock().expect("life") = Some(Life {
            id: id.clone(),
            open: open.clone(),
            runs: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            fence: 0,
            lease_ms: 0,
            over: BTreeMap::new(),
            sequence: 0,
        });
        let (serving, own) = (self.clone(), id.clone());
        http::serve(self.address, open.clone(), move |request| {
            serving.answer(&own, request)
        });
        let (beating, own, beat_open) = (self.clone(), id.clone(), open.clone());
        thread::spawn(move || beating.send_heartbeats(&own, &beat_open));
        let (advancing, own) = (self.clone(), id);
        thread::spawn(move || {
            while open.load(Ordering::SeqCst) {
                advancing.advance(&own);
                thread::sleep(Duration::from_millis(10));
            }
        });
    }

    /// Ends the present life at once, with all that runs on it. Returns its id.
    pub fn end(&self, why: &str) -> Option<String> {
        let life = self.life.lock().expect("life").take()?;
        life.open.store(false, Ordering::SeqCst);
        self.record
            .line(&format!("worker {} on {}: {why}", life.id, self.machine));
        for (task, run) in &life.runs {
            self.note(&life, task, run, "lost");
        }
        Some(life.id)
    }

    fn note(&self, life: &Life, task: &str, run: &Run, what: &'static str) {
        if let Some(gang) = gang_of(task, run)
            && what != "start"
        {
            self.ended_gangs.lock().expect("gangs").insert(gang);
        }
        let at_ms = self.record.now_ms();
        let (lasts, ms) = work(&run.spec);
        let at_work = lasts && at_ms >= run.since_ms + ms;
        self.record.line(&format!(
            "run {task}#{} on {} ({}): {what}{}",
            run.attempt,
            life.id,
            self.machine,
            if at_work { ", it was at work" } else { "" }
        ));
        self.events.lock().expect("events").push(Event {
            at_ms,
            worker: life.id.clone(),
            task: task.to_owned(),
            attempt: run.attempt,
            what,
            at_work,
        });
    }

    /// Ends the runs whose time has come.
    fn advance(&self, id: &str) {
        let mut held = self.life.lock().expect("life");
        let Some(life) = held.as_mut().filter(|life| life.id == id) else {
            return;
        };
        self.advance_life(life);
    }

    fn advance_life(&self, life: &mut Life) {
        let now_ms = self.record.now_ms();
        let mut over: Vec<(String, &'static str)> = Vec::new();
        for (task, run) in &life.runs {
            let (lasts, ms) = work(&run.spec);
            if now_ms >= life.lease_ms {
                over.push((task.clone(), "lapsed"));
            } else if run.stops_ms.is_some_and(|stops_ms| now_ms >= stops_ms) {
                over.push((task.clone(), "stopped"));
            } else if gang_of(task, run)
                .is_some_and(|gang| self.ended_gangs.lock().expect("gangs").contains(&gang))
            {
                over.push((task.clone(), "broken"));
            } else if !lasts && now_ms >= run.since_ms + ms {
                over.push((task.clone(), "done"));
            }
        }
        for (task, how) in over {
            let Some(run) = life.runs.remove(&task) else {
                continue;
            };
            self.note(life, &task, &run, how);
            life.last_end += 1;
            let highest = life.over.entry(task.clone()).or_default();
            *highest = (*highest).max(run.attempt);
            life.ended.push((life.last_end, task, run.attempt, how));
        }
    }

    fn answer(&self, id: &str, request: Request) -> Option<(u16, String)> {
        if request.path == "/health" {
            return Some((200, String::new()));
        }
        if request
            .header("expected-instance")
            .is_some_and(|expected| expected != id)
        {
            return Some((421, String::new()));
        }
        let body: Value = serde_json::from_slice(&request.body).ok()?;
        let wait_ms = body["waitMs"].as_u64().unwrap_or(0).min(2_000);
        let until_ms = self.record.now_ms() + wait_ms;
        let mut is_first = true;
        loop {
            {
                let mut held = self.life.lock().expect("life");
                let life = held.as_mut().filter(|life| life.id == id)?;
                self.advance_life(life);
                let now_ms = self.record.now_ms();
                let reply = |status: u16, reason: Option<&str>| {
                    let mut value = json!({ "clockMs": now_ms });
                    if let Some(reason) = reason {
                        value["reason"] = json!(reason);
                    }
                    Some((status, value.to_string()))
                };
                if is_first {
                    let fence = body["fencingToken"].as_u64().unwrap_or(0);
                    if fence < life.fence {
                        return reply(409, Some("fence"));
                    }
                    life.fence = fence;
                }
                let deadline_ms = body["deadlineMs"].as_u64();
                if is_first && let Some(deadline_ms) = deadline_ms {
                    if request.path == "/-/run-start" && deadline_ms <= now_ms {
                        return reply(409, Some("late"));
                    }
                    life.lease_ms = life
                        .lease_ms
                        .max(deadline_ms.min(now_ms + self.longest_lease_ms));
                }
                match request.path.as_str() {
                    "/-/run-start" => {
                        let task = body["task"].as_str()?.to_owned();
                        let attempt = body["attempt"].as_u64()?;
                        let run = life.runs.get(&task).map(|run| run.attempt);
                        if run == Some(attempt) {
                            return reply(200, None);
                        }
                        let over = life.over.get(&task).copied().unwrap_or(0);
                        if run.is_some() || attempt <= over {
                            return reply(409, Some("old"));
                        }
                        let run = Run {
                            attempt,
                            since_ms: now_ms,
                            stops_ms: None,
                            spec: body["spec"].as_str()?.to_owned(),
                        };
                        self.note(life, &task, &run, "start");
                        life.runs.insert(task, run);
                        return reply(200, None);
                    }
                    "/-/run-stop" => {
                        let task = body["task"].as_str()?.to_owned();
                        let attempt = body["attempt"].as_u64()?;
                        let highest = life.over.entry(task.clone()).or_default();
                        *highest = (*highest).max(attempt);
                        if let Some(run) = life.runs.get_mut(&task)
                            && run.attempt <= attempt
                        {
                            run.stops_ms.get_or_insert(now_ms + STOP_MS);
                        }
                        return reply(200, None);
                    }
                    "/-/hold" => {
                        let cursor = body["ackCursor"].as_u64().unwrap_or(0);
                        life.ended.retain(|(number, ..)| *number > cursor);
                        if wait_ms == 0 || !life.ended.is_empty() || now_ms >= until_ms {
                            return Some((200, list(life, now_ms).to_string()));
                        }
                    }
                    "/-/pace" => return reply(200, None),
                    _ => return Some((404, String::new())),
                }
            }
            is_first = false;
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Sends one heartbeat; whether it was acknowledged.
    fn heartbeat(&self, id: &str, core: SocketAddr) -> bool {
        let body = {
            let mut held = self.life.lock().expect("life");
            let Some(life) = held.as_mut().filter(|life| life.id == id) else {
                return true;
            };
            life.sequence += 1;
            json!({
                "service": self.service, "address": self.address.to_string(), "zone": self.zone, "version": "v1", "slots": 8,
                "state": "ready", "coldRemainingMs": 0, "machine": self.machine,
                "capacity": {"cpu": 32_000, "requestMemoryMb": 65_536, "gpu": self.gpu}, "labels": [self.kind, self.rack],
                "clockMs": self.record.now_ms(), "sequence": life.sequence,
            })
        };
        let limit = Duration::from_millis(1_000);
        let path = format!("/-/instances/{id}");
        let answer = http::call(core, "PUT", &path, &[], &body.to_string(), limit);
        answer.is_some_and(|(status, _)| (200..300).contains(&status))
    }

    fn send_heartbeats(&self, id: &str, open: &AtomicBool) {
        let mut at = 0;
        let mut next_ms = 0;
        while open.load(Ordering::SeqCst) {
            if self.record.now_ms() < next_ms {
                thread::sleep(Duration::from_millis(10));
                continue;
            }
            if self.heartbeat(id, self.cores[at % self.cores.len()]) {
                next_ms = self.record.now_ms() + HEARTBEAT_MS;
            } else {
                at += 1;
                thread::sleep(Duration::from_millis(20));
            }
        }
    }
}

fn list(life: &Life, now_ms: u64) -> Value {
    let running: Vec<Value> = life
        .runs
        .iter()
        .map(|(task, run)| {
            let (_, ms) = work(&run.spec);
            let percent = ((now_ms - run.since_ms) * 100 / ms.max(1)).min(100);
            json!([task, run.attempt, "", percent, 0])
        })
        .collect();
    let finished: Vec<Value> = life
        .ended
        .iter()
        .take(500)
        .map(|(number, task, attempt, how)| json!([number, task, attempt, how, ""]))
        .collect();
    json!({ "clockMs": now_ms, "running": running, "finished": finished })
}
