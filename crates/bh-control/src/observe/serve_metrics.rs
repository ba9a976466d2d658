//! Serves the metrics and the operator's interface.

use super::Metrics;
use crate::server;
use bh_protocol::Failure;
use bytes::Bytes;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use tokio_util::sync::CancellationToken;

/// Maximum number of connections at a time.
const MAX_CONNECTIONS: usize = 16;
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
    metrics: Rc<Metrics>,
    hooks: OperatorHooks,
    stop: CancellationToken,
) -> Result<(), Failure> {
    let listener = server::bind(address)?;
    let hooks = Rc::new(hooks);
    let handler = move |request: Request<Bytes>| {
        let (metrics, hooks) = (metrics.clone(), hooks.clone());
        async move { answer(&metrics, &hooks, request).await }
    };
    monoio::spawn(server::serve(
        listener,
        stop,
        (Rc::new(Cell::new(0)), MAX_CONNECTIONS),
        handler,
    ));
    Ok(())
}

async fn answer(
    metrics: &Metrics,
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
    (hooks.refresh)(metrics);
    let mut response = Response::new(Bytes::from(metrics.text()));
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/plain; charset=utf-8"),
    );
    response
}
