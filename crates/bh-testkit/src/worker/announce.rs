//! Announces the stand-in worker to the entries.

use super::faults::Faults;
use super::state::State;
use bh_net::Clock;
use bh_net::http_client::Connection;
use bh_net::runtime::sleep_ms;
use bh_net::runtime::within_ms;
use bh_protocol::target::AnnounceReply;
use bh_protocol::target::Announcement;
use bytes::Bytes;
use http::Request;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Time between announcements before the first answer, in milliseconds.
const FIRST_RENEW_MS: u64 = 100;
const POLL_INTERVAL_MS: u64 = 10;
const ANNOUNCE_TIMEOUT_MS: u64 = 1_000;
const MAX_ANSWER_BYTES: u64 = 4 << 20;

/// Announces the worker until it stops.
pub(super) async fn announce(state: Arc<State>, own_address: SocketAddr, clock: Clock) {
    let renew_ms = Rc::new(Cell::new(FIRST_RENEW_MS));
    let mut next_entry = 0;
    let mut last_reports = None;
    let mut entries = state.options.entries.clone();
    while !state.stop.load(Ordering::SeqCst) {
        let faults = *state.faults.lock().expect("the lock is not poisoned");
        if !faults.silent {
            let reports = state
                .tasks
                .lock()
                .expect("the lock is not poisoned")
                .reports();
            last_reports = Some(reports.clone());
            let entry = &entries[next_entry % entries.len()];
            match within_ms(
                ANNOUNCE_TIMEOUT_MS,
                send(&state, own_address, &faults, reports, entry),
            )
            .await
            .flatten()
            {
                Some(reply) => {
                    if !reply.entries.is_empty() {
                        // The first entry is the leader: an announcement made to it need not be forwarded.
                        entries = reply
                            .entries
                            .iter()
                            .map(|address| address.to_string())
                            .collect();
                        next_entry = 0;
                    }
                    renew_ms.set(reply.renew_ms.max(POLL_INTERVAL_MS));
                    let mut tasks = state.tasks.lock().expect("the lock is not poisoned");
                    tasks.apply_reply(
                        clock.now_ms(),
                        &reply.renewed,
                        &reply.stop,
                        &reply.acknowledged,
                    );
                }
                None => {
                    // The entries that the leader named may all have stopped: the worker tries the configured ones again.
                    entries = state.options.entries.clone();
                    next_entry += 1;
                    renew_ms.set(FIRST_RENEW_MS);
                }
            }
        }
        wait_for_renewal(&state, &clock, renew_ms.get(), &last_reports, faults).await;
    }
}

/// Waits until the next renewal is due, the task reports change, or the worker is ordered to leave.
async fn wait_for_renewal(
    state: &Arc<State>,
    clock: &Clock,
    renew_ms: u64,
    last_reports: &Option<Vec<bh_protocol::target::TaskReport>>,
    faults: Faults,
) {
    let until_ms = clock.now_ms() + renew_ms;
    while clock.now_ms() < until_ms && !state.stop.load(Ordering::SeqCst) {
        sleep_ms(POLL_INTERVAL_MS).await;
        let changed = last_reports.as_ref()
            != Some(
                &state
                    .tasks
                    .lock()
                    .expect("the lock is not poisoned")
                    .reports(),
            );
        let leaves = !faults.leaving
            && state
                .faults
                .lock()
                .expect("the lock is not poisoned")
                .leaving;
        if changed || leaves {
            return;
        }
    }
}

async fn send(
    state: &State,
    own_address: SocketAddr,
    faults: &Faults,
    tasks: Vec<bh_protocol::target::TaskReport>,
    entry: &str,
) -> Option<AnnounceReply> {
    let options = &state.options;
    let announcement = Announcement {
        name: Arc::from(options.name.as_str()),
        incarnation: state.incarnation,
        data_centre: Arc::from(options.data_centre.as_str()),
        rack: Arc::from(options.rack.as_str()),
        address: Arc::from(options.announced_address.unwrap_or(own_address).to_string()),
        cores: 130,
        memory_mib: 500 << 10,
        accelerators: options.accelerators,
        slots: options.slots,
        connections: 64,
        busy_slots: state
            .stats
            .lock()
            .expect("the lock is not poisoned")
            .in_progress,
        leaving: faults.leaving,
        tasks,
    };
    let address: SocketAddr = entry.parse().ok()?;
    let mut connection = Connection::open(address, ANNOUNCE_TIMEOUT_MS).await.ok()?;
    let request = Request::builder()
        .method("POST")
        .uri("/v1/targets/announce")
        .header("host", entry)
        .body(Bytes::from(serde_json::to_vec(&announcement).ok()?))
        .ok()?;
    let response = connection
        .send(request, ANNOUNCE_TIMEOUT_MS, MAX_ANSWER_BYTES)
        .await
        .ok()?;
    serde_json::from_slice(response.body()).ok()
}
