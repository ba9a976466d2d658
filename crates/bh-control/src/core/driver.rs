//! Sets up the core's replica of the replicated state and connects it to the core.

use super::core_node::CoreNode;
use crate::config::LocalConfig;
use bh_consensus::Config;
use bh_consensus::VoterPolicy;
use bh_group::Driver;
use bh_group::Group;
use bh_group::Hooks;
use bh_group::Machine;
use bh_net::Clock;
use bh_protocol::Failure;
use bh_protocol::wire::RaftMessage;
use bh_storage::Folder;
use bh_workload::state::Workload;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

/// Name of the replicated group.
const GROUP: &str = "workload";
/// Time between a leader's heartbeats, in milliseconds. The latency between cores is a few milliseconds; the rest is margin for a busy
/// processor.
const HEARTBEAT_INTERVAL_MS: u64 = 120;
/// Minimum silence before an election, in milliseconds: a sync may take tens of milliseconds, and a small VM may be paused for a tenth of a
/// second.
const ELECTION_TIMEOUT_MS: u64 = 700;
/// Election timeout of a core that has not heard from a leader since it started, in milliseconds: two heartbeats, within which a leader
/// would have been heard.
const FIRST_ELECTION_TIMEOUT_MS: u64 = 2 * HEARTBEAT_INTERVAL_MS;
/// Silence after which a core's vote passes to another one that has caught up, in milliseconds. A restart takes less; a core that is
/// permanently lost must be replaced before the next one may fail.
const REPLACE_AFTER_MS: u64 = 2_000;
/// Number of commands after which a snapshot is written.
const SNAPSHOT_ENTRIES: u64 = 4_000;

/// A core that is set after it is built. The driver's hooks are created before the core.
#[derive(Clone, Default)]
pub(super) struct DeferredCore {
    core: Rc<RefCell<Option<Rc<CoreNode>>>>,
}

impl DeferredCore {
    /// Sets the core.
    pub fn set(&self, core: Rc<CoreNode>) {
        *self.core.borrow_mut() = Some(core);
    }

    fn get(&self) -> Option<Rc<CoreNode>> {
        self.core.borrow().clone()
    }
}

/// The driver of this core's replica, with what its folder holds, and the handle to it.
///
/// # Errors
///
/// A log that cannot be read.
pub(super) fn build(
    config: &LocalConfig,
    folder: &Folder,
    clock: &Clock,
    deferred: &DeferredCore,
) -> Result<(Driver<Workload>, Group<Workload>), Failure> {
    let consensus = Config {
        group: Arc::from(GROUP),
        id: folder.replica_id(),
        // A VM is identified by its address: a replaced VM comes back under another one, a wiped VM under the same.
        name: Arc::from(config.ip.to_string()),
        durable: true,
        voter_policy: VoterPolicy::Count {
            count: config.voters(),
            replace_after_ms: REPLACE_AFTER_MS,
        },
        heartbeat_ms: HEARTBEAT_INTERVAL_MS,
        election_timeout_ms: ELECTION_TIMEOUT_MS,
        first_election_timeout_ms: FIRST_ELECTION_TIMEOUT_MS,
        election_delay_ms: 0,
        seed: folder.replica_id(),
    };
    let machine = Machine::new(Workload::default(), Workload::CODEC);
    let limits = config.storage_limits();
    let (journal, recovered) = folder.journal(GROUP)?;
    let reserve_bytes = usize::try_from(limits.reserve_bytes).unwrap_or(usize::MAX);
    let storage = Some((journal.with_reserve(reserve_bytes), recovered));
    let hooks = hooks(deferred);
    let (driver, group) = Driver::new(consensus, machine, storage, clock.clone(), hooks)?;
    let driver = driver
        .with_snapshot_entries(SNAPSHOT_ENTRIES)
        .with_max_log_bytes(limits.log_bytes);
    Ok((driver, group))
}

fn hooks(deferred: &DeferredCore) -> Hooks {
    let (sending, applying, changing) = (deferred.clone(), deferred.clone(), deferred.clone());
    Hooks {
        send: Box::new(move |message| {
            if let Some(core) = sending.get() {
                send_raft(&core, message);
            }
        }),
        applied: Box::new(move |_, _| {
            if let Some(core) = applying.get()
                && core.leadership.borrow().is_some()
            {
                core.wake();
            }
        }),
        changed: Box::new(move || {
            if let Some(core) = changing.get() {
                core.wake();
            }
        }),
    }
}

fn send_raft(core: &Rc<CoreNode>, message: RaftMessage) {
    if message.to == 0 {
        for peer in core.mesh.peers() {
            peer.send_raft(message.clone());
        }
    } else if let Some(peer) = core.mesh.peer_by_replica(message.to) {
        peer.send_raft(message);
    }
}
