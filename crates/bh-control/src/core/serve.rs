//! Starts a core, keeps it running, and ends it gracefully.

use super::answer_call::answer_call;
use super::carry;
use super::carry_delay::CarryDelay;
use super::core_node::CoreNode;
use super::formation;
use super::heartbeats;
use super::leader_loop;
use super::operator;
use super::worker_calls::WorkerCalls;
use crate::calls::Answer;
use crate::calls::Call;
use crate::calls::forward;
use crate::config::LocalConfig;
use crate::dialect::Dialect;
use crate::mesh;
use crate::mesh::Inbound;
use crate::mesh::Mesh;
use crate::mesh::Service;
use crate::observe::Metrics;
use crate::observe::serve_metrics;
use crate::reload;
use crate::server;
use bh_consensus::Config;
use bh_consensus::Wanted;
use bh_group::Driver;
use bh_group::Formation;
use bh_group::Group;
use bh_group::Hooks;
use bh_group::Machine;
use bh_net::Clock;
use bh_net::runtime;
use bh_net::runtime::sleep_ms;
use bh_protocol::Code;
use bh_protocol::Failure;
use bh_protocol::wire::Hello;
use bh_protocol::wire::RaftMessage;
use bh_protocol::wire::RpcKind;
use bh_protocol::wire::RpcRequest;
use bh_storage::Folder;
use bh_workload::state::Workload;
use bytes::Bytes;
use http::Request;
use http::Response;
use local_sync::mpsc::unbounded;
use local_sync::oneshot;
use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use tokio_util::sync::CancellationToken;

/// Name of the replicated group.
const GROUP: &str = "workload";
/// Time between a leader's heartbeats, in milliseconds. Cores stand milliseconds apart; the rest is room for a busy processor.
const HEARTBEAT_MS: u64 = 120;
/// Least silence before an election, in milliseconds: a sync may take tens of milliseconds, and a small VM's share of a processor may
/// pause for a tenth of a second.
const ELECTION_MS: u64 = 700;
/// The same for a core that has heard no leader since it started, in milliseconds: two heartbeats, in which a leader would have shown itself.
const FIRST_ELECTION_MS: u64 = 2 * HEARTBEAT_MS;
/// Silence after which a core's vote passes to another one that has caught up, in milliseconds. A restart is over sooner; a core that is
/// gone for good must be replaced before the next one may be lost.
const REPLACE_AFTER_MS: u64 = 2_000;
/// Commands after which the record is written as a whole.
const SNAPSHOT_ENTRIES: u64 = 4_000;
/// Longest time that a call is worked on when its sender does not say how long it waits, in milliseconds; workers and operators turn to
/// another core after a second.
const DEFAULT_PATIENCE_MS: u64 = 900;
/// Share of the grace within which calls in progress must end, in percent.
const FINISH_PERCENT: u64 = 50;
/// Time between looks at the calls in progress at the end, in milliseconds.
const POLL_MS: u64 = 10;
/// File with the addresses of the cores that were last known.
const CORES_FILE: &str = "cores";

/// The core once it is built; the driver's hooks exist before.
#[derive(Clone, Default)]
struct Late {
    core: Rc<RefCell<Option<Rc<CoreNode>>>>,
}

impl Late {
    fn get(&self) -> Option<Rc<CoreNode>> {
        self.core.borrow().clone()
    }
}

/// Runs a core until it is told to stop.
///
/// # Errors
///
/// What keeps it from starting or going on: an address in use, a damaged log, a failed disk.
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
    let replica = folder.replica();
    let clock = Clock::new();
    let late = Late::default();
    let (driver, group) = spawn_group(&config, &folder, &clock, &late)?;
    let stop = CancellationToken::new();
    let hello = Hello {
        name: config.name.to_string(),
        data_centre: config.data_centre.to_string(),
        replica,
        address: config.peer_address().to_string(),
        ..Hello::default()
    };
    let mesh = Mesh::new(hello, clock.clone(), stop.clone());
    let peer_listener = server::bind(config.peer_bind_address())?;
    let control_listener = server::bind(control)?;
    let (wake, wakes) = unbounded::channel();
    let core = Rc::new(CoreNode {
        workers: WorkerCalls::new(clock.clone(), config.descriptors()),
        config,
        dialect,
        clock,
        group,
        mesh: mesh.clone(),
        inbound: Rc::new(Inbound::default()),
        leadership: RefCell::new(None),
        carry_delay: RefCell::new(CarryDelay::default()),
        signs: RefCell::new(BTreeMap::new()),
        draining: CancellationToken::new(),
        metrics: Rc::new(Metrics::new()),
        in_progress: Cell::new(0),
        wake,
        woken: Cell::new(false),
    });
    *late.core.borrow_mut() = Some(core.clone());
    log::info!(core = &*core.config.name, replica = format!("{replica:016x}"), address = control.to_string(); "core starts");
    if let Some(address) = core.config.metrics_address {
        serve_metrics(
            address,
            core.metrics.clone(),
            operator::readings(&core),
            stop.clone(),
        )?;
    }
    learn_cores(&core, &path);
    reload::follow(core.mesh.clone(), core.config.path.clone())?;
    monoio::spawn(mesh::accept(
        mesh,
        peer_listener,
        Rc::new(service(&core)),
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
    monoio::spawn(heartbeats::tell_leader(core.clone()));
    let serving = core.clone();
    monoio::spawn(server::serve(
        control_listener,
        core.draining.clone(),
        (Rc::new(Cell::new(0)), core.config.most_callers()),
        move |request| handle(serving.clone(), request),
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

fn spawn_group(
    config: &LocalConfig,
    folder: &Folder,
    clock: &Clock,
    late: &Late,
) -> Result<(Driver<Workload>, Group<Workload>), Failure> {
    let consensus = Config {
        group: Arc::from(GROUP),
        id: folder.replica(),
        // A VM is named by its address: a replaced one comes back under another, a wiped one under the same.
        name: Arc::from(config.ip.to_string()),
        durable: true,
        wanted_voters: Wanted::Count {
            count: config.voters(),
            replace_after_ms: REPLACE_AFTER_MS,
        },
        heartbeat_ms: HEARTBEAT_MS,
        election_ms: ELECTION_MS,
        first_election_ms: FIRST_ELECTION_MS,
        election_delay_ms: 0,
        seed: folder.replica(),
    };
    let machine = Machine::new(Workload::default(), Workload::CODEC);
    let storage = Some(folder.journal(GROUP)?);
    let hooks = hooks(late);
    let (driver, group) = Driver::new(consensus, machine, storage, clock.clone(), hooks)?;
    Ok((driver.with_snapshot_entries(SNAPSHOT_ENTRIES), group))
}

fn hooks(late: &Late) -> Hooks {
    let (sending, applying, changing) = (late.clone(), late.clone(), late.clone());
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
    } else if let Some(peer) = core.mesh.by_replica(message.to) {
        peer.send_raft(message);
    }
}

fn service(core: &Rc<CoreNode>) -> Service {
    let (delivering, answering, telling) = (core.clone(), core.clone(), core.clone());
    Service {
        deliver: Box::new(move |message| delivering.group.deliver(message)),
        answer: Box::new(move |request| Box::pin(serve_rpc(answering.clone(), request))),
        status: Box::new(move || telling.status()),
    }
}

async fn serve_rpc(core: Rc<CoreNode>, request: RpcRequest) -> Vec<u8> {
    if request.kind == i32::from(RpcKind::Formation) {
        let formation = Formation::of(&core.group, core.mesh.hello().replica);
        return serde_json::to_vec(&formation).unwrap_or_default();
    }
    if request.kind == i32::from(RpcKind::Carry) {
        return carry::carry(&core, &request.body).await;
    }
    if request.kind == i32::from(RpcKind::Signs) {
        heartbeats::hear_signs(&core, &request.body);
        return Vec::new();
    }
    let answer = match serde_json::from_slice::<Call>(&request.body) {
        Ok(call) => counted(&core, answer_call(&core, call)).await,
        Err(error) => {
            log::warn!("a call between processes cannot be read: {error}");
            Answer::Unknown
        }
    };
    serde_json::to_vec(&answer).unwrap_or_default()
}

/// Counts a call as in progress, so that a graceful end waits for it.
async fn counted<T>(core: &Rc<CoreNode>, work: impl Future<Output = T>) -> T {
    core.in_progress.set(core.in_progress.get() + 1);
    let result = work.await;
    core.in_progress.set(core.in_progress.get() - 1);
    result
}

/// A call of a worker or operator: answered here when this core leads, else handed on.
async fn handle(core: Rc<CoreNode>, request: Request<Bytes>) -> Response<Bytes> {
    let received = match (core.dialect.read_control)(&request) {
        Ok(received) => received,
        Err(status) => {
            core.metrics.count("calls_unreadable", 1);
            log::info!(path = request.uri().path(), status = status.as_u16(); "call not read");
            return server::status(status);
        }
    };
    let patience_ms = received.patience_ms.unwrap_or(DEFAULT_PATIENCE_MS);
    let answer = counted(&core, async {
        match answer_call(&core, received.call.clone()).await {
            Answer::NotLeader => as_follower(&core, &received.call, patience_ms).await,
            answer => answer,
        }
    })
    .await;
    log_control(&received.call, &answer);
    (core.dialect.write_answer)(&received.call, &answer)
}

/// A call that came to a core that does not lead.
async fn as_follower(core: &Rc<CoreNode>, call: &Call, patience_ms: u64) -> Answer {
    if let Call::Heartbeat(heartbeat) = call
        && let Some(answer) = heartbeats::hear_for_leader(core, heartbeat)
    {
        return answer;
    }
    forward(&core.mesh, call, patience_ms).await
}

fn log_control(call: &Call, answer: &Answer) {
    match call {
        Call::SetRules(Ok(rules)) => {
            log::info!(version = rules.version, answer:? = answer; "rules sent");
        }
        Call::SetRules(Err(problem)) => {
            log::info!(problem = &**problem, answer:? = answer; "unreadable rules sent");
        }
        Call::Leave { worker } => {
            log::info!(worker = &**worker, answer:? = answer; "worker leaves");
        }
        Call::Heartbeat(heartbeat) if !matches!(answer, Answer::Heard { .. }) => {
            log::info!(worker = &*heartbeat.info.id, answer:? = answer; "heartbeat not taken");
        }
        _ => {}
    }
}

/// Dials the seeds and the cores that were last known, and keeps the list on the disk: seeds may be wrong by the next start.
fn learn_cores(core: &Rc<CoreNode>, folder: &std::path::Path) {
    let file = folder.join(CORES_FILE);
    // A list that is missing or damaged only means that the seeds alone are asked.
    let kept = std::fs::read_to_string(&file).unwrap_or_default();
    let known: Vec<SocketAddr> = kept.lines().filter_map(|line| line.parse().ok()).collect();
    core.mesh.on_learnt(move |cores| {
        let lines: Vec<String> = cores.iter().map(SocketAddr::to_string).collect();
        if let Err(error) = std::fs::write(&file, lines.join("\n")) {
            log::warn!("the list of cores was not kept: {error}");
        }
    });
    core.mesh.learn(known);
    core.mesh.learn(core.config.seed_peers());
}

/// Ends gracefully: no new connections, and the calls in progress are answered.
async fn drain(core: &Rc<CoreNode>) {
    log::info!(core = &*core.config.name, in_progress = core.in_progress.get(); "core drains");
    core.draining.cancel();
    core.inbound.tell_all(&core.status());
    let until_ms = core.clock.now_ms() + core.config.grace_ms() * FINISH_PERCENT / 100;
    while core.in_progress.get() > 0 && core.clock.now_ms() < until_ms {
        sleep_ms(POLL_MS).await;
    }
}
