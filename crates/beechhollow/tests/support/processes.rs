//! Starts the processes of a deployment as an operator does.
#![expect(
    clippy::unwrap_used,
    reason = "a test that meets the unexpected shall end"
)]

use super::BINARY;
use bh_testkit::http_raw;
use bh_testkit::ports;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// A running process, which is killed when the test ends.
pub struct Process {
    /// Handle of the process.
    pub child: Child,
    folder: PathBuf,
}

impl Process {
    /// Starts a process with `config` as its configuration file. `FOLDER` in it stands for the process's data folder.
    pub fn start(name: &str, config: &str) -> Self {
        let folder =
            std::env::temp_dir().join(format!("beechhollow-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let file = folder.join("config.yaml");
        let config = config.replace("FOLDER", &folder.join("data").display().to_string());
        std::fs::write(&file, config).unwrap();
        let child = spawn(&file);
        Self { child, folder }
    }

    /// Kills the process and starts it again with the files that it left.
    pub fn restart(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
        self.child = spawn(&self.folder.join("config.yaml"));
    }

    /// The folder with the configuration file and the data folder.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Sends SIGTERM to the process.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Sends the signal `name` to the process.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.child.id().to_string())
            .status()
            .unwrap();
        assert!(sent.success());
    }
}

fn spawn(config: &Path) -> Child {
    Command::new(BINARY)
        .args(["serve", "--config"])
        .arg(config)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap()
}

impl Drop for Process {
    fn drop(&mut self) {
        // Fails if the process has already ended, which is fine.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Configuration of an entry. `addresses` are those for callers, readiness and metrics, and the control address of a core whose links use `peer_port`.
pub fn entry_config(addresses: &[SocketAddr], peer_port: u16) -> String {
    format!(
        "name: entry\nrole: entry\ndata_centre: dc\nip: 127.0.0.1\npeer_port: {peer_port}\ncallers_address: {}\nreadiness_address: {}\n\
         metrics_address: {}\nseeds: '{}'\ngrace_s: 1\n",
        addresses[0], addresses[1], addresses[2], addresses[3]
    )
}

/// Waits until a process listens on `address`.
pub fn wait_for_listener(address: SocketAddr) {
    let until = Instant::now() + Duration::from_secs(10);
    while TcpStream::connect(address).is_err() {
        assert!(Instant::now() < until, "{address} is not listened on");
        thread::sleep(Duration::from_millis(20));
    }
}

/// Reads the value of a metric.
pub fn metric(address: SocketAddr, name: &str) -> Option<u64> {
    let text = http_raw::get(address, "/metrics").text();
    let line = text
        .lines()
        .find(|line| line.split(' ').next() == Some(name))?;
    line.split(' ').nth(1)?.parse().ok()
}

/// A core that leads its group.
pub struct LeadingCore {
    /// The process.
    pub process: Process,
    /// Address for operators and workers.
    pub control: SocketAddr,
    /// Address of the metrics.
    pub metrics: SocketAddr,
    /// Port for links to other processes.
    pub peer_port: u16,
}

/// Starts a core with the additional lines `extra_config`, and waits until it leads.
pub fn start_leading_core(name: &str, extra_config: &str) -> LeadingCore {
    let addresses = ports::free(3);
    let config = format!(
        "name: core\nrole: core\ndata_centre: dc\nip: 127.0.0.1\npeer_port: {}\ncontrol_address: {}\nmetrics_address: {}\n\
         data_folder: FOLDER\nmay_form: true\nseeds: '{}'\ngrace_s: 1\n{extra_config}",
        addresses[2].port(),
        addresses[0],
        addresses[1],
        addresses[0],
    );
    let process = Process::start(name, &config);
    wait_for_listener(addresses[1]);
    let until = Instant::now() + Duration::from_secs(20);
    while metric(addresses[1], "leads") != Some(1) {
        assert!(Instant::now() < until, "the core does not lead");
        thread::sleep(Duration::from_millis(50));
    }
    LeadingCore {
        process,
        control: addresses[0],
        metrics: addresses[1],
        peer_port: addresses[2].port(),
    }
}

/// A core of a group.
pub struct GroupCore {
    /// The process.
    pub process: Process,
    /// Address for operators and workers.
    pub control: SocketAddr,
    /// Address of the metrics.
    pub metrics: SocketAddr,
}

/// Starts `count` cores that form a group, each at an address of its own, and waits until one of them leads. The leader comes first.
pub fn start_group(name: &str, count: u8) -> Vec<GroupCore> {
    let ports = ports::free(3);
    // Test processes that run at the same time use different nets.
    let net = std::process::id() % 250;
    let ip = |host: u8| format!("127.60.{net}.{host}");
    let seeds: Vec<String> = (1..=count)
        .map(|host| format!("{}:{}", ip(host), ports[0].port()))
        .collect();
    let start = |host: u8| {
        let address = |port: u16| {
            format!("{}:{port}", ip(host))
                .parse::<SocketAddr>()
                .unwrap()
        };
        let (control, metrics) = (address(ports[0].port()), address(ports[1].port()));
        let config = format!(
            "name: core-{host}\nrole: core\ndata_centre: dc-{host}\nip: '{}'\npeer_port: {}\ncontrol_address: '{control}'\nmetrics_address: '{metrics}'\n\
             data_folder: FOLDER\nmay_form: true\ntolerated_losses: 1\nseeds: '{}'\ngrace_s: 1\n",
            ip(host),
            ports[2].port(),
            seeds.join(","),
        );
        GroupCore {
            process: Process::start(&format!("{name}-{host}"), &config),
            control,
            metrics,
        }
    };
    let mut cores: Vec<GroupCore> = (1..=count).map(start).collect();
    for core in &cores {
        wait_for_listener(core.metrics);
    }
    let until = Instant::now() + Duration::from_secs(20);
    loop {
        assert!(Instant::now() < until, "no core leads");
        let leader = cores
            .iter()
            .position(|core| metric(core.metrics, "leads") == Some(1));
        if let Some(leader) = leader {
            cores.swap(0, leader);
            return cores;
        }
        thread::sleep(Duration::from_millis(50));
    }
}
