//! Builds and starts the groups that the entry takes part in, as its configuration file says.

use super::Driver;
use super::Formation;
use super::Group;
use super::Hooks;
use super::Machine;
use super::form;
use crate::node::Node;
use crate::node::NodeHandle;
use crate::node::from_json;
use bh_consensus::Config;
use bh_consensus::VoterPolicy;
use bh_net::Clock;
use bh_protocol::Failure;
use bh_protocol::wire::RpcKind;
use bh_settings::EntryConfig;
use bh_storage::Folder;
use local_sync::oneshot;
use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;

/// Longest wait for another entry's formation, in milliseconds.
const FORMATION_TIMEOUT_MS: u64 = 1_000;

/// A group that is built and not started yet.
pub(crate) struct BuiltGroup {
    pub driver: Driver,
    pub group: Group,
    /// Names of the entries that should be voters.
    pub wanted: BTreeSet<Arc<str>>,
}

/// Data centres whose group this entry takes part in: its own, and those where it is a voter.
pub(crate) fn hosted_data_centres(config: &EntryConfig) -> Vec<Arc<str>> {
    config
        .data_centres()
        .into_iter()
        .filter(|data_centre| {
            *data_centre == config.own.data_centre
                || config.jobs_voters(data_centre).contains(&config.own.name)
        })
        .collect()
}

/// What all groups of the entry are built from.
pub(crate) struct GroupBuilder<'a> {
    pub config: &'a EntryConfig,
    pub folder: &'a Option<Folder>,
    pub clock: &'a Clock,
    pub node_handle: &'a NodeHandle,
    /// Id of the entry's replicas.
    pub replica: u64,
}

impl GroupBuilder<'_> {
    /// Builds the replica of the group `name`, restored from its journal; [`start_group`] runs it.
    pub fn build(
        &self,
        name: &str,
        machine: Machine,
        wanted: BTreeSet<Arc<str>>,
    ) -> Result<BuiltGroup, Failure> {
        let storage = match self.folder {
            Some(folder) => Some(folder.journal(name)?),
            None => None,
        };
        let config = Config {
            group: Arc::from(name),
            id: self.replica,
            name: self.config.own.name.clone(),
            durable: self.folder.is_some(),
            voter_policy: VoterPolicy::Names(wanted.clone()),
            heartbeat_ms: self.config.heartbeat_ms,
            election_timeout_ms: self.config.election_ms,
            first_election_timeout_ms: self.config.election_ms,
            election_delay_ms: election_delay_ms(self.config, name),
            seed: self.replica,
        };
        let hooks = hooks(self.node_handle, name);
        let (driver, group) = Driver::new(config, machine, storage, self.clock.clone(), hooks)?;
        let driver = driver
            .with_snapshot_entries(self.config.snapshot_entries)
            .with_group_sync(self.config.group_sync);
        Ok(BuiltGroup {
            driver,
            group,
            wanted,
        })
    }
}

/// Extra delay before this entry stands for election. A voter from another data centre leads only when no entry of the
/// group's own data centre can: its orders to workers would cross the link between data centres, the first to be cut.
pub(crate) fn election_delay_ms(config: &EntryConfig, group: &str) -> u64 {
    match group.strip_prefix("jobs/") {
        Some(data_centre) if data_centre != &*config.own.data_centre => config.election_ms,
        _ => 0,
    }
}

/// The hooks by which the group `name` sends messages and reports applied commands and role changes to the node.
pub(crate) fn hooks(node_handle: &NodeHandle, name: &str) -> Hooks {
    let (send_handle, applied_handle, changed_handle) = (
        node_handle.clone(),
        node_handle.clone(),
        node_handle.clone(),
    );
    let data_centre: Option<Arc<str>> = name.strip_prefix("jobs/").map(Arc::from);
    let changed_data_centre = data_centre.clone();
    Hooks {
        send: Box::new(move |message| {
            if let Some(node) = send_handle.get() {
                node.send_raft(message);
            }
        }),
        applied: Box::new(move |command, answer| {
            let jobs = applied_handle
                .get()
                .and_then(|node| node.node_and_group(data_centre.as_deref()?));
            if let Some((node, jobs)) = jobs {
                jobs.command_applied(&node, command, answer);
            }
        }),
        changed: Box::new(move || {
            let jobs = changed_handle
                .get()
                .and_then(|node| node.node_and_group(changed_data_centre.as_deref()?));
            if let Some((node, jobs)) = jobs {
                jobs.role_changed(&node);
            }
        }),
    }
}

/// Runs a group's driver and takes part in the group's formation. A failure of the driver is sent to `failed`.
pub(crate) fn start_group(
    node: &Rc<Node>,
    built: BuiltGroup,
    failed: Rc<Cell<Option<oneshot::Sender<Failure>>>>,
) {
    let BuiltGroup {
        driver,
        group,
        wanted,
    } = built;
    let (asking_node, name) = (node.clone(), group.name.clone());
    let ask = move |vm: Arc<str>| {
        let (node, name) = (asking_node.clone(), name.clone());
        async move {
            let peer = node.peers.get(&vm)?.clone();
            let reply = peer
                .call(
                    RpcKind::Formation,
                    &name,
                    String::new(),
                    Vec::new(),
                    FORMATION_TIMEOUT_MS,
                )
                .await
                .ok()?;
            from_json::<Formation>(&reply.body).ok()
        }
    };
    monoio::spawn(form(
        group,
        node.config.own.name.clone(),
        node.replica,
        wanted,
        ask,
    ));
    monoio::spawn(async move {
        if let Err(failure) = driver.run().await
            && let Some(failed) = failed.take()
        {
            let _ = failed.send(failure);
        }
    });
}
