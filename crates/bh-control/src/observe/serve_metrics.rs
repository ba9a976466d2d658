//! Serves the metrics and the operator's interface.

use super::Metrics;
use crate::server;
use bh_net::connections::Connections;
use bh_net::http_server;
use bh_protocol::Failure;
use bytes::Bytes;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use tokio_util::sync::CancellationToken;

/// Path of the metrics.
const PATH: &str = "/metrics";

/// Answers a request of an operator, if it is one.
type OperatorCall = dyn Fn(Request<Bytes>) -> OperatorAnswer;
/// Future of the answer; `None` for a request that is not an operator's.
type OperatorAnswer = Pin<Box<dyn Future<Output = Option<Response<Bytes>>>>>;

/// The operator's interface of a process, served beside its metrics.
pub struct OperatorHooks {
    /// Sets the gauges to the current state. Called before the metrics are served.
    pub refresh: Box<dyn Fn(&Metrics)>,
    /// Answers requests for other paths; `None` if it does not know the path.
    pub answer: Box<OperatorCall>,
}

impl OperatorHooks {
    /// Creates an interface with gauges set by `refresh` and no other requests.
    pub fn new(refresh: impl Fn(&Metrics) + 'static) -> Self {
        Self {
            refresh: Box::new(refresh),
            answer: Box::new(|_| Box::pin(async { None })),
        }
    }

    /// Adds `answer` for other requests.
    pub fn with_answer<F: Future<Output = Option<Response<Bytes>>> + 'static>(
        mut self,
        answer: impl Fn(Request<Bytes>) -> F + 'static,
    ) -> Self {
        self.answer = Box::new(move |request| Box::pin(answer(request)));
        self
    }
}

/// Serves `metrics` on `address` until `stop` is cancelled.
///
/// # Errors
///
/// If the process cannot listen on the address.
pub fn serve_metrics(
    address: SocketAddr,
    connections: &Rc<Connections>,
    metrics: Rc<Metrics>,
    hooks: OperatorHooks,
    stop: CancellationToken,
) -> Result<(), Failure> {
    let listener = server::bind(address)?;
    let hooks = Rc::new(hooks);
    let service = server::for_side_requests(connections, stop);
    let connections = connections.clone();
    let handler = move |request: Request<Bytes>| {
        let (metrics, hooks, connections) = (metrics.clone(), hooks.clone(), connections.clone());
        async move { answer(&metrics, &connections, &hooks, request).await }
    };
    monoio::spawn(http_server::accept(listener, service, handler));
    Ok(())
}

/// Sets the metrics of the connections of clients.
fn set_connection_metrics(metrics: &Metrics, connections: &Connections) {
    let figures = connections.figures();
    metrics.gauge("client_connections", figures.open);
    metrics.gauge("client_connections_max", figures.max_open);
    metrics.gauge("client_memory_bytes", figures.used_bytes);
    metrics.gauge("client_memory_peak_bytes", figures.peak_bytes);
    metrics.gauge("client_memory_max_bytes", figures.max_bytes);
    metrics.gauge(
        "clients_evicted_for_connections_total",
        figures.evicted_for_connections,
    );
    metrics.gauge(
        "clients_evicted_for_memory_total",
        figures.evicted_for_memory,
    );
    metrics.gauge("requests_refused_no_memory_total", figures.refused_busy);
    metrics.gauge(
        "requests_refused_too_large_total",
        figures.refused_too_large,
    );
}

async fn answer(
    metrics: &Metrics,
    connections: &Connections,
    hooks: &OperatorHooks,
    request: Request<Bytes>,
) -> Response<Bytes> {
    let is_get = request.method() == Method::GET;
    if request.uri().path() != PATH {
        let missing = if is_get {
            StatusCode::NOT_FOUND
        } else {
            StatusCode::METHOD_NOT_ALLOWED
        };
        let other = (hooks.answer)(request).await;
        return other.unwrap_or_else(|| server::status(missing));
    }
    if !is_get {
        return server::status(StatusCode::METHOD_NOT_ALLOWED);
    }
    set_connection_metrics(metrics, connections);
    (hooks.refresh)(metrics);
    let mut response = Response::new(Bytes::from(metrics.text()));
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/plain; charset=utf-8"),
    );
    response
}
