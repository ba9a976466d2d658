//! The cases.

use crate::cluster;
use crate::cluster::Cluster;
use crate::http;
use crate::record::Record;
use crate::worker::Behaviour;
use crate::worker::LASTS_MS;
use crate::worker::Settings;
use crate::worker::Start;
use crate::worker::Worker;
use crate::worker::shown;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

pub type Verdict = Result<bool, String>;

const HOST: &str = "queue.example";
const PREFIX: &str = "/batch/";
const KEY: &str = "Bearer d4a3hwrr6x73d3zji9n7";
const SERVICE: &str = "huvo11a";

pub fn play(case: &str, trouble: bool, record: &Record) -> Verdict {
    match case {
        "forgotten" => forgotten(trouble, record),
        "lasting" => lasting(trouble, record),
        _ => Err(format!("no case is named {case}")),
    }
}

fn pause(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// A configuration as the operator of PROTOCOL.md writes it, with one queue.
fn configuration(version: u64, max_attempts: u32) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-batch\",\"host\":\"{HOST}\",\"pathPrefix\":\"{PREFIX}\",\"kind\":\"non_idempotent\",\"timeoutMs\":3000,\"targetLatencyMs\":1000,\"priority\":1,\"service\":\"{SERVICE}\",\"maxAttempts\":{max_attempts},\"slackFactor\":3.0,\"public\":false}}],\"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/health\",\"maxConnections\":64,\"protocol\":\"h1\",\"tls\":false,\"enforcesCapacity\":false,\"standby\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"kaje80\",\"apiKeys\":[\"d4a3hwrr6x73d3zji9n7\"],\"priority\":1,\"guaranteed\":{{\"gpu\":0}}}}]}}"
    )
}

/// Everything of a small deployment.
struct Scene<'a> {
    cluster: Cluster,
    record: &'a Record,
    starts: Arc<Mutex<Vec<Start>>>,
}

impl Scene<'_> {
    fn begin(record: &Record) -> Scene<'_> {
        let cluster = Cluster::begin(3, 2);
        record.line(format!(
            "3 cores with control at {:?}, 2 entries at {:?}",
            cluster.controls, cluster.callers
        ));
        Scene {
            cluster,
            record,
            starts: Arc::default(),
        }
    }

    /// Sends an order of the operator to one core after the other until it is acknowledged.
    fn order(&self, method: &str, path: &str, body: &str) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            for control in &self.cluster.controls {
                let answer = http::call(
                    *control,
                    (method, path),
                    &[],
                    body,
                    Duration::from_millis(1_000),
                );
                let status = answer.map(|(status, _)| status);
                if status.is_some_and(|status| status != 503) {
                    self.record.line(format!(
                        "operator: {method} {path} {} -> {status:?}",
                        shown(body)
                    ));
                }
                match status {
                    Some(200..300) => return Ok(()),
                    Some(400 | 409 | 412 | 413 | 422) => {
                        return Err(format!("{method} {path} refused"));
                    }
                    _ => {}
                }
            }
            pause(200);
        }
        Err(format!("{method} {path} not acknowledged"))
    }

    /// One call of a client; status and body.
    fn call(&self, entry: usize, method: &str, id: &str, body: &str) -> Option<(u16, String)> {
        let headers = [
            ("Host", HOST),
            ("Authorization", KEY),
            ("Deadline-Ms", "3000"),
        ];
        let path = format!("{PREFIX}{id}");
        let answer = http::call(
            self.cluster.callers[entry],
            (method, &path),
            &headers,
            body,
            Duration::from_millis(3_000),
        );
        let answer = answer.map(|(status, message)| (status, message.body));
        match &answer {
            Some((status, body)) => self.record.line(format!(
                "client: {method} {path} at entry {entry} -> {status} {}",
                shown(body)
            )),
            None => self.record.line(format!(
                "client: {method} {path} at entry {entry} -> no answer"
            )),
        }
        answer
    }

    fn submit(&self, id: &str, body: &str) -> Result<(), String> {
        for attempt in 0..20 {
            match self.call(attempt % 2, "POST", id, body) {
                Some((200..300, _)) => return Ok(()),
                Some((400, _)) => return Err("job refused".to_owned()),
                _ => pause(300),
            }
        }
        Err("job not accepted".to_owned())
    }

    fn worker(&self, number: u8, id: &str, behaviour: &Behaviour) -> Arc<Worker> {
        let settings = Settings {
            id: id.to_owned(),
            service: SERVICE.to_owned(),
            zone: format!("zone-{number}"),
            rack: format!("r-{number}"),
            address: SocketAddr::new(
                cluster::ip(self.cluster.net, 20 + number),
                self.cluster.worker_port,
            ),
            controls: self.cluster.controls.clone(),
            cpu: 32_000,
        };
        Worker::begin(
            settings,
            behaviour.clone(),
            self.starts.clone(),
            self.record.clone(),
        )
    }

    /// Waits for the start number `count` (from 1) of any task of job `id`.
    fn await_start(&self, id: &str, count: usize, within_s: u64) -> Result<Start, String> {
        let until = Instant::now() + Duration::from_secs(within_s);
        while Instant::now() < until {
            let starts = self.starts.lock().unwrap();
            let of_job: Vec<&Start> = starts
                .iter()
                .filter(|start| start.task.starts_with(id))
                .collect();
            if let Some(start) = of_job.get(count - 1) {
                return Ok((*start).clone());
            }
            drop(starts);
            pause(20);
        }
        Err(format!("start {count} of {id} did not come"))
    }
}

/// One of two tasks ends well, the other one fails twice. While its third run works, the operator lowers `maxAttempts` to two, and the run's
/// worker leaves as planned. The job may be given up then, but its state must be there to be read for `status_s` (120 s).
fn forgotten(trouble: bool, record: &Record) -> Verdict {
    let scene = Scene::begin(record);
    scene.order("PUT", "/-/config", &configuration(1, 4))?;
    // The first of the two tasks ends well; the second fails twice and then works for longer.
    let behaviour: Behaviour = Arc::new(|task, attempt| {
        if task.ends_with(".0") {
            (4_000, "done")
        } else if attempt <= 2 {
            (1_000, "failed")
        } else {
            (7_500, "done")
        }
    });
    let workers: Vec<Arc<Worker>> = (1..=3)
        .map(|number| scene.worker(number, &format!("i-{number}"), &behaviour))
        .collect();
    pause(2_500);
    let id = "5c0e7a21d94b36f8";
    let body = "{\"spec\":\"text\",\"steps\":[{\"count\":2,\"cpu\":1000,\"requestMemoryMb\":256,\"gpu\":1,\"estimatedMs\":10000}]}";
    scene.submit(id, body)?;
    let accepted = Instant::now();
    let third = scene.await_start(&format!("{id}.0.0.1"), 3, 30)?;
    pause(1_500);
    if trouble {
        scene.order("PUT", "/-/config", &configuration(2, 2))?;
        let worker = workers
            .iter()
            .find(|worker| worker.settings.id == third.worker)
            .ok_or("no worker")?;
        if worker.runs(&third.task) != Some(3) {
            return Err("the third run is not at work".to_owned());
        }
        worker.leave(3_000);
    }
    let until = Instant::now() + Duration::from_secs(35);
    let mut gone = 0;
    let mut entry = 0;
    while Instant::now() < until {
        entry = 1 - entry;
        if let Some((status, _)) = scene.call(entry, "GET", id, "") {
            // visible_ms is 3,000 here.
            gone += u32::from(status == 410 && accepted.elapsed() > Duration::from_millis(3_000));
        }
        if gone == 3 {
            break;
        }
        pause(700);
    }
    // A late copy of the submission: "a request with the same ID arrives again [...] It remains one job".
    let before = scene.starts.lock().unwrap().len();
    scene.call(0, "POST", id, body);
    pause(3_000);
    let starts = scene.starts.lock().unwrap();
    let later = &starts[before..];
    let done_again = later.iter().filter(|start| start.task.ends_with(".0"));
    record.line(format!(
        "starts of the job after a late copy of its submission: {}, of them of the task that had ended done: {}",
        later.len(),
        done_again.count()
    ));
    record.line(format!(
        "answers 410 for an accepted job that nobody cancelled: {gone}"
    ));
    Ok(gone > 0)
}

/// One of three tasks that last loses its worker three times to a crash. It must be started again "however it ends", and the other two, which
/// are at work on sound workers, must not be stopped.
fn lasting(trouble: bool, record: &Record) -> Verdict {
    let scene = Scene::begin(record);
    scene.order("PUT", "/-/config", &configuration(1, 4))?;
    let behaviour: Behaviour = Arc::new(|_, _| (LASTS_MS, "done"));
    let mut workers: Vec<Arc<Worker>> = (1..=5)
        .map(|number| scene.worker(number, &format!("i-{number}-0"), &behaviour))
        .collect();
    let mut all = workers.clone();
    pause(2_500);
    let id = "5c0e7a21d94b36f8";
    let body = "{\"spec\":\"text\",\"steps\":[{\"count\":3,\"cpu\":1000,\"requestMemoryMb\":256,\"gpu\":1,\"longRunning\":true,\"antiAffinity\":1,\"missTolerance\":1}]}";
    scene.submit(id, body)?;
    let first = format!("{id}.0.0.0");
    let mut broken = false;
    for round in 1..=4 {
        let Ok(start) = scene.await_start(&first, if trouble { round } else { 1 }, 20) else {
            record.line(format!("no further start of {first} in 20 s"));
            broken = true;
            break;
        };
        pause(10_000);
        if let Some((200, state)) = scene.call(round % 2, "GET", id, "") {
            broken |= state.contains("failed") || state.contains("completed");
        }
        if trouble && round <= 3 {
            let at = workers
                .iter()
                .position(|worker| worker.settings.id == start.worker)
                .ok_or("no worker")?;
            workers[at].crash();
            pause(1_500);
            let number = u8::try_from(at + 1).unwrap();
            workers[at] = scene.worker(number, &format!("i-{number}-{round}"), &behaviour);
            all.push(workers[at].clone());
        }
    }
    pause(6_000);
    for entry in 0..2 {
        if let Some((200, state)) = scene.call(entry, "GET", id, "") {
            broken |= state.contains("failed") || state.contains("completed");
        }
    }
    let stopped: usize = all
        .iter()
        .map(|worker| worker.stopped_at_work.load(Ordering::SeqCst))
        .sum();
    let running = (0..3)
        .filter(|index| {
            let task = format!("{id}.0.0.{index}");
            workers.iter().any(|worker| worker.runs(&task).is_some())
        })
        .count();
    record.line(format!(
        "tasks of the job that run at the end: {running} of 3; stopped at work by the system: {stopped}"
    ));
    Ok(broken)
}
