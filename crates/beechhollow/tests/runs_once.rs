//! Simulated workers whose answers are lost on the way to the core. What runs on such a worker must not run on another one too.
#![expect(
    clippy::unwrap_used,
    reason = "a test that meets the unexpected shall end"
)]

mod support;

use bh_testkit::http_raw;
use bh_testkit::ports;
use serde_json::Value;
use serde_json::json;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;
use support::LeadingCore;
use support::Process;
use support::entry_config;
use support::metric;
use support::start_leading_core;
use support::wait_for_listener;

const WORKERS: usize = 5;
const MAX_ATTEMPTS: u32 = 2;
/// Name of the job under test.
const JOB: &str = "00000000000000aa";
/// Jobs that keep one task each on every worker. Because of them the core probes the workers repeatedly, and the second job leaves a kept-alive
/// connection to each worker.
const BACKGROUND_JOBS: [&str; 2] = ["00000000000000b1", "00000000000000b2"];
/// Jobs with one task on every worker that ends at once. Their recorded ends use up the first end numbers of each worker.
const EARLIER_JOBS: [&str; 3] = ["00000000000000c1", "00000000000000c2", "00000000000000c3"];
const KEY: &str = "Bearer key";
/// Timeout of one HTTP call.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Limit for each step of the setup.
const SETUP_TIMEOUT: Duration = Duration::from_secs(20);
/// Limit for the job under test. It leaves time for every start, since these follow each other within a second or two.
const SCENARIO_TIMEOUT: Duration = Duration::from_secs(12);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Behavior of a run under test, and of its worker.
#[derive(Clone, Copy)]
struct RunBehavior {
    duration: Duration,
    /// How the run ends, as the worker reports it.
    end: &'static str,
    reaction: Reaction,
}

/// What the worker does once it has started a run under test.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Reaction {
    /// Answers.
    Answer,
    /// Breaks the connection without an answer, and refuses the repeated start as busy.
    BreakConnection,
    /// Answers, and soon announces that it leaves. It ignores the acknowledgement and keeps its runs going.
    Leave,
}

/// Behavior of each run under test, by the number of runs that were started before it.
type Scenario = fn(started: usize) -> RunBehavior;

/// A run that ends at once.
const SHORT_RUN: RunBehavior = RunBehavior {
    duration: Duration::from_millis(100),
    end: "done",
    reaction: Reaction::Answer,
};

/// One long run and two that fail at once, each with a broken connection, and then runs that succeed.
fn broken_connections(started: usize) -> RunBehavior {
    let unanswered = |duration_ms, end| RunBehavior {
        duration: Duration::from_millis(duration_ms),
        end,
        reaction: Reaction::BreakConnection,
    };
    match started {
        0 => unanswered(4_000, "done"),
        1 | 2 => unanswered(10, "failed"),
        _ => SHORT_RUN,
    }
}

/// A run on a worker that leaves while the run goes on.
fn unacknowledged_leave(started: usize) -> RunBehavior {
    match started {
        0 => RunBehavior {
            duration: Duration::from_secs(3),
            end: "done",
            reaction: Reaction::Leave,
        },
        _ => SHORT_RUN,
    }
}

/// A run that takes longer than a probe of its worker.
fn one_second(_: usize) -> RunBehavior {
    RunBehavior {
        duration: Duration::from_secs(1),
        ..SHORT_RUN
    }
}

/// Task and attempt number of a run.
type Run = (String, u64);

/// State of one simulated worker.
struct Worker {
    /// Start time in milliseconds since 1970.
    started_ms: u64,
    /// Instant at which the worker's clock was zero.
    clock_zero: Instant,
    /// Sequence number of the last heartbeat.
    sequence: u64,
    /// Highest number of an acknowledged end.
    acknowledged_to: u64,
    /// Current runs, with the time at which each ends and how.
    running: BTreeMap<Run, (Instant, &'static str)>,
    /// Ended runs whose end is not acknowledged yet: number of the end, run, and how it ended.
    ended: Vec<(u64, Run, &'static str)>,
    /// Number of the last end.
    last_end: u64,
    /// Number of starts that the worker will refuse as busy.
    pending_refusals: u32,
    /// Whether the worker has announced that it leaves.
    is_leaving: bool,
}

impl Worker {
    /// Creates a worker that starts now and runs nothing.
    fn new() -> Self {
        let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        Self {
            started_ms: u64::try_from(since_1970.as_millis()).unwrap(),
            clock_zero: Instant::now(),
            sequence: 0,
            acknowledged_to: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            pending_refusals: 0,
            is_leaving: false,
        }
    }

    fn clock_ms(&self) -> u64 {
        u64::try_from(self.clock_zero.elapsed().as_millis()).unwrap()
    }

    fn end_run(&mut self, run: &Run, end: &'static str) {
        if self.running.remove(run).is_some() {
            self.last_end += 1;
            self.ended.push((self.last_end, run.clone(), end));
        }
    }

    fn end_due_runs(&mut self) {
        let now = Instant::now();
        let due = self.running.iter().filter(|(_, (until, _))| now >= *until);
        let due: Vec<_> = due.map(|(run, (_, end))| (run.clone(), *end)).collect();
        for (run, end) in due {
            self.end_run(&run, end);
        }
    }
}

/// All workers, and what they saw of the job under test.
struct Simulation {
    scenario: Scenario,
    /// Control address of the core.
    control: SocketAddr,
    start_time: Instant,
    workers: Vec<Worker>,
    /// Number of started runs of the job under test.
    started_runs: usize,
    /// Number of failed runs of the job under test.
    failed_runs: u32,
    /// Tasks that were acknowledged as done.
    done_tasks: BTreeSet<String>,
    /// Starts that must not have happened.
    problems: Vec<String>,
    events: Vec<String>,
}

impl Simulation {
    fn log_event(&mut self, event: String) {
        let at_ms = self.start_time.elapsed().as_millis();
        self.events.push(format!("{at_ms} ms: {event}"));
    }

    fn end_due_runs(&mut self) {
        for index in 0..self.workers.len() {
            let before = self.workers[index].ended.len();
            self.workers[index].end_due_runs();
            let newly_ended = self.workers[index].ended.split_off(before);
            self.workers[index].ended.extend_from_slice(&newly_ended);
            for (_, run, end) in newly_ended {
                self.log_event(format!("{run:?} ends {end} on worker {index}"));
                self.failed_runs += u32::from(run.0.starts_with(JOB) && end == "failed");
            }
        }
    }

    /// Carries out a start order. Returns the answer, or `None` if the connection breaks.
    fn start(&mut self, index: usize, run: Run) -> Option<(u16, Value)> {
        if self.workers[index].pending_refusals > 0 {
            self.workers[index].pending_refusals -= 1;
            self.log_event(format!("{run:?} is refused by worker {index}"));
            return Some((503, json!({})));
        }
        let accepted = Some((200, json!({ "clockMs": self.workers[index].clock_ms() })));
        if self.workers[index].running.contains_key(&run) {
            return accepted;
        }
        if !run.0.starts_with(JOB) {
            let is_earlier = EARLIER_JOBS.iter().any(|job| run.0.starts_with(job));
            let duration = if is_earlier {
                SHORT_RUN.duration
            } else {
                SETUP_TIMEOUT + SCENARIO_TIMEOUT
            };
            let until = Instant::now() + duration;
            self.workers[index].running.insert(run, (until, "done"));
            return accepted;
        }
        self.log_event(format!("{run:?} starts on worker {index}"));
        self.check_start(&run);
        let behavior = (self.scenario)(self.started_runs);
        self.started_runs += 1;
        let until = Instant::now() + behavior.duration;
        self.workers[index]
            .running
            .insert(run, (until, behavior.end));
        match behavior.reaction {
            Reaction::Answer => accepted,
            Reaction::BreakConnection => {
                self.workers[index].pending_refusals = 1;
                None
            }
            Reaction::Leave => {
                self.leave(index);
                accepted
            }
        }
    }

    /// Announces that the worker drains and leaves, and ignores the answers.
    fn leave(&mut self, index: usize) {
        self.workers[index].is_leaving = true;
        let control = self.control;
        thread::spawn(move || {
            thread::sleep(2 * HEARTBEAT_INTERVAL);
            let path = format!("/-/instances/{}", worker_id(index));
            http_raw::send(control, "DELETE", &path, &[], &[], CALL_TIMEOUT);
        });
    }

    /// Records a problem if `run` must not start now.
    fn check_start(&mut self, run: &Run) {
        let all = self.workers.iter().flat_map(|worker| worker.running.keys());
        if let Some(other) = all.into_iter().find(|other| other.0 == run.0) {
            self.problems
                .push(format!("{run:?} starts while {other:?} runs"));
        }
        if self.done_tasks.contains(&run.0) {
            self.problems
                .push(format!("{run:?} starts after its task was done"));
        }
        if self.failed_runs >= MAX_ATTEMPTS {
            self.problems.push(format!(
                "{run:?} starts after {} failed runs",
                self.failed_runs
            ));
        }
    }

    /// Crashes all workers and restarts them with the same ids.
    fn restart_all(&mut self) {
        for index in 0..self.workers.len() {
            self.log_event(format!("worker {index} restarts"));
            self.workers[index] = Worker::new();
        }
    }

    /// Builds the worker's report. `cursor` is the highest end number that the core acknowledges.
    fn report(&mut self, index: usize, cursor: u64) -> Value {
        let worker = &mut self.workers[index];
        worker.acknowledged_to = worker.acknowledged_to.max(cursor);
        let (acknowledged, unacknowledged) = std::mem::take(&mut worker.ended)
            .into_iter()
            .partition(|(number, _, _)| *number <= cursor);
        worker.ended = unacknowledged;
        let acknowledged: Vec<(u64, Run, &str)> = acknowledged;
        let done = acknowledged
            .into_iter()
            .filter(|(_, _, end)| *end == "done");
        self.done_tasks.extend(done.map(|(_, run, _)| run.0));
        let running = worker.running.keys();
        let running: Vec<Value> = running
            .map(|(task, attempt)| json!([task, attempt, "", 1, 0]))
            .collect();
        let ended = worker.ended.iter();
        let ended: Vec<Value> = ended
            .map(|(number, (task, attempt), end)| json!([number, task, attempt, end, ""]))
            .collect();
        json!({ "born": worker.started_ms, "clockMs": worker.clock_ms(), "running": running, "finished": ended })
    }
}

/// Serves the connections of worker `index` and sends its heartbeats.
#[derive(Clone)]
struct WorkerServer {
    index: usize,
    address: SocketAddr,
    simulation: Arc<Mutex<Simulation>>,
}

impl WorkerServer {
    fn simulation(&self) -> MutexGuard<'_, Simulation> {
        self.simulation.lock().unwrap()
    }

    fn serve(&self, mut stream: TcpStream) {
        while let Some((path, body)) = read_request(&mut stream) {
            let Some((status, answer)) = self.answer(&path, &body) else {
                return;
            };
            let text = answer.to_string();
            let head = format!(
                "HTTP/1.1 {status} X\r\ncontent-length: {}\r\n\r\n",
                text.len()
            );
            if stream
                .write_all(format!("{head}{text}").as_bytes())
                .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, path: &str, body: &Value) -> Option<(u16, Value)> {
        let run = || {
            let task = body["task"].as_str().unwrap().to_owned();
            (task, body["attempt"].as_u64().unwrap())
        };
        match path {
            "/-/run-start" => self.simulation().start(self.index, run()),
            "/-/run-stop" => {
                let mut simulation = self.simulation();
                simulation.workers[self.index].end_run(&run(), "stopped");
                let clock_ms = simulation.workers[self.index].clock_ms();
                Some((200, json!({ "clockMs": clock_ms })))
            }
            _ => {
                let max_wait = Duration::from_millis(body["waitMs"].as_u64().unwrap_or(0));
                let until = Instant::now() + max_wait;
                let cursor = body["ackCursor"].as_u64().unwrap_or(0);
                loop {
                    let mut simulation = self.simulation();
                    simulation.end_due_runs();
                    let report = simulation.report(self.index, cursor);
                    drop(simulation);
                    let ended_count = report["finished"].as_array().unwrap().len();
                    if ended_count > 0 || Instant::now() >= until {
                        return Some((200, report));
                    }
                    thread::sleep(POLL_INTERVAL);
                }
            }
        }
    }

    fn send_heartbeats(&self, control: SocketAddr) {
        loop {
            let (started_ms, clock_ms, sequence, is_leaving) = {
                let mut simulation = self.simulation();
                let worker = &mut simulation.workers[self.index];
                worker.sequence += 1;
                (
                    worker.started_ms,
                    worker.clock_ms(),
                    worker.sequence,
                    worker.is_leaving,
                )
            };
            let state = if is_leaving { "draining" } else { "ready" };
            let body = json!({
                "born": started_ms, "service": "pool", "address": self.address.to_string(), "zone": "dc", "version": "v1", "slots": 8, "state": state,
                "coldRemainingMs": 0, "capacity": {"cpu": 16_000, "requestMemoryMb": 65_536, "gpu": 8}, "labels": ["a", "rack"],
                "machine": format!("vm{}", self.index), "clockMs": clock_ms, "sequence": sequence,
            });
            let path = format!("/-/instances/{}", worker_id(self.index));
            http_raw::send(
                control,
                "PUT",
                &path,
                &[],
                body.to_string().as_bytes(),
                CALL_TIMEOUT,
            );
            thread::sleep(HEARTBEAT_INTERVAL);
        }
    }
}

fn worker_id(index: usize) -> String {
    format!("i-{index}")
}

/// Reads one request, and returns its path and JSON body.
fn read_request(stream: &mut TcpStream) -> Option<(String, Value)> {
    let mut bytes = Vec::new();
    let mut chunk = [0; 4 << 10];
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head
                .lines()
                .filter_map(|line| line.split_once(':'))
                .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
                .and_then(|(_, value)| value.trim().parse().ok())
                .unwrap_or(0);
            if body.len() >= length {
                let path = head.split(' ').nth(1)?.to_owned();
                return Some((path, serde_json::from_str(body).unwrap_or_default()));
            }
        }
        match stream.read(&mut chunk) {
            Ok(count) if count > 0 => bytes.extend_from_slice(&chunk[..count]),
            _ => return None,
        }
    }
}

/// Starts the workers, which run until the test process ends.
fn start_workers(control: SocketAddr, scenario: Scenario) -> Arc<Mutex<Simulation>> {
    let simulation = Arc::new(Mutex::new(Simulation {
        scenario,
        control,
        start_time: Instant::now(),
        workers: (0..WORKERS).map(|_| Worker::new()).collect(),
        started_runs: 0,
        failed_runs: 0,
        done_tasks: BTreeSet::new(),
        problems: Vec::new(),
        events: Vec::new(),
    }));
    for (index, address) in ports::free(WORKERS).into_iter().enumerate() {
        let server = WorkerServer {
            index,
            address,
            simulation: simulation.clone(),
        };
        let listener = TcpListener::bind(address).unwrap();
        let accepting = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let connection_server = accepting.clone();
                thread::spawn(move || connection_server.serve(stream));
            }
        });
        thread::spawn(move || server.send_heartbeats(control));
    }
    simulation
}

fn wait_until(what: &str, limit: Duration, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + limit;
    while !condition() {
        assert!(Instant::now() < deadline, "not within {limit:?}: {what}");
        thread::sleep(POLL_INTERVAL);
    }
}

fn call(address: SocketAddr, method: &str, path: &str, body: &Value) -> http_raw::RawAnswer {
    let headers = [("authorization", KEY), ("deadline-ms", "3000")];
    let body = body.to_string();
    http_raw::send(
        address,
        method,
        path,
        &headers,
        body.as_bytes(),
        CALL_TIMEOUT,
    )
}

/// Rules with one queue, and one tenant that is guaranteed all accelerators.
fn rules() -> Value {
    json!({"version": 1, "routes": [{"name": "queue", "host": "127.0.0.1", "pathPrefix": "/queue/", "kind": "non_idempotent", "timeoutMs": 3_000,
            "targetLatencyMs": 1_000, "priority": 0, "service": "pool", "maxAttempts": MAX_ATTEMPTS, "slackFactor": 3.0, "public": false}],
        "services": [{"name": "pool", "healthPath": "/health", "maxConnections": 64, "enforcesCapacity": false}],
        "tenants": [{"name": "t", "apiKeys": ["key"], "guaranteed": {"gpu": 8 * WORKERS}}]})
}

/// A job of one step with `count` tasks. `max_per_worker` is its anti-affinity value.
fn job(count: usize, max_per_worker: usize) -> Value {
    json!({"spec": "text", "steps": [{"count": count, "cpu": 1_000, "requestMemoryMb": 1_024, "gpu": 1, "estimatedMs": 4_000,
        "antiAffinity": max_per_worker}]})
}

/// Runs a job of one task under `scenario`. Returns the simulation and the core.
fn run_scenario(name: &str, scenario: Scenario) -> (Arc<Mutex<Simulation>>, LeadingCore) {
    run_scenario_with_setup(name, scenario, |_, _| {})
}

/// Like [`run_scenario`], but calls `setup` before the job is submitted, with a function that submits further jobs.
fn run_scenario_with_setup(
    name: &str,
    scenario: Scenario,
    setup: impl Fn(&Mutex<Simulation>, &dyn Fn(&str, Value)),
) -> (Arc<Mutex<Simulation>>, LeadingCore) {
    let core = start_leading_core(&format!("{name}-core"), "");
    let control = core.control;
    let addresses = ports::free(3);
    let entry = entry_config(
        &[addresses[0], addresses[1], addresses[2], control],
        core.peer_port,
    );
    let _entry = Process::start(&format!("{name}-entry"), &entry);
    wait_for_listener(addresses[0]);
    wait_until("the rules are accepted", SETUP_TIMEOUT, || {
        call(control, "PUT", "/-/config", &rules()).status == 200
    });
    let simulation = start_workers(control, scenario);
    let submit = |name: &str, job: Value| {
        let path = format!("/queue/{name}");
        wait_until("the job is accepted", SETUP_TIMEOUT, || {
            call(addresses[0], "POST", &path, &job).status == 200
        });
    };
    for (submitted_before, name) in BACKGROUND_JOBS.into_iter().enumerate() {
        submit(name, job(WORKERS, 1));
        wait_until("every worker has its task", SETUP_TIMEOUT, || {
            let simulation = simulation.lock().unwrap();
            let mut workers = simulation.workers.iter();
            workers.all(|worker| worker.running.len() > submitted_before)
        });
    }
    setup(&simulation, &submit);
    submit(JOB, job(1, 0));
    let has_ended = || {
        let state = call(addresses[0], "GET", &format!("/queue/{JOB}"), &Value::Null);
        let state = state.json()["state"].clone();
        state == "completed" || state == "failed"
    };
    wait_until("the job has ended", SCENARIO_TIMEOUT, has_ended);
    (simulation, core)
}

fn assert_no_problems(simulation: &Simulation) {
    let events = simulation.events.join("\n");
    assert!(
        simulation.problems.is_empty(),
        "{}\n{events}",
        simulation.problems.join("\n")
    );
}

/// Guards against running a task twice at once, and after its last allowed failure. A worker carries out a start, but the kept-alive connection breaks
/// before the answer. The core sends the start again over a new connection, and the worker, busy by then, refuses it. Of an order that was sent twice
/// only the second answer was known, so the refusal was taken to mean that the run never started: the task started elsewhere at once, and the failure
/// of the first run was not counted. The worker's own list of runs shows the fault: the second to fourth run started beside the first, in ten of ten
/// executions.
#[test]
fn a_start_that_is_refused_when_it_comes_again_may_have_begun() {
    let (simulation, core) = run_scenario("repeated-starts", broken_connections);
    let simulation = simulation.lock().unwrap();
    assert_no_problems(&simulation);
    assert!(simulation.started_runs > 1, "nothing was started again");
    let repeated = metric(core.metrics, "orders_repeated_total");
    assert!(repeated > Some(0), "no order was sent again");
}

/// A worker announces that it leaves, but gets no acknowledgement and keeps running for seconds. If the announcement counted as the end of its runs,
/// the task would start elsewhere at the same time.
#[test]
fn a_worker_that_leaves_unheard_runs_on() {
    let (simulation, _core) = run_scenario("unheard-leave", unacknowledged_leave);
    assert_no_problems(&simulation.lock().unwrap());
}

/// Guards against repeating a task that is done. A worker that restarts with the same id numbers its ends from 1 again, and these ends were mistaken
/// for ends that were already recorded.
#[test]
fn ends_of_a_worker_that_starts_again_under_its_id_count() {
    let (simulation, _core) =
        run_scenario_with_setup("restarted", one_second, |simulation, submit| {
            for name in EARLIER_JOBS {
                submit(name, job(WORKERS, 1));
            }
            let earlier = u64::try_from(EARLIER_JOBS.len()).unwrap();
            wait_until("the earlier ends are acknowledged", SETUP_TIMEOUT, || {
                let simulation = simulation.lock().unwrap();
                let mut workers = simulation.workers.iter();
                workers.all(|worker| worker.acknowledged_to >= earlier)
            });
            simulation.lock().unwrap().restart_all();
            wait_until("the background jobs run again", SETUP_TIMEOUT, || {
                let simulation = simulation.lock().unwrap();
                let mut workers = simulation.workers.iter();
                workers.all(|worker| worker.running.len() == BACKGROUND_JOBS.len())
            });
        });
    let simulation = simulation.lock().unwrap();
    assert_no_problems(&simulation);
    assert_eq!(
        simulation.started_runs,
        1,
        "{}",
        simulation.events.join("\n")
    );
}
