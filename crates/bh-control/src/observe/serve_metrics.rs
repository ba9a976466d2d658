//! Serves the metrics, and what else operators read.

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

/// Readers at a time.
const MAX_CONNECTIONS: usize = 16;
/// Path of the metrics.
const PATH: &str = "/metrics";

/// Answers a call of an operator, if it is one.
type OperatorCall = dyn Fn(Request<Bytes>) -> OperatorAnswer;
/// The answer, once it is known.
type OperatorAnswer = Pin<Box<dyn Future<Output = Option<Response<Bytes>>>>>;

/// What a process adds to its metrics when they are read.
pub struct OperatorHooks {
    /// Sets the gauges that tell the state of this moment.
    pub refresh: Box<dyn Fn(&Metrics)>,
    /// Answers other calls of operators; `None` for what it does not know.
    pub answer: Box<OperatorCall>,
}

impl OperatorHooks {
    /// Gauges set by `refresh`, and no other calls.
    pub fn new(refresh: impl Fn(&Metrics) + 'static) -> Self {
        Self {
            refresh: Box::new(refresh),
            answer: Box::new(|_| Box::pin(async { None })),
        }
    }

    /// The same, with `answer` for other calls.
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
/// When the address cannot be listened on.
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
