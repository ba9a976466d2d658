//! Starts an entry, keeps it running, and ends it gracefully.

use crate::background;
use crate::group::Group;
use crate::group::Machine;
use crate::group::MachineState;
use crate::group::Spawned;
use crate::group::Spawner;
use crate::group::drive;
use crate::group::hosted;
use crate::http_api;
use crate::jobs_machine::JobsMachine;
use crate::leader::JobsGroup;
use crate::metrics::Metrics;
use crate::node::Late;
use crate::node::Node;
use crate::node::SETTINGS_GROUP;
use crate::node::jobs_group;
use crate::peers;
use crate::peers::Peers;
use bh_membership::LeaderlessTargets;
use bh_membership::OwnedTargets;
use bh_net::Clock;
use bh_net::http_client::Pool;
use bh_net::link::LinkKey;
use bh_net::runtime;
use bh_net::runtime::sleep_ms;
use bh_protocol::Code;
use bh_protocol::Failure;
use bh_router::Router;
use bh_settings::EntryConfig;
use bh_storage::Folder;
use local_sync::oneshot;
use monoio::net::ListenerOpts;
use monoio::net::TcpListener;
use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use tokio_util::sync::CancellationToken;

/// Time between looks at the requests in progress at shutdown, in milliseconds.
const DRAIN_POLL_MS: u64 = 10;

/// Runs the entry until it is told to stop.
///
/// # Errors
///
/// What keeps it from starting or going on: a bad key file, an address in use, a damaged log, a failed disk.
pub async fn run(config: EntryConfig) -> Result<(), Failure> {
    let key = read_key(&config)?;
    let folder = match &config.data_folder {
        Some(path) => Some(Folder::open(path, &config.own.name)?),
        None => None,
    };
    let replica = match &folder {
        Some(folder) => folder.replica(),
        None => bh_storage::random_replica()?,
    };
    let http_listener = bind(config.own.http_address)?;
    let peer_listener = bind(config.own.peer_address)?;
    let clock = Clock::new();
    let late = Late::new();
    let spawner = Spawner {
        config: &config,
        folder: &folder,
        clock: &clock,
        late: &late,
        replica,
    };
    let settings_machine = Machine::new(
        MachineState::Settings(bh_settings::Machine::new()),
        MachineState::CODEC,
    );
    let settings = spawner.spawn(SETTINGS_GROUP, settings_machine, config.settings_voters())?;
    let mut jobs = BTreeMap::new();
    for data_centre in hosted(&config) {
        let machine = Machine::new(MachineState::Jobs(JobsMachine::new()), MachineState::CODEC);
        let wanted = config.jobs_voters(&data_centre);
        let spawned = spawner.spawn(&jobs_group(&data_centre), machine, wanted)?;
        jobs.insert(data_centre, spawned);
    }
    let incarnation = bh_storage::random_replica()?;
    let node = build(
        config,
        clock,
        (replica, incarnation),
        &settings.group,
        &jobs,
        &folder,
    );
    late.fill(&node);
    log::info!(entry = &*node.config.own.name, replica = format!("{replica:016x}"), address = node.config.own.http_address.to_string(); "entry starts");
    let (failed, failure) = oneshot::channel();
    let failed = Rc::new(Cell::new(Some(failed)));
    for spawned in std::iter::once(settings).chain(jobs.into_values()) {
        drive(&node, spawned, failed.clone());
    }
    monoio::spawn(peers::accept(node.clone(), peer_listener, key.clone()));
    for peer in node.peers.iter() {
        monoio::spawn(peers::dial(node.clone(), peer.clone(), key.clone()));
    }
    monoio::spawn(background::accept_callers(node.clone(), http_listener));
    monoio::spawn(background::renew_targets(node.clone()));
    monoio::spawn(background::tick_router(node.clone()));
    monoio::spawn(background::keep_counters(
        node.clone(),
        folder.as_ref().map(counters_path),
    ));
    let signal = runtime::stop_on_signal()
        .map_err(|error| Failure::new(Code::Internal, error.to_string()))?;
    monoio::select! {
        () = signal.cancelled() => {}
        failure = failure => {
            let failure = failure.unwrap_or_else(|_| Failure::new(Code::Internal, "a group's driver ended"));
            log::error!(code = failure.code.number(); "the entry cannot go on: {failure}");
            return Err(failure);
        }
    }
    drain(&node).await;
    if let Some(folder) = &folder {
        let _ = http_api::save_counters(&counters_path(folder), &node.counters.borrow());
    }
    log::info!(entry = &*node.config.own.name; "entry ends");
    Ok(())
}

fn counters_path(folder: &Folder) -> PathBuf {
    folder.file("counters.json")
}

fn read_key(config: &EntryConfig) -> Result<LinkKey, Failure> {
    const LEAST_KEY_BYTES: usize = 32;
    let Some(path) = &config.peer_key_file else {
        // A single entry has no peers; nobody shares this key, so that no link can be opened.
        let number = bh_storage::random_replica()?;
        return Ok(LinkKey::new(number.to_le_bytes()));
    };
    let bytes = std::fs::read(path).map_err(|error| {
        Failure::new(Code::UnreadableFile, format!("{}: {error}", path.display()))
    })?;
    if bytes.trim_ascii().len() < LEAST_KEY_BYTES {
        let label = format!(
            "{} holds a key shorter than {LEAST_KEY_BYTES} bytes",
            path.display()
        );
        return Err(Failure::new(Code::BadConfigFile, label));
    }
    Ok(LinkKey::new(bytes.trim_ascii()))
}

fn bind(address: SocketAddr) -> Result<TcpListener, Failure> {
    // Without this two entries could listen on one address, each taking some of the connections.
    let options = ListenerOpts::new().reuse_port(false);
    TcpListener::bind_with_config(address, &options).map_err(|error| {
        Failure::new(
            Code::BadConfigFile,
            format!("{address} cannot be listened on: {error}"),
        )
    })
}

fn build(
    config: EntryConfig,
    clock: Clock,
    (replica, incarnation): (u64, u64),
    settings: &Group,
    jobs: &BTreeMap<Arc<str>, Spawned>,
    folder: &Option<Folder>,
) -> Rc<Node> {
    let jobs = jobs
        .iter()
        .map(|(name, spawned)| {
            (
                name.clone(),
                Rc::new(JobsGroup::new(name.clone(), spawned.group.clone())),
            )
        })
        .collect();
    let counters = folder
        .as_ref()
        .map(|folder| http_api::load_counters(&counters_path(folder)))
        .unwrap_or_default();
    let router = Router::new(OwnedTargets::new(config.own.name.clone(), incarnation));
    let alone = LeaderlessTargets::new(clock.now_ms(), config.target_lease_ms);
    Rc::new_cyclic(|own| Node {
        peers: Peers::new(config.entries.values(), &config.own.name),
        metrics: Metrics::new(&config.own.name, config.statsd_address),
        clock,
        replica,
        incarnation,
        settings: settings.clone(),
        jobs,
        router: RefCell::new(router),
        alone: RefCell::new(alone),
        pool: Pool::new(),
        counters: RefCell::new(counters),
        draining: CancellationToken::new(),
        closing: CancellationToken::new(),
        stop: CancellationToken::new(),
        in_progress: Cell::new(0),
        connections: Cell::new(0),
        link_bytes: Cell::new(0),
        own: own.clone(),
        decisions: RefCell::new(BTreeMap::new()),
        next_request: Cell::new(1),
        config,
    })
}

/// Ends gracefully: not ready, then no new connections, then the requests in progress to their end.
async fn drain(node: &Rc<Node>) {
    let config = &node.config;
    log::info!(entry = &*config.own.name, in_progress = node.in_progress.get(); "entry drains");
    node.draining.cancel();
    // The balancer learns that this entry is not ready; until then callers still come and are served.
    sleep_ms(config.drain_delay_ms).await;
    node.closing.cancel();
    let until_ms = node.clock.now_ms() + config.drain_limit_ms;
    while (node.in_progress.get() > 0 || node.connections.get() > 0)
        && node.clock.now_ms() < until_ms
    {
        sleep_ms(DRAIN_POLL_MS).await;
    }
    log::info!(entry = &*config.own.name, cut_off = node.in_progress.get(); "entry drained");
    node.stop.cancel();
}
