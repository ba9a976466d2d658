//! Starts an entry, runs it, and shuts it down gracefully.

use crate::background;
use crate::group::BuiltGroup;
use crate::group::Group;
use crate::group::GroupBuilder;
use crate::group::Machine;
use crate::group::MachineState;
use crate::group::hosted_data_centres;
use crate::group::start_group;
use crate::http_api;
use crate::jobs_machine::JobsMachine;
use crate::leader::JobsGroup;
use crate::metrics::Metrics;
use crate::node::Node;
use crate::node::NodeHandle;
use crate::node::SETTINGS_GROUP;
use crate::node::jobs_group;
use crate::peers;
use crate::peers::Peers;
use bh_membership::LeaderlessTargets;
use bh_membership::OwnedTargets;
use bh_net::Background;
use bh_net::Clock;
use bh_net::connections::ConnectionLimits;
use bh_net::connections::Connections;
use bh_net::http_client::Pool;
use bh_net::http_server;
use bh_net::http_server::Limits;
use bh_net::http_server::Service;
use bh_net::link;
use bh_net::link::LinkKey;
use bh_net::runtime;
use bh_net::runtime::sleep_ms;
use bh_protocol::Code;
use bh_protocol::Failure;
use bh_router::Router;
use bh_settings::EntryConfig;
use bh_storage::Folder;
use local_sync::oneshot;
use monoio::net::TcpListener;
use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use tokio_util::sync::CancellationToken;

/// Percentage of the memory for requests and answers of callers and targets.
const REQUESTS_PERCENT: u64 = 40;
/// Time between checks for requests in progress during shutdown, in milliseconds.
const DRAIN_POLL_MS: u64 = 10;

/// Runs the entry until a signal stops it.
///
/// # Errors
///
/// When the entry cannot start or continue: a bad key file, an address in use, a damaged log, a failed disk.
pub async fn run(config: EntryConfig) -> Result<(), Failure> {
    let key = read_key(&config)?;
    let folder = match &config.data_folder {
        Some(path) => Some(Folder::open(path, &config.own.name)?),
        None => None,
    };
    let replica = match &folder {
        Some(folder) => folder.replica_id(),
        None => bh_storage::random_replica_id()?,
    };
    let http_listener = listening(config.own.http_address, http_server::bind)?;
    let peer_listener = listening(config.own.peer_address, link::bind)?;
    let clock = Clock::new();
    let node_handle = NodeHandle::new();
    let builder = GroupBuilder {
        config: &config,
        folder: &folder,
        clock: &clock,
        node_handle: &node_handle,
        replica,
    };
    let settings_machine = Machine::new(
        MachineState::Settings(bh_settings::Machine::new()),
        MachineState::CODEC,
    );
    let settings = builder.build(SETTINGS_GROUP, settings_machine, config.settings_voters())?;
    let mut jobs = BTreeMap::new();
    for data_centre in hosted_data_centres(&config) {
        let machine = Machine::new(MachineState::Jobs(JobsMachine::new()), MachineState::CODEC);
        let wanted = config.jobs_voters(&data_centre);
        let built = builder.build(&jobs_group(&data_centre), machine, wanted)?;
        jobs.insert(data_centre, built);
    }
    let incarnation = bh_storage::random_replica_id()?;
    let node = build_node(
        config,
        clock,
        (replica, incarnation),
        &settings.group,
        &jobs,
        &folder,
    );
    node_handle.set(&node);
    log::info!(entry = &*node.config.own.name, replica = format!("{replica:016x}"), address = node.config.own.http_address.to_string(); "entry starts");
    let (failed, failure) = oneshot::channel();
    let failed = Rc::new(Cell::new(Some(failed)));
    for built in std::iter::once(settings).chain(jobs.into_values()) {
        start_group(&node, built, failed.clone());
    }
    monoio::spawn(peers::accept(node.clone(), peer_listener, key.clone()));
    for peer in node.peers.iter() {
        monoio::spawn(peers::dial(node.clone(), peer.clone(), key.clone()));
    }
    monoio::spawn(background::accept_callers(node.clone(), http_listener));
    monoio::spawn(background::renew_targets(node.clone()));
    monoio::spawn(background::tick_router(node.clone()));
    monoio::spawn(background::maintain_counters(
        node.clone(),
        folder.as_ref().map(counters_path),
    ));
    let signal = runtime::stop_on_signal()
        .map_err(|error| Failure::new(Code::Internal, error.to_string()))?;
    monoio::select! {
        () = signal.cancelled() => {}
        failure = failure => {
            let failure = failure.unwrap_or_else(|_| Failure::new(Code::Internal, "a group's driver ended"));
            log::error!(code = failure.code.number(); "the entry cannot continue: {failure}");
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
    const MIN_KEY_BYTES: usize = 32;
    let Some(path) = &config.peer_key_file else {
        // A single entry has no peers. Nobody else knows this random key, so no link can be opened.
        let number = bh_storage::random_replica_id()?;
        return Ok(LinkKey::new(number.to_le_bytes()));
    };
    let bytes = std::fs::read(path).map_err(|error| {
        Failure::new(Code::UnreadableFile, format!("{}: {error}", path.display()))
    })?;
    if bytes.trim_ascii().len() < MIN_KEY_BYTES {
        let label = format!(
            "{} holds a key shorter than {MIN_KEY_BYTES} bytes",
            path.display()
        );
        return Err(Failure::new(Code::BadConfigFile, label));
    }
    Ok(LinkKey::new(bytes.trim_ascii()))
}

fn listening(
    address: SocketAddr,
    bind: impl FnOnce(SocketAddr) -> io::Result<TcpListener>,
) -> Result<TcpListener, Failure> {
    bind(address).map_err(|error| {
        Failure::new(
            Code::BadConfigFile,
            format!("cannot listen on {address}: {error}"),
        )
    })
}

fn build_node(
    config: EntryConfig,
    clock: Clock,
    (replica, incarnation): (u64, u64),
    settings: &Group,
    jobs: &BTreeMap<Arc<str>, BuiltGroup>,
    folder: &Option<Folder>,
) -> Rc<Node> {
    let jobs = jobs
        .iter()
        .map(|(name, built)| {
            (
                name.clone(),
                Rc::new(JobsGroup::new(name.clone(), built.group.clone())),
            )
        })
        .collect();
    let counters = folder
        .as_ref()
        .map(|folder| http_api::load_counters(&counters_path(folder)))
        .unwrap_or_default();
    let callers = service(&config, &clock);
    let router = Router::new(OwnedTargets::new(config.own.name.clone(), incarnation));
    let leaderless_targets = LeaderlessTargets::new(clock.now_ms(), config.target_lease_ms);
    Rc::new_cyclic(|weak_self| Node {
        peers: Peers::new(config.entries.values(), &config.own.name),
        metrics: Metrics::new(&config.own.name, config.statsd_address),
        clock,
        replica,
        incarnation,
        settings: settings.clone(),
        jobs,
        router: RefCell::new(router),
        leaderless_targets: RefCell::new(leaderless_targets),
        pool: Pool::new(),
        counters: RefCell::new(counters),
        draining: callers.draining.clone(),
        closing: callers.closing.clone(),
        stop: CancellationToken::new(),
        in_progress: Cell::new(0),
        background: Background::new(),
        callers: callers.clone(),
        link_bytes: Cell::new(0),
        weak_self: weak_self.clone(),
        pending_decisions: RefCell::new(BTreeMap::new()),
        next_request: Cell::new(1),
        config,
    })
}

/// How callers and targets are served.
fn service(config: &EntryConfig, clock: &Clock) -> Service {
    let limits = ConnectionLimits::new(config.memory_mb, REQUESTS_PERCENT, config.max_connections);
    let connections = Connections::new(clock.clone(), limits);
    Service {
        listener: connections.add_listener(),
        max_open: limits.max_open,
        connections,
        limits: Limits::new(config.idle_connection_ms).with_parse_bytes(http_api::parse_bytes),
        draining: CancellationToken::new(),
        closing: CancellationToken::new(),
    }
}

/// Shuts down gracefully: reports not ready, then accepts no new connections, then waits for the requests in progress.
async fn drain(node: &Rc<Node>) {
    let config = &node.config;
    log::info!(entry = &*config.own.name, in_progress = node.in_progress.get(); "entry drains");
    node.draining.cancel();
    // Until the load balancer has seen that this entry is not ready, callers still arrive and are served.
    sleep_ms(config.drain_delay_ms).await;
    node.closing.cancel();
    let deadline_ms = node.clock.now_ms() + config.drain_limit_ms;
    while (node.in_progress.get() > 0 || node.callers.open() > 0)
        && node.clock.now_ms() < deadline_ms
    {
        sleep_ms(DRAIN_POLL_MS).await;
    }
    log::info!(entry = &*config.own.name, cut_off = node.in_progress.get(); "entry drained");
    node.stop.cancel();
}
