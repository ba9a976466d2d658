//! Which core talks to which worker.

use bh_workload::state::WorkerInfo;
use std::net::SocketAddr;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// Connections of one worker: its heartbeats, the look that always waits, and an order now and then.
const CONNECTIONS_PER_WORKER: usize = 3;
/// Share of its descriptors up to which the leader talks to all workers itself, in percent. What is left is for idle connections, links to
/// entries and files; beyond it the cores share the workers. Below it that would only add a second process that may be lost.
const SHARE_ABOVE_PERCENT: usize = 25;

/// A core that can be reached now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Carrier {
    /// Where it takes links.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Where it takes heartbeats.
    pub control_address: Option<SocketAddr>,
}

/// Share below which a leader talks to all workers itself again, in percent: a fleet whose size goes up and down around one limit would have its
/// connections opened anew each time.
const UNSHARE_BELOW_PERCENT: usize = 15;

/// Whether the cores share the workers, rather than the leader talking to all of them; `already` when they did so far.
pub fn should_share_workers(workers: usize, descriptors: usize, is_shared: bool) -> bool {
    let percent = if is_shared {
        UNSHARE_BELOW_PERCENT
    } else {
        SHARE_ABOVE_PERCENT
    };
    workers * CONNECTIONS_PER_WORKER * 100 > descriptors * percent
}

/// The core among `cores` that talks to a worker: one of its own data centre if there is any, since they are cut off together and what they
/// say to each other stays there.
///
/// Each core reckons alike, and when one is lost only its own workers move.
pub fn carrier_of<'a>(worker: &WorkerInfo, cores: &'a [Carrier]) -> Option<&'a Carrier> {
    cores.iter().max_by_key(|core| {
        let near = core.data_centre == worker.data_centre;
        (near, weight(&worker.id.id, core.address), core.address)
    })
}

fn weight(worker: &str, core: SocketAddr) -> u64 {
    xxh3_64(format!("{worker} {core}").as_bytes())
}
