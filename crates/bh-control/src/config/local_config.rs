//! Config file of a process: its identity, the addresses it listens on, and the seeds it learns the other cores from.

use super::PolicyConfig;
use super::StorageLimits;
use super::storage_limits::MIN_DISK_MB;
use bh_net::connections::ConnectionLimits;
use bh_protocol::Code;
use bh_protocol::Failure;
use bh_protocol::number::floor_to_u64;
use bh_workload::dispatch::Timing;
use bh_workload::plan::Policy;
use rustix::process::Resource;
use rustix::process::getrlimit;
use serde::Deserialize;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

/// Role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Accepts callers' connections and forwards their calls to the leader.
    Entry,
    /// Replicates the state and may lead.
    Core,
}

/// A validated config.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LocalConfig {
    /// File that the config was read from.
    #[serde(skip)]
    pub path: Arc<str>,
    /// Name of the VM.
    pub name: Arc<str>,
    /// Role of the process.
    pub role: Role,
    /// Data centre of the VM.
    pub data_centre: Arc<str>,
    /// All data centres of the deployment; empty if the file does not list them.
    #[serde(default, deserialize_with = "separated_names")]
    pub data_centres: Vec<Arc<str>>,
    /// Address on which an entry accepts callers.
    #[serde(default)]
    pub callers_address: Option<SocketAddr>,
    /// Address on which an entry answers readiness checks.
    #[serde(default)]
    pub readiness_address: Option<SocketAddr>,
    /// Address on which a core accepts workers and operators.
    #[serde(default)]
    pub control_address: Option<SocketAddr>,
    /// Address on which metrics are served.
    #[serde(default)]
    pub metrics_address: Option<SocketAddr>,
    /// Address of the adviser, which a core asks which workers may run a step, for queues that require it.
    #[serde(default)]
    pub adviser_address: Option<SocketAddr>,
    /// Address of the VM service, where a core orders the maintenance of VMs.
    #[serde(default)]
    pub vm_service_address: Option<SocketAddr>,
    /// Address of the VM as seen by other processes of the deployment.
    pub ip: IpAddr,
    /// Address on which links are accepted, if it differs from the one at which others reach this VM.
    #[serde(default)]
    pub bind_ip: Option<IpAddr>,
    /// Port on which cores accept links from cores and entries; the same on every VM.
    pub peer_port: u16,
    /// Addresses of some cores, with any port. The process learns the other cores from them.
    #[serde(default, deserialize_with = "separated")]
    pub seeds: Vec<SocketAddr>,
    /// Whether this may be the first start of the whole deployment, with empty disks.
    #[serde(default)]
    pub may_form: bool,
    /// Number of cores that may be lost at the same time. The number of voters is twice that plus one.
    #[serde(default)]
    pub tolerated_losses: Option<usize>,
    /// Data folder of a core.
    #[serde(default)]
    pub data_folder: Option<PathBuf>,
    /// Size of the disk that holds the data folder, in megabytes.
    #[serde(default)]
    pub disk_mb: Option<f64>,
    /// Memory of the VM that the process may use, in megabytes.
    #[serde(default)]
    pub memory_mb: Option<f64>,
    /// Grace period: time from the stop signal until the process is killed, in seconds.
    #[serde(default)]
    pub grace_s: Option<f64>,
    /// Time bounds promised to workers and callers.
    #[serde(default)]
    pub bounds: Bounds,
    /// Optional decisions under load; those without a value are off.
    #[serde(default)]
    pub policy: PolicyConfig,
    /// Maximum number of open files and connections of the process; the system's limit if the file does not give one.
    #[serde(default)]
    pub descriptors: Option<usize>,
    /// Whether logs are JSON instead of text.
    #[serde(default)]
    pub log_json: bool,
}

/// Time bounds of the deployment. A missing one has its default; each may have a fraction.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Maximum lease that a worker grants, in milliseconds.
    #[serde(default)]
    pub longest_lease_ms: Option<f64>,
    /// Maximum time that a worker takes to stop a run, in milliseconds.
    #[serde(default)]
    pub stop_timeout_ms: Option<f64>,
    /// Slowdown factor of tasks that run away from their data.
    #[serde(default)]
    pub remote_factor: Option<f64>,
    /// Time between a worker's heartbeats, in milliseconds.
    #[serde(default)]
    pub heartbeat_ms: Option<f64>,
    /// How long the state of an ended job remains readable, in seconds.
    #[serde(default)]
    pub retention_s: Option<f64>,
    /// Duration of the maintenance of a VM, in seconds.
    #[serde(default)]
    pub upkeep_s: Option<f64>,
    /// Lease of the core that orders maintenance of VMs, in milliseconds: how long it may believe that it still leads.
    #[serde(default)]
    pub vm_lease_ms: Option<f64>,
    /// Time that a task takes to restore its checkpoint, in milliseconds.
    #[serde(default)]
    pub restore_ms: Option<f64>,
}

/// Splits a text at commas.
fn parts(text: &str) -> impl Iterator<Item = &str> {
    text.split(',')
        .map(str::trim)
        .filter(|part| !part.is_empty())
}

/// Deserializes a comma-separated list of addresses.
fn separated<'de, D: serde::Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<SocketAddr>, D::Error> {
    let text = Option::<String>::deserialize(deserializer)?.unwrap_or_default();
    parts(&text)
        .map(|part| part.parse().map_err(serde::de::Error::custom))
        .collect()
}

/// Deserializes a comma-separated list of names.
fn separated_names<'de, D: serde::Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<Arc<str>>, D::Error> {
    let text = Option::<String>::deserialize(deserializer)?.unwrap_or_default();
    Ok(parts(&text).map(Arc::from).collect())
}

/// Percentage of the maximum lease that is requested; the rest covers the transit time of an order.
const LEASE_PERCENT: u64 = 95;
/// Default number of cores that may be lost.
const DEFAULT_LOSSES: usize = 1;
/// Default grace period, in milliseconds.
const DEFAULT_GRACE_MS: u64 = 6_000;

/// Memory of the VM if the config does not give it, in megabytes.
const DEFAULT_MEMORY_MB: u64 = 256;
/// Least memory that a process runs with, in megabytes.
const MIN_MEMORY_MB: u64 = 32;
/// Percentage of an entry's memory for requests and answers.
const ENTRY_REQUESTS_PERCENT: u64 = 40;
/// Percentage of a core's memory for requests and answers; it also holds the record and its log.
const CORE_REQUESTS_PERCENT: u64 = 25;

/// Percentage of an entry's descriptors for callers; the rest is for links and files.
const ENTRY_CALLERS_PERCENT: usize = 85;
/// Percentage of a core's descriptors for callers. It needs as many again for the workers that it talks to itself.
const CORE_CALLERS_PERCENT: usize = 45;

/// Converts seconds to whole milliseconds.
fn seconds_to_ms(seconds: f64) -> u64 {
    const MS_PER_S: f64 = 1_000.0;
    floor_to_u64(seconds * MS_PER_S)
}

/// Rounds a bound that others must keep up to whole milliseconds.
fn ceil_ms(ms: f64) -> u64 {
    floor_to_u64(ms.ceil())
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
        let too_small = |disk_mb: f64| floor_to_u64(disk_mb) < MIN_DISK_MB;
        if config.disk_mb.is_some_and(too_small) {
            return Err(bad(format!(
                "a core needs `disk_mb` of {MIN_DISK_MB} at least"
            )));
        }
        let lacks_memory = |memory_mb: f64| floor_to_u64(memory_mb) < MIN_MEMORY_MB;
        if config.memory_mb.is_some_and(lacks_memory) {
            return Err(bad(format!(
                "a process needs `memory_mb` of {MIN_MEMORY_MB} at least"
            )));
        }
        match missing {
            Some(key) => Err(bad(format!("`{key}` is missing for this role"))),
            None if config.seeds.is_empty() => Err(bad("`seeds` names no core".to_owned())),
            None => Ok(config),
        }
    }

    /// Address at which other processes reach this process's links.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.peer_port)
    }

    /// Address on which this process listens for links.
    pub fn peer_bind_address(&self) -> SocketAddr {
        SocketAddr::new(self.bind_ip.unwrap_or(self.ip), self.peer_port)
    }

    /// Addresses of the seeds' links.
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

    /// Number of voting cores.
    pub fn voters(&self) -> usize {
        2 * self.tolerated_losses.unwrap_or(DEFAULT_LOSSES).max(1) + 1
    }

    /// Maximum number of open files and connections.
    pub fn descriptors(&self) -> usize {
        self.descriptors.unwrap_or_else(|| {
            let allowed = getrlimit(Resource::Nofile).current;
            allowed
                .and_then(|allowed| usize::try_from(allowed).ok())
                .unwrap_or(usize::MAX / 100)
        })
    }

    /// Maximum number of connections from callers at a time.
    pub fn max_callers(&self) -> usize {
        let percent = match self.role {
            Role::Entry => ENTRY_CALLERS_PERCENT,
            Role::Core => CORE_CALLERS_PERCENT,
        };
        self.descriptors() * percent / 100
    }

    /// What the connections of clients may take together.
    pub fn connection_limits(&self) -> ConnectionLimits {
        let memory_mb = self.memory_mb.map_or(DEFAULT_MEMORY_MB, floor_to_u64);
        let request_percent = match self.role {
            Role::Entry => ENTRY_REQUESTS_PERCENT,
            Role::Core => CORE_REQUESTS_PERCENT,
        };
        ConnectionLimits::new(memory_mb, request_percent, self.max_callers())
    }

    /// Grace period for a shutdown, in milliseconds.
    pub fn grace_ms(&self) -> u64 {
        self.grace_s.map_or(DEFAULT_GRACE_MS, seconds_to_ms)
    }

    /// Limits of what a core stores.
    pub fn storage_limits(&self) -> StorageLimits {
        StorageLimits::new(self.disk_mb.map(floor_to_u64))
    }

    /// The optional decisions of the planner that are in use.
    pub fn planner_policy(&self) -> Policy {
        self.policy.planner()
    }

    /// The bounds with defaults filled in.
    pub fn timing(&self) -> Timing {
        let default = Timing::DEFAULT;
        let bounds = &self.bounds;
        Timing {
            lease_ms: bounds.longest_lease_ms.map_or(default.lease_ms, |longest| {
                floor_to_u64(longest) * LEASE_PERCENT / 100
            }),
            stop_timeout_ms: bounds
                .stop_timeout_ms
                .map_or(default.stop_timeout_ms, ceil_ms),
            remote_percent: bounds
                .remote_factor
                .map_or(default.remote_percent, |factor| {
                    floor_to_u64(factor * 100.0)
                }),
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
