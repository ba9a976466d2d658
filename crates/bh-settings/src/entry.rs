//! Configuration file of one entry, the process of a VM that takes callers' requests: its name, addresses, peers and limits.

use crate::Problem;
use crate::document::Document;
use crate::entry_key::ENTRY_KEYS;
use crate::section::Reader;
use crate::section::Section;
use crate::token;
use bh_protocol::Code;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

/// Maximum number of voters in the settings group; five voters tolerate the loss of two.
pub const MAX_SETTINGS_VOTERS: usize = 5;
/// Maximum number of voters in the job group of a data centre.
pub const MAX_JOBS_VOTERS: usize = 3;
/// Minimum election timeout, as a number of heartbeats.
const MIN_HEARTBEATS_PER_ELECTION: u64 = 4;

/// One entry VM: a VM that runs an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryVm {
    /// Name of the VM.
    pub name: Arc<str>,
    /// Data centre of the VM.
    pub data_centre: Arc<str>,
    /// Listening address for callers, operators and targets, the workers that run requests and tasks.
    pub http_address: SocketAddr,
    /// Listening address for the other entries.
    pub peer_address: SocketAddr,
    /// Whether the VM has a disk and may keep replicated state.
    pub disk: bool,
}

/// The validated configuration of an entry.
#[derive(Clone, Debug)]
pub struct EntryConfig {
    /// This VM.
    pub own: EntryVm,
    /// All entry VMs by name, including this one.
    pub entries: BTreeMap<Arc<str>, EntryVm>,
    /// Folder on the VM's disk.
    pub data_folder: Option<PathBuf>,
    /// File with the key that all entries share.
    pub peer_key_file: Option<PathBuf>,
    /// Address that metrics are sent to over UDP, if any.
    pub statsd_address: Option<SocketAddr>,
    /// SHA-256 of the token accepted while the settings name no administrator.
    pub bootstrap_token_sha256: Option<Arc<str>>,
    /// Whether logs are JSON rather than text.
    pub log_json: bool,
    /// Lowest level that is logged.
    pub log_level: Arc<str>,
    /// Time between heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// Time without contact to the leader after which a new leader is elected, in milliseconds.
    pub election_ms: u64,
    /// Time without an announcement after which a target gets no new work and its tasks stop, in milliseconds.
    pub target_lease_ms: u64,
    /// Time between reporting not ready and closing the listener at shutdown, in milliseconds.
    pub drain_delay_ms: u64,
    /// Longest wait for requests in progress at shutdown, in milliseconds.
    pub drain_limit_ms: u64,
    /// Maximum number of open connections of callers and targets.
    pub max_connections: usize,
    /// Memory that the process may use, in megabytes.
    pub memory_mb: u64,
    /// Longest wait for a request on a caller's connection before it is closed, in milliseconds.
    pub idle_connection_ms: u64,
    /// Number of log entries after which a snapshot is taken.
    pub snapshot_entries: u64,
    /// Whether one disk sync covers all pending records.
    pub group_sync: bool,
    /// Longest time to open a connection to a target, in milliseconds.
    pub target_connect_ms: u64,
}

impl EntryConfig {
    /// Parses and validates the configuration file of an entry.
    ///
    /// # Errors
    ///
    /// Every problem in the file, ordered by line.
    pub fn parse(file: impl Into<Arc<str>>, bytes: &[u8]) -> Result<EntryConfig, Vec<Problem>> {
        let document =
            Document::parse(file, Code::BadConfigFile, bytes).map_err(|problem| vec![*problem])?;
        let reader = Reader::new(&document, ENTRY_KEYS);
        let config = read_config(reader.root());
        let problems = reader.into_problems();
        match config {
            Some(config) if problems.is_empty() => Ok(config),
            _ => Err(problems),
        }
    }

    /// Names of the VMs that vote on settings: an odd number of VMs with a disk, spread over the data centres.
    pub fn settings_voters(&self) -> BTreeSet<Arc<str>> {
        let mut by_data_centre: BTreeMap<&Arc<str>, Vec<&EntryVm>> = BTreeMap::new();
        for vm in self.entries.values().filter(|vm| vm.disk) {
            by_data_centre.entry(&vm.data_centre).or_default().push(vm);
        }
        let mut candidates = Vec::new();
        let max_per_data_centre = by_data_centre.values().map(Vec::len).max().unwrap_or(0);
        for rank in 0..max_per_data_centre {
            candidates.extend(
                by_data_centre
                    .values()
                    .filter_map(|vms| vms.get(rank))
                    .map(|vm| vm.name.clone()),
            );
        }
        candidates.truncate(largest_odd(candidates.len().min(MAX_SETTINGS_VOTERS)));
        candidates.into_iter().collect()
    }

    /// Names of the VMs that vote on the jobs of `data_centre`: an odd number of VMs with a disk, at most [`MAX_JOBS_VOTERS`], those of
    /// the data centre first.
    pub fn jobs_voters(&self, data_centre: &str) -> BTreeSet<Arc<str>> {
        let with_disk = self.entries.values().filter(|vm| vm.disk);
        let (own, others): (Vec<_>, Vec<_>) =
            with_disk.partition(|vm| &*vm.data_centre == data_centre);
        let mut candidates: Vec<Arc<str>> = own
            .iter()
            .chain(others.iter())
            .map(|vm| vm.name.clone())
            .collect();
        candidates.truncate(largest_odd(candidates.len().min(MAX_JOBS_VOTERS)));
        candidates.into_iter().collect()
    }

    /// Names of all data centres.
    pub fn data_centres(&self) -> BTreeSet<Arc<str>> {
        self.entries
            .values()
            .map(|vm| vm.data_centre.clone())
            .collect()
    }
}

/// The largest odd number up to `count`, or 0. A group with one more voter would need a larger quorum and tolerate no more losses.
fn largest_odd(count: usize) -> usize {
    if count.is_multiple_of(2) {
        count.saturating_sub(1)
    } else {
        count
    }
}

/// Reads the whole file. Problems are collected by the section's reader; `finish` adds one for each key that was not read.
fn read_config(mut root: Section<'_>) -> Option<EntryConfig> {
    let name = root.name("name");
    let entries = read_entries(&mut root);
    let own = entries.get(&name).cloned();
    if own.is_none() && !name.is_empty() && !entries.is_empty() {
        let known: Vec<&str> = entries.keys().map(|name| &**name).collect();
        root.report(
            format!("`name` is `{name}`, which is not among `entries`"),
            format!("use one of: {}", known.join(", ")),
        );
    }
    let data_folder = root.text("data_folder").map(|path| PathBuf::from(&*path));
    let peer_key_file = root.text("peer_key_file").map(|path| PathBuf::from(&*path));
    let statsd_address = read_address(&mut root, "statsd_address");
    let bootstrap_token_sha256 = read_bootstrap_digest(&mut root);
    let log_json = root.choice("log_format") == "json";
    let log_level = Arc::from(root.choice("log_level"));
    let heartbeat_ms = root.number("heartbeat_ms");
    let election_ms = root.number("election_ms");
    if election_ms < heartbeat_ms * MIN_HEARTBEATS_PER_ELECTION {
        root.report(
            format!("`election_ms` is {election_ms}, less than {MIN_HEARTBEATS_PER_ELECTION} heartbeats of {heartbeat_ms} ms"),
            format!("write `election_ms: {}` or more", heartbeat_ms * MIN_HEARTBEATS_PER_ELECTION),
        );
    }
    let own_has_disk = own.as_ref().is_some_and(|vm| vm.disk);
    if own_has_disk && data_folder.is_none() {
        root.report(
            "this VM has `disk: true` but no `data_folder`",
            "add `data_folder:` with a folder on that disk",
        );
    }
    if !own_has_disk && own.is_some() && data_folder.is_some() {
        root.report(
            "`data_folder` is given but this VM has no `disk: true`",
            "set `disk: true` for it in `entries`, or leave out `data_folder`",
        );
    }
    if entries.len() > 1 && peer_key_file.is_none() {
        root.report(
            "there is more than one entry but no `peer_key_file`",
            "add `peer_key_file:` with the file that holds the shared key",
        );
    }
    let config = own.map(|own| EntryConfig {
        own,
        entries,
        data_folder,
        peer_key_file,
        statsd_address,
        bootstrap_token_sha256,
        log_json,
        log_level,
        heartbeat_ms,
        election_ms,
        target_lease_ms: root.number("target_lease_ms"),
        drain_delay_ms: root.number("drain_delay_ms"),
        drain_limit_ms: root.number("drain_limit_ms"),
        memory_mb: root.number("memory_mb"),
        max_connections: usize::try_from(root.number("max_connections")).unwrap_or(usize::MAX),
        idle_connection_ms: root.number("idle_connection_ms"),
        snapshot_entries: root.number("snapshot_entries"),
        group_sync: root.flag("group_sync"),
        target_connect_ms: root.number("target_connect_ms"),
    });
    if config.is_some() {
        root.finish();
    }
    config
}

fn read_bootstrap_digest(root: &mut Section<'_>) -> Option<Arc<str>> {
    let digest = root.text("bootstrap_token_sha256")?;
    if !token::is_digest(&digest) {
        root.report(
            "`bootstrap_token_sha256` is not a SHA-256 digest",
            "write 64 hexadecimal digits, as `beechctl token hash` prints them",
        );
    }
    Some(digest)
}

fn read_entries(root: &mut Section<'_>) -> BTreeMap<Arc<str>, EntryVm> {
    let mut entries = BTreeMap::new();
    let mut addresses = BTreeSet::new();
    let sections = root.section_list("entries");
    let is_empty = sections.is_empty();
    for mut section in sections {
        let name = section.name("name");
        let data_centre = section.name("data_centre");
        let http_address = read_address(&mut section, "http_address");
        let peer_address = read_address(&mut section, "peer_address");
        let disk = section.flag("disk");
        for address in [http_address, peer_address].into_iter().flatten() {
            if !addresses.insert(address) {
                section.report(
                    format!("the address {address} is used twice"),
                    "give each listener its own address",
                );
            }
        }
        if let (Some(http_address), Some(peer_address)) = (http_address, peer_address) {
            let vm = EntryVm {
                name: name.clone(),
                data_centre,
                http_address,
                peer_address,
                disk,
            };
            if entries.insert(name.clone(), vm).is_some() {
                section.report(
                    format!("the name `{name}` is used twice"),
                    "give each entry its own name",
                );
            }
        }
        section.finish();
    }
    if is_empty {
        root.report(
            "`entries` lists no VM",
            "list every entry VM, including this one",
        );
    }
    entries
}

/// Reads an IP address and a port. Host names are refused, since the VMs have no name service.
fn read_address(section: &mut Section<'_>, name: &'static str) -> Option<SocketAddr> {
    let text = section.text(name)?;
    match text.parse() {
        Ok(address) => Some(address),
        Err(_) => {
            section.report(
                format!("`{name}` is `{text}`, not an IP number and a port"),
                "write it like 10.0.0.7:8080 or [fd00::7]:8080",
            );
            None
        }
    }
}
