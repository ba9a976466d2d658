//! What the scripts share: a running deployment with a configuration and clients.

use crate::cluster::Bounds;
use crate::cluster::Cluster;
use crate::cluster::ZONES;
use crate::cluster::free;
use crate::cluster::ip;
use crate::http;
use crate::record::Record;
use crate::worker::EndedGangs;
use crate::worker::Event;
use crate::worker::Worker;
use serde_json::Value;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

pub const KEY: &str = "d4a3hwrr6x73d3zji9n7";
/// Key of the tenant that 8 accelerators are guaranteed to.
pub const GUARANTEED_KEY: &str = "3hh2b9wu3fexd9dnn2ct";
pub const HOST: &str = "nony24.example";
pub const SERVICE: &str = "outagehub";

pub struct Site {
    pub cluster: Cluster,
    pub record: Arc<Record>,
    pub events: Arc<Mutex<Vec<Event>>>,
    pub workers: Vec<Arc<Worker>>,
    ended_gangs: EndedGangs,
    bounds: Bounds,
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// The configuration: three queues of one service and one tenant.
pub fn config(version: u64) -> String {
    let route = |name: &str, prefix: &str, priority: u64, attempts: u64| {
        json!({
            "name": name, "host": HOST, "pathPrefix": prefix, "kind": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 1000,
            "priority": priority, "service": SERVICE, "maxAttempts": attempts, "slackFactor": 3.0, "public": false
        })
    };
    json!({
        "version": version,
        "routes": [route("r-urgent", "/urgent/", 0, 2), route("r-batch", "/batch/", 1, 2), route("r-fill", "/fill/", 2, 3)],
        "services": [{"name": SERVICE, "healthPath": "/health", "maxConnections": 64, "protocol": "h1", "tls": false, "enforcesCapacity": false, "standby": false}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [
            {"name": "kaje80", "apiKeys": [KEY], "priority": 1},
            {"name": "lohu12", "apiKeys": [GUARANTEED_KEY], "priority": 1, "guaranteed": {"gpu": 8}}
        ]
    })
    .to_string()
}

impl Site {
    /// Starts the processes with two entries, waits for a leader, and hands in the configuration.
    pub fn start(
        binary: &str,
        record: &str,
        bounds: Bounds,
        platform: Option<SocketAddr>,
    ) -> Result<Self, String> {
        Self::start_with(binary, record, (bounds, 2), platform)
    }

    /// Starts the processes with this number of entries; see [`Self::start`].
    pub fn start_with(
        binary: &str,
        record: &str,
        (bounds, entries): (Bounds, u8),
        platform: Option<SocketAddr>,
    ) -> Result<Self, String> {
        let record = Arc::new(Record::new(record));
        let nobody = free(250);
        let mut cluster = Cluster::start(
            binary,
            (bounds, entries),
            (platform.unwrap_or(nobody), nobody),
            record.clone(),
        );
        let put = cluster.control_call("PUT", "/-/config", &config(1), Duration::from_secs(15));
        if put.is_none_or(|(status, _)| status != 200) {
            return Err("no core acknowledged the configuration".to_owned());
        }
        if !cluster.ended().is_empty() {
            return Err("a process did not start".to_owned());
        }
        Ok(Self {
            cluster,
            record,
            events: Arc::default(),
            workers: Vec::new(),
            ended_gangs: EndedGangs::default(),
            bounds,
        })
    }

    /// Adds a worker on the machine with this number, which is not started yet.
    pub fn add_worker(&mut self, number: usize) -> Arc<Worker> {
        self.add_worker_of(number, "a")
    }

    /// Adds a worker of a kind.
    pub fn add_worker_of(&mut self, number: usize, kind: &str) -> Arc<Worker> {
        let host = u8::try_from(30 + number).unwrap_or(30);
        let zone = ZONES[number % ZONES.len()];
        let worker = Worker::new(
            (
                &format!("m-{number:02}"),
                SocketAddr::new(ip(host), free(host).port()),
            ),
            (zone, &format!("r{}-1", number % ZONES.len()), kind, SERVICE),
            self.cluster.control.clone(),
            self.record.clone(),
            (self.events.clone(), self.ended_gangs.clone()),
            self.bounds.lease_ms,
        );
        self.workers.push(worker.clone());
        worker
    }

    /// A call of a client of the first tenant; see [`Self::client_of`].
    pub fn client(
        &self,
        method: &str,
        path: &str,
        body: &str,
        tries: usize,
    ) -> Option<(u16, String)> {
        self.client_of(KEY, (method, path), body, tries)
    }

    /// A client's call. It is sent again after no answer, a 502, a 504, a 429 or a 503, for `tries` times.
    pub fn client_of(
        &self,
        key: &str,
        (method, path): (&str, &str),
        body: &str,
        tries: usize,
    ) -> Option<(u16, String)> {
        let mut last = None;
        for attempt in 0..tries {
            let entry = self.cluster.entries[attempt % self.cluster.entries.len()];
            let headers = [
                ("Host", HOST.to_owned()),
                ("Authorization", format!("Bearer {key}")),
                ("Deadline-Ms", "3000".to_owned()),
            ];
            let answer = http::call(
                entry,
                method,
                path,
                &headers,
                body,
                Duration::from_millis(3_000),
            );
            self.record
                .line(&format!("client: {method} {path} -> {answer:?}"));
            last = answer;
            match &last {
                Some((status, _)) if !matches!(status, 429 | 502 | 503 | 504) => break,
                _ => sleep_ms(300),
            }
        }
        last
    }

    /// Hands a job in; whether it was accepted.
    pub fn submit(&self, queue: &str, id: &str, spec: &str, step: Value) -> bool {
        self.submit_as(KEY, (queue, id), spec, step)
    }

    /// Hands a job in with a key; whether it was accepted.
    pub fn submit_as(&self, key: &str, (queue, id): (&str, &str), spec: &str, step: Value) -> bool {
        let body = json!({ "spec": spec, "steps": [step] }).to_string();
        self.record.line(&format!("client: job {id}: {body}"));
        let answer = self.client_of(key, ("POST", &format!("/{queue}/{id}")), &body, 5);
        answer.is_some_and(|(status, _)| status == 200)
    }

    /// State of a job as a client reads it.
    pub fn state(&self, queue: &str, id: &str) -> Option<String> {
        let (status, body) = self.client("GET", &format!("/{queue}/{id}"), "", 5)?;
        if status == 410 {
            return Some("410".to_owned());
        }
        let value: Value = serde_json::from_str(&body).ok()?;
        Some(value["state"].as_str()?.to_owned())
    }

    /// Events of the tasks of a job.
    pub fn events_of(&self, id: &str) -> Vec<Event> {
        let events = self.events.lock().expect("events");
        events
            .iter()
            .filter(|event| event.task.starts_with(id))
            .cloned()
            .collect()
    }

    /// Waits until `done` holds, for `ms` at most; whether it did.
    pub fn wait(&self, ms: u64, done: impl Fn(&Self) -> bool) -> bool {
        let until_ms = self.record.now_ms() + ms;
        while self.record.now_ms() < until_ms {
            if done(self) {
                return true;
            }
            sleep_ms(20);
        }
        false
    }

    /// Number of runs that go on.
    pub fn running(&self) -> usize {
        self.workers
            .iter()
            .map(|worker| {
                worker
                    .life
                    .lock()
                    .expect("life")
                    .as_ref()
                    .map_or(0, |life| life.runs.len())
            })
            .sum()
    }

    /// Puts what the cores decided about these words into the record.
    pub fn record_log(&self, words: &[&str]) {
        for line in self.cluster.log_lines(words) {
            self.record.line(&format!("log: {line}"));
        }
    }

    /// Ends all workers and processes.
    pub fn stop(&mut self) {
        for worker in &self.workers {
            worker.end("the case is over");
        }
        self.cluster.stop();
    }
}
