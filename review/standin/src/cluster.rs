//! Cores and entries of the project as separate processes, with the settings of the deploy file's templates for a small deployment.

use std::fs;
use std::fs::File;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

pub struct Cluster {
    pub folder: PathBuf,
    pub controls: Vec<SocketAddr>,
    pub callers: Vec<SocketAddr>,
    pub net: (u8, u8),
    /// Port of the workers, each on an address of its own.
    pub worker_port: u16,
    configs: Vec<PathBuf>,
    children: Vec<Option<Child>>,
}

pub fn ip(net: (u8, u8), host: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, net.0, net.1, host))
}

/// A port that is free on all hosts up to 30 of the net.
fn free_port(net: (u8, u8)) -> u16 {
    loop {
        let port = TcpListener::bind((ip(net, 1), 0))
            .unwrap()
            .local_addr()
            .unwrap()
            .port();
        if (1..=30).all(|host| TcpListener::bind((ip(net, host), port)).is_ok()) {
            return port;
        }
    }
}

const BOUNDS: &str = "bounds:\n  longest_lease_ms: 10000\n  stop_timeout_ms: 200\n  remote_factor: 3\n  heartbeat_ms: 1500\n  retention_s: 120\n  upkeep_s: 2\n  vm_lease_ms: 3000\n  restore_ms: 100\n";

impl Cluster {
    pub fn begin(cores: u8, entries: u8) -> Cluster {
        let id = std::process::id();
        let net = (100 + (id % 100) as u8, 1 + (id / 100 % 200) as u8);
        let folder = std::env::temp_dir().join(format!("review-{id}"));
        fs::create_dir_all(&folder).expect("folder");
        let (peer, control, metrics, callers, ready) = (
            free_port(net),
            free_port(net),
            free_port(net),
            free_port(net),
            free_port(net),
        );
        let seeds: Vec<String> = (1..=cores.min(3))
            .map(|core| format!("{}:{control}", ip(net, core)))
            .collect();
        let seeds = seeds.join(",");
        let mut cluster = Cluster {
            folder: folder.clone(),
            controls: (1..=cores)
                .map(|core| SocketAddr::new(ip(net, core), control))
                .collect(),
            callers: (1..=entries)
                .map(|entry| SocketAddr::new(ip(net, 10 + entry), callers))
                .collect(),
            net,
            worker_port: free_port(net),
            configs: Vec::new(),
            children: Vec::new(),
        };
        for core in 1..=cores {
            let own = ip(net, core);
            let data = folder.join(format!("core-{core}.data"));
            let text = format!(
                "name: 'core-{core}'\nrole: core\ncontrol_address: '{own}:{control}'\ndata_folder: '{}'\nmay_form: true\ndata_centre: 'zone-{core}'\ndata_centres: 'zone-1,zone-2,zone-3'\nip: '{own}'\npeer_port: {peer}\nmetrics_address: '{own}:{metrics}'\nseeds: '{seeds}'\ndescriptors: 4096\ntolerated_losses: 1\ngrace_s: 6\n{BOUNDS}policy:\n  min_workers: 100\n  backfills: true\n  sharing_min_ratio: 4\n  max_displacements: 3\n",
                data.display()
            );
            cluster.add(&format!("core-{core}"), &text);
        }
        for entry in 1..=entries {
            let own = ip(net, 10 + entry);
            let text = format!(
                "name: 'entry-{entry}'\nrole: entry\ncallers_address: '{own}:{callers}'\nreadiness_address: '{own}:{ready}'\ndata_centre: 'zone-{entry}'\nip: '{own}'\npeer_port: {peer}\nmetrics_address: '{own}:{metrics}'\ndescriptors: 4100\nseeds: '{seeds}'\ntolerated_losses: 1\ngrace_s: 6\n{BOUNDS}"
            );
            cluster.add(&format!("entry-{entry}"), &text);
        }
        for process in 0..cluster.configs.len() {
            cluster.start(process);
        }
        cluster
    }

    fn add(&mut self, name: &str, text: &str) {
        let path = self.folder.join(format!("{name}.yaml"));
        fs::write(&path, text).expect("settings");
        self.configs.push(path);
        self.children.push(None);
    }

    pub fn start(&mut self, process: usize) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.configs[process].with_extension("log"))
            .expect("log");
        let child = Command::new("target/release/beechhollow")
            .args(["serve", "--config"])
            .arg(&self.configs[process])
            .env("BEECHHOLLOW_SETTINGS", &self.configs[process])
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log"))
            .stderr(log)
            .spawn()
            .expect("target/release/beechhollow");
        self.children[process] = Some(child);
    }

    pub fn kill(&mut self, process: usize) {
        if let Some(mut child) = self.children[process].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for process in 0..self.children.len() {
            self.kill(process);
        }
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
