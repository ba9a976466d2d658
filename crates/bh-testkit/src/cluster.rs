//! A cluster of entries that run as real processes, each with its own folder and configuration.

use crate::http_raw;
use crate::http_raw::RawAnswer;
use crate::link::Link;
use crate::ports;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::fs::File;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use tempfile::TempDir;

/// Token of the administrator in tests.
pub const ADMINISTRATOR: &str = "test-administrator-token";
/// SHA-256 of [`ADMINISTRATOR`].
pub const ADMINISTRATOR_SHA256: &str =
    "e9f584720be68a7e90710828454a24398a183e3c73c3bac0ed0fea10127f7bed";
const POLL: Duration = Duration::from_millis(10);

/// One entry to start.
#[derive(Clone, Debug)]
pub struct EntryOptions {
    /// Name.
    pub name: String,
    /// Data centre.
    pub data_centre: String,
    /// Whether the entry has a disk.
    pub disk: bool,
}

impl EntryOptions {
    /// An entry with a disk.
    pub fn new(name: &str, data_centre: &str) -> Self {
        Self {
            name: name.to_owned(),
            data_centre: data_centre.to_owned(),
            disk: true,
        }
    }

    /// Takes away the entry's disk.
    pub fn with_no_disk(mut self) -> Self {
        self.disk = false;
        self
    }
}

struct Entry {
    options: EntryOptions,
    http: SocketAddr,
    child: Option<Child>,
    starts: u32,
}

/// A cluster of entries on the loopback address. Dropping it kills the processes and deletes the folder.
pub struct Cluster {
    binary: PathBuf,
    folder: TempDir,
    entries: BTreeMap<String, Entry>,
    peer_addresses: BTreeMap<String, SocketAddr>,
    links: BTreeMap<(String, String), Link>,
    config_lines: String,
}

impl Cluster {
    /// A cluster of entries that run `binary`, not started yet, and connect to each other directly.
    ///
    /// # Panics
    ///
    /// When no temporary folder can be created or no port is free.
    pub fn new(binary: &str, options: Vec<EntryOptions>) -> Cluster {
        let folder = tempfile::tempdir().expect("a folder for the test");
        std::fs::write(
            folder.path().join("peer.key"),
            "test-key-test-key-test-key-test-key-",
        )
        .expect("the key file can be written");
        let addresses = ports::free(options.len() * 2);
        let (http, peer) = addresses.split_at(options.len());
        let peer_addresses = options
            .iter()
            .zip(peer)
            .map(|(options, address)| (options.name.clone(), *address))
            .collect();
        let entries = options
            .into_iter()
            .zip(http)
            .map(|(options, http)| {
                (
                    options.name.clone(),
                    Entry {
                        options,
                        http: *http,
                        child: None,
                        starts: 0,
                    },
                )
            })
            .collect();
        Cluster {
            binary: PathBuf::from(binary),
            folder,
            entries,
            peer_addresses,
            links: BTreeMap::new(),
            config_lines: String::new(),
        }
    }

    /// Adds lines to every entry's configuration file.
    pub fn with_config_lines(mut self, lines: &str) -> Self {
        self.config_lines = lines.to_owned();
        self
    }

    /// Puts a link that can be cut between every two entries, one for each direction of dialling.
    pub fn with_links(mut self) -> Self {
        let names: Vec<String> = self.entries.keys().cloned().collect();
        for from in &names {
            for to in names.iter().filter(|to| *to != from) {
                let any = SocketAddr::from(([127, 0, 0, 1], 0));
                let link = Link::start(any, self.peer_addresses[to]);
                self.links.insert((from.clone(), to.clone()), link);
            }
        }
        self
    }

    /// The link through which `from` dials `to`.
    pub fn link(&self, from: &str, to: &str) -> &Link {
        &self.links[&(from.to_owned(), to.to_owned())]
    }

    /// All links.
    pub fn links(&self) -> impl Iterator<Item = &Link> {
        self.links.values()
    }

    /// Cuts or restores all links from and to `name`.
    pub fn isolate(&self, name: &str, cut: bool) {
        for ((from, to), link) in &self.links {
            if from == name || to == name {
                link.set_cut(cut);
            }
        }
    }

    /// The test's temporary folder.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Data folder of an entry.
    pub fn data_folder(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    /// Address of an entry for callers.
    pub fn http(&self, name: &str) -> SocketAddr {
        self.entries[name].http
    }

    /// Addresses for callers of all entries of a data centre, in the form that workers are configured with.
    pub fn entries_of(&self, data_centre: &str) -> Vec<String> {
        self.entries
            .values()
            .filter(|entry| entry.options.data_centre == data_centre)
            .map(|entry| entry.http.to_string())
            .collect()
    }

    /// Names of all entries.
    pub fn names(&self) -> Vec<String> {
        self.entries.keys().cloned().collect()
    }

    /// Process id of a running entry.
    pub fn pid(&self, name: &str) -> Option<u32> {
        self.entries[name].child.as_ref().map(Child::id)
    }

    /// Starts all entries.
    pub fn start_all(&mut self) {
        for name in self.names() {
            self.start(&name);
        }
    }

    /// Starts one entry.
    ///
    /// # Panics
    ///
    /// When it cannot be started.
    pub fn start(&mut self, name: &str) {
        let file = self.write_config(name);
        let entry = self.entries.get_mut(name).expect("an entry of the test");
        entry.starts += 1;
        let log = File::create(
            self.folder
                .path()
                .join(format!("{name}-{}.log", entry.starts)),
        )
        .expect("a log file");
        let child = Command::new(&self.binary)
            .args(["run", "--config"])
            .arg(file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the entry starts");
        entry.child = Some(child);
    }

    fn write_config(&self, name: &str) -> PathBuf {
        let mut text = format!(
            "name: {name}\npeer_key_file: {}\n",
            self.folder.path().join("peer.key").display()
        );
        let _ = writeln!(text, "bootstrap_token_sha256: {}", ADMINISTRATOR_SHA256);
        if self.entries[name].options.disk {
            let _ = writeln!(text, "data_folder: {}", self.data_folder(name).display());
        }
        text.push_str(&self.config_lines);
        text.push_str("\nentries:\n");
        for (other, entry) in &self.entries {
            let link = self.links.get(&(name.to_owned(), other.clone()));
            let peer = link.map_or(self.peer_addresses[other], Link::address);
            let _ = writeln!(
                text,
                "  - {{name: {other}, data_centre: {}, http_address: '{}', peer_address: '{peer}', disk: {}}}",
                entry.options.data_centre, entry.http, entry.options.disk
            );
        }
        let file = self.folder.path().join(format!("{name}.yaml"));
        std::fs::write(&file, text).expect("the entry's file can be written");
        file
    }

    /// Kills an entry at once.
    pub fn kill(&mut self, name: &str) {
        if let Some(mut child) = self
            .entries
            .get_mut(name)
            .and_then(|entry| entry.child.take())
        {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal to an entry, such as `TERM`, `STOP` or `CONT`.
    pub fn signal(&self, name: &str, signal: &str) {
        if let Some(pid) = self.pid(name) {
            let _ = Command::new("kill")
                .arg(format!("-{signal}"))
                .arg(pid.to_string())
                .status();
        }
    }

    /// Waits for an entry to exit by itself; returns its exit status, or `None` if it does not exit within `limit`.
    pub fn wait_for_exit(&mut self, name: &str, limit: Duration) -> Option<i32> {
        let child = self.entries.get_mut(name)?.child.as_mut()?;
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if let Ok(Some(status)) = child.try_wait() {
                self.entries.get_mut(name)?.child = None;
                return Some(status.code().unwrap_or(-1));
            }
            thread::sleep(POLL);
        }
        None
    }

    /// Waits until `ready` returns true.
    ///
    /// # Panics
    ///
    /// When it does not within `limit`; the message contains the entries' logs.
    pub fn wait_until(&self, what: &str, limit: Duration, mut ready: impl FnMut() -> bool) {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if ready() {
                return;
            }
            thread::sleep(POLL);
        }
        panic!("not within {limit:?}: {what}\n{}", self.logs());
    }

    /// The last lines of all logs.
    pub fn logs(&self) -> String {
        const LINES: usize = 60;
        let mut text = String::new();
        for (name, entry) in &self.entries {
            for start in 1..=entry.starts {
                let log =
                    std::fs::read_to_string(self.folder.path().join(format!("{name}-{start}.log")))
                        .unwrap_or_default();
                let lines: Vec<&str> = log.lines().collect();
                let from = lines.len().saturating_sub(LINES);
                let _ = write!(
                    text,
                    "--- {name}, start {start}\n{}\n",
                    lines[from..].join("\n")
                );
            }
        }
        text
    }

    /// Whether any entry has logged this text.
    pub fn has_logged(&self, text: &str) -> bool {
        self.entries.iter().any(|(name, entry)| {
            (1..=entry.starts).any(|start| {
                let path = self.folder.path().join(format!("{name}-{start}.log"));
                std::fs::read_to_string(path).is_ok_and(|log| log.contains(text))
            })
        })
    }

    /// Waits until every running entry is ready.
    pub fn wait_ready(&self) {
        let running: Vec<SocketAddr> = self
            .entries
            .values()
            .filter(|entry| entry.child.is_some())
            .map(|entry| entry.http)
            .collect();
        self.wait_until("all entries ready", Duration::from_secs(20), || {
            running
                .iter()
                .all(|address| http_raw::get(*address, "/readyz").status == 200)
        });
    }

    /// Applies complete settings through an entry, as the administrator.
    pub fn apply(&self, name: &str, change_id: &str, base_revision: u64, yaml: &str) -> RawAnswer {
        self.apply_scoped(
            name,
            change_id,
            base_revision,
            &serde_json::json!("all"),
            yaml,
            ADMINISTRATOR,
        )
    }

    /// Applies settings of a scope through an entry, with a token.
    pub fn apply_scoped(
        &self,
        name: &str,
        change_id: &str,
        base_revision: u64,
        scope: &serde_json::Value,
        yaml: &str,
        token: &str,
    ) -> RawAnswer {
        let change = serde_json::json!({ "change_id": change_id, "base_revision": base_revision, "scope": scope, "yaml": yaml });
        let authorization = format!("Bearer {token}");
        http_raw::post(
            self.http(name),
            "/v1/settings",
            &[("authorization", &authorization)],
            change.to_string().as_bytes(),
        )
    }

    /// Name of the entry that leads a group according to the entry `name`.
    pub fn leader_seen_by(&self, name: &str, group: &str) -> Option<String> {
        let status = http_raw::get(self.http(name), "/v1/status").json();
        let groups = status["groups"].as_array()?;
        let view = groups.iter().find(|view| view["name"] == group)?;
        view["leader"].as_str().map(str::to_owned)
    }

    /// Revision of the settings in force on an entry, or `None` if the entry does not answer.
    pub fn revision(&self, name: &str) -> Option<u64> {
        let status = http_raw::send(
            self.http(name),
            "GET",
            "/v1/status",
            &[],
            &[],
            Duration::from_millis(500),
        )
        .json();
        status["in_force"]["revision"].as_u64()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for name in self.names() {
            self.kill(&name);
        }
    }
}
