//! `/v1/reports`: error budget burn of the service-level objectives, and fragmentation.

use super::answer;
use crate::leader::LeaderAnswer;
use crate::leader::LeaderCall;
use crate::node::Node;
use bh_net::http_client::Connection;
use bh_protocol::Code;
use bh_protocol::Failure;
use bh_report::Counters;
use bh_report::FragmentationReport;
use bh_report::Objective;
use bytes::Bytes;
use http::Request;
use http::Response;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;

/// Longest wait for another entry's counters, in milliseconds.
const PEER_TIMEOUT_MS: u64 = 1_000;
/// Largest answer with another entry's counters, in bytes.
const MAX_COUNTERS_BYTES: u64 = 64 << 20;
/// Longest wait for a leader, in milliseconds.
const LEADER_TIMEOUT_MS: u64 = 2_000;

/// This entry's counters, for the entry that builds the report.
pub(super) fn counters(node: &Rc<Node>) -> Response<Bytes> {
    answer::json(&*node.counters.borrow())
}

/// The burn report over all entries that answer, as JSON or, with `format=html`, as an HTML page.
pub(super) async fn burn(
    node: &Rc<Node>,
    request: &Request<Bytes>,
) -> Result<Response<Bytes>, Failure> {
    let mut sum = node.counters.borrow().clone();
    let mut entries = vec![node.config.own.name.clone()];
    let mut silent = Vec::new();
    let mut calls = Vec::new();
    for peer in node.peers.iter() {
        let address = peer.vm.http_address;
        calls.push((
            peer.vm.name.clone(),
            monoio::spawn(async move { fetch_counters(address).await }),
        ));
    }
    for (name, task) in calls {
        match task.await {
            Some(counters) => {
                sum.merge(&counters);
                entries.push(name);
            }
            None => silent.push(name),
        }
    }
    entries.sort();
    let report = bh_report::report(
        &sum,
        node.clock.wall_ms(),
        &objectives(node),
        entries,
        silent,
    );
    if answer::parameter(request, "format") == Some("html") {
        return Ok(answer::text(
            "text/html; charset=utf-8",
            bh_report::to_html(&report),
        ));
    }
    Ok(answer::json(&report))
}

fn objectives(node: &Node) -> BTreeMap<(Arc<str>, Arc<str>), Objective> {
    let (_, settings) = node.settings_in_force();
    let mut objectives = BTreeMap::new();
    for team in settings.teams.values() {
        for customer in team.customers.keys() {
            for (name, kind) in &team.request_types {
                let objective = Objective {
                    objective_ppm: kind.objective_ppm,
                    objective_ms: kind.objective_ms,
                };
                objectives.insert((customer.clone(), name.clone()), objective);
            }
        }
    }
    objectives
}

async fn fetch_counters(address: SocketAddr) -> Option<Counters> {
    let mut connection = Connection::open(address, PEER_TIMEOUT_MS).await.ok()?;
    let request = Request::builder()
        .uri("/v1/reports/counters")
        .header("host", address.to_string())
        .body(Bytes::new())
        .ok()?;
    let response = connection
        .send(request, PEER_TIMEOUT_MS, MAX_COUNTERS_BYTES)
        .await
        .ok()?;
    serde_json::from_slice(response.body()).ok()
}

/// The fragmentation of one data centre, or of all whose leader answers, as JSON or, with `format=html`, as an HTML page.
pub(super) async fn fragmentation(
    node: &Rc<Node>,
    request: &Request<Bytes>,
) -> Result<Response<Bytes>, Failure> {
    let requested = answer::parameter(request, "data_centre");
    let mut reports: Vec<FragmentationReport> = Vec::new();
    for data_centre in node.config.data_centres() {
        if requested.is_some_and(|requested| requested != &*data_centre) {
            continue;
        }
        match node
            .ask_leader(&data_centre, &LeaderCall::Fragmentation, LEADER_TIMEOUT_MS)
            .await
        {
            Ok(LeaderAnswer::Fragmentation(report)) => reports.push(report),
            Ok(_) => {
                return Err(Failure::new(
                    Code::Internal,
                    "unexpected kind of answer from the leader",
                ));
            }
            Err(failure) if requested.is_some() => return Err(failure),
            Err(_) => {}
        }
    }
    if answer::parameter(request, "format") == Some("html") {
        return Ok(answer::text(
            "text/html; charset=utf-8",
            bh_report::fragmentation_to_html(&reports),
        ));
    }
    Ok(answer::json(&reports))
}

/// Reads the counters stored at `path`; returns empty counters if the file is missing or unreadable.
pub fn load_counters(path: &Path) -> Counters {
    std::fs::read(path)
        .ok()
        .and_then(|bytes| serde_json::from_slice(&bytes).ok())
        .unwrap_or_default()
}

/// Writes the counters to a temporary file, syncs it, and renames it to `path`, so that a crash leaves no partial file.
///
/// # Errors
///
/// When the file cannot be written, synced or renamed.
pub fn save_counters(path: &Path, counters: &Counters) -> std::io::Result<()> {
    let temporary_path = path.with_extension("new");
    let mut file = std::fs::File::create(&temporary_path)?;
    file.write_all(&serde_json::to_vec(counters)?)?;
    file.sync_all()?;
    std::fs::rename(&temporary_path, path)
}
