//! The state of one entry.

use crate::group::Group;
use crate::leader::JobsGroup;
use crate::metrics::Metrics;
use crate::peers::Peers;
use bh_membership::LeaderlessTargets;
use bh_net::Background;
use bh_net::Clock;
use bh_net::http_client::Pool;
use bh_net::http_server::Service;
use bh_protocol::settings::InForce;
use bh_report::Counters;
use bh_router::Decision;
use bh_router::Router;
use bh_settings::EntryConfig;
use bh_settings::Settings;
use local_sync::oneshot;
use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::rc::Weak;
use std::sync::Arc;
use tokio_util::sync::CancellationToken;

/// Election timeouts without contact with the settings leader after which an entry counts as cut off from the quorum.
const CUT_OFF_ELECTIONS: u64 = 2;

/// One entry of the system.
pub struct Node {
    /// Its configuration file.
    pub config: EntryConfig,
    /// Its clock.
    pub clock: Clock,
    /// Identity of its replicas.
    pub replica: u64,
    /// Random number that identifies this start of the process.
    pub incarnation: u64,
    /// The group that replicates the settings.
    pub settings: Group,
    /// Groups of data centres that this entry votes in or observes, by data centre.
    pub jobs: BTreeMap<Arc<str>, Rc<JobsGroup>>,
    /// The other entries.
    pub peers: Peers,
    /// Router that decides where short requests run.
    pub router: RefCell<Router>,
    /// Targets that this entry uses while it reaches no leader.
    pub leaderless_targets: RefCell<LeaderlessTargets>,
    /// Idle connections to targets.
    pub pool: Pool,
    /// Metrics.
    pub metrics: Metrics,
    /// Counters of the service-level report.
    pub counters: RefCell<Counters>,
    /// Cancelled when the shutdown begins: the entry is no longer ready.
    pub draining: CancellationToken,
    /// Cancelled when the entry stops accepting connections.
    pub closing: CancellationToken,
    /// Cancelled at the end of the shutdown: all tasks end.
    pub stop: CancellationToken,
    /// Requests of callers, and ledger records written in the background, that are in progress.
    pub in_progress: Cell<u32>,
    /// Parses large bodies.
    pub background: Background,
    /// How callers and targets are served.
    pub callers: Service,
    /// Bytes sent to other entries.
    pub link_bytes: Cell<u64>,
    /// A weak reference to this node, for tasks that outlive the call that spawns them.
    pub(crate) weak_self: Weak<Node>,
    /// Where the next decision about each request is sent, by request number.
    pub(crate) pending_decisions: RefCell<BTreeMap<u64, oneshot::Sender<Decision>>>,
    pub(crate) next_request: Cell<u64>,
}

impl Node {
    /// Revision and content of the settings in force on this entry.
    pub fn settings_in_force(&self) -> (u64, Arc<Settings>) {
        self.settings
            .machine
            .read()
            .settings()
            .map(|machine| (machine.revision, machine.settings.clone()))
            .unwrap_or_default()
    }

    /// Which settings are in force on this entry, and whether it may have missed newer ones.
    pub fn in_force(&self) -> InForce {
        let confirmed_ms = self.settings.leader_contact_age_ms(self.clock.now_ms());
        let cut_off_ms = self.config.election_ms * CUT_OFF_ELECTIONS;
        InForce {
            entry: self.config.own.name.clone(),
            data_centre: self.config.own.data_centre.clone(),
            revision: self.settings_in_force().0,
            confirmed_ms: confirmed_ms.unwrap_or(u64::MAX),
            cut_off: confirmed_ms.is_none_or(|confirmed| confirmed > cut_off_ms),
        }
    }

    /// Whether the load balancer should send callers to this entry. Until the entry knows the settings in force, it would
    /// answer them that their customers are unknown.
    pub fn is_ready(&self) -> bool {
        let own = self.jobs.get(&self.config.own.data_centre);
        let has_leader_contact = own.is_some_and(|jobs| {
            jobs.group
                .leader_contact_age_ms(self.clock.now_ms())
                .is_some()
        });
        let serves_without_leader = self
            .leaderless_targets
            .borrow()
            .is_leaderless(self.clock.now_ms());
        let knows_settings = self.settings.has_caught_up();
        (has_leader_contact || serves_without_leader)
            && knows_settings
            && !self.draining.is_cancelled()
    }

    /// The group of this entry's own data centre.
    pub fn own_jobs(&self) -> Option<&Rc<JobsGroup>> {
        self.jobs.get(&self.config.own.data_centre)
    }

    /// Owned references to this node and to one of its groups.
    pub(crate) fn node_and_group(&self, data_centre: &str) -> Option<(Rc<Node>, Rc<JobsGroup>)> {
        Some((
            self.weak_self.upgrade()?,
            self.jobs.get(data_centre)?.clone(),
        ))
    }

    /// Returns a request number that is unique in this process.
    pub fn next_request_number(&self) -> u64 {
        let number = self.next_request.get();
        self.next_request.set(number + 1);
        number
    }

    /// Delivers the router's decisions to the requests that wait for them.
    pub fn deliver_decisions(&self, decisions: Vec<Decision>) {
        for decision in decisions {
            let id = match &decision {
                Decision::Send { id, .. }
                | Decision::Forward { id, .. }
                | Decision::Refuse { id, .. } => *id,
            };
            if let Some(sender) = self.pending_decisions.borrow_mut().remove(&id) {
                let _ = sender.send(decision);
            }
        }
    }
}
