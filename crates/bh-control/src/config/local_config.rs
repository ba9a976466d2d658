//! A process's own file: who it is, where it listens, whom it may ask for the others.

use bh_protocol::Code;
use bh_protocol::Failure;
use bh_protocol::number::whole;
use bh_workload::dispatch::Timing;
use rustix::process::Resource;
use rustix::process::getrlimit;
use serde::Deserialize;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

/// What a process does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Takes callers and hands their calls to the leader.
    Entry,
    /// Keeps the record and may lead.
    Core,
}

/// A checked configuration.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LocalConfig {
    /// File it was read from.
    #[serde(skip)]
    pub path: Arc<str>,
    /// Name of the VM.
    pub name: Arc<str>,
    /// What the process does.
    pub role: Role,
    /// Data centre of the VM.
    pub data_centre: Arc<str>,
    /// All data centres of the deployment; none when the file does not say.
    #[serde(default, deserialize_with = "separated_names")]
    pub data_centres: Vec<Arc<str>>,
    /// Where an entry takes callers.
    #[serde(default)]
    pub callers_address: Option<SocketAddr>,
    /// Where an entry answers whether it is ready.
    #[serde(default)]
    pub readiness_address: Option<SocketAddr>,
    /// Where a core takes workers and operators.
    #[serde(default)]
    pub control_address: Option<SocketAddr>,
    /// Where metrics are served.
    #[serde(default)]
    pub metrics_address: Option<SocketAddr>,
    /// Where a core asks which workers may run a step, for queues that need to.
    #[serde(default)]
    pub adviser_address: Option<SocketAddr>,
    /// Where a core orders the upkeep of VMs.
    #[serde(default)]
    pub vm_service_address: Option<SocketAddr>,
    /// Address of the VM towards other processes of the system.
    pub ip: IpAddr,
    /// Address that links are taken on, when it is another one than others reach this VM at.
    #[serde(default)]
    pub bind_ip: Option<IpAddr>,
    /// Port on which cores take links from cores and entries; the same on every VM.
    pub peer_port: u16,
    /// Addresses of some cores, any port; more are learnt from them.
    #[serde(default, deserialize_with = "separated")]
    pub seeds: Vec<SocketAddr>,
    /// Whether this may be the first start of the whole system, with empty disks.
    #[serde(default)]
    pub may_form: bool,
    /// Cores that may be lost at the same time; twice as many and one vote.
    #[serde(default)]
    pub tolerated_losses: Option<usize>,
    /// Folder of a core on its disk.
    #[serde(default)]
    pub data_folder: Option<PathBuf>,
    /// Time from the signal to stop until the process is ended by force, in seconds.
    #[serde(default)]
    pub grace_s: Option<f64>,
    /// Bounds that workers and callers were promised.
    #[serde(default)]
    pub bounds: Bounds,
    /// Files and connections that the process may have open; what the system allows when the file does not say.
    #[serde(default)]
    pub descriptors: Option<usize>,
    /// Whether logs are JSON rather than text.
    #[serde(default)]
    pub log_json: bool,
}

/// Bounds of the deployment; what is not said keeps its default. Any of them may come with a fraction.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Longest lease that a worker grants, in milliseconds.
    #[serde(default)]
    pub longest_lease_ms: Option<f64>,
    /// Longest time a worker takes to stop a run, in milliseconds.
    #[serde(default)]
    pub stop_timeout_ms: Option<f64>,
    /// How many times as long tasks take away from their data.
    #[serde(default)]
    pub remote_factor: Option<f64>,
    /// Time between a worker's heartbeats, in milliseconds.
    #[serde(default)]
    pub heartbeat_ms: Option<f64>,
    /// How long the state of an ended job can be asked for, in seconds.
    #[serde(default)]
    pub retention_s: Option<f64>,
    /// Time that the upkeep of a VM takes, in seconds.
    #[serde(default)]
    pub upkeep_s: Option<f64>,
    /// Time for which a core that orders the upkeep of VMs may believe that it still leads, in milliseconds.
    #[serde(default)]
    pub vm_lease_ms: Option<f64>,
    /// Time that a task takes to go on from its checkpoint, in milliseconds.
    #[serde(default)]
    pub restore_ms: Option<f64>,
}

/// The parts of a text that are separated by commas.
fn parts(text: &str) -> impl Iterator<Item = &str> {
    text.split(',')
        .map(str::trim)
        .filter(|part| !part.is_empty())
}

/// Addresses in one text, separated by commas.
fn separated<'de, D: serde::Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<SocketAddr>, D::Error> {
    let text = Option::<String>::deserialize(deserializer)?.unwrap_or_default();
    parts(&text)
        .map(|part| part.parse().map_err(serde::de::Error::custom))
        .collect()
}

/// Names in one text, separated by commas.
fn separated_names<'de, D: serde::Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<Arc<str>>, D::Error> {
    let text = Option::<String>::deserialize(deserializer)?.unwrap_or_default();
    Ok(parts(&text).map(Arc::from).collect())
}

/// Share of the longest lease that is asked for, in percent: the rest is for the time an order is on its way.
const LEASE_PERCENT: u64 = 95;
/// Cores that may be lost when the file does not say.
const DEFAULT_LOSSES: usize = 1;
/// Grace when the file does not say, in milliseconds.
const DEFAULT_GRACE_MS: u64 = 6_000;

/// Share of its descriptors that an entry gives to callers, in percent; the rest is for links and files.
const ENTRY_CALLERS_PERCENT: usize = 85;
/// The same of a core, which needs as many again for the workers that it talks to itself.
const CORE_CALLERS_PERCENT: usize = 45;

/// Seconds as whole milliseconds.
fn seconds_to_ms(seconds: f64) -> u64 {
    const MS_PER_S: f64 = 1_000.0;
    whole(seconds * MS_PER_S)
}

/// A bound that others keep, the last millisecond counted whole.
fn ceil_ms(ms: f64) -> u64 {
    whole(ms.ceil())
}

impl LocalConfig {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// [`Code::UnreadableFile`], [`Code::BadConfigFile`].
    pub fn load(path: &str) -> Result<LocalConfig, Failure> {
        let bytes = std::fs::read(path)
            .map_err(|error| Failure::new(Code::UnreadableFile, format!("{path}: {error}")))?;
        let mut config = LocalConfig::parse(&bytes)
            .map_err(|failure| Failure::new(failure.code, format!("{path}: {}", failure.label)))?;
        config.path = Arc::from(path);
        Ok(config)
    }

    /// Reads and checks the text of a file.
    ///
    /// # Errors
    ///
    /// [`Code::BadConfigFile`].
    pub fn parse(bytes: &[u8]) -> Result<LocalConfig, Failure> {
        let bad = |label: String| Failure::new(Code::BadConfigFile, label);
        let config: LocalConfig =
            serde_yaml_ng::from_slice(bytes).map_err(|error| bad(error.to_string()))?;
        let missing = match config.role {
            Role::Entry if config.callers_address.is_none() => Some("callers_address"),
            Role::Entry if config.readiness_address.is_none() => Some("readiness_address"),
            Role::Core if config.control_address.is_none() => Some("control_address"),
            Role::Core if config.data_folder.is_none() => Some("data_folder"),
            _ => None,
        };
        match missing {
            Some(key) => Err(bad(format!("`{key}` is missing for this role"))),
            None if config.seeds.is_empty() => Err(bad("`seeds` names no core".to_owned())),
            None => Ok(config),
        }
    }

    /// Where this process takes links from others.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.peer_port)
    }

    /// Where this process listens for links.
    pub fn peer_bind_address(&self) -> SocketAddr {
        SocketAddr::new(self.bind_ip.unwrap_or(self.ip), self.peer_port)
    }

    /// Where the seeds take links.
    pub fn seed_peers(&self) -> Vec<SocketAddr> {
        let mut peers: Vec<SocketAddr> = self
            .seeds
            .iter()
            .map(|seed| SocketAddr::new(seed.ip(), self.peer_port))
            .collect();
        peers.sort();
        peers.dedup();
        peers
    }

    /// Number of cores that vote.
    pub fn voters(&self) -> usize {
        2 * self.tolerated_losses.unwrap_or(DEFAULT_LOSSES).max(1) + 1
    }

    /// Files and connections that the process may have open.
    pub fn descriptors(&self) -> usize {
        self.descriptors.unwrap_or_else(|| {
            let allowed = getrlimit(Resource::Nofile).current;
            allowed
                .and_then(|allowed| usize::try_from(allowed).ok())
                .unwrap_or(usize::MAX / 100)
        })
    }

    /// Connections that the process takes at a time from those who call it.
    pub fn max_callers(&self) -> usize {
        let percent = match self.role {
            Role::Entry => ENTRY_CALLERS_PERCENT,
            Role::Core => CORE_CALLERS_PERCENT,
        };
        self.descriptors() * percent / 100
    }

    /// Time for a graceful end, in milliseconds.
    pub fn grace_ms(&self) -> u64 {
        self.grace_s.map_or(DEFAULT_GRACE_MS, seconds_to_ms)
    }

    /// The bounds with defaults filled in.
    pub fn timing(&self) -> Timing {
        let default = Timing::DEFAULT;
        let bounds = &self.bounds;
        Timing {
            lease_ms: bounds.longest_lease_ms.map_or(default.lease_ms, |longest| {
                whole(longest) * LEASE_PERCENT / 100
            }),
            stop_timeout_ms: bounds
                .stop_timeout_ms
                .map_or(default.stop_timeout_ms, ceil_ms),
            remote_percent: bounds
                .remote_factor
                .map_or(default.remote_percent, |factor| whole(factor * 100.0)),
            heartbeat_ms: bounds.heartbeat_ms.map_or(default.heartbeat_ms, ceil_ms),
            retention_ms: bounds
                .retention_s
                .map_or(default.retention_ms, seconds_to_ms),
            upkeep_ms: bounds.upkeep_s.map_or(default.upkeep_ms, seconds_to_ms),
            vm_lease_ms: bounds.vm_lease_ms.map_or(default.vm_lease_ms, ceil_ms),
            restore_ms: bounds.restore_ms.map_or(default.restore_ms, ceil_ms),
        }
    }
}
