//! A worker as PROTOCOL.md describes it, driven by orders (`invocation`).

use crate::http;
use crate::http::Reply;
use crate::http::Request;
use crate::http::Server;
use crate::json::Json;
use crate::record::Record;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Time from the start of a task that lasts until it is at work.
const STARTUP_MS: u64 = 300;
/// Longest lease that a worker gives (`holdMaxMs`).
const HOLD_MAX_MS: i64 = 6_000;
const HEARTBEAT_MS: u64 = 1_500;
/// Rows of ended runs in one answer.
const MAX_ENDS: usize = 500;

/// What stays the same over the lives of a worker.
#[derive(Clone)]
pub struct Settings {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub rack: String,
    pub kind: String,
    pub address: SocketAddr,
    pub control: Vec<SocketAddr>,
    pub cpu: i64,
    pub memory_mb: i64,
    pub gpu: i64,
    pub stop_ms: u64,
}

struct Running {
    attempt: i64,
    started: Instant,
    /// `None` for a task that lasts.
    work_ms: Option<u64>,
    stops_at: Option<Instant>,
}

/// One life of a worker.
struct Life {
    id: String,
    began: Instant,
    sequence: i64,
    token: i64,
    lease_until_ms: i64,
    running: BTreeMap<String, Running>,
    /// Number, task, attempt, how.
    finished: Vec<(i64, String, i64, String)>,
    next_end: i64,
    /// Highest run of each task that ended or was stopped.
    over: BTreeMap<String, i64>,
    draining: bool,
}

impl Life {
    fn new(settings: &Settings, number: u32) -> Life {
        Life {
            id: format!("i-{}-{number}", settings.name),
            began: Instant::now(),
            sequence: 0,
            token: 0,
            lease_until_ms: 0,
            running: BTreeMap::new(),
            finished: Vec::new(),
            next_end: 1,
            over: BTreeMap::new(),
            draining: false,
        }
    }

    fn clock_ms(&self) -> i64 {
        // A steady clock that didn't begin at 0.
        100_000 + self.began.elapsed().as_millis() as i64
    }
}

struct Shared {
    settings: Settings,
    record: Arc<Record>,
    life: Mutex<Life>,
    up: Mutex<bool>,
    stopped: Mutex<bool>,
    lives: Mutex<u32>,
    /// Whether nothing that is sent to it arrives.
    cut: Mutex<bool>,
}

/// A handle on a worker, which ends with it.
pub struct Worker {
    shared: Arc<Shared>,
    server: Arc<Mutex<Option<Server>>>,
}

impl Worker {
    pub fn start(settings: Settings, record: Arc<Record>) -> Worker {
        let life = Life::new(&settings, 1);
        let shared = Arc::new(Shared {
            life: Mutex::new(life),
            settings,
            record,
            up: Mutex::new(true),
            stopped: Mutex::new(false),
            lives: Mutex::new(1),
            cut: Mutex::new(false),
        });
        let server = Arc::new(Mutex::new(Some(listen(&shared))));
        let (beating, working) = (shared.clone(), shared.clone());
        thread::spawn(move || beat(&beating));
        thread::spawn(move || {
            while !*working.stopped.lock().unwrap() {
                thread::sleep(Duration::from_millis(20));
                working.advance(&mut working.life());
            }
        });
        Worker { shared, server }
    }

    pub fn name(&self) -> String {
        self.shared.settings.name.clone()
    }

    /// Tasks that it runs now.
    pub fn tasks(&self) -> Vec<String> {
        self.shared.life().running.keys().cloned().collect()
    }

    /// Reports that it drains, with its next heartbeat.
    pub fn drain(&self) {
        self.shared.record.line(format!("{} drains", self.name()));
        self.shared.life().draining = true;
    }

    /// Announces its end to a core, on a connection that was open before. Returns whether the announcement was acknowledged.
    pub fn announce_end(&self, connection: &mut http::Connection, waits: Duration) -> bool {
        let id = self.shared.life().id.clone();
        let answer = connection.call("DELETE", &format!("/-/instances/{id}"), None, waits);
        let status = answer.map(|(status, _)| status);
        self.shared
            .record
            .line(format!("{}: DELETE {id} -> {status:?}", self.name()));
        matches!(status, Some(200..300))
    }

    /// A connection to a core that is kept open, over which a heartbeat was acknowledged.
    pub fn connection(&self, core: SocketAddr) -> Option<http::Connection> {
        let mut connection = http::Connection::open(core)?;
        let (id, body) = self.shared.heartbeat();
        let path = format!("/-/instances/{id}");
        let answer = connection.call("PUT", &path, Some(&body), Duration::from_secs(1));
        matches!(answer, Some((200..300, _))).then_some(connection)
    }

    /// What is sent to it does not arrive any more, and new connections are refused. It runs on.
    pub fn cut_off(&self) {
        self.shared.record.line(format!(
            "{}: nothing reaches it, new connections are refused",
            self.name()
        ));
        *self.shared.cut.lock().unwrap() = true;
        if let Some(server) = self.server.lock().unwrap().as_mut() {
            server.stop_listening();
        }
    }

    /// The process ends, for good.
    pub fn end(&self) {
        *self.shared.stopped.lock().unwrap() = true;
        self.crash(Duration::from_secs(3_600), "ends");
    }

    /// The process ends at once, with all that runs there. It starts again after `down`.
    pub fn crash(&self, down: Duration, why: &str) {
        {
            let mut up = self.shared.up.lock().unwrap();
            if !*up {
                return;
            }
            *up = false;
        }
        *self.server.lock().unwrap() = None;
        let name = self.name();
        let mut life = self.shared.life();
        self.shared.record.line(format!(
            "{name} ({}) {why}, for {} ms",
            life.id,
            down.as_millis()
        ));
        for (task, run) in std::mem::take(&mut life.running) {
            self.shared.record.ended(&task, run.attempt, &name, "lost");
        }
        drop(life);
        let (shared, server) = (self.shared.clone(), self.server.clone());
        thread::spawn(move || {
            thread::sleep(down);
            let number = {
                let mut lives = shared.lives.lock().unwrap();
                *lives += 1;
                *lives
            };
            *shared.life() = Life::new(&shared.settings, number);
            let id = shared.life().id.clone();
            shared
                .record
                .line(format!("{} is up again as {id}", shared.settings.name));
            *server.lock().unwrap() = Some(listen(&shared));
            *shared.up.lock().unwrap() = true;
        });
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        *self.shared.stopped.lock().unwrap() = true;
    }
}

fn listen(shared: &Arc<Shared>) -> Server {
    let shared = shared.clone();
    Server::start(shared.settings.address, move |request| {
        shared.answer(&request)
    })
}

impl Shared {
    fn life(&self) -> MutexGuard<'_, Life> {
        self.life.lock().unwrap()
    }

    fn end(&self, life: &mut Life, task: &str, how: &str) {
        let Some(run) = life.running.remove(task) else {
            return;
        };
        self.record
            .ended(task, run.attempt, &self.settings.name, how);
        let number = life.next_end;
        life.next_end += 1;
        life.finished
            .push((number, task.to_owned(), run.attempt, how.to_owned()));
        let over = life.over.entry(task.to_owned()).or_default();
        *over = (*over).max(run.attempt);
    }

    /// Ends the runs whose time is over.
    fn advance(&self, life: &mut Life) {
        let lapsed = life.clock_ms() > life.lease_until_ms;
        let now = Instant::now();
        let due: Vec<(String, &str)> = life
            .running
            .iter()
            .filter_map(|(task, run)| {
                let worked_ms = now.duration_since(run.started).as_millis() as u64;
                let how = if run.stops_at.is_some_and(|at| now >= at) {
                    "stopped"
                } else if run.work_ms.is_some_and(|work_ms| worked_ms >= work_ms) {
                    "done"
                } else if lapsed {
                    "lapsed"
                } else {
                    return None;
                };
                Some((task.clone(), how))
            })
            .collect();
        for (task, how) in due {
            self.end(life, &task, how);
        }
    }

    fn answer(self: &Arc<Self>, request: &Request) -> Reply {
        let reply = self.carry_out(request);
        if *self.cut.lock().unwrap() {
            return Reply::Silence;
        }
        reply
    }

    fn carry_out(self: &Arc<Self>, request: &Request) -> Reply {
        if *self.cut.lock().unwrap() {
            return Reply::Silence;
        }
        if request.method == "GET" {
            return Reply::Answer(200, Json::Obj(Vec::new()));
        }
        let mut life = self.life();
        if request
            .header("Expected-Instance")
            .is_some_and(|id| id != life.id)
        {
            return Reply::Answer(421, Json::Obj(Vec::new()));
        }
        self.advance(&mut life);
        let body = &request.body;
        let token = body.get("fencingToken").int().unwrap_or(0);
        if token < life.token {
            return denied(&life, "fence");
        }
        life.token = token;
        let deadline_ms = body.get("deadlineMs").int();
        let clock_ms = life.clock_ms();
        if let Some(deadline_ms) = deadline_ms {
            let until_ms = deadline_ms.min(clock_ms + HOLD_MAX_MS);
            life.lease_until_ms = life.lease_until_ms.max(until_ms);
        }
        let task = body.get("task").str().unwrap_or("").to_owned();
        let attempt = body.get("attempt").int().unwrap_or(0);
        match request.path.as_str() {
            "/-/run-start" => {
                if life
                    .running
                    .get(&task)
                    .is_some_and(|run| run.attempt == attempt)
                {
                    return done(&life);
                }
                if life.over.get(&task).is_some_and(|over| attempt <= *over) {
                    return denied(&life, "old");
                }
                if deadline_ms.is_none_or(|deadline_ms| deadline_ms <= clock_ms) {
                    return denied(&life, "late");
                }
                let spec = body.get("spec").str().unwrap_or("");
                let mut words = spec.split(' ');
                let (kind, work_ms) = (words.next().unwrap_or(""), words.next());
                let work_ms = work_ms.and_then(|work_ms| work_ms.parse::<u64>().ok());
                let step = task.rsplit_once('.').map_or("", |(step, _)| step);
                let ticket = format!("t {step} {}", life.id);
                if words.next() == Some("adv") && body.get("ticket").str() != Some(&ticket) {
                    return denied(&life, "ticket");
                }
                self.record.started(&task, attempt, &self.settings.name);
                let run = Running {
                    attempt,
                    started: Instant::now(),
                    work_ms: work_ms.filter(|_| kind != "last"),
                    stops_at: None,
                };
                life.running.insert(task, run);
                done(&life)
            }
            "/-/run-stop" => {
                let over = life.over.entry(task.clone()).or_default();
                *over = (*over).max(attempt);
                let stops_at = Instant::now() + Duration::from_millis(self.settings.stop_ms / 2);
                if let Some(run) = life
                    .running
                    .get_mut(&task)
                    .filter(|run| run.attempt <= attempt)
                {
                    run.stops_at.get_or_insert(stops_at);
                }
                done(&life)
            }
            "/-/pace" => done(&life),
            "/-/hold" => {
                let cursor = body.get("ackCursor").int().unwrap_or(0);
                life.finished.retain(|end| end.0 > cursor);
                let wait_ms = body.get("waitMs").int().unwrap_or(0).clamp(0, 2_000);
                let until = Instant::now() + Duration::from_millis(wait_ms as u64);
                let id = life.id.clone();
                while life.finished.is_empty() && Instant::now() < until {
                    drop(life);
                    thread::sleep(Duration::from_millis(5));
                    life = self.life();
                    if life.id != id || !*self.up.lock().unwrap() {
                        return Reply::Close;
                    }
                    self.advance(&mut life);
                }
                Reply::Answer(200, report(&life))
            }
            _ => Reply::Answer(404, Json::Obj(Vec::new())),
        }
    }

    fn heartbeat(&self) -> (String, Json) {
        let mut life = self.life();
        self.advance(&mut life);
        life.sequence += 1;
        let settings = &self.settings;
        let text = |text: &str| Json::Str(text.to_owned());
        let fields = vec![
            ("service".to_owned(), text(&settings.service)),
            (
                "address".to_owned(),
                Json::Str(settings.address.to_string()),
            ),
            ("zone".to_owned(), text(&settings.zone)),
            ("version".to_owned(), text("v1")),
            ("slots".to_owned(), Json::Int(8)),
            (
                "state".to_owned(),
                text(if life.draining { "draining" } else { "ready" }),
            ),
            ("coldRemainingMs".to_owned(), Json::Int(0)),
            (
                "capacity".to_owned(),
                Json::Obj(vec![
                    ("cpu".to_owned(), Json::Int(settings.cpu)),
                    ("requestMemoryMb".to_owned(), Json::Int(settings.memory_mb)),
                    ("gpu".to_owned(), Json::Int(settings.gpu)),
                ]),
            ),
            (
                "labels".to_owned(),
                Json::Arr(vec![text(&settings.kind), text(&settings.rack)]),
            ),
            ("clockMs".to_owned(), Json::Int(life.clock_ms())),
            ("sequence".to_owned(), Json::Int(life.sequence)),
        ];
        (life.id.clone(), Json::Obj(fields))
    }
}

fn base(life: &Life) -> Vec<(String, Json)> {
    vec![("clockMs".to_owned(), Json::Int(life.clock_ms()))]
}

fn done(life: &Life) -> Reply {
    Reply::Answer(200, Json::Obj(base(life)))
}

fn denied(life: &Life, reason: &str) -> Reply {
    let mut fields = base(life);
    fields.push(("reason".to_owned(), Json::Str(reason.to_owned())));
    Reply::Answer(409, Json::Obj(fields))
}

fn report(life: &Life) -> Json {
    let percent = |run: &Running| {
        let worked_ms = run.started.elapsed().as_millis() as u64;
        match run.work_ms {
            Some(work_ms) => (worked_ms * 100 / work_ms.max(1)).min(99) as i64,
            None => (worked_ms * 100 / STARTUP_MS).min(100) as i64,
        }
    };
    let running = life.running.iter().map(|(task, run)| {
        Json::Arr(vec![
            Json::Str(task.clone()),
            Json::Int(run.attempt),
            Json::Str(String::new()),
            Json::Int(percent(run)),
            Json::Int(0),
        ])
    });
    let finished = life
        .finished
        .iter()
        .take(MAX_ENDS)
        .map(|(number, task, attempt, how)| {
            Json::Arr(vec![
                Json::Int(*number),
                Json::Str(task.clone()),
                Json::Int(*attempt),
                Json::Str(how.clone()),
                Json::Str(String::new()),
            ])
        });
    let (running, finished) = (running.collect(), finished.collect());
    let mut fields = base(life);
    fields.push(("running".to_owned(), Json::Arr(running)));
    fields.push(("finished".to_owned(), Json::Arr(finished)));
    Json::Obj(fields)
}

/// Sends heartbeats until the worker is dropped, each to the next core if it isn't acknowledged within a second.
fn beat(shared: &Arc<Shared>) {
    let mut next: Option<SocketAddr> = None;
    let mut turn = shared.settings.address.port() as usize;
    let mut last_id = String::new();
    loop {
        if *shared.stopped.lock().unwrap() {
            return;
        }
        if !*shared.up.lock().unwrap() || *shared.cut.lock().unwrap() {
            thread::sleep(Duration::from_millis(10));
            continue;
        }
        let (id, body) = shared.heartbeat();
        last_id.clone_from(&id);
        let path = format!("/-/instances/{id}");
        let control = &shared.settings.control;
        for _ in 0..=control.len() {
            let address = next.unwrap_or(control[turn % control.len()]);
            let answer = http::call(
                address,
                "PUT",
                &path,
                &[],
                Some(&body),
                Duration::from_secs(1),
            );
            match answer {
                Some((200..300, answer)) => {
                    let given = answer.get("heartbeatAddress").str();
                    next = given.and_then(|given| given.parse().ok());
                    break;
                }
                _ => {
                    next = None;
                    turn += 1;
                }
            }
        }
        let until = Instant::now() + Duration::from_millis(HEARTBEAT_MS);
        while Instant::now() < until {
            thread::sleep(Duration::from_millis(10));
            let life = shared.life();
            if *shared.stopped.lock().unwrap() || life.id != last_id {
                break;
            }
        }
    }
}
