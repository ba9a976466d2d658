//! Starts an entry, keeps it running, and ends it gracefully.

use crate::group::Driver;
use crate::group::Formation;
use crate::group::Group;
use crate::group::Machine;
use crate::group::MachineState;
use crate::group::form;
use crate::http_api;
use crate::jobs_machine::JobsMachine;
use crate::leader::JobsGroup;
use crate::leader::LeaderAnswer;
use crate::leader::LeaderCall;
use crate::metrics::Metrics;
use crate::node::Late;
use crate::node::Node;
use crate::node::SETTINGS_GROUP;
use crate::node::from_json;
use crate::node::jobs_group;
use crate::peers;
use crate::peers::Peers;
use bh_consensus::Config;
use bh_membership::Holdings;
use bh_net::Clock;
use bh_net::http_client::Pool;
use bh_net::http_server;
use bh_net::http_server::Limits;
use bh_net::link::LinkKey;
use bh_net::runtime;
use bh_net::runtime::sleep_ms;
use bh_protocol::Code;
use bh_protocol::Failure;
use bh_protocol::wire::RpcKind;
use bh_router::Router;
use bh_settings::EntryConfig;
use bh_storage::Folder;
use local_sync::oneshot;
use monoio::net::ListenerOpts;
use monoio::net::TcpListener;
use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use tokio_util::sync::CancellationToken;

/// Time between looks at the router's queue and the idle connections, in milliseconds.
const ROUTER_TICK_MS: u64 = 20;
/// Renewals of targets within a target's lease.
const RENEWALS_PER_LEASE: u64 = 10;
/// Time between writes of the service-level counters, in milliseconds.
const COUNTERS_MS: u64 = 5_000;
/// Time between looks at the requests in progress at shutdown, in milliseconds.
const DRAIN_POLL_MS: u64 = 10;
/// Wait for a formation's answer, in milliseconds.
const FORMATION_MS: u64 = 1_000;

/// What is needed to run one group.
struct Spawned {
    driver: Driver,
    group: Group,
    wanted: BTreeSet<Arc<str>>,
}

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
    let settings_machine = Machine::new(MachineState::Settings(bh_settings::Machine::new()));
    let settings = spawn_group(
        &config,
        &folder,
        &clock,
        &late,
        replica,
        SETTINGS_GROUP,
        settings_machine,
        config.settings_voters(),
    )?;
    let mut jobs = BTreeMap::new();
    for data_centre in hosted(&config) {
        let machine = Machine::new(MachineState::Jobs(JobsMachine::new()));
        let wanted = config.jobs_voters(&data_centre);
        let name = jobs_group(&data_centre);
        let spawned = spawn_group(
            &config, &folder, &clock, &late, replica, &name, machine, wanted,
        )?;
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
    monoio::spawn(accept_callers(node.clone(), http_listener));
    monoio::spawn(renew_targets(node.clone()));
    monoio::spawn(tick_router(node.clone()));
    monoio::spawn(keep_counters(
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

/// Data centres whose group this entry takes part in: its own, and those it votes in.
fn hosted(config: &EntryConfig) -> Vec<Arc<str>> {
    config
        .data_centres()
        .into_iter()
        .filter(|data_centre| {
            *data_centre == config.own.data_centre
                || config.jobs_voters(data_centre).contains(&config.own.name)
        })
        .collect()
}

#[expect(
    clippy::too_many_arguments,
    reason = "each is a different part of the entry, used once at the start"
)]
fn spawn_group(
    config: &EntryConfig,
    folder: &Option<Folder>,
    clock: &Clock,
    late: &Late,
    replica: u64,
    name: &str,
    machine: Machine,
    wanted: BTreeSet<Arc<str>>,
) -> Result<Spawned, Failure> {
    let storage = match folder {
        Some(folder) => Some(folder.journal(name)?),
        None => None,
    };
    let group_config = Config {
        group: Arc::from(name),
        id: replica,
        name: config.own.name.clone(),
        durable: folder.is_some(),
        wanted_voters: wanted.clone(),
        heartbeat_ms: config.heartbeat_ms,
        election_ms: config.election_ms,
        election_delay_ms: election_delay_ms(config, name),
        seed: replica,
    };
    let hooks = hooks(late, name);
    let (driver, group) = Driver::new(group_config, machine, storage, clock.clone(), hooks)?;
    let driver = driver
        .with_snapshot_entries(config.snapshot_entries)
        .with_group_sync(config.group_sync);
    Ok(Spawned {
        driver,
        group,
        wanted,
    })
}

/// A voter made up from another data centre leads only when none of the data centre's own can: its orders to workers
/// would cross the link that is cut first.
fn election_delay_ms(config: &EntryConfig, group: &str) -> u64 {
    match group.strip_prefix("jobs/") {
        Some(data_centre) if data_centre != &*config.own.data_centre => config.election_ms,
        _ => 0,
    }
}

fn hooks(late: &Late, name: &str) -> crate::group::Hooks {
    let (sending, applying, changing) = (late.clone(), late.clone(), late.clone());
    let data_centre: Option<Arc<str>> = name.strip_prefix("jobs/").map(Arc::from);
    let of_change = data_centre.clone();
    crate::group::Hooks {
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
    let router = Router::new(Holdings::new(config.own.name.clone(), incarnation));
    Rc::new_cyclic(|own| Node {
        peers: Peers::new(config.entries.values(), &config.own.name),
        metrics: Metrics::new(&config.own.name, config.statsd_address),
        clock,
        replica,
        incarnation,
        settings: settings.clone(),
        jobs,
        router: RefCell::new(router),
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

/// Runs a group's driver and takes part in its formation.
fn drive(node: &Rc<Node>, spawned: Spawned, failed: Rc<Cell<Option<oneshot::Sender<Failure>>>>) {
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

async fn accept_callers(node: Rc<Node>, listener: TcpListener) {
    let limits = Limits::new(node.config.idle_connection_ms);
    loop {
        let accepted = monoio::select! {
            accepted = listener.accept() => accepted,
            () = node.closing.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else {
            // Out of descriptors, most likely: those that close free some.
            sleep_ms(DRAIN_POLL_MS).await;
            continue;
        };
        if node.connections.get() >= node.config.max_connections {
            node.metrics.count("connections_refused", 1);
            continue;
        }
        node.connections.set(node.connections.get() + 1);
        let node = node.clone();
        monoio::spawn(async move {
            let handler = |request| {
                let node = node.clone();
                async move {
                    node.in_progress.set(node.in_progress.get() + 1);
                    let response = http_api::route(&node, request).await;
                    node.in_progress.set(node.in_progress.get() - 1);
                    response
                }
            };
            http_server::serve(stream, limits, &node.draining, &node.closing, handler).await;
            node.connections.set(node.connections.get() - 1);
        });
    }
}

/// Keeps this entry's share of the targets.
async fn renew_targets(node: Rc<Node>) {
    let wait_ms = (node.config.target_lease_ms / RENEWALS_PER_LEASE).max(1);
    let data_centre = node.config.own.data_centre.clone();
    while !node.stop.is_cancelled() {
        let sent_ms = node.clock.now_ms();
        let claims = node
            .router
            .borrow()
            .holdings
            .claims(sent_ms, node.draining.is_cancelled());
        let answer = node
            .ask_leader(
                &data_centre,
                &LeaderCall::Renew(claims),
                wait_ms.max(ROUTER_TICK_MS),
            )
            .await;
        if let Ok(LeaderAnswer::Renewed(grant)) = answer {
            let now_ms = node.clock.now_ms();
            let decisions = {
                let mut router = node.router.borrow_mut();
                router.holdings.accept(sent_ms, grant);
                router.tick(now_ms)
            };
            node.carry_out(decisions);
        }
        sleep_ms(wait_ms).await;
    }
}

async fn tick_router(node: Rc<Node>) {
    while !node.stop.is_cancelled() {
        let now_ms = node.clock.now_ms();
        let decisions = node.router.borrow_mut().tick(now_ms);
        node.carry_out(decisions);
        node.pool.age_out(now_ms);
        sleep_ms(ROUTER_TICK_MS).await;
    }
}

async fn keep_counters(node: Rc<Node>, path: Option<PathBuf>) {
    while !node.stop.is_cancelled() {
        sleep_ms(COUNTERS_MS).await;
        let wall_ms = node.clock.wall_ms();
        node.counters.borrow_mut().compact(wall_ms);
        report_gauges(&node);
        if let Some(path) = path.clone() {
            let counters = node.counters.borrow().clone();
            let _ = monoio::spawn_blocking(move || http_api::save_counters(&path, &counters)).await;
        }
    }
}

fn report_gauges(node: &Node) {
    let now_ms = node.clock.now_ms();
    let router = node.router.borrow();
    node.metrics
        .gauge("queued", u64::try_from(router.queued()).unwrap_or(u64::MAX));
    node.metrics
        .gauge("slots", u64::from(router.holdings.slots(now_ms)));
    node.metrics
        .gauge("free_slots", u64::from(router.spare_slots(now_ms)));
    node.metrics
        .gauge("in_progress", u64::from(node.in_progress.get()));
    node.metrics.gauge(
        "connections",
        u64::try_from(node.connections.get()).unwrap_or(u64::MAX),
    );
    node.metrics
        .gauge("settings_revision", node.settings_in_force().0);
    node.metrics.gauge("link_bytes", node.link_bytes.get());
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
