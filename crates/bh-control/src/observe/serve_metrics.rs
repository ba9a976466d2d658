//! Serves the metrics.

use super::Metrics;
use crate::server;
use bh_protocol::Failure;
use bytes::Bytes;
use http::HeaderValue;
use http::Method;
use http::Response;
use http::StatusCode;
use http::header;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio_util::sync::CancellationToken;

/// Path of the metrics.
const PATH: &str = "/metrics";

/// Serves `metrics` on `address` until `stop` is cancelled.
///
/// # Errors
///
/// When the address cannot be listened on.
pub fn serve_metrics(
    address: SocketAddr,
    metrics: Rc<Metrics>,
    stop: CancellationToken,
) -> Result<(), Failure> {
    let listener = server::bind(address)?;
    let handler = move |request: http::Request<Bytes>| {
        let metrics = metrics.clone();
        async move {
            if request.method() != Method::GET || request.uri().path() != PATH {
                return server::status(StatusCode::NOT_FOUND);
            }
            let mut response = Response::new(Bytes::from(metrics.text()));
            response.headers_mut().insert(
                header::CONTENT_TYPE,
                HeaderValue::from_static("text/plain; charset=utf-8"),
            );
            response
        }
    };
    monoio::spawn(server::serve(
        listener,
        stop,
        Rc::new(Cell::new(0)),
        handler,
    ));
    Ok(())
}
