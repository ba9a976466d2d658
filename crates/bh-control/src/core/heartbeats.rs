//! Heartbeats of workers.

use super::core_node::CoreNode;
use super::received_heartbeat::ReceivedHeartbeat;
use crate::calls::Answer;
use crate::calls::WorkerHeartbeat;
use bh_net::runtime::sleep_ms;
use bh_protocol::Incarnation;
use bh_protocol::wire::RelayedHeartbeat;
use bh_protocol::wire::RelayedHeartbeats;
use bh_protocol::wire::RpcKind;
use bh_workload::state::Command;
use bh_workload::state::WorkerChange;
use bh_workload::state::WorkerInfo;
use prost::Message;
use std::net::SocketAddr;
use std::rc::Rc;

/// Time for which heartbeats without changes are collected before they are sent to the leader, in milliseconds. It is a small part of the
/// time after which a worker counts as silent, and combines some hundred heartbeats into one message.
const RELAY_INTERVAL_MS: u64 = 100;
/// Time to wait for the leader's answer, in milliseconds. Heartbeats that did not reach the leader are not sent again, since newer ones
/// follow.
const RELAY_TIMEOUT_MS: u64 = 500;

/// Handles a worker's heartbeat as the leader. Changes that affect what may run on the worker are recorded before the worker gets its
/// answer: the next leader must not give work to a worker whose leaving was acknowledged.
pub(super) async fn handle_heartbeat(core: &Rc<CoreNode>, heartbeat: WorkerHeartbeat) -> Answer {
    let id = heartbeat.info.id.clone();
    let heard = Answer::Heard {
        next_address: next_address(core, &heartbeat.info),
    };
    if !core.group.machine.read().may_be_worker(&heartbeat.info) {
        core.metrics.count("heartbeats_unknown_pool", 1);
        log::info!(worker = id.to_string(), pool = &*heartbeat.info.pool; "heartbeat names no pool of the rules");
        return heard;
    }
    let now_ms = core.clock.now_ms();
    match note_heartbeat(core, &id, &ReceivedHeartbeat::new(&heartbeat, now_ms)) {
        None => return Answer::NotLeader,
        Some(false) => return heard,
        Some(true) => {}
    }
    let changes = worker_changes(core, &heartbeat);
    if changes.is_empty() {
        return heard;
    }
    for change in &changes {
        log::info!(worker = id.to_string(), sequence = heartbeat.sequence, change:? = change; "worker changed");
    }
    match super::answer_call::change(core, Command::Workers(changes)).await {
        Answer::Done => heard,
        answer => answer,
    }
}

/// Passes a heartbeat to the dispatcher. Returns whether it is the newest one of a worker that has not ended, or `None` if this core does
/// not lead.
fn note_heartbeat(
    core: &Rc<CoreNode>,
    worker: &Incarnation,
    heartbeat: &ReceivedHeartbeat,
) -> Option<bool> {
    let mut held = core.leadership.borrow_mut();
    let leadership = held.as_mut()?;
    let newest = leadership
        .heartbeat_sequences
        .entry(worker.clone())
        .or_default();
    let out_of_order = heartbeat.sequence < *newest;
    if out_of_order {
        core.metrics.count("heartbeats_out_of_order", 1);
        log::info!(worker = worker.to_string(), sequence = heartbeat.sequence, newest = *newest, clock_ms = heartbeat.clock_ms.unwrap_or(0); "heartbeat out of order: its sequence number is lower than the highest one received");
    }
    *newest = (*newest).max(heartbeat.sequence);
    let answered = leadership.dispatcher.answers(worker);
    let alive =
        leadership
            .dispatcher
            .note_heartbeat(heartbeat.received_ms, worker, heartbeat.clock_ms);
    if alive && !out_of_order {
        let dispatcher = &mut leadership.dispatcher;
        dispatcher.note_cold(heartbeat.received_ms, worker, heartbeat.cold_ms);
        if let Some(leaves_in_ms) = heartbeat.leaves_in_ms {
            dispatcher.note_leaving(heartbeat.received_ms, worker, leaves_in_ms);
        }
    }
    leadership.plan_due |= !answered && leadership.dispatcher.answers(worker);
    Some(alive && !out_of_order)
}

fn worker_changes(core: &Rc<CoreNode>, heartbeat: &WorkerHeartbeat) -> Vec<WorkerChange> {
    let id: &Incarnation = &heartbeat.info.id;
    let workload = core.group.machine.read();
    let known = workload.worker(id);
    let mut changes = Vec::new();
    // Cores of an older version forward heartbeats without the sequence number in the info.
    let info = WorkerInfo {
        sequence: heartbeat.sequence,
        ..heartbeat.info.clone()
    };
    let is_changed = known.is_none_or(|worker| {
        info.sequence >= worker.info.sequence && !worker.info.equals_ignoring_sequence(&info)
    });
    if is_changed {
        changes.push(WorkerChange::Known(info));
    }
    if heartbeat.draining && known.is_none_or(|worker| !worker.draining) {
        changes.push(WorkerChange::Draining(id.clone()));
    }
    changes
}

/// Address for the worker's next heartbeats: that of the core that talks to the worker.
fn next_address(core: &Rc<CoreNode>, worker: &WorkerInfo) -> Option<SocketAddr> {
    core.carrier_of(worker)
        .and_then(|carrier| carrier.control_address)
        .or(core.config.control_address)
}

/// Accepts a heartbeat that changes nothing on behalf of the leader, to be relayed together with others. Returns `None` if the leader must
/// handle it itself.
///
/// A fleet of thousands of workers sends thousands of heartbeats a second, and nearly all of them only say that the worker is alive.
pub(super) fn accept_for_leader(
    core: &Rc<CoreNode>,
    heartbeat: &WorkerHeartbeat,
) -> Option<Answer> {
    let changed = !worker_changes(core, heartbeat).is_empty();
    if changed || !core.shares_workers() || core.mesh.fresh_leader().is_none() {
        return None;
    }
    let received = ReceivedHeartbeat::new(heartbeat, core.clock.now_ms());
    let worker = heartbeat.info.id.clone();
    core.heartbeats_to_relay
        .borrow_mut()
        .insert(worker, received);
    Some(Answer::Heard {
        next_address: next_address(core, &heartbeat.info),
    })
}

/// Relays the heartbeats received by this core to the leader, until the process ends.
pub(super) async fn relay_to_leader(core: Rc<CoreNode>) {
    loop {
        sleep_ms(RELAY_INTERVAL_MS).await;
        let heartbeats = std::mem::take(&mut *core.heartbeats_to_relay.borrow_mut());
        let Some(leader) = core.mesh.fresh_leader().filter(|_| !heartbeats.is_empty()) else {
            continue;
        };
        let now_ms = core.clock.now_ms();
        let heartbeats = heartbeats
            .into_iter()
            .map(|(worker, heartbeat)| RelayedHeartbeat {
                worker: worker.to_string(),
                clock_ms: heartbeat.clock_ms,
                sequence: heartbeat.sequence,
                age_ms: now_ms.saturating_sub(heartbeat.received_ms),
                cold_ms: heartbeat.cold_ms,
                leaves_in_ms: heartbeat.leaves_in_ms,
            });
        let body = RelayedHeartbeats {
            signs: heartbeats.collect(),
        };
        let sent = leader.call(RpcKind::Signs, body.encode_to_vec(), RELAY_TIMEOUT_MS);
        if sent.await.is_err() {
            core.metrics.count("signs_untold", 1);
        }
    }
}

/// Handles heartbeats that another core received and relayed.
pub(super) fn handle_relayed(core: &Rc<CoreNode>, body: &[u8]) {
    let heartbeats = match RelayedHeartbeats::decode(body) {
        Ok(signs) => signs.signs,
        Err(error) => {
            log::warn!("relayed heartbeats cannot be decoded: {error}");
            return;
        }
    };
    let now_ms = core.clock.now_ms();
    for relayed in heartbeats {
        let Some(worker) = Incarnation::parse(&relayed.worker) else {
            continue;
        };
        let known = core.group.machine.read().worker(&worker).is_some();
        if known {
            let heartbeat = ReceivedHeartbeat {
                clock_ms: relayed.clock_ms,
                sequence: relayed.sequence,
                received_ms: now_ms.saturating_sub(relayed.age_ms),
                cold_ms: relayed.cold_ms,
                leaves_in_ms: relayed.leaves_in_ms,
            };
            // If this core no longer leads, the worker's next heartbeat goes to the new leader.
            let _ = note_heartbeat(core, &worker, &heartbeat);
        }
    }
}
