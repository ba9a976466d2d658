//! Routes requests by method and path.

use super::announce;
use super::answer;
use super::health;
use super::in_force;
use super::jobs;
use super::reports;
use super::request;
use super::settings;
use super::status;
use super::targets;
use crate::node::Node;
use bh_net::http_server::parse_cost;
use bh_protocol::Code;
use bh_protocol::Failure;
use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::request::Parts;
use std::rc::Rc;

/// Upper bound of the memory that a request takes beside its body. The bodies of short requests are passed on as they are.
pub(crate) fn parse_bytes(parts: &Parts, body: &[u8]) -> u64 {
    let path: Vec<&str> = parts.uri.path().trim_matches('/').split('/').collect();
    match path.as_slice() {
        ["v1", "customers", _, "requests", _] => parse_cost::of_text(body),
        _ => parse_cost::of_document(body),
    }
}

/// Serves one request.
pub async fn route(node: &Rc<Node>, request: Request<Bytes>) -> Response<Bytes> {
    let result = dispatch(node, &request).await;
    result.unwrap_or_else(|failure| answer::failed(&failure))
}

async fn dispatch(node: &Rc<Node>, request: &Request<Bytes>) -> Result<Response<Bytes>, Failure> {
    let path = request.uri().path();
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    let get = request.method() == Method::GET;
    let post = request.method() == Method::POST;
    match (get, post, parts.as_slice()) {
        (true, _, ["healthz"]) => Ok(health::live()),
        (true, _, ["readyz"]) => Ok(health::ready(node)),
        (_, true, ["v1", "targets", "announce"]) => announce::serve(node, request).await,
        (true, _, ["v1", "targets"]) => targets::serve(node, request).await,
        (_, true, ["v1", "settings"]) => settings::apply(node, request).await,
        (true, _, ["v1", "settings"]) => settings::get(node, request),
        (true, _, ["v1", "settings", "in-force"]) => in_force::serve(node).await,
        (_, true, ["v1", "customers", customer, "requests", kind]) => {
            request::serve(node, request, customer, kind).await
        }
        (_, true, ["v1", "customers", customer, "jobs"]) => {
            jobs::submit(node, request, customer).await
        }
        (_, true, ["v1", "customers", customer, "jobs", "cancel"]) => {
            jobs::cancel(node, request, customer).await
        }
        (true, _, ["v1", "customers", customer, "jobs"]) => {
            jobs::list(node, request, customer, None).await
        }
        (true, _, ["v1", "customers", customer, "jobs", job]) => {
            let number = job
                .parse()
                .map_err(|_| Failure::new(Code::UnknownJob, format!("job `{job}`")))?;
            jobs::list(node, request, customer, Some(number)).await
        }
        (true, _, ["v1", "status"]) => Ok(status::serve(node)),
        (true, _, ["v1", "reports", "counters"]) => Ok(reports::counters(node)),
        (true, _, ["v1", "reports", "burn"]) => reports::burn(node, request).await,
        (true, _, ["v1", "reports", "fragmentation"]) => {
            reports::fragmentation(node, request).await
        }
        _ if is_known_path(&parts) => Err(Failure::new(
            Code::MethodNotAllowed,
            format!("{} {path}", request.method()),
        )),
        _ => Err(Failure::new(Code::NotFound, path.to_owned())),
    }
}

fn is_known_path(parts: &[&str]) -> bool {
    matches!(
        parts,
        ["healthz" | "readyz"]
            | ["v1", "targets" | "settings" | "status"]
            | ["v1", "targets", "announce"]
            | ["v1", "settings", "in-force"]
            | ["v1", "customers", _, "requests", _]
            | ["v1", "customers", _, "jobs", ..]
            | ["v1", "reports", _]
    )
}
