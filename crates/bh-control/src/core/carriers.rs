//! Which core talks to which worker. The carrier of a worker is the core that sends it the leader's orders.

use bh_workload::state::WorkerInfo;
use std::net::SocketAddr;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// Connections per worker: its heartbeats, the probe that is always waiting, and an occasional order.
const CONNECTIONS_PER_WORKER: usize = 3;
/// Percentage of its descriptors that the leader may use for talking to all workers itself. The rest is for idle connections, links to
/// entries and files. Above it the cores share the workers; below it, sharing would only add a second process that can fail.
const SHARE_ABOVE_PERCENT: usize = 25;

/// A core that is reachable now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Carrier {
    /// Address where it accepts links.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Address where it accepts heartbeats.
    pub control_address: Option<SocketAddr>,
}

/// Percentage below which the leader talks to all workers itself again. The gap between the two limits is hysteresis: a fleet whose size
/// varies around a single limit would have its connections reopened each time.
const UNSHARE_BELOW_PERCENT: usize = 15;

/// Whether the cores should share the workers, instead of the leader talking to all of them. `is_shared` tells whether they share them now.
pub fn should_share_workers(workers: usize, descriptors: usize, is_shared: bool) -> bool {
    let percent = if is_shared {
        UNSHARE_BELOW_PERCENT
    } else {
        SHARE_ABOVE_PERCENT
    };
    workers * CONNECTIONS_PER_WORKER * 100 > descriptors * percent
}

/// Selects the core among `cores` that talks to a worker. A core in the worker's own data centre is preferred, since both are cut off
/// together and their traffic stays inside.
///
/// All cores compute the same result, and when a core is lost only its own workers move (rendezvous hashing).
pub fn carrier_of<'a>(worker: &WorkerInfo, cores: &'a [Carrier]) -> Option<&'a Carrier> {
    let is_near = |core: &&Carrier| core.data_centre == worker.data_centre;
    let any_near = cores.iter().any(|core| is_near(&core));
    let eligible = cores.iter().filter(|core| !any_near || is_near(core));
    eligible.max_by_key(|core| (weight(&worker.id.id, core.address), core.address))
}

fn weight(worker: &str, core: SocketAddr) -> u64 {
    xxh3_64(format!("{worker} {core}").as_bytes())
}
