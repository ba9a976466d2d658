//! The platform's interface for the upkeep of machines, and the adviser.

use crate::http::Reply;
use crate::http::Request;
use crate::http::Server;
use crate::json::Json;
use crate::record::Record;
use crate::worker::Worker;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// `maintenanceS`.
const UPKEEP: Duration = Duration::from_millis(2_000);

#[derive(Default)]
struct Machines {
    down_until: BTreeMap<String, (i64, Instant)>,
    done: BTreeSet<(i64, String)>,
    tokens: BTreeMap<String, i64>,
    /// When each upkeep began, in milliseconds since the start of the test.
    begun_ms: Vec<u64>,
    waves: BTreeMap<i64, BTreeSet<String>>,
}

pub struct Platform {
    machines: Arc<Mutex<Machines>>,
    _server: Server,
}

impl Platform {
    pub fn start(address: SocketAddr, workers: Arc<Vec<Worker>>, record: Arc<Record>) -> Platform {
        let machines: Arc<Mutex<Machines>> = Arc::default();
        let state = machines.clone();
        let server = Server::start(address, move |request| {
            answer(&request, &state, &workers, &record)
        });
        Platform {
            machines,
            _server: server,
        }
    }

    pub fn add_wave(&self, wave: i64, machines: &[String]) {
        let mut state = self.machines.lock().unwrap();
        state.waves.insert(wave, machines.iter().cloned().collect());
    }

    pub fn first_begun_ms(&self) -> Option<u64> {
        self.machines.lock().unwrap().begun_ms.first().copied()
    }
}

fn refusal(status: u16, reason: &str) -> Reply {
    let reason = Json::Str(reason.to_owned());
    Reply::Answer(status, Json::Obj(vec![("reason".to_owned(), reason)]))
}

fn answer(
    request: &Request,
    state: &Mutex<Machines>,
    workers: &[Worker],
    record: &Record,
) -> Reply {
    if request.path != "/-/machine-upkeep" {
        return refusal(404, "");
    }
    let machine = request.body.get("machine").str().unwrap_or("").to_owned();
    let wave = request.body.get("wave").int().unwrap_or(0);
    let holder = request.header("Lease-Holder").unwrap_or("").to_owned();
    let token: i64 = request
        .header("Fencing-Token")
        .and_then(|token| token.parse().ok())
        .unwrap_or(0);
    let mut state = state.lock().unwrap();
    let line = |text: &str| {
        record.line(format!(
            "platform: upkeep of {machine} for wave {wave} by {holder}, token {token}: {text}"
        ))
    };
    let Some(worker) = workers
        .iter()
        .find(|worker| worker.machine().as_deref() == Some(&machine))
    else {
        line("no such machine");
        return refusal(400, "");
    };
    let highest = state.tokens.entry(machine.clone()).or_default();
    if token < *highest {
        line("fence");
        return refusal(409, "fence");
    }
    *highest = token;
    if !state
        .waves
        .get(&wave)
        .is_some_and(|machines| machines.contains(&machine))
    {
        line("not of that wave");
        return refusal(409, "wave");
    }
    if state.done.contains(&(wave, machine.clone())) {
        line("is done");
        return Reply::Answer(200, Json::Obj(Vec::new()));
    }
    let now = Instant::now();
    state.down_until.retain(|_, (_, until)| now < *until);
    if state.down_until.contains_key(&machine) || !worker.is_up() {
        line("busy");
        return refusal(409, "busy");
    }
    let others_down = state
        .down_until
        .values()
        .filter(|(of, _)| *of == wave)
        .count();
    state
        .down_until
        .insert(machine.clone(), (wave, now + UPKEEP));
    state.done.insert((wave, machine.clone()));
    line(&format!("begins, {others_down} others down"));
    state.begun_ms.push(record.now_ms());
    drop(state);
    worker.crash(UPKEEP, "is in upkeep");
    Reply::Answer(200, Json::Obj(Vec::new()))
}

/// The adviser.
pub struct Adviser {
    _server: Server,
}

impl Adviser {
    pub fn start(
        address: SocketAddr,
        (decision_ms, period_ms): (u64, u64),
        record: Arc<Record>,
    ) -> Adviser {
        let turn = Mutex::new(());
        let server = Server::start(address, move |request| {
            let _turn = turn.lock().unwrap();
            let step = request.body.get("step").str().unwrap_or("").to_owned();
            let Json::Arr(workers) = request.body.get("workers") else {
                return refusal(400, "");
            };
            thread::sleep(Duration::from_millis(
                decision_ms + period_ms * workers.len() as u64,
            ));
            let allowed: Vec<Json> = workers
                .iter()
                .filter_map(Json::str)
                .filter(|worker| is_allowed(worker))
                .map(|worker| {
                    Json::Arr(vec![
                        Json::Str(worker.to_owned()),
                        Json::Str(format!("t {step} {worker}")),
                    ])
                })
                .collect();
            record.line(format!(
                "adviser: {step}, {} workers, {} allowed",
                workers.len(),
                allowed.len()
            ));
            Reply::Answer(
                200,
                Json::Obj(vec![("allowed".to_owned(), Json::Arr(allowed))]),
            )
        });
        Adviser { _server: server }
    }
}

/// All workers but two may run a step; which ones doesn't change.
fn is_allowed(worker: &str) -> bool {
    !worker.starts_with("i-w10-") && !worker.starts_with("i-w11-")
}
