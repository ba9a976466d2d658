//! An entry process.

use super::Readiness;
use crate::calls::Answer;
use crate::calls::Call;
use crate::calls::Parser;
use crate::calls::RETRY_AFTER_MS;
use crate::calls::forward;
use crate::config::LocalConfig;
use crate::dialect::Dialect;
use crate::mesh::Mesh;
use crate::observe::Metrics;
use crate::observe::OperatorHooks;
use crate::observe::log_lines_dropped;
use crate::observe::serve_metrics;
use crate::reload;
use crate::server;
use crate::standstill::Standstill;
use bh_net::Clock;
use bh_net::connections::Connections;
use bh_net::http_server;
use bh_net::http_server::Service;
use bh_net::runtime;
use bh_net::runtime::sleep_ms;
use bh_protocol::Code;
use bh_protocol::Failure;
use bh_protocol::wire::Hello;
use bh_workload::admission::retry_after_ms;
use bh_workload::state::Refusal;
use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use std::rc::Rc;
use tokio_util::sync::CancellationToken;

/// Timeout of a call whose sender does not give one, in milliseconds.
const DEFAULT_TIMEOUT_MS: u64 = 2_500;
/// Maximum timeout of a call, in milliseconds: waiting longer than two elections does not help.
const MAX_TIMEOUT_MS: u64 = 4_000;
/// Time reserved for the transit of the answer, in milliseconds: an answer is lost if it arrives after the sender has stopped waiting.
const ANSWER_TRANSIT_MS: u64 = 40;
/// Percentage of the grace period after which a stopping entry closes callers' connections. Before that the balancer learns that the entry
/// is not ready, and connections that it still sends are served.
const LAME_DUCK_PERCENT: u64 = 40;
/// Percentage of the grace period within which requests in progress must end.
const FINISH_PERCENT: u64 = 85;
/// Time between checks for requests in progress during shutdown, in milliseconds.
const POLL_MS: u64 = 20;

/// State of an entry process.
pub struct Entry {
    config: LocalConfig,
    dialect: Dialect,
    parser: Parser,
    mesh: Rc<Mesh>,
    /// Cancelled when the entry is told to stop; it is not ready from then on.
    draining: CancellationToken,
    /// Cancelled when callers' connections are to be closed.
    closing: CancellationToken,
    /// How callers are served.
    callers: Service,
    metrics: Rc<Metrics>,
    readiness: Readiness,
    standstill: Rc<Standstill>,
}

impl Entry {
    /// Whether the balancer may send callers here: the entry is not stopping and had recent contact with a leader that has rules.
    fn is_ready(&self) -> bool {
        if self.draining.is_cancelled() {
            return false;
        }
        self.readiness.is_ready(&self.mesh)
    }

    async fn handle(self: Rc<Self>, request: Request<Bytes>) -> Response<Bytes> {
        let started_ms = self.mesh.now_ms();
        let received = match self.parser.parse(request).await {
            Ok(received) => received,
            Err(status) => return server::status(status),
        };
        let timeout_ms = received
            .timeout_ms
            .unwrap_or(DEFAULT_TIMEOUT_MS)
            .min(MAX_TIMEOUT_MS)
            .saturating_sub(ANSWER_TRANSIT_MS)
            .saturating_sub(self.mesh.now_ms() - started_ms)
            .max(1);
        let answer = self.decide(&received.call, timeout_ms).await;
        let took_ms = self.mesh.now_ms().saturating_sub(started_ms);
        self.metrics.count(outcome(&answer), 1);
        self.metrics.time_ms("call", took_ms);
        log_call(&received.call, &answer, took_ms);
        let mut response = (self.dialect.write_answer)(&received.call, &answer);
        if !self.is_ready() {
            close_after_answer(&mut response);
        }
        response
    }

    /// Has a call decided by the leader. A call that may have waited in this process for longer than its caller does is refused.
    async fn decide(&self, call: &Call, timeout_ms: u64) -> Answer {
        let waited_ms = self.standstill.waited_ms();
        if waited_ms < timeout_ms {
            return forward(&self.mesh, call, timeout_ms).await;
        }
        self.metrics.count("calls_delayed", 1);
        log::warn!(path = &*call.name(), waited_ms; "call refused: it may have waited while this entry stood still");
        Answer::Unavailable {
            retry_after_ms: retry_after_ms(RETRY_AFTER_MS, &call.name()),
        }
    }

    fn readiness(&self) -> Response<Bytes> {
        let mut response = Response::new(Bytes::new());
        if !self.is_ready() {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        response
    }
}

/// Makes the caller open a new connection for its next call. The balancer sends new connections to ready entries only, but an open one
/// stays with its entry: in a data centre that is cut off, the caller would be refused again and again until it gives up.
fn close_after_answer(response: &mut Response<Bytes>) {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
}

/// Name of the counter for calls with this answer.
fn outcome(answer: &Answer) -> &'static str {
    match answer {
        Answer::Refused(Refusal::NoKey) => "calls_refused_no_key",
        Answer::Refused(Refusal::NoQueue | Refusal::NoJob) => "calls_refused_unknown_place",
        Answer::Refused(Refusal::Cancelled) => "calls_refused_cancelled",
        Answer::Refused(_) => "calls_refused_malformed",
        Answer::Unavailable { .. } | Answer::NotLeader => "calls_unavailable",
        Answer::Busy { .. } => "calls_busy",
        Answer::Unknown => "calls_unknown",
        _ => "calls_served",
    }
}

/// Logs each call that changes something or that was not served; successful reads are only counted.
fn log_call(call: &Call, answer: &Answer, took_ms: u64) {
    match (call, answer) {
        (Call::Read { .. }, Answer::State(_) | Answer::Pending(_)) => {}
        (Call::Submit { place, .. }, answer) => {
            log::info!(path = &*place.path, took_ms, answer:? = answer; "job handed in");
        }
        (Call::Cancel { place }, answer) => {
            log::info!(path = &*place.path, took_ms, answer:? = answer; "job cancelled");
        }
        (Call::Read { place }, answer) => {
            log::info!(path = &*place.path, took_ms, answer:? = answer; "read failed");
        }
        _ => {}
    }
}

/// Runs an entry until it is told to stop.
///
/// # Errors
///
/// If it cannot listen on its addresses.
pub async fn serve(config: LocalConfig, dialect: Dialect) -> Result<(), Failure> {
    let stop = CancellationToken::new();
    let hello = Hello {
        name: config.name.to_string(),
        data_centre: config.data_centre.to_string(),
        ..Hello::default()
    };
    let clock = Clock::new();
    let standstill = Standstill::watch(clock.clone(), stop.clone());
    let connections = Connections::new(clock.clone(), config.connection_limits());
    let mesh = Mesh::of_entry(hello, clock, stop.clone());
    mesh.add_cores(config.seed_peers());
    reload::follow(mesh.clone(), config.path.clone())?;
    let missing = |key: &str| Failure::new(Code::BadConfigFile, format!("`{key}` is missing"));
    let callers = config
        .callers_address
        .ok_or_else(|| missing("callers_address"))?;
    let readiness = config
        .readiness_address
        .ok_or_else(|| missing("readiness_address"))?;
    let callers_listener = server::bind(callers)?;
    let readiness_listener = server::bind(readiness)?;
    let closing = CancellationToken::new();
    let callers = server::for_calls(&connections, closing.clone());
    let entry = Rc::new(Entry {
        config,
        parser: Parser::new(dialect.read_caller),
        dialect,
        mesh,
        draining: CancellationToken::new(),
        closing,
        callers,
        metrics: Rc::new(Metrics::new()),
        readiness: Readiness::new(),
        standstill,
    });
    log::info!(entry = &*entry.config.name, address = entry.config.ip.to_string(); "entry starts");
    if let Some(address) = entry.config.metrics_address {
        serve_metrics(
            address,
            &connections,
            entry.metrics.clone(),
            operator_hooks(&entry),
            stop.clone(),
        )?;
    }
    let serving = entry.clone();
    monoio::spawn(http_server::accept(
        callers_listener,
        entry.callers.clone(),
        move |request| serving.clone().handle(request),
    ));
    let answering = entry.clone();
    monoio::spawn(http_server::accept(
        readiness_listener,
        server::for_side_requests(&connections, stop.clone()),
        move |request| {
            let entry = answering.clone();
            async move {
                if (entry.dialect.asks_readiness)(&request) {
                    entry.readiness()
                } else {
                    server::status(StatusCode::NOT_FOUND)
                }
            }
        },
    ));
    let signal = runtime::stop_on_signal()
        .map_err(|error| Failure::new(Code::Internal, error.to_string()))?;
    signal.cancelled().await;
    drain(&entry).await;
    stop.cancel();
    log::info!(entry = &*entry.config.name; "entry ends");
    Ok(())
}

/// Creates the operator's interface of an entry, which has gauges only.
fn operator_hooks(entry: &Rc<Entry>) -> OperatorHooks {
    let entry = entry.clone();
    OperatorHooks::new(move |metrics| {
        let size = |count: usize| u64::try_from(count).unwrap_or(u64::MAX);
        metrics.gauge("ready", u64::from(entry.is_ready()));
        metrics.gauge("connections", size(entry.callers.open()));
        metrics.gauge("links_open", size(entry.mesh.links_open()));
        metrics.gauge("log_lines_dropped", log_lines_dropped());
    })
}

/// Shuts down gracefully: the entry first reports that it is not ready, then closes idle connections, and answers each request that it has
/// read.
async fn drain(entry: &Rc<Entry>) {
    let grace_ms = entry.config.grace_ms();
    let now_ms = entry.mesh.now_ms();
    log::info!(entry = &*entry.config.name, connections = entry.callers.open(); "entry drains");
    entry.draining.cancel();
    let close_ms = now_ms + grace_ms * LAME_DUCK_PERCENT / 100;
    let finish_ms = now_ms + grace_ms * FINISH_PERCENT / 100;
    while entry.mesh.now_ms() < close_ms {
        sleep_ms(POLL_MS).await;
    }
    entry.closing.cancel();
    while entry.callers.open() > 0 && entry.mesh.now_ms() < finish_ms {
        sleep_ms(POLL_MS).await;
    }
}
