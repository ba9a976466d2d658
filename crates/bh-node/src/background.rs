//! Background tasks: accept connections, renew targets, tick the router, and maintain the counters.

use crate::http_api;
use crate::leader::LeaderAnswer;
use crate::leader::LeaderCall;
use crate::node::Node;
use bh_net::http_server;
use bh_net::runtime::sleep_ms;
use monoio::net::TcpListener;
use std::path::PathBuf;
use std::rc::Rc;

/// Time between checks of the router's queue and of the idle connections, in milliseconds.
const ROUTER_TICK_MS: u64 = 20;
/// Number of renewals within a target's lease.
const RENEWALS_PER_LEASE: u64 = 10;
/// Time between writes of the service-level counters, and between reports of the gauges, in milliseconds.
const COUNTERS_INTERVAL_MS: u64 = 5_000;

/// Accepts HTTP connections and serves their requests until the node closes.
pub(crate) async fn accept_callers(node: Rc<Node>, listener: TcpListener) {
    let service = node.callers.clone();
    let handler = move |request| {
        let node = node.clone();
        async move {
            node.in_progress.set(node.in_progress.get() + 1);
            let response = http_api::route(&node, request).await;
            node.in_progress.set(node.in_progress.get() - 1);
            response
        }
    };
    http_server::accept(listener, service, handler).await;
}

/// While this entry reaches no leader, uses the targets that announce themselves to it; returns whether the owned targets
/// were updated.
fn renew_without_leader(node: &Node, now_ms: u64) -> bool {
    let mut leaderless = node.leaderless_targets.borrow_mut();
    if !leaderless.is_leaderless(now_ms) {
        return false;
    }
    let targets = leaderless.usable(now_ms);
    node.router
        .borrow_mut()
        .owned_targets
        .accept_without_leader(now_ms, node.config.target_lease_ms / 2, targets);
    true
}

/// Renews the targets that this entry owns, until the node stops.
pub(crate) async fn renew_targets(node: Rc<Node>) {
    let interval_ms = (node.config.target_lease_ms / RENEWALS_PER_LEASE).max(1);
    let data_centre = node.config.own.data_centre.clone();
    while !node.stop.is_cancelled() {
        let sent_ms = node.clock.now_ms();
        let claims = node
            .router
            .borrow()
            .owned_targets
            .claims(sent_ms, node.draining.is_cancelled());
        let answer = node
            .ask_leader(
                &data_centre,
                &LeaderCall::Renew(claims),
                interval_ms.max(ROUTER_TICK_MS),
            )
            .await;
        let now_ms = node.clock.now_ms();
        let has_changed = match answer {
            Ok(LeaderAnswer::Renewed(grant)) => {
                node.leaderless_targets.borrow_mut().note_leader(now_ms);
                node.router
                    .borrow_mut()
                    .owned_targets
                    .accept(sent_ms, grant);
                true
            }
            _ => renew_without_leader(&node, now_ms),
        };
        if has_changed {
            let decisions = node.router.borrow_mut().tick(now_ms);
            node.deliver_decisions(decisions);
        }
        sleep_ms(interval_ms).await;
    }
}

/// Ticks the router and drops connections that have been idle too long.
pub(crate) async fn tick_router(node: Rc<Node>) {
    while !node.stop.is_cancelled() {
        let now_ms = node.clock.now_ms();
        let decisions = node.router.borrow_mut().tick(now_ms);
        node.deliver_decisions(decisions);
        node.pool.age_out(now_ms);
        sleep_ms(ROUTER_TICK_MS).await;
    }
}

/// Regularly compacts the service-level counters, reports the gauges, and writes the counters to `path`.
pub(crate) async fn maintain_counters(node: Rc<Node>, path: Option<PathBuf>) {
    while !node.stop.is_cancelled() {
        sleep_ms(COUNTERS_INTERVAL_MS).await;
        let wall_ms = node.clock.wall_ms();
        node.counters.borrow_mut().compact(wall_ms);
        report_gauges(&node);
        if let Some(path) = path.clone() {
            let counters = node.counters.borrow().clone();
            let _ = monoio::spawn_blocking(move || http_api::save_counters(&path, &counters)).await;
        }
    }
}

pub(crate) fn report_gauges(node: &Node) {
    let now_ms = node.clock.now_ms();
    let router = node.router.borrow();
    node.metrics
        .gauge("queued", u64::try_from(router.queued()).unwrap_or(u64::MAX));
    node.metrics
        .gauge("slots", u64::from(router.owned_targets.slots(now_ms)));
    node.metrics
        .gauge("free_slots", u64::from(router.spare_slots(now_ms)));
    node.metrics
        .gauge("in_progress", u64::from(node.in_progress.get()));
    node.metrics.gauge(
        "connections",
        u64::try_from(node.callers.open()).unwrap_or(u64::MAX),
    );
    let figures = node.callers.connections.figures();
    for (name, value) in [
        ("client_memory_bytes", figures.used_bytes),
        ("client_memory_peak_bytes", figures.peak_bytes),
        ("client_memory_max_bytes", figures.max_bytes),
        (
            "clients_evicted_for_connections",
            figures.evicted_for_connections,
        ),
        ("clients_evicted_for_memory", figures.evicted_for_memory),
        ("requests_refused_no_memory", figures.refused_busy),
        ("requests_refused_too_large", figures.refused_too_large),
    ] {
        node.metrics.gauge(name, value);
    }
    node.metrics
        .gauge("settings_revision", node.settings_in_force().0);
    node.metrics.gauge("link_bytes", node.link_bytes.get());
}
