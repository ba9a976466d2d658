//! A core process: its replica, its links, and its state while it leads.

use super::carriers;
use super::carriers::Carrier;
use super::carry_delay::CarryDelay;
use super::leadership::Leadership;
use super::received_heartbeat::ReceivedHeartbeat;
use super::undelivered_heartbeats::UndeliveredHeartbeats;
use super::worker_calls::WorkerCalls;
use crate::calls::Parser;
use crate::config::LocalConfig;
use crate::dialect::Dialect;
use crate::mesh::Inbound;
use crate::mesh::Mesh;
use crate::observe::Metrics;
use crate::standstill::Standstill;
use bh_group::Group;
use bh_net::Clock;
use bh_net::connections::Connections;
use bh_protocol::Incarnation;
use bh_protocol::wire::CoreStatus;
use bh_workload::admission::OpenCalls;
use bh_workload::state::WorkerInfo;
use bh_workload::state::Workload;
use local_sync::mpsc::unbounded;
use local_sync::semaphore::Semaphore;
use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio_util::sync::CancellationToken;

/// Time for which a list of the reachable cores is used, in milliseconds. It is needed for each order and each heartbeat, and a core that is
/// lost shows only after half a second of silence.
const CORES_TTL_MS: u64 = 50;

/// State of a core process.
pub struct CoreNode {
    /// Its file.
    pub config: LocalConfig,
    /// Translates calls and orders to and from the wire format.
    pub dialect: Dialect,
    /// Its clock.
    pub clock: Clock,
    /// Its replica of the record.
    pub group: Group<Workload>,
    /// Detects that the process stood still.
    pub standstill: Rc<Standstill>,
    /// Links to other cores.
    pub mesh: Rc<Mesh>,
    /// Open links from other cores and entries.
    pub inbound: Rc<Inbound>,
    /// Parses the calls of workers and operators.
    pub parser: Parser,
    /// Held by the call about the rules that is being forwarded to the leader.
    pub(super) rules_turn: Semaphore,
    /// Connections of workers and operators, and what calls take.
    pub connections: Rc<Connections>,
    /// Connections to workers.
    pub workers: WorkerCalls,
    /// The leader's state; `None` while this core does not lead.
    pub leadership: RefCell<Option<Leadership>>,
    /// When some core was last known to lead, on the process's clock in milliseconds; `None` if none has been since the process started.
    pub last_led_ms: Cell<Option<u64>>,
    /// Result of the last check whether the cores share the workers.
    pub shared_workers: Cell<bool>,
    /// The reachable cores, and when they were listed, on the process's clock in milliseconds.
    pub(super) reachable_cores: RefCell<(u64, Rc<[Carrier]>)>,
    /// Measures the transit time of orders that this core carries.
    pub carry_delay: RefCell<CarryDelay>,
    /// Heartbeats received while there was no leader.
    pub undelivered_heartbeats: RefCell<UndeliveredHeartbeats>,
    /// Heartbeats that are to be relayed to the leader, by worker.
    pub heartbeats_to_relay: RefCell<BTreeMap<Incarnation, ReceivedHeartbeat>>,
    /// Cancelled when the process is told to stop.
    pub draining: CancellationToken,
    /// Counters, gauges and latency histograms.
    pub metrics: Rc<Metrics>,
    /// Calls that this core has not answered yet as the leader.
    pub open_calls: RefCell<OpenCalls>,
    /// Number of calls in progress.
    pub in_progress: Cell<usize>,
    /// Wakes the leader's main loop.
    pub wake: unbounded::Tx<()>,
    /// Whether a wake-up is already queued.
    pub wake_pending: Cell<bool>,
}

impl CoreNode {
    /// What this core reports about itself on its links.
    pub fn status(&self) -> CoreStatus {
        let status = self.group.status();
        let rules_version = self
            .group
            .machine
            .read()
            .rules
            .as_ref()
            .map_or(0, |rules| rules.version);
        let mut cores: Vec<String> = self
            .mesh
            .known()
            .iter()
            .map(SocketAddr::to_string)
            .collect();
        cores.push(self.config.peer_address().to_string());
        let leads = self.leadership.borrow().is_some() && status.is_leader;
        let leader = self.mesh.fresh_leader().filter(|_| !leads);
        CoreStatus {
            leads,
            leader_term: leader.as_ref().map_or(0, |leader| leader.leader_term()),
            leader_contact_age_ms: leader.map_or(0, |leader| {
                self.clock
                    .now_ms()
                    .saturating_sub(leader.leader_contact_ms())
            }),
            term: status.term,
            rules_version,
            cores,
            draining: self.draining.is_cancelled(),
            control_address: self
                .config
                .control_address
                .map(|address| address.to_string())
                .unwrap_or_default(),
        }
    }

    /// Whether the cores share the workers, instead of the leader talking to all of them.
    pub fn shares_workers(&self) -> bool {
        let workers = self.group.machine.read().worker_count();
        let shared = carriers::should_share_workers(
            workers,
            self.config.descriptors(),
            self.shared_workers.get(),
        );
        if self.shared_workers.replace(shared) != shared {
            log::info!(core = &*self.config.name, workers, shared; "sharing of workers among the cores changed");
        }
        shared
    }

    /// The cores that are reachable now, including this one. The list may be [`CORES_TTL_MS`] old.
    fn cores(&self) -> Rc<[Carrier]> {
        let now_ms = self.clock.now_ms();
        let (listed_ms, known) = self.reachable_cores.borrow().clone();
        if !known.is_empty() && now_ms < listed_ms + CORES_TTL_MS {
            return known;
        }
        let cores = self.list_cores(now_ms);
        self.reachable_cores.replace((now_ms, cores.clone()));
        cores
    }

    fn list_cores(&self, now_ms: u64) -> Rc<[Carrier]> {
        let peers = self.mesh.peers();
        let reached = peers
            .iter()
            .filter(|peer| peer.is_fresh(now_ms) && !peer.status.borrow().draining);
        let mut cores: Vec<Carrier> = reached
            .map(|peer| Carrier {
                address: peer.address,
                data_centre: peer.data_centre.borrow().clone(),
                control_address: peer.status.borrow().control_address.parse().ok(),
            })
            .collect();
        cores.push(Carrier {
            address: self.config.peer_address(),
            data_centre: self.config.data_centre.clone(),
            control_address: self.config.control_address,
        });
        cores.into()
    }

    /// The other core that talks to a worker; `None` if this core does.
    pub fn carrier_of(&self, worker: &WorkerInfo) -> Option<Carrier> {
        if !self.shares_workers() {
            return None;
        }
        let cores = self.cores();
        carriers::carrier_of(worker, &cores)
            .filter(|carrier| carrier.address != self.config.peer_address())
            .cloned()
    }

    /// Wakes the leader's main loop; several calls before the next iteration count as one.
    pub fn wake(&self) {
        if !self.wake_pending.replace(true) {
            // The loop ends only with the process.
            let _ = self.wake.send(());
        }
    }

    /// Milliseconds since 1970.
    pub fn wall_ms(&self) -> u64 {
        self.clock.wall_ms()
    }
}
