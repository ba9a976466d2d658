//! `POST /v1/targets/announce`: a worker says that it is there, and what became of its tasks.

use super::answer;
use crate::leader::LeaderAnswer;
use crate::leader::LeaderCall;
use crate::node::Node;
use bh_protocol::Code;
use bh_protocol::Failure;
use bh_protocol::target::Announcement;
use bytes::Bytes;
use http::Request;
use http::Response;
use std::net::SocketAddr;
use std::rc::Rc;

/// Longest wait for the leader, in milliseconds: within a worker's own time for renewing.
const LEADER_MS: u64 = 1_000;

pub(super) async fn serve(
    node: &Rc<Node>,
    request: &Request<Bytes>,
) -> Result<Response<Bytes>, Failure> {
    let announcement: Announcement = answer::read(request)?;
    check(node, &announcement)?;
    if announcement.leaving {
        log::info!(target_name = &*announcement.name; "target is leaving");
        node.router
            .borrow_mut()
            .holdings
            .note_leaving(&announcement.name);
    }
    let data_centre = announcement.data_centre.clone();
    let call = LeaderCall::Announce(announcement);
    match node.ask_leader(&data_centre, &call, LEADER_MS).await? {
        LeaderAnswer::Announced(reply) => Ok(answer::json(&reply)),
        _ => Err(Failure::new(
            Code::Internal,
            "the leader answered another question",
        )),
    }
}

fn check(node: &Node, announcement: &Announcement) -> Result<(), Failure> {
    let malformed = |label: String| Err(Failure::new(Code::MalformedBody, label));
    if announcement.address.parse::<SocketAddr>().is_err() {
        return malformed(format!(
            "address `{}` is not an IP number and a port",
            announcement.address
        ));
    }
    if !node
        .config
        .data_centres()
        .contains(&announcement.data_centre)
    {
        return malformed(format!(
            "data centre `{}` has no entry",
            announcement.data_centre
        ));
    }
    if announcement.name.is_empty() || announcement.rack.is_empty() {
        return malformed("`name` and `rack` must not be empty".to_owned());
    }
    Ok(())
}
