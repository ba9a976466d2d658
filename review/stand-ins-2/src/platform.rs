//! The platform's interface for machines, as PROTOCOL.md describes it under "Machines".

use crate::http;
use crate::http::Request;
use crate::record::Record;
use crate::setup::sleep_ms;
use crate::worker::Worker;
use serde_json::Value;
use serde_json::json;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::thread;

/// `maintenanceS`.
const MAINTENANCE_MS: u64 = 2_000;

/// An accepted order for the upkeep of a machine.
#[derive(Clone, Debug)]
pub struct Upkeep {
    pub at_ms: u64,
    pub machine: String,
    /// Worker that it ended.
    pub worker: String,
}

#[derive(Default)]
struct State {
    /// Waves and their machines, as the operator announced them.
    waves: BTreeMap<u64, BTreeSet<String>>,
    done: BTreeSet<(u64, String)>,
    fences: BTreeMap<String, u64>,
    upkeeps: Vec<Upkeep>,
}

pub struct Platform {
    record: Arc<Record>,
    workers: Mutex<Vec<Arc<Worker>>>,
    state: Mutex<State>,
}

impl Platform {
    /// Serves on `address`.
    pub fn start(address: SocketAddr, record: Arc<Record>) -> Arc<Self> {
        let platform = Arc::new(Self {
            record,
            workers: Mutex::default(),
            state: Mutex::default(),
        });
        let serving = platform.clone();
        http::serve(address, Arc::new(AtomicBool::new(true)), move |request| {
            serving.answer(&request)
        });
        platform
    }

    pub fn set_workers(&self, workers: Vec<Arc<Worker>>) {
        *self.workers.lock().expect("workers") = workers;
    }

    pub fn add_wave(&self, wave: u64, machines: &[String]) {
        let machines = machines.iter().cloned().collect();
        self.state
            .lock()
            .expect("state")
            .waves
            .insert(wave, machines);
    }

    pub fn upkeeps(&self) -> Vec<Upkeep> {
        self.state.lock().expect("state").upkeeps.clone()
    }

    fn answer(&self, request: &Request) -> Option<(u16, String)> {
        let (status, reason) = match request.path.as_str() {
            "/-/machine-upkeep" => self.upkeep(request),
            "/-/machines" => return Some((200, self.machines())),
            _ => (404, ""),
        };
        self.record.line(&format!(
            "platform: {} {} holder {} token {} -> {status} {reason}",
            request.path,
            String::from_utf8_lossy(&request.body),
            request.header("lease-holder").unwrap_or("-"),
            request.header("fencing-token").unwrap_or("-"),
        ));
        let body = if reason.is_empty() {
            json!({})
        } else {
            json!({ "reason": reason })
        };
        Some((status, body.to_string()))
    }

    fn machines(&self) -> String {
        let workers = self.workers.lock().expect("workers");
        let rows: Vec<Value> = workers
            .iter()
            .map(|worker| {
                let id = worker.life.lock().expect("life").as_ref().map(|life| life.id.clone());
                json!({
                    "machine": worker.machine, "pool": worker.service, "state": if id.is_some() { "up" } else { "down" }, "zone": worker.zone,
                    "labels": [worker.kind, worker.rack], "capacity": {"cpu": 32_000, "requestMemoryMb": 65_536, "gpu": worker.gpu}, "id": id
                })
            })
            .collect();
        json!({ "machines": rows, "nextToken": null }).to_string()
    }

    fn upkeep(&self, request: &Request) -> (u16, &'static str) {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let (Some(machine), Some(wave)) = (body["machine"].as_str(), body["wave"].as_u64()) else {
            return (400, "");
        };
        let token = request
            .header("fencing-token")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let mut state = self.state.lock().expect("state");
        let workers = self.workers.lock().expect("workers");
        let Some(worker) = workers.iter().find(|worker| worker.machine == machine) else {
            return (400, "");
        };
        let fence = state.fences.entry(machine.to_owned()).or_default();
        if token < *fence {
            return (409, "fence");
        }
        *fence = token;
        if !state
            .waves
            .get(&wave)
            .is_some_and(|machines| machines.contains(machine))
        {
            return (409, "wave");
        }
        if state.done.contains(&(wave, machine.to_owned())) {
            return (200, "");
        }
        let Some(id) = worker.end("its machine has its upkeep") else {
            return (409, "busy");
        };
        state.done.insert((wave, machine.to_owned()));
        state.upkeeps.push(Upkeep {
            at_ms: self.record.now_ms(),
            machine: machine.to_owned(),
            worker: id,
        });
        let worker = worker.clone();
        thread::spawn(move || {
            sleep_ms(MAINTENANCE_MS);
            worker.start();
        });
        (200, "")
    }
}
