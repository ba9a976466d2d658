//! The project's processes, started with the command of the deploy file and settings from its templates.

use crate::http;
use crate::json::Json;
use crate::record::Record;
use std::fs::File;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

unsafe extern "C" {
    fn prctl(option: i32, argument: u64) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

/// What a case sets; the rest is that of a small deployment.
#[derive(Clone)]
pub struct Setup {
    pub cores: usize,
    pub entries: usize,
    pub zones: Vec<String>,
    pub stop_timeout_ms: u64,
    pub adviser: bool,
}

impl Default for Setup {
    fn default() -> Setup {
        Setup {
            cores: 3,
            entries: 2,
            zones: ["zone-a", "zone-b", "zone-c"].map(str::to_owned).to_vec(),
            stop_timeout_ms: 400,
            adviser: false,
        }
    }
}

struct Process {
    name: String,
    file: PathBuf,
    child: Option<Child>,
}

pub struct Cluster {
    folder: PathBuf,
    record: Arc<Record>,
    processes: Vec<Process>,
    pub setup: Setup,
    pub control: Vec<SocketAddr>,
    pub frontend: Vec<SocketAddr>,
    pub status: Vec<SocketAddr>,
    pub adviser: SocketAddr,
    pub workers: Vec<SocketAddr>,
}

/// Addresses with free ports on one loopback host.
fn free(host: [u8; 4], count: usize) -> Vec<SocketAddr> {
    let listeners: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind(SocketAddr::from((host, 0))).expect("a free port"))
        .collect();
    listeners
        .iter()
        .map(|listener| listener.local_addr().expect("an address"))
        .collect()
}

/// A port that is free on all these hosts.
fn shared_port(hosts: Vec<[u8; 4]>) -> Option<u16> {
    (0..20).map(|_| free(hosts[0], 1)[0].port()).find(|port| {
        let is_free = |host: &[u8; 4]| TcpListener::bind(SocketAddr::from((*host, *port))).is_ok();
        hosts.iter().all(is_free)
    })
}

impl Cluster {
    /// Starts the processes, and waits until the cores have a leader. `workers` is the number of worker addresses to choose.
    pub fn start(setup: Setup, workers: usize, record: Arc<Record>) -> Option<Cluster> {
        let pid = std::process::id();
        let net = (pid % 200 + 20) as u8;
        let side = (pid / 200 % 50 + 40) as u8;
        let folder = std::env::temp_dir().join(format!("review-3-{pid}"));
        std::fs::create_dir_all(&folder).ok()?;
        let host = |number: usize| [127, side, net, number as u8];
        let peer_port = shared_port((0..setup.cores).map(|n| host(n + 1)).collect())?;
        let control: Vec<SocketAddr> = (0..setup.cores).map(|n| free(host(n + 1), 1)[0]).collect();
        let frontend: Vec<SocketAddr> = (0..setup.entries)
            .map(|n| free(host(n + 51), 1)[0])
            .collect();
        let seeds: Vec<String> = control.iter().take(3).map(SocketAddr::to_string).collect();
        let zone = |number: usize| setup.zones[number % setup.zones.len()].clone();
        let adviser = free(host(100), 1)[0];
        let mut cluster = Cluster {
            record,
            processes: Vec::new(),
            status: (0..setup.cores).map(|n| free(host(n + 1), 1)[0]).collect(),
            adviser,
            workers: (0..workers)
                .map(|n| free(host(110 + n % 100), 1)[0])
                .collect(),
            control,
            frontend,
            folder,
            setup: setup.clone(),
        };
        let bounds = format!(
            "bounds:\n  longest_lease_ms: 6000\n  stop_timeout_ms: {}\n  remote_factor: 3\n  heartbeat_ms: 1500\n  retention_s: 120\n  \
             upkeep_s: 2\n  vm_lease_ms: 3000\n  restore_ms: 250\n",
            setup.stop_timeout_ms
        );
        for number in 0..setup.cores {
            let name = format!("core-{}", number + 1);
            let data = cluster.folder.join(&name);
            let ip = cluster.control[number].ip();
            let mut text = format!(
                "name: '{name}'\nrole: core\ncontrol_address: '{}'\ndata_folder: '{}'\ndisk_mb: 128\nmay_form: true\ndata_centre: '{}'\n\
                 data_centres: '{}'\nip: '{ip}'\npeer_port: {peer_port}\nmetrics_address: '{}'\n",
                cluster.control[number],
                data.display(),
                zone(number),
                setup.zones.join(","),
                cluster.status[number],
            );
            if setup.adviser {
                text += &format!("adviser_address: '{adviser}'\n");
            }
            text += &format!(
                "seeds: '{}'\ndescriptors: 4096\nmemory_mb: 256\ntolerated_losses: 1\ngrace_s: 6\n{bounds}policy:\n  min_workers: 100\n  \
                 backfills: true\n  sharing_min_ratio: 4\n  max_displacements: 3\n",
                seeds.join(",")
            );
            cluster.add(name, &text)?;
        }
        for number in 0..setup.entries {
            let name = format!("entry-{}", number + 1);
            let ip = cluster.frontend[number].ip();
            let side = free(host(number + 51), 2);
            let (ready, metrics) = (side[0], side[1]);
            let text = format!(
                "name: '{name}'\nrole: entry\ncallers_address: '{}'\nreadiness_address: '{ready}'\ndata_centre: '{}'\nip: '{ip}'\n\
                 peer_port: {peer_port}\nmetrics_address: '{metrics}'\ndescriptors: 4100\nmemory_mb: 260\nseeds: '{}'\ntolerated_losses: 1\n\
                 grace_s: 6\n{bounds}",
                cluster.frontend[number],
                zone(number),
                seeds.join(",")
            );
            cluster.add(name, &text)?;
        }
        cluster.leader(Duration::from_secs(10))?;
        Some(cluster)
    }

    fn add(&mut self, name: String, text: &str) -> Option<()> {
        let file = self.folder.join(format!("{name}.yaml"));
        std::fs::write(&file, text).ok()?;
        self.processes.push(Process {
            name,
            file,
            child: None,
        });
        self.run(self.processes.len() - 1)
    }

    /// Starts the process at `index`: cores come first, then entries.
    pub fn run(&mut self, index: usize) -> Option<()> {
        let process = &mut self.processes[index];
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", process.name)))
            .ok()?;
        let mut command = Command::new("target/release/beechhollow");
        // SAFETY: the call only makes the process end with this one.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = command
            .args(["serve", "--config"])
            .arg(&process.file)
            .env_remove("RUST_LOG")
            .stdin(Stdio::null())
            .stdout(log.try_clone().ok()?)
            .stderr(log)
            .spawn()
            .ok()?;
        self.record
            .line(format!("{} starts, process {}", process.name, child.id()));
        process.child = Some(child);
        Some(())
    }

    /// Kills the process at `index`, and waits until it has ended.
    pub fn kill(&mut self, index: usize) {
        let process = &mut self.processes[index];
        if let Some(mut child) = process.child.take() {
            self.record.line(format!("{}: killed", process.name));
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// The index of the core that says it leads.
    pub fn leader(&self, within: Duration) -> Option<usize> {
        let until = Instant::now() + within;
        while Instant::now() < until {
            for (index, address) in self.status.iter().enumerate() {
                let answer = http::call(
                    *address,
                    "GET",
                    "/v1/status",
                    &[],
                    None,
                    Duration::from_millis(300),
                );
                if answer.is_some_and(|(_, body)| *body.get("leads") == Json::Bool(true)) {
                    return Some(index);
                }
            }
            thread::sleep(Duration::from_millis(50));
        }
        None
    }

    /// Sends an operator's call, to one core after the other, until it has a clear answer.
    pub fn operator(
        &self,
        method: &str,
        path: &str,
        body: Option<&Json>,
        within: Duration,
    ) -> Option<(u16, Json)> {
        let until = Instant::now() + within;
        let mut turn = 0;
        while Instant::now() < until {
            let address = self.control[turn % self.control.len()];
            turn += 1;
            let answer = http::call(address, method, path, &[], body, Duration::from_secs(1));
            let status = answer.as_ref().map(|(status, _)| *status);
            self.record
                .line(format!("operator: {method} {path} -> {status:?}"));
            match answer {
                Some((status, body)) if status < 500 && status != 408 && status != 429 => {
                    return Some((status, body));
                }
                _ => thread::sleep(Duration::from_millis(100)),
            }
        }
        None
    }

    /// Sends a client's call, to one entry after the other, until it has a clear answer.
    pub fn client(
        &self,
        method: &str,
        path: &str,
        key: &str,
        body: Option<&Json>,
        within: Duration,
    ) -> Option<(u16, Json)> {
        let until = Instant::now() + within;
        let authorization = format!("Bearer {key}");
        let mut turn = 0;
        while Instant::now() < until {
            let address = self.frontend[turn % self.frontend.len()];
            turn += 1;
            let headers = [
                ("Host", "jobs.example"),
                ("Authorization", authorization.as_str()),
                ("Deadline-Ms", "3000"),
            ];
            let headers = &headers[..];
            let answer = http::call(address, method, path, headers, body, Duration::from_secs(3));
            let shown = answer
                .as_ref()
                .map(|(status, body)| format!("{status} {body}"));
            self.record.line(format!(
                "client: {method} {path} -> {}",
                shown.as_deref().unwrap_or("no answer")
            ));
            match answer {
                Some((status, body)) if ![429, 502, 503, 504].contains(&status) => {
                    return Some((status, body));
                }
                Some((429 | 503, _)) => thread::sleep(Duration::from_millis(1_000)),
                _ => thread::sleep(Duration::from_millis(100)),
            }
        }
        None
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for index in 0..self.processes.len() {
            self.kill(index);
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
