//! Builds answers and reads parts of requests.

use crate::node::Node;
use bh_protocol::Code;
use bh_protocol::Failure;
use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use serde::de::DeserializeOwned;

pub(super) use bh_net::http_server::answer::build;
pub(super) use bh_net::http_server::answer::failed;
pub(super) use bh_net::http_server::answer::json;
pub(super) use bh_net::http_server::answer::text;

/// Parses the body as JSON.
///
/// # Errors
///
/// [`Code::MalformedBody`].
pub(super) async fn read<T: DeserializeOwned + Send + 'static>(
    node: &Node,
    request: &Request<Bytes>,
) -> Result<T, Failure> {
    let body = request.body().clone();
    let parsed = node
        .background
        .run(body.len(), move || serde_json::from_slice(&body));
    match parsed.await {
        Some(Ok(value)) => Ok(value),
        Some(Err(error)) => Err(Failure::new(Code::MalformedBody, error.to_string())),
        None => Err(Failure::new(Code::Draining, "the body was not parsed")),
    }
}

/// The bearer token of the request, if it has one.
pub(super) fn token(headers: &HeaderMap) -> Option<&str> {
    headers
        .get("authorization")?
        .to_str()
        .ok()?
        .strip_prefix("Bearer ")
}

/// The value of a header as text.
pub(super) fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// The value of a query parameter.
pub(super) fn parameter<'a>(request: &'a Request<Bytes>, name: &str) -> Option<&'a str> {
    let pairs = request.uri().query()?.split('&');
    pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}
