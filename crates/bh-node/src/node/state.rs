//! What one entry holds.

use crate::group::Group;
use crate::leader::JobsGroup;
use crate::metrics::Metrics;
use crate::peers::Peers;
use bh_membership::LeaderlessTargets;
use bh_net::Clock;
use bh_net::http_client::Pool;
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

/// Missed election times after which an entry counts as cut off from the settings quorum.
const CUT_OFF_ELECTIONS: u64 = 2;

/// One entry of the system.
pub struct Node {
    /// Its file.
    pub config: EntryConfig,
    /// Its clock.
    pub clock: Clock,
    /// Identity of its replicas.
    pub replica: u64,
    /// Drawn anew at each start of the process.
    pub incarnation: u64,
    /// The settings.
    pub settings: Group,
    /// Groups of data centres that this entry votes in or observes, by data centre.
    pub jobs: BTreeMap<Arc<str>, Rc<JobsGroup>>,
    /// The other entries.
    pub peers: Peers,
    /// Decisions about short requests.
    pub router: RefCell<Router>,
    /// What the entry does while it reaches no leader.
    pub alone: RefCell<LeaderlessTargets>,
    /// Connections to targets.
    pub pool: Pool,
    /// Metrics.
    pub metrics: Metrics,
    /// Counters of the service-level report.
    pub counters: RefCell<Counters>,
    /// Cancelled when the entry shuts down: it is not ready any more.
    pub draining: CancellationToken,
    /// Cancelled when the listener closes.
    pub closing: CancellationToken,
    /// Cancelled at the very end.
    pub stop: CancellationToken,
    /// Requests of callers in progress.
    pub in_progress: Cell<u32>,
    /// Connections of callers and targets.
    pub connections: Cell<usize>,
    /// Bytes sent to other entries.
    pub link_bytes: Cell<u64>,
    /// A handle to this node itself, for tasks that outlive the call they come from.
    pub(crate) own: Weak<Node>,
    pub(crate) decisions: RefCell<BTreeMap<u64, oneshot::Sender<Decision>>>,
    pub(crate) next_request: Cell<u64>,
}

impl Node {
    /// The settings in force here.
    pub fn settings_in_force(&self) -> (u64, Arc<Settings>) {
        self.settings
            .machine
            .read()
            .settings()
            .map(|machine| (machine.revision, machine.settings.clone()))
            .unwrap_or_default()
    }

    /// What is in force here, and whether it may be behind.
    pub fn in_force(&self) -> InForce {
        let confirmed_ms = self.settings.confirmed_ms(self.clock.now_ms());
        let limit_ms = self.config.election_ms * CUT_OFF_ELECTIONS;
        InForce {
            entry: self.config.own.name.clone(),
            data_centre: self.config.own.data_centre.clone(),
            revision: self.settings_in_force().0,
            confirmed_ms: confirmed_ms.unwrap_or(u64::MAX),
            cut_off: confirmed_ms.is_none_or(|confirmed| confirmed > limit_ms),
        }
    }

    /// Whether the balancer shall send callers here. Before it knows the settings in force an entry would tell them that their
    /// customers are unknown.
    pub fn is_ready(&self) -> bool {
        let own = self.jobs.get(&self.config.own.data_centre);
        let has_heard =
            own.is_some_and(|jobs| jobs.group.confirmed_ms(self.clock.now_ms()).is_some());
        let serves_alone = self.alone.borrow().is_leaderless(self.clock.now_ms());
        let knows_settings = self.settings.has_caught_up();
        (has_heard || serves_alone) && knows_settings && !self.draining.is_cancelled()
    }

    /// The group of this entry's own data centre.
    pub fn own_jobs(&self) -> Option<&Rc<JobsGroup>> {
        self.jobs.get(&self.config.own.data_centre)
    }

    /// Owned handles to this node and one of its groups.
    pub(crate) fn rc_of(&self, data_centre: &str) -> Option<(Rc<Node>, Rc<JobsGroup>)> {
        Some((self.own.upgrade()?, self.jobs.get(data_centre)?.clone()))
    }

    /// A number for a request, unique in this process.
    pub fn request_number(&self) -> u64 {
        let number = self.next_request.get();
        self.next_request.set(number + 1);
        number
    }

    /// Hands the router's decisions to the requests that wait for them.
    pub fn carry_out(&self, decisions: Vec<Decision>) {
        for decision in decisions {
            let id = match &decision {
                Decision::Send { id, .. }
                | Decision::Forward { id, .. }
                | Decision::Refuse { id, .. } => *id,
            };
            if let Some(waiting) = self.decisions.borrow_mut().remove(&id) {
                let _ = waiting.send(decision);
            }
        }
    }
}
