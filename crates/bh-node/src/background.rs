//! Tasks that run beside the requests: taking connections, renewing targets, ticking the router, keeping counters.

use crate::http_api;
use crate::leader::LeaderAnswer;
use crate::leader::LeaderCall;
use crate::node::Node;
use bh_net::http_server;
use bh_net::http_server::Limits;
use bh_net::runtime::sleep_ms;
use monoio::net::TcpListener;
use std::path::PathBuf;
use std::rc::Rc;

/// Time between looks at the router's queue and the idle connections, in milliseconds.
const ROUTER_TICK_MS: u64 = 20;
/// Renewals of targets within a target's lease.
const RENEWALS_PER_LEASE: u64 = 10;
/// Time between writes of the service-level counters, in milliseconds.
const COUNTERS_MS: u64 = 5_000;
/// Wait after a connection could not be taken, in milliseconds.
const ACCEPT_RETRY_MS: u64 = 10;

pub(crate) async fn accept_callers(node: Rc<Node>, listener: TcpListener) {
    let limits = Limits::new(node.config.idle_connection_ms);
    loop {
        let accepted = monoio::select! {
            accepted = listener.accept() => accepted,
            () = node.closing.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else {
            // Out of descriptors, most likely: those that close free some.
            sleep_ms(ACCEPT_RETRY_MS).await;
            continue;
        };
        if node.connections.get() >= node.config.max_connections {
            node.metrics.count("connections_refused", 1);
            continue;
        }
        node.connections.set(node.connections.get() + 1);
        let node = node.clone();
        monoio::spawn(async move {
            let handler = |request| {
                let node = node.clone();
                async move {
                    node.in_progress.set(node.in_progress.get() + 1);
                    let response = http_api::route(&node, request).await;
                    node.in_progress.set(node.in_progress.get() - 1);
                    response
                }
            };
            http_server::serve(stream, limits, &node.draining, &node.closing, handler).await;
            node.connections.set(node.connections.get() - 1);
        });
    }
}

/// Without a leader, takes the targets that announce themselves to this entry alone; returns whether it did.
fn renew_alone(node: &Node, now_ms: u64) -> bool {
    let mut alone = node.alone.borrow_mut();
    if !alone.is_leaderless(now_ms) {
        return false;
    }
    let targets = alone.usable(now_ms);
    node.router
        .borrow_mut()
        .owned_targets
        .accept_without_leader(now_ms, node.config.target_lease_ms / 2, targets);
    true
}

/// Keeps this entry's share of the targets.
pub(crate) async fn renew_targets(node: Rc<Node>) {
    let wait_ms = (node.config.target_lease_ms / RENEWALS_PER_LEASE).max(1);
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
                wait_ms.max(ROUTER_TICK_MS),
            )
            .await;
        let now_ms = node.clock.now_ms();
        let has_changed = match answer {
            Ok(LeaderAnswer::Renewed(grant)) => {
                node.alone.borrow_mut().note_leader(now_ms);
                node.router
                    .borrow_mut()
                    .owned_targets
                    .accept(sent_ms, grant);
                true
            }
            _ => renew_alone(&node, now_ms),
        };
        if has_changed {
            let decisions = node.router.borrow_mut().tick(now_ms);
            node.carry_out(decisions);
        }
        sleep_ms(wait_ms).await;
    }
}

pub(crate) async fn tick_router(node: Rc<Node>) {
    while !node.stop.is_cancelled() {
        let now_ms = node.clock.now_ms();
        let decisions = node.router.borrow_mut().tick(now_ms);
        node.carry_out(decisions);
        node.pool.age_out(now_ms);
        sleep_ms(ROUTER_TICK_MS).await;
    }
}

pub(crate) async fn keep_counters(node: Rc<Node>, path: Option<PathBuf>) {
    while !node.stop.is_cancelled() {
        sleep_ms(COUNTERS_MS).await;
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
        u64::try_from(node.connections.get()).unwrap_or(u64::MAX),
    );
    node.metrics
        .gauge("settings_revision", node.settings_in_force().0);
    node.metrics.gauge("link_bytes", node.link_bytes.get());
}
