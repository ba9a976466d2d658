//! Sends orders to workers over HTTP.

use crate::node::Node;
use bh_net::http_client::Connection;
use bh_protocol::target::TaskOrder;
use bh_protocol::target::TaskOrderReply;
use bh_protocol::target::TaskVerb;
use bytes::Bytes;
use http::Request;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

/// Longest wait for a worker's answer to an order, in milliseconds.
const ORDER_TIMEOUT_MS: u64 = 2_000;
/// Largest answer to an order, in bytes.
const MAX_REPLY_BYTES: u64 = 64 << 10;

/// The part of an order that is the same for all workers of a gang.
#[derive(Clone, Debug)]
pub(super) struct OrderTemplate {
    pub verb: TaskVerb,
    pub job: u64,
    pub epoch: u64,
    pub accelerators_per_task: u32,
    pub lease_ms: u64,
    pub payload: String,
}

/// A worker that an order goes to.
pub(super) struct Recipient {
    /// The worker's address; `None` when it is no longer known, and then the order counts as refused.
    pub address: Option<Arc<str>>,
    /// Indices of the tasks the order is for; empty for all tasks of the attempt.
    pub tasks: Vec<u32>,
}

/// Sends the order to all workers concurrently; returns for each worker whether it accepted.
pub(super) async fn send_all(
    node: &Rc<Node>,
    template: &OrderTemplate,
    workers: BTreeMap<Arc<str>, Recipient>,
) -> BTreeMap<Arc<str>, bool> {
    let mut sending = Vec::new();
    for (worker, Recipient { address, tasks }) in workers {
        let order = TaskOrder {
            verb: template.verb,
            job: template.job,
            epoch: template.epoch,
            tasks,
            accelerators_per_task: template.accelerators_per_task,
            lease_ms: template.lease_ms,
            payload: template.payload.clone(),
        };
        let node = node.clone();
        let task = monoio::spawn(async move {
            match address.and_then(|address| address.parse().ok()) {
                Some(address) => send(&node, address, &order).await,
                None => false,
            }
        });
        sending.push((worker, task));
    }
    let mut results = BTreeMap::new();
    for (worker, task) in sending {
        results.insert(worker, task.await);
    }
    results
}

async fn send(node: &Node, address: SocketAddr, order: &TaskOrder) -> bool {
    let Ok(body) = serde_json::to_vec(order) else {
        return false;
    };
    let request = Request::builder()
        .method("POST")
        .uri("/v1/tasks")
        .header("host", address.to_string())
        .header("content-type", "application/json")
        .body(Bytes::from(body));
    let Ok(request) = request else {
        return false;
    };
    let Ok(mut connection) = Connection::open(address, node.config.target_connect_ms).await else {
        return false;
    };
    match connection
        .send(request, ORDER_TIMEOUT_MS, MAX_REPLY_BYTES)
        .await
    {
        Ok(response) => serde_json::from_slice::<TaskOrderReply>(response.body())
            .is_ok_and(|reply| reply.accepted),
        Err(_) => false,
    }
}
