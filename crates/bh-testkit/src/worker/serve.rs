//! The stand-in worker: an event loop on its own thread.

use super::announce::announce;
use super::faults::Faults;
use super::options::WorkerOptions;
use super::state::State;
use super::state::WorkerStats;
use super::tasks::Tasks;
use bh_net::Clock;
use bh_net::connections::ConnectionLimits;
use bh_net::connections::Connections;
use bh_net::http_server;
use bh_net::http_server::Limits;
use bh_net::runtime;
use bh_net::runtime::sleep_ms;
use bh_protocol::request;
use bh_protocol::target::TaskKey;
use bh_protocol::target::TaskOrder;
use bh_protocol::target::TaskOrderReply;
use bytes::Bytes;
use http::Request;
use http::Response;
use monoio::io::AsyncWriteRentExt;
use monoio::net::TcpListener;
use monoio::net::TcpStream;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::thread;
use std::thread::JoinHandle;
use tokio_util::sync::CancellationToken;

const POLL_INTERVAL_MS: u64 = 10;

static NEXT_INCARNATION: AtomicU64 = AtomicU64::new(1);

/// A running stand-in worker. Dropping it stops the worker.
pub struct Worker {
    address: SocketAddr,
    state: Arc<State>,
    thread: Option<JoinHandle<()>>,
}

impl Worker {
    /// Starts a worker on the address of its options, or on a free port.
    ///
    /// # Panics
    ///
    /// When the worker cannot listen or its event loop cannot start.
    pub fn start(options: WorkerOptions) -> Worker {
        let base = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .map_or(0, |since| since.as_secs());
        let state = Arc::new(State {
            options,
            faults: Mutex::new(Faults::default()),
            stats: Mutex::new(WorkerStats::default()),
            tasks: Mutex::new(Tasks::default()),
            stop: AtomicBool::new(false),
            incarnation: base * 1_000 + NEXT_INCARNATION.fetch_add(1, Ordering::SeqCst),
        });
        let (sender, receiver) = mpsc::channel();
        let shared = state.clone();
        let thread = thread::spawn(move || {
            runtime::run(1, main(shared, sender)).expect("an event loop for the worker");
        });
        let address = receiver.recv().expect("the worker listens");
        Worker {
            address,
            state,
            thread: Some(thread),
        }
    }

    /// Address that the worker listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the worker's faults.
    pub fn set_faults(&self, faults: Faults) {
        *self.state.faults.lock().expect("the lock is not poisoned") = faults;
    }

    /// Counts of what the worker has done.
    pub fn stats(&self) -> WorkerStats {
        self.state
            .stats
            .lock()
            .expect("the lock is not poisoned")
            .clone()
    }

    /// Tasks that are running now.
    pub fn running(&self) -> Vec<TaskKey> {
        self.state
            .tasks
            .lock()
            .expect("the lock is not poisoned")
            .running()
    }

    /// All tasks that have started, in the order of their start.
    pub fn started(&self) -> Vec<TaskKey> {
        self.state
            .tasks
            .lock()
            .expect("the lock is not poisoned")
            .started
            .iter()
            .map(|(key, _)| *key)
            .collect()
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.state.stop.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

async fn main(state: Arc<State>, address_sender: mpsc::Sender<SocketAddr>) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener =
        TcpListener::bind(state.options.listen.unwrap_or(any)).expect("a free port for the worker");
    let own_address = listener
        .local_addr()
        .expect("a bound listener has an address");
    address_sender
        .send(own_address)
        .expect("the test waits for the address");
    let clock = Clock::new();
    let stop = CancellationToken::new();
    monoio::spawn(accept(state.clone(), listener, clock.clone(), stop.clone()));
    monoio::spawn(announce(state.clone(), own_address, clock.clone()));
    while !state.stop.load(Ordering::SeqCst) {
        state
            .tasks
            .lock()
            .expect("the lock is not poisoned")
            .advance(clock.now_ms());
        sleep_ms(POLL_INTERVAL_MS).await;
    }
    stop.cancel();
    sleep_ms(POLL_INTERVAL_MS).await;
}

async fn accept(state: Arc<State>, listener: TcpListener, clock: Clock, stop: CancellationToken) {
    const MEMORY_MB: u64 = 1_000;
    const MAX_OPEN: usize = 10_000;
    let limits = ConnectionLimits::new(MEMORY_MB, 50, MAX_OPEN);
    let connections = Connections::new(clock.clone(), limits);
    let own = connections.add_listener();
    while let Ok((stream, _)) = listener.accept().await {
        let slot = connections.add_when_possible(own, MAX_OPEN).await;
        let (state, clock, stop) = (state.clone(), clock.clone(), stop.clone());
        monoio::spawn(async move {
            let truncates = state
                .faults
                .lock()
                .expect("the lock is not poisoned")
                .truncates;
            if truncates {
                send_truncated_answer(stream).await;
                return;
            }
            let handler = |request| serve(state.clone(), clock.clone(), request);
            http_server::serve(stream, Limits::new(60_000), slot, &stop, &stop, handler).await;
        });
    }
}

/// Sends fewer bytes than its `Content-Length` says, then closes the connection.
async fn send_truncated_answer(mut stream: TcpStream) {
    use monoio::io::AsyncReadRent;
    let (_, _) = stream.read(vec![0; 16 << 10]).await;
    let text = "HTTP/1.1 200 OK\r\ncontent-length: 1000\r\nx-request-id: 1\r\n\r\nhalf of it";
    let (_, _) = stream.write_all(text.as_bytes().to_vec()).await;
}

async fn serve(state: Arc<State>, clock: Clock, request: Request<Bytes>) -> Response<Bytes> {
    match request.uri().path() {
        "/v1/run" => serve_request(&state, request).await,
        "/v1/tasks" => serve_order(&state, &clock, &request),
        "/faults" => {
            if let Ok(faults) = serde_json::from_slice(request.body()) {
                *state.faults.lock().expect("the lock is not poisoned") = faults;
            }
            Response::new(Bytes::new())
        }
        _ => {
            let mut response = Response::new(Bytes::new());
            *response.status_mut() = http::StatusCode::NOT_FOUND;
            response
        }
    }
}

/// Counts a request as in progress until dropped.
struct InProgress(Arc<State>);

impl InProgress {
    fn new(state: &Arc<State>) -> Self {
        let mut stats = state.stats.lock().expect("the lock is not poisoned");
        stats.in_progress += 1;
        stats.most_in_progress = stats.most_in_progress.max(stats.in_progress);
        drop(stats);
        Self(state.clone())
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        if let Ok(mut stats) = self.0.stats.lock() {
            stats.in_progress -= 1;
        }
    }
}

async fn serve_request(state: &Arc<State>, request: Request<Bytes>) -> Response<Bytes> {
    let _in_progress = InProgress::new(state);
    let faults = *state.faults.lock().expect("the lock is not poisoned");
    count_run(state, &request);
    if faults.hangs {
        sleep_ms(3_600_000).await;
    }
    if faults.delay_ms > 0 {
        sleep_ms(faults.delay_ms).await;
    }
    let id = request.headers().get(request::REQUEST_ID).cloned();
    let mut body = format!("{} ran: ", state.options.name).into_bytes();
    body.extend_from_slice(request.body());
    let mut response = Response::new(Bytes::from(body));
    if faults.fails_everything {
        *response.status_mut() = http::StatusCode::INTERNAL_SERVER_ERROR;
    }
    if let Some(id) = id {
        let id = if faults.swaps_answers {
            http::HeaderValue::from_static("0")
        } else {
            id
        };
        response.headers_mut().insert(request::REQUEST_ID, id);
    }
    response
}

fn count_run(state: &State, request: &Request<Bytes>) {
    let mut stats = state.stats.lock().expect("the lock is not poisoned");
    stats.runs += 1;
    let body = String::from_utf8_lossy(request.body())
        .chars()
        .take(100)
        .collect();
    *stats.runs_by_body.entry(body).or_insert(0) += 1;
    if let Some(key) = request
        .headers()
        .get(request::IDEMPOTENCY_KEY)
        .and_then(|value| value.to_str().ok())
    {
        *stats.runs_by_key.entry(key.to_owned()).or_insert(0) += 1;
    }
}

fn serve_order(state: &State, clock: &Clock, request: &Request<Bytes>) -> Response<Bytes> {
    use bh_protocol::target::TaskVerb;
    let faults = *state.faults.lock().expect("the lock is not poisoned");
    let result = match serde_json::from_slice::<TaskOrder>(request.body()) {
        Err(error) => Err(error.to_string()),
        Ok(order) if order.verb == TaskVerb::Prepare && faults.refuses_prepare => {
            Err("ordered to refuse".to_owned())
        }
        Ok(order) if order.verb == TaskVerb::Start && faults.refuses_start => {
            Err("ordered to refuse".to_owned())
        }
        Ok(order) => {
            let mut tasks = state.tasks.lock().expect("the lock is not poisoned");
            tasks.order(
                clock.now_ms(),
                &order,
                state.options.accelerators,
                faults.fails_everything,
            )
        }
    };
    if result
        .as_ref()
        .is_err_and(|reason| reason.ends_with("is known"))
    {
        state
            .stats
            .lock()
            .expect("the lock is not poisoned")
            .stale_orders += 1;
    }
    let reply = TaskOrderReply {
        accepted: result.is_ok(),
        reason: result.err().unwrap_or_default(),
    };
    Response::new(Bytes::from(serde_json::to_vec(&reply).unwrap_or_default()))
}
