//! Processes of a deployment, started as an operator does.
#![expect(
    clippy::unwrap_used,
    reason = "a test that meets the unexpected shall end"
)]

use super::BINARY;
use bh_testkit::http_raw;
use bh_testkit::ports;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// A process of this run, ended with the test.
pub struct Process {
    /// The process.
    pub child: Child,
    folder: PathBuf,
}

impl Process {
    /// Starts a process from the text of its file.
    pub fn start(name: &str, config: &str) -> Self {
        let folder =
            std::env::temp_dir().join(format!("beechhollow-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let file = folder.join("config.yaml");
        let config = config.replace("FOLDER", &folder.join("data").display().to_string());
        std::fs::write(&file, config).unwrap();
        let child = Command::new(BINARY)
            .args(["serve", "--config"])
            .arg(&file)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        Self { child, folder }
    }

    /// Tells it to stop.
    pub fn terminate(&self) {
        let stopped = Command::new("kill")
            .arg(self.child.id().to_string())
            .status()
            .unwrap();
        assert!(stopped.success());
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended, which is as well.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// The file of an entry at these addresses: callers, readiness, metrics, and the control address of a core whose links are at `peer_port`.
pub fn entry_config(addresses: &[SocketAddr], peer_port: u16) -> String {
    format!(
        "name: entry\nrole: entry\ndata_centre: dc\nip: 127.0.0.1\npeer_port: {peer_port}\ncallers_address: {}\nreadiness_address: {}\n\
         metrics_address: {}\nseeds: '{}'\ngrace_s: 1\n",
        addresses[0], addresses[1], addresses[2], addresses[3]
    )
}

/// Waits until `address` is listened on.
pub fn wait_for(address: SocketAddr) {
    let until = Instant::now() + Duration::from_secs(10);
    while TcpStream::connect(address).is_err() {
        assert!(Instant::now() < until, "{address} is not listened on");
        thread::sleep(Duration::from_millis(20));
    }
}

/// The value of a metric.
pub fn metric(address: SocketAddr, name: &str) -> Option<u64> {
    let text = http_raw::get(address, "/metrics").text();
    let line = text
        .lines()
        .find(|line| line.split(' ').next() == Some(name))?;
    line.split(' ').nth(1)?.parse().ok()
}

/// A core that leads.
pub struct LeadingCore {
    /// The process.
    pub process: Process,
    /// Where it takes operators and workers.
    pub control: SocketAddr,
    /// Where it serves its metrics.
    pub metrics: SocketAddr,
    /// Port of its links.
    pub peer_port: u16,
}

/// Starts a core with `more` in its file, and waits until it leads.
pub fn leading_core(name: &str, more: &str) -> LeadingCore {
    let addresses = ports::free(3);
    let config = format!(
        "name: core\nrole: core\ndata_centre: dc\nip: 127.0.0.1\npeer_port: {}\ncontrol_address: {}\nmetrics_address: {}\n\
         data_folder: FOLDER\nmay_form: true\nseeds: '{}'\ngrace_s: 1\n{more}",
        addresses[2].port(),
        addresses[0],
        addresses[1],
        addresses[0],
    );
    let process = Process::start(name, &config);
    wait_for(addresses[1]);
    let until = Instant::now() + Duration::from_secs(20);
    while metric(addresses[1], "leads") != Some(1) {
        assert!(Instant::now() < until, "it does not lead");
        thread::sleep(Duration::from_millis(50));
    }
    LeadingCore {
        process,
        control: addresses[0],
        metrics: addresses[1],
        peer_port: addresses[2].port(),
    }
}
