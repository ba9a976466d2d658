//! `GET /v1/settings/in-force`: the settings in force on every entry that answers, and the entries that do not answer.

use super::answer;
use crate::node::Node;
use crate::node::from_json;
use bh_protocol::Failure;
use bh_protocol::settings::InForce;
use bh_protocol::settings::InForceEverywhere;
use bh_protocol::wire::RpcKind;
use bytes::Bytes;
use http::Response;
use std::rc::Rc;

/// Longest wait for another entry, in milliseconds.
const PEER_TIMEOUT_MS: u64 = 1_000;

pub(super) async fn serve(node: &Rc<Node>) -> Result<Response<Bytes>, Failure> {
    let mut calls = Vec::new();
    for peer in node.peers.iter().cloned() {
        let name = peer.vm.name.clone();
        let task = monoio::spawn(async move {
            peer.call(
                RpcKind::InForce,
                "",
                String::new(),
                Vec::new(),
                PEER_TIMEOUT_MS,
            )
            .await
        });
        calls.push((name, task));
    }
    let mut everywhere = InForceEverywhere {
        entries: vec![node.in_force()],
        silent: Vec::new(),
    };
    for (name, task) in calls {
        let answer = task
            .await
            .ok()
            .and_then(|reply| from_json::<InForce>(&reply.body).ok());
        match answer {
            Some(row) => everywhere.entries.push(row),
            None => everywhere.silent.push(name),
        }
    }
    everywhere.entries.sort_by(|a, b| a.entry.cmp(&b.entry));
    Ok(answer::json(&everywhere))
}
