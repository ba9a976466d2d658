//! A stand-in of a worker, as PROTOCOL.md describes it: it guards nothing but fences, leases and attempts.

use crate::http;
use crate::json;
use crate::json::Json;
use crate::record::Record;
use std::collections::BTreeMap;
use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// Run time of a task that lasts.
pub const LASTS_MS: u64 = 1_000_000_000;
/// Startup of a task that lasts, after which it is at work.
const AT_WORK_MS: u64 = 1_000;

/// How long a run of (task, attempt) works, in milliseconds, and how it then ends.
pub type Behaviour = Arc<dyn Fn(&str, u64) -> (u64, &'static str) + Send + Sync>;

#[derive(Clone)]
pub struct Start {
    pub worker: String,
    pub task: String,
}

struct Run {
    attempt: u64,
    since: Instant,
    for_ms: u64,
    how: &'static str,
}

#[derive(Default)]
struct State {
    running: BTreeMap<String, Run>,
    finished: Vec<(u64, String, u64, String)>,
    next_end: u64,
    token: u64,
    deadline_ms: u64,
    /// Highest attempt of a task that was stopped or ended here.
    over: BTreeMap<String, u64>,
    draining: bool,
    sequence: u64,
    connections: Vec<TcpStream>,
}

pub struct Settings {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub rack: String,
    pub address: SocketAddr,
    pub controls: Vec<SocketAddr>,
    pub cpu: u64,
}

pub struct Worker {
    pub settings: Settings,
    behaviour: Behaviour,
    state: Mutex<State>,
    changed: Condvar,
    born: Instant,
    gone: AtomicBool,
    /// Tasks that last that a stop has ended here while they were at work.
    pub stopped_at_work: AtomicUsize,
    record: Record,
    pub starts: Arc<Mutex<Vec<Start>>>,
}

impl Worker {
    pub fn begin(
        settings: Settings,
        behaviour: Behaviour,
        starts: Arc<Mutex<Vec<Start>>>,
        record: Record,
    ) -> Arc<Worker> {
        let mut listener = None;
        for _ in 0..100 {
            match TcpListener::bind(settings.address) {
                Ok(bound) => {
                    listener = Some(bound);
                    break;
                }
                Err(_) => std::thread::sleep(Duration::from_millis(20)),
            }
        }
        let listener = listener.expect("worker address");
        record.line(format!(
            "worker {} begins at {}",
            settings.id, settings.address
        ));
        let worker = Arc::new(Worker {
            settings,
            behaviour,
            state: Mutex::new(State {
                next_end: 1,
                ..State::default()
            }),
            changed: Condvar::new(),
            born: Instant::now(),
            gone: AtomicBool::new(false),
            stopped_at_work: AtomicUsize::new(0),
            record,
            starts,
        });
        let serving = worker.clone();
        std::thread::spawn(move || serving.serve(listener));
        let beating = worker.clone();
        std::thread::spawn(move || beating.beat());
        let working = worker.clone();
        std::thread::spawn(move || working.work());
        worker
    }

    fn clock_ms(&self) -> u64 {
        self.born.elapsed().as_millis() as u64 + 1_000
    }

    fn serve(self: Arc<Self>, listener: TcpListener) {
        listener.set_nonblocking(true).unwrap();
        while !self.gone.load(Ordering::SeqCst) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    if let Ok(copy) = stream.try_clone() {
                        self.state.lock().unwrap().connections.push(copy);
                    }
                    let worker = self.clone();
                    std::thread::spawn(move || worker.converse(stream));
                }
                Err(_) => std::thread::sleep(Duration::from_millis(2)),
            }
        }
    }

    fn converse(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read(&mut reader) {
            if self.gone.load(Ordering::SeqCst) {
                return;
            }
            let (status, body) = self.answer(&request);
            if self.gone.load(Ordering::SeqCst) {
                return;
            }
            let text = format!(
                "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if writer.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn refuse(&self, reason: &str) -> (u16, String) {
        (
            409,
            format!(
                "{{\"clockMs\":{},\"reason\":\"{reason}\"}}",
                self.clock_ms()
            ),
        )
    }

    fn answer(&self, request: &http::Message) -> (u16, String) {
        if request
            .header("expected-instance")
            .is_some_and(|id| id != self.settings.id)
        {
            return (421, format!("{{\"clockMs\":{}}}", self.clock_ms()));
        }
        let path = request.first.split(' ').nth(1).unwrap_or("").to_owned();
        if path == "/health" {
            return (200, String::new());
        }
        let Some(body) = json::parse(&request.body) else {
            return (400, "{}".to_owned());
        };
        let token = body.number("fencingToken").unwrap_or(0);
        let (task, attempt) = (body.text("task"), body.number("attempt").unwrap_or(0));
        let mut state = self.state.lock().unwrap();
        if token < state.token {
            self.record.line(format!(
                "{} refuses {path} {task}#{attempt}: fence {token} < {}",
                self.settings.id, state.token
            ));
            return self.refuse("fence");
        }
        state.token = token;
        let deadline = body.number("deadlineMs").unwrap_or(0);
        match path.as_str() {
            "/-/run-start" => {
                let now = self.clock_ms();
                if deadline <= now {
                    return self.refuse("late");
                }
                state.deadline_ms = state.deadline_ms.max(deadline.min(now + 10_000));
                if state
                    .running
                    .get(&task)
                    .is_some_and(|run| run.attempt == attempt)
                {
                    return (200, format!("{{\"clockMs\":{now}}}"));
                }
                if state.over.get(&task).is_some_and(|over| attempt <= *over)
                    || state.running.contains_key(&task)
                {
                    return self.refuse("old");
                }
                let (for_ms, how) = (self.behaviour)(&task, attempt);
                self.record.line(format!(
                    "{} starts {task}#{attempt} spec={} checkpoint={:?}",
                    self.settings.id,
                    body.text("spec"),
                    body.text("checkpoint")
                ));
                self.starts.lock().unwrap().push(Start {
                    worker: self.settings.id.clone(),
                    task: task.clone(),
                });
                state.running.insert(
                    task,
                    Run {
                        attempt,
                        since: Instant::now(),
                        for_ms,
                        how,
                    },
                );
                (200, format!("{{\"clockMs\":{now}}}"))
            }
            "/-/run-stop" => {
                let over = state.over.entry(task.clone()).or_default();
                *over = (*over).max(attempt);
                if state
                    .running
                    .get(&task)
                    .is_some_and(|run| run.attempt == attempt)
                {
                    let worked_ms = state.running[&task].since.elapsed().as_millis() as u64;
                    if state.running[&task].for_ms == LASTS_MS && worked_ms >= AT_WORK_MS {
                        self.stopped_at_work.fetch_add(1, Ordering::SeqCst);
                    }
                    self.end(&mut state, &task, "stopped");
                }
                (200, format!("{{\"clockMs\":{}}}", self.clock_ms()))
            }
            "/-/hold" => {
                if deadline > 0 {
                    state.deadline_ms = state
                        .deadline_ms
                        .max(deadline.min(self.clock_ms() + 10_000));
                }
                let cursor = body.number("ackCursor").unwrap_or(0);
                if cursor > 0 && state.finished.first().is_some_and(|end| end.0 <= cursor) {
                    self.record
                        .line(format!("{} forgets ends up to {cursor}", self.settings.id));
                }
                state.finished.retain(|end| end.0 > cursor);
                let until = Instant::now()
                    + Duration::from_millis(body.number("waitMs").unwrap_or(0).min(2_000));
                while state.finished.is_empty()
                    && Instant::now() < until
                    && !self.gone.load(Ordering::SeqCst)
                {
                    state = self
                        .changed
                        .wait_timeout(state, Duration::from_millis(20))
                        .unwrap()
                        .0;
                }
                let running: Vec<String> = state
                    .running
                    .iter()
                    .map(|(task, run)| {
                        let worked_ms = run.since.elapsed().as_millis() as u64;
                        let percent = match run.for_ms {
                            LASTS_MS if worked_ms >= AT_WORK_MS => 100,
                            for_ms => (worked_ms * 100 / for_ms.max(1)).min(99),
                        };
                        format!("[\"{task}\",{},\"\",{percent},0]", run.attempt)
                    })
                    .collect();
                let finished: Vec<String> = state
                    .finished
                    .iter()
                    .take(500)
                    .map(|(number, task, attempt, how)| {
                        format!("[{number},\"{task}\",{attempt},\"{how}\",\"\"]")
                    })
                    .collect();
                (
                    200,
                    format!(
                        "{{\"clockMs\":{},\"running\":[{}],\"finished\":[{}]}}",
                        self.clock_ms(),
                        running.join(","),
                        finished.join(",")
                    ),
                )
            }
            _ => (200, format!("{{\"clockMs\":{}}}", self.clock_ms())),
        }
    }

    fn end(&self, state: &mut State, task: &str, how: &str) {
        let Some(run) = state.running.remove(task) else {
            return;
        };
        let number = state.next_end;
        state.next_end += 1;
        let over = state.over.entry(task.to_owned()).or_default();
        *over = (*over).max(run.attempt);
        state
            .finished
            .push((number, task.to_owned(), run.attempt, how.to_owned()));
        self.record.line(format!(
            "{} ends {task}#{} {how} after {} ms",
            self.settings.id,
            run.attempt,
            run.since.elapsed().as_millis()
        ));
        self.changed.notify_all();
    }

    /// Ends the runs whose work is done, and all of them when the lease has run out.
    fn work(&self) {
        while !self.gone.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(10));
            let mut state = self.state.lock().unwrap();
            let lapsed = self.clock_ms() >= state.deadline_ms;
            let over: Vec<(String, &'static str)> = state
                .running
                .iter()
                .filter_map(|(task, run)| {
                    if run.since.elapsed().as_millis() as u64 >= run.for_ms {
                        Some((task.clone(), run.how))
                    } else if lapsed {
                        Some((task.clone(), "lapsed"))
                    } else {
                        None
                    }
                })
                .collect();
            for (task, how) in over {
                self.end(&mut state, &task, how);
            }
        }
    }

    fn beat_once(&self, control: SocketAddr) -> Option<(u16, http::Message)> {
        let s = &self.settings;
        let body = {
            let mut state = self.state.lock().unwrap();
            state.sequence += 1;
            let (name, rest) = if state.draining {
                ("draining", ",\"remainingMs\":2000")
            } else {
                ("ready", "")
            };
            format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":8,\"state\":\"{name}\"{rest},\"coldRemainingMs\":0,\"capacity\":{{\"cpu\":{},\"requestMemoryMb\":131072,\"gpu\":8}},\"labels\":[\"a\",\"{}\"],\"clockMs\":{},\"sequence\":{}}}",
                s.service,
                s.address,
                s.zone,
                s.cpu,
                s.rack,
                self.clock_ms(),
                state.sequence
            )
        };
        http::call(
            control,
            ("PUT", &format!("/-/instances/{}", s.id)),
            &[],
            &body,
            Duration::from_millis(1_000),
        )
    }

    /// Sends a heartbeat to one core after the other until one acknowledges it. Returns whether one did.
    fn announce(&self) -> bool {
        for control in &self.settings.controls {
            if self.gone.load(Ordering::SeqCst) {
                return false;
            }
            if self
                .beat_once(*control)
                .is_some_and(|(status, _)| (200..300).contains(&status))
            {
                return true;
            }
        }
        false
    }

    fn beat(&self) {
        while !self.gone.load(Ordering::SeqCst) {
            let pause = if self.announce() { 1_500 } else { 300 };
            std::thread::sleep(Duration::from_millis(pause));
        }
    }

    /// Leaves as planned: reports `draining`, serves on for `serve_ms` after the acknowledgement, then says goodbye and ends.
    pub fn leave(&self, serve_ms: u64) {
        self.state.lock().unwrap().draining = true;
        while !self.announce() {
            std::thread::sleep(Duration::from_millis(200));
        }
        self.record
            .line(format!("{} is draining, acknowledged", self.settings.id));
        std::thread::sleep(Duration::from_millis(serve_ms));
        let path = format!("/-/instances/{}", self.settings.id);
        for control in &self.settings.controls {
            let answer = http::call(
                *control,
                ("DELETE", &path),
                &[],
                "",
                Duration::from_millis(1_000),
            );
            if let Some((status, _)) = answer {
                self.record.line(format!(
                    "{} sent DELETE, answered {status}",
                    self.settings.id
                ));
                if (200..300).contains(&status) {
                    break;
                }
            }
        }
        self.crash();
    }

    /// Ends at once: nothing listens, every connection is closed, everything that runs is lost.
    pub fn crash(&self) {
        self.gone.store(true, Ordering::SeqCst);
        let state = self.state.lock().unwrap();
        let lost: Vec<String> = state
            .running
            .iter()
            .map(|(task, run)| format!("{task}#{}", run.attempt))
            .collect();
        self.record.line(format!(
            "{} ends; lost with it: [{}]",
            self.settings.id,
            lost.join(", ")
        ));
        for connection in &state.connections {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    pub fn runs(&self, task: &str) -> Option<u64> {
        self.state
            .lock()
            .unwrap()
            .running
            .get(task)
            .map(|run| run.attempt)
    }
}

/// A value of a body as text, for the record.
pub fn shown(body: &str) -> String {
    match json::parse(body) {
        Some(Json::Map(_)) if body.len() < 200 => body.to_owned(),
        _ => format!("{} bytes", body.len()),
    }
}
