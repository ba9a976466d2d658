//! `GET /v1/targets`: lists the targets of a data centre.

use super::answer;
use crate::leader::LeaderAnswer;
use crate::leader::LeaderCall;
use crate::node::Node;
use bh_protocol::Code;
use bh_protocol::Failure;
use bytes::Bytes;
use http::Request;
use http::Response;
use std::rc::Rc;

/// Longest wait for the leader, in milliseconds.
const LEADER_TIMEOUT_MS: u64 = 2_000;

pub(super) async fn serve(
    node: &Rc<Node>,
    request: &Request<Bytes>,
) -> Result<Response<Bytes>, Failure> {
    let own = node.config.own.data_centre.clone();
    let data_centre = answer::parameter(request, "data_centre").unwrap_or(&own);
    match node
        .ask_leader(data_centre, &LeaderCall::Targets, LEADER_TIMEOUT_MS)
        .await?
    {
        LeaderAnswer::Targets(targets) => Ok(answer::json(&targets)),
        _ => Err(Failure::new(
            Code::Internal,
            "unexpected kind of answer from the leader",
        )),
    }
}
