//! `POST /v1/targets/announce`: a worker announces itself and reports its tasks.

use super::answer;
use crate::leader::LeaderAnswer;
use crate::leader::LeaderCall;
use crate::node::Node;
use bh_protocol::Code;
use bh_protocol::Failure;
use bh_protocol::target::AnnounceReply;
use bh_protocol::target::Announcement;
use bytes::Bytes;
use http::Request;
use http::Response;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

/// Number of announcements that a target makes within its lease while this entry reaches no leader.
const RENEWALS_PER_LEASE: u64 = 4;
/// Longest wait for the leader, in milliseconds; it must stay within the time that a worker allows for a renewal.
const LEADER_TIMEOUT_MS: u64 = 1_000;

pub(super) async fn serve(
    node: &Rc<Node>,
    request: &Request<Bytes>,
) -> Result<Response<Bytes>, Failure> {
    let announcement: Announcement = answer::read(node, request).await?;
    validate(node, &announcement)?;
    if announcement.leaving {
        log::info!(target_name = &*announcement.name; "target is leaving");
        node.router
            .borrow_mut()
            .owned_targets
            .note_leaving(&announcement.name);
    }
    if let Some(reply) = answer_without_leader(node, &announcement) {
        return Ok(answer::json(&reply));
    }
    let data_centre = announcement.data_centre.clone();
    let call = LeaderCall::Announce(announcement);
    match node
        .ask_leader(&data_centre, &call, LEADER_TIMEOUT_MS)
        .await?
    {
        LeaderAnswer::Announced(reply) => Ok(answer::json(&reply)),
        _ => Err(Failure::new(
            Code::Internal,
            "unexpected kind of answer from the leader",
        )),
    }
}

/// While this entry reaches no leader, it answers by itself and names only itself as an entry: the worker keeps announcing
/// itself here, and no other entry uses its slots. No task lease is renewed, since only a leader decides that.
///
/// This ends when a leader next answers a renewal, not earlier: an announcement forwarded before that would let the
/// leader give the target to another entry while this one still uses it.
fn answer_without_leader(node: &Node, announcement: &Announcement) -> Option<AnnounceReply> {
    let now_ms = node.clock.now_ms();
    let mut leaderless = node.leaderless_targets.borrow_mut();
    if !leaderless.is_leaderless(now_ms) || announcement.data_centre != node.config.own.data_centre
    {
        return None;
    }
    leaderless.announce(now_ms, announcement.clone());
    Some(AnnounceReply {
        lease_ms: node.config.target_lease_ms,
        renew_ms: node.config.target_lease_ms / RENEWALS_PER_LEASE,
        entries: vec![Arc::from(node.config.own.http_address.to_string())],
        ..AnnounceReply::default()
    })
}

fn validate(node: &Node, announcement: &Announcement) -> Result<(), Failure> {
    let malformed = |label: String| Err(Failure::new(Code::MalformedBody, label));
    if announcement.address.parse::<SocketAddr>().is_err() {
        return malformed(format!(
            "address `{}` is not an IP address and a port",
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
