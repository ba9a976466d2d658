//! `GET /healthz` and `GET /readyz`, for the platform's load balancer.

use super::answer;
use crate::node::Node;
use bh_protocol::Code;
use bh_protocol::Failure;
use bytes::Bytes;
use http::Response;
use std::rc::Rc;

/// Answers that the process is alive.
pub(super) fn live() -> Response<Bytes> {
    answer::text("text/plain", "alive\n".to_owned())
}

/// Answers whether the load balancer should send callers to this entry.
pub(super) fn ready(node: &Rc<Node>) -> Response<Bytes> {
    if node.is_ready() {
        return answer::text("text/plain", "ready\n".to_owned());
    }
    let label = if node.draining.is_cancelled() {
        "shutting down"
    } else {
        "no leader has been heard yet"
    };
    answer::failed(&Failure::new(Code::Draining, label))
}
