//! Starts a core, runs it, and shuts it down gracefully.

use super::carry_delay::CarryDelay;
use super::core_node::CoreNode;
use super::driver;
use super::driver::DeferredCore;
use super::formation;
use super::heartbeats;
use super::incoming;
use super::leader_loop;
use super::operator;
use super::undelivered_heartbeats::UndeliveredHeartbeats;
use super::worker_calls::WorkerCalls;
use crate::calls::Parser;
use crate::config::LocalConfig;
use crate::dialect::Dialect;
use crate::mesh;
use crate::mesh::Inbound;
use crate::mesh::Mesh;
use crate::observe::Metrics;
use crate::observe::serve_metrics;
use crate::reload;
use crate::server;
use crate::standstill::Standstill;
use bh_net::Clock;
use bh_net::connections::Connections;
use bh_net::http_server;
use bh_net::runtime;
use bh_net::runtime::sleep_ms;
use bh_protocol::Code;
use bh_protocol::Failure;
use bh_protocol::wire::Hello;
use bh_storage::Folder;
use bh_workload::admission::OpenCalls;
use local_sync::mpsc::unbounded;
use local_sync::oneshot;
use local_sync::semaphore::Semaphore;
use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio_util::sync::CancellationToken;

/// Percentage of the grace period within which calls in progress must end.
const FINISH_PERCENT: u64 = 50;
/// Time between checks for calls in progress during shutdown, in milliseconds.
const POLL_MS: u64 = 10;
/// File with the addresses of the last known cores.
const CORES_FILE: &str = "cores";

/// Runs a core until it is told to stop.
///
/// # Errors
///
/// Whatever prevents it from starting or continuing: an address in use, a damaged log, a failed disk.
pub async fn serve(config: LocalConfig, dialect: Dialect) -> Result<(), Failure> {
    let missing = |key: &str| Failure::new(Code::BadConfigFile, format!("`{key}` is missing"));
    let path = config
        .data_folder
        .clone()
        .ok_or_else(|| missing("data_folder"))?;
    let control = config
        .control_address
        .ok_or_else(|| missing("control_address"))?;
    let folder = Folder::open(&path, &config.name)?;
    let replica = folder.replica_id();
    let clock = Clock::new();
    let deferred = DeferredCore::default();
    let (driver, group) = driver::build(&config, &folder, &clock, &deferred)?;
    let stop = CancellationToken::new();
    let connections = Connections::new(clock.clone(), config.connection_limits());
    let hello = Hello {
        name: config.name.to_string(),
        data_centre: config.data_centre.to_string(),
        replica,
        address: config.peer_address().to_string(),
        ..Hello::default()
    };
    let mesh = Mesh::new(hello, clock.clone(), stop.clone());
    let peer_listener = server::bind_links(config.peer_bind_address())?;
    let control_listener = server::bind(control)?;
    let (wake, wakes) = unbounded::channel();
    let standstill = Standstill::watch(clock.clone(), stop.clone());
    let core = Rc::new(CoreNode {
        standstill,
        parser: Parser::new(dialect.read_control),
        rules_turn: Semaphore::new(1),
        workers: WorkerCalls::new(clock.clone(), config.descriptors())
            .with_memory_of(connections.clone()),
        connections,
        config,
        dialect,
        clock,
        group,
        mesh: mesh.clone(),
        inbound: Rc::new(Inbound::default()),
        leadership: RefCell::new(None),
        last_led_ms: Cell::new(None),
        shared_workers: Cell::new(false),
        reachable_cores: RefCell::new((0, Rc::from([]))),
        carry_delay: RefCell::new(CarryDelay::default()),
        undelivered_heartbeats: RefCell::new(UndeliveredHeartbeats::default()),
        heartbeats_to_relay: RefCell::new(BTreeMap::new()),
        draining: CancellationToken::new(),
        metrics: Rc::new(Metrics::new()),
        open_calls: RefCell::new(OpenCalls::new()),
        in_progress: Cell::new(0),
        wake,
        wake_pending: Cell::new(false),
    });
    deferred.set(core.clone());
    log::info!(core = &*core.config.name, replica = format!("{replica:016x}"), address = control.to_string(); "core starts");
    if let Some(address) = core.config.metrics_address {
        serve_metrics(
            address,
            &core.connections,
            core.metrics.clone(),
            operator::operator_hooks(&core),
            stop.clone(),
        )?;
    }
    dial_known_cores(&core, &path);
    reload::follow(core.mesh.clone(), core.config.path.clone())?;
    monoio::spawn(mesh::accept(
        mesh,
        peer_listener,
        Rc::new(incoming::link_handler(&core)),
        core.inbound.clone(),
    ));
    if let Some(voters) = formation::first_voters(&core, &path)? {
        monoio::spawn(formation::form(core.clone(), replica, voters));
    }
    let (failed, failure) = oneshot::channel();
    monoio::spawn(async move {
        if let Err(failure) = driver.run().await {
            // The receiver is held until the process ends.
            let _ = failed.send(failure);
        }
    });
    monoio::spawn(leader_loop::run(core.clone(), wakes));
    monoio::spawn(heartbeats::relay_to_leader(core.clone()));
    monoio::spawn(report_leader_changes(core.clone()));
    let serving = core.clone();
    monoio::spawn(http_server::accept(
        control_listener,
        server::for_documents(&core.connections, core.draining.clone()),
        move |request| incoming::handle(serving.clone(), request),
    ));
    let signal = runtime::stop_on_signal()
        .map_err(|error| Failure::new(Code::Internal, error.to_string()))?;
    monoio::select! {
        () = signal.cancelled() => {}
        failure = failure => {
            let failure = failure.unwrap_or_else(|_| Failure::new(Code::Internal, "the group's driver ended"));
            log::error!(code = failure.code.number(); "the core cannot go on: {failure}");
            return Err(failure);
        }
    }
    drain(&core).await;
    stop.cancel();
    log::info!(core = &*core.config.name; "core ends");
    Ok(())
}

/// Sends this core's status to all linked processes whenever it learns of another leader. Entries that have no link to that leader learn of
/// it this way.
async fn report_leader_changes(core: Rc<CoreNode>) {
    loop {
        core.mesh.leader_change().await;
        core.inbound.broadcast(&core.status());
    }
}

/// Dials the seeds and the last known cores, and saves the list of cores to disk: the seeds may be wrong at the next start.
fn dial_known_cores(core: &Rc<CoreNode>, folder: &std::path::Path) {
    let file = folder.join(CORES_FILE);
    // If the list is missing or damaged, only the seeds are dialled.
    let kept = std::fs::read_to_string(&file).unwrap_or_default();
    let known: Vec<SocketAddr> = kept.lines().filter_map(|line| line.parse().ok()).collect();
    core.mesh.on_cores_added(move |cores| {
        let lines: Vec<String> = cores.iter().map(SocketAddr::to_string).collect();
        if let Err(error) = std::fs::write(&file, lines.join("\n")) {
            log::warn!("the list of cores was not saved: {error}");
        }
    });
    core.mesh.add_cores(known);
    core.mesh.add_cores(core.config.seed_peers());
}

/// Shuts down gracefully: accepts no new connections and waits for the calls in progress.
async fn drain(core: &Rc<CoreNode>) {
    log::info!(core = &*core.config.name, in_progress = core.in_progress.get(); "core drains");
    core.draining.cancel();
    core.inbound.broadcast(&core.status());
    let until_ms = core.clock.now_ms() + core.config.grace_ms() * FINISH_PERCENT / 100;
    while core.in_progress.get() > 0 && core.clock.now_ms() < until_ms {
        sleep_ms(POLL_MS).await;
    }
}
