//! Heartbeats of workers.

use super::core_node::CoreNode;
use super::sign::Sign;
use crate::calls::Answer;
use crate::calls::WorkerHeartbeat;
use bh_net::runtime::sleep_ms;
use bh_protocol::Incarnation;
use bh_protocol::wire::RpcKind;
use bh_protocol::wire::SignOfLife;
use bh_protocol::wire::SignsOfLife;
use bh_workload::state::Command;
use bh_workload::state::WorkerChange;
use bh_workload::state::WorkerInfo;
use prost::Message;
use std::net::SocketAddr;
use std::rc::Rc;

/// Time for which heartbeats that change nothing are gathered before the leader hears of them, in milliseconds. It is a small part of
/// the time after which a worker counts as silent, and makes one message of some hundred.
const GATHER_MS: u64 = 100;
/// Wait for the leader to take them, in milliseconds. Those that it did not take are followed by the workers' next ones.
const TELL_MS: u64 = 500;

/// Takes a worker's heartbeat as the leader. What changes what may run there is recorded before the worker is answered: whoever leads
/// next must not give work to a worker whose leaving was acknowledged.
pub(super) async fn hear(core: &Rc<CoreNode>, heartbeat: WorkerHeartbeat) -> Answer {
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
    match note(core, &id, &Sign::new(&heartbeat, now_ms)) {
        None => return Answer::NotLeader,
        Some(false) => return heard,
        Some(true) => {}
    }
    let changes = changes(core, &heartbeat);
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

/// Notes a sign of life; returns whether it is the newest of a worker that has not ended, or `None` when this core does not lead.
fn note(core: &Rc<CoreNode>, worker: &Incarnation, sign: &Sign) -> Option<bool> {
    let mut held = core.leadership.borrow_mut();
    let leadership = held.as_mut()?;
    let newest = leadership.sequences.entry(worker.clone()).or_default();
    let held_up = sign.sequence < *newest;
    if held_up {
        core.metrics.count("heartbeats_out_of_order", 1);
        log::info!(worker = worker.to_string(), sequence = sign.sequence, newest = *newest, clock_ms = sign.clock_ms.unwrap_or(0); "heartbeat out of order: its sequence number is lower than the highest one received");
    }
    *newest = (*newest).max(sign.sequence);
    let answered = leadership.dispatcher.answers(worker);
    let alive = leadership
        .dispatcher
        .note_heartbeat(sign.heard_ms, worker, sign.clock_ms);
    if alive && !held_up {
        let dispatcher = &mut leadership.dispatcher;
        dispatcher.note_cold(sign.heard_ms, worker, sign.cold_ms);
        if let Some(leaves_in_ms) = sign.leaves_in_ms {
            dispatcher.note_leaving(sign.heard_ms, worker, leaves_in_ms);
        }
    }
    leadership.plan_due |= !answered && leadership.dispatcher.answers(worker);
    Some(alive && !held_up)
}

fn changes(core: &Rc<CoreNode>, heartbeat: &WorkerHeartbeat) -> Vec<WorkerChange> {
    let id: &Incarnation = &heartbeat.info.id;
    let workload = core.group.machine.read();
    let known = workload.worker(id);
    let mut changes = Vec::new();
    // A core of an older version hands heartbeats on without the number in the info.
    let info = WorkerInfo {
        sequence: heartbeat.sequence,
        ..heartbeat.info.clone()
    };
    let is_news = known.is_none_or(|worker| {
        info.sequence >= worker.info.sequence && !worker.info.equals_ignoring_sequence(&info)
    });
    if is_news {
        changes.push(WorkerChange::Known(info));
    }
    if heartbeat.draining && known.is_none_or(|worker| !worker.draining) {
        changes.push(WorkerChange::Draining(id.clone()));
    }
    changes
}

/// Where a worker's next heartbeats go: to the core that talks to it.
fn next_address(core: &Rc<CoreNode>, worker: &WorkerInfo) -> Option<SocketAddr> {
    core.carrier_of(worker)
        .and_then(|carrier| carrier.control_address)
        .or(core.config.control_address)
}

/// Takes a heartbeat that changes nothing for the leader, which is told of many at a time; `None` when the leader must see it itself.
///
/// A fleet of thousands of workers sends thousands of heartbeats a second, nearly all of which say nothing but that the worker is there.
pub(super) fn hear_for_leader(core: &Rc<CoreNode>, heartbeat: &WorkerHeartbeat) -> Option<Answer> {
    let changed = !changes(core, heartbeat).is_empty();
    if changed || !core.shares_workers() || core.mesh.fresh_leader().is_none() {
        return None;
    }
    let sign = Sign::new(heartbeat, core.clock.now_ms());
    let worker = heartbeat.info.id.clone();
    core.signs.borrow_mut().insert(worker, sign);
    Some(Answer::Heard {
        next_address: next_address(core, &heartbeat.info),
    })
}

/// Tells the leader of the heartbeats that came here, until the process ends.
pub(super) async fn tell_leader(core: Rc<CoreNode>) {
    loop {
        sleep_ms(GATHER_MS).await;
        let signs = std::mem::take(&mut *core.signs.borrow_mut());
        let Some(leader) = core.mesh.fresh_leader().filter(|_| !signs.is_empty()) else {
            continue;
        };
        let now_ms = core.clock.now_ms();
        let signs = signs.into_iter().map(|(worker, sign)| SignOfLife {
            worker: worker.to_string(),
            clock_ms: sign.clock_ms,
            sequence: sign.sequence,
            age_ms: now_ms.saturating_sub(sign.heard_ms),
            cold_ms: sign.cold_ms,
            leaves_in_ms: sign.leaves_in_ms,
        });
        let body = SignsOfLife {
            signs: signs.collect(),
        };
        let told = leader.call(RpcKind::Signs, body.encode_to_vec(), TELL_MS);
        if told.await.is_err() {
            core.metrics.count("signs_untold", 1);
        }
    }
}

/// Takes the heartbeats that came to another core.
pub(super) fn hear_signs(core: &Rc<CoreNode>, body: &[u8]) {
    let signs = match SignsOfLife::decode(body) {
        Ok(signs) => signs.signs,
        Err(error) => {
            log::warn!("signs of life that cannot be read: {error}");
            return;
        }
    };
    let now_ms = core.clock.now_ms();
    for told in signs {
        let Some(worker) = Incarnation::parse(&told.worker) else {
            continue;
        };
        let known = core.group.machine.read().worker(&worker).is_some();
        if known {
            let sign = Sign {
                clock_ms: told.clock_ms,
                sequence: told.sequence,
                heard_ms: now_ms.saturating_sub(told.age_ms),
                cold_ms: told.cold_ms,
                leaves_in_ms: told.leaves_in_ms,
            };
            // The next one of a core that no longer leads goes to another.
            let _ = note(core, &worker, &sign);
        }
    }
}
