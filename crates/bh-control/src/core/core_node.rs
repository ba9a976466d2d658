//! A core process: its replica, its links, and what it does while it leads.

use super::leadership::Leadership;
use super::worker_calls::WorkerCalls;
use crate::config::LocalConfig;
use crate::dialect::Dialect;
use crate::mesh::Inbound;
use crate::mesh::Mesh;
use crate::observe::Metrics;
use bh_group::Group;
use bh_net::Clock;
use bh_protocol::wire::CoreStatus;
use bh_workload::state::Workload;
use local_sync::mpsc::unbounded;
use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio_util::sync::CancellationToken;

/// State of a core process.
pub struct CoreNode {
    /// Its file.
    pub config: LocalConfig,
    /// How calls and orders are written.
    pub dialect: Dialect,
    /// Its clock.
    pub clock: Clock,
    /// Its replica of the record.
    pub group: Group<Workload>,
    /// Links to other cores.
    pub mesh: Rc<Mesh>,
    /// Links from other cores and entries.
    pub inbound: Rc<Inbound>,
    /// Connections to workers.
    pub workers: WorkerCalls,
    /// What it does as the leader; `None` while it does not lead.
    pub leadership: RefCell<Option<Leadership>>,
    /// Cancelled when the process is told to stop.
    pub draining: CancellationToken,
    /// Counters and times.
    pub metrics: Rc<Metrics>,
    /// Calls in progress.
    pub in_progress: Cell<usize>,
    /// Wakes the leader's loop.
    pub wake: unbounded::Tx<()>,
    /// Whether a wake is on its way already.
    pub woken: Cell<bool>,
}

impl CoreNode {
    /// What this core says of itself.
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
        CoreStatus {
            leads: self.leadership.borrow().is_some() && status.is_leader,
            term: status.term,
            rules_version,
            cores,
            draining: self.draining.is_cancelled(),
        }
    }

    /// Wakes the leader's loop, once for many reasons at a time.
    pub fn wake(&self) {
        if !self.woken.replace(true) {
            // The loop ends only with the process.
            let _ = self.wake.send(());
        }
    }

    /// Milliseconds since 1970.
    pub fn wall_ms(&self) -> u64 {
        self.clock.wall_ms()
    }
}
