//! From the entry's file to the groups it takes part in.

use super::Driver;
use super::Formation;
use super::Group;
use super::Hooks;
use super::Machine;
use super::form;
use crate::node::Late;
use crate::node::Node;
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

/// Wait for a formation's answer, in milliseconds.
const FORMATION_MS: u64 = 1_000;

/// What is needed to run one group.
pub(crate) struct Spawned {
    pub driver: Driver,
    pub group: Group,
    pub wanted: BTreeSet<Arc<str>>,
}

/// Data centres whose group this entry takes part in: its own, and those it votes in.
pub(crate) fn hosted(config: &EntryConfig) -> Vec<Arc<str>> {
    config
        .data_centres()
        .into_iter()
        .filter(|data_centre| {
            *data_centre == config.own.data_centre
                || config.jobs_voters(data_centre).contains(&config.own.name)
        })
        .collect()
}

/// What all groups of the entry are spawned with.
pub(crate) struct Spawner<'a> {
    pub config: &'a EntryConfig,
    pub folder: &'a Option<Folder>,
    pub clock: &'a Clock,
    pub late: &'a Late,
    /// Identity of the entry's replicas.
    pub replica: u64,
}

impl Spawner<'_> {
    /// The replica of the group `name`, with what its journal held; it runs once it is driven.
    pub fn spawn(
        &self,
        name: &str,
        machine: Machine,
        wanted: BTreeSet<Arc<str>>,
    ) -> Result<Spawned, Failure> {
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
        let hooks = hooks(self.late, name);
        let (driver, group) = Driver::new(config, machine, storage, self.clock.clone(), hooks)?;
        let driver = driver
            .with_snapshot_entries(self.config.snapshot_entries)
            .with_group_sync(self.config.group_sync);
        Ok(Spawned {
            driver,
            group,
            wanted,
        })
    }
}

/// A voter made up from another data centre leads only when none of the data centre's own can: its orders to workers
/// would cross the link that is cut first.
pub(crate) fn election_delay_ms(config: &EntryConfig, group: &str) -> u64 {
    match group.strip_prefix("jobs/") {
        Some(data_centre) if data_centre != &*config.own.data_centre => config.election_ms,
        _ => 0,
    }
}

pub(crate) fn hooks(late: &Late, name: &str) -> Hooks {
    let (sending, applying, changing) = (late.clone(), late.clone(), late.clone());
    let data_centre: Option<Arc<str>> = name.strip_prefix("jobs/").map(Arc::from);
    let of_change = data_centre.clone();
    Hooks {
        send: Box::new(move |message| {
            if let Some(node) = sending.get() {
                node.send_raft(message);
            }
        }),
        applied: Box::new(move |command, answer| {
            let jobs = applying
                .get()
                .and_then(|node| node.rc_of(data_centre.as_deref()?));
            if let Some((node, jobs)) = jobs {
                jobs.applied(&node, command, answer);
            }
        }),
        changed: Box::new(move || {
            let jobs = changing
                .get()
                .and_then(|node| node.rc_of(of_change.as_deref()?));
            if let Some((node, jobs)) = jobs {
                jobs.role_changed(&node);
            }
        }),
    }
}

/// Runs a group's driver and takes part in its formation.
pub(crate) fn drive(
    node: &Rc<Node>,
    spawned: Spawned,
    failed: Rc<Cell<Option<oneshot::Sender<Failure>>>>,
) {
    let Spawned {
        driver,
        group,
        wanted,
    } = spawned;
    let (asking, name) = (node.clone(), group.name.clone());
    let ask = move |vm: Arc<str>| {
        let (node, name) = (asking.clone(), name.clone());
        async move {
            let peer = node.peers.get(&vm)?.clone();
            let reply = peer
                .call(
                    RpcKind::Formation,
                    &name,
                    String::new(),
                    Vec::new(),
                    FORMATION_MS,
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
