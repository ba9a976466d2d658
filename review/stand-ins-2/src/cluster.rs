//! The project's own processes on loopback addresses, with the files that the templates of the deploy file render to.

use crate::http;
use crate::record::Record;
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
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A small deployment: three data centres, one core each, and some entries.
pub struct Cluster {
    pub folder: PathBuf,
    binary: PathBuf,
    children: Vec<(String, Option<Child>)>,
    pub control: Vec<SocketAddr>,
    pub entries: Vec<SocketAddr>,
    pub record: Arc<Record>,
}

pub const ZONES: [&str; 3] = ["suva-dc", "nausori-dc", "lautoka-dc"];

/// An address of the net that this process uses, so that two scripts at a time don't meet.
pub fn ip(host: u8) -> IpAddr {
    let net = u8::try_from(std::process::id() % 200 + 20).unwrap_or(20);
    IpAddr::V4(Ipv4Addr::new(127, 90, net, host))
}

/// A port that is free at an address.
pub fn free(host: u8) -> SocketAddr {
    let listener = TcpListener::bind((ip(host), 0)).expect("a loopback address");
    listener.local_addr().expect("its address")
}

/// Bounds of a deployment, in milliseconds.
#[derive(Clone, Copy)]
pub struct Bounds {
    /// `holdMaxMs`
    pub lease_ms: u64,
    /// `stopTimeoutMs`
    pub stop_ms: u64,
    /// `restoreMs`
    pub restore_ms: u64,
}

/// The bounds of `vgos-sched`.
pub const VGOS: Bounds = Bounds {
    lease_ms: 6_000,
    stop_ms: 400,
    restore_ms: 600,
};

/// The bounds of `kyh-tallinn`.
pub const KYH: Bounds = Bounds {
    lease_ms: 10_000,
    stop_ms: 900,
    restore_ms: 250,
};

impl Cluster {
    /// Writes the files and starts the processes.
    pub fn start(
        binary: &str,
        (bounds, entries): (Bounds, u8),
        (platform, adviser): (SocketAddr, SocketAddr),
        record: Arc<Record>,
    ) -> Self {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let peer_port = free(1).port();
        let control: Vec<SocketAddr> = (1..=3).map(free).collect();
        let metrics: Vec<SocketAddr> = (1..=3).map(free).collect();
        let entries: Vec<SocketAddr> = (11..11 + entries).map(free).collect();
        let seeds: Vec<String> = control.iter().map(ToString::to_string).collect();
        let seeds = seeds.join(",");
        let bounds = format!(
            "bounds:\n  longest_lease_ms: {}\n  stop_timeout_ms: {}\n  remote_factor: 3\n  heartbeat_ms: 1500\n  retention_s: 120\n  \
             upkeep_s: 2\n  vm_lease_ms: 3000\n  restore_ms: {}\n",
            bounds.lease_ms, bounds.stop_ms, bounds.restore_ms
        );
        let mut cluster = Self {
            binary: PathBuf::from(binary),
            children: Vec::new(),
            control: control.clone(),
            entries: entries.clone(),
            record,
            folder: folder.clone(),
        };
        for (at, zone) in ZONES.iter().enumerate() {
            let host = u8::try_from(at + 1).unwrap_or(1);
            let text = format!(
                "name: 'core-{zone}-1'\nrole: core\ncontrol_address: '{}'\ndata_folder: '{}'\ndisk_mb: 128\nmay_form: true\ndata_centre: '{zone}'\n\
                 data_centres: '{}'\nip: '{}'\npeer_port: {peer_port}\nmetrics_address: '{}'\nadviser_address: '{adviser}'\nvm_service_address: '{platform}'\n\
                 seeds: '{seeds}'\ndescriptors: 4096\ntolerated_losses: 1\ngrace_s: 6\n{bounds}policy:\n  min_workers: 100\n  backfills: true\n  \
                 sharing_min_ratio: 4\n  max_displacements: 3\n",
                control[at],
                folder.join(format!("data-{at}")).display(),
                ZONES.join(","),
                ip(host),
                metrics[at],
            );
            cluster.add(&format!("core-{at}"), &text);
        }
        for (at, address) in entries.iter().enumerate() {
            let host = u8::try_from(at + 11).unwrap_or(11);
            let text = format!(
                "name: 'frontend-{at}'\nrole: entry\ncallers_address: '{address}'\nreadiness_address: '{}'\ndata_centre: '{}'\nip: '{}'\npeer_port: {peer_port}\n\
                 metrics_address: '{}'\ndescriptors: 4100\nseeds: '{seeds}'\ntolerated_losses: 1\ngrace_s: 6\n{bounds}",
                free(host),
                ZONES[at % ZONES.len()],
                ip(host),
                free(host),
            );
            cluster.add(&format!("entry-{at}"), &text);
        }
        cluster
    }

    fn add(&mut self, name: &str, text: &str) {
        fs::write(self.folder.join(format!("{name}.yaml")), text).expect("a settings file");
        self.children.push((name.to_owned(), None));
        self.run(name);
    }

    /// Starts a process.
    pub fn run(&mut self, name: &str) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))
            .expect("a log");
        let child = Command::new(&self.binary)
            .arg("serve")
            .arg("--config")
            .arg(self.folder.join(format!("{name}.yaml")))
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("the program of the deploy file starts");
        self.record.line(&format!("{name} is started"));
        if let Some(slot) = self.children.iter_mut().find(|(other, _)| other == name) {
            slot.1 = Some(child);
        }
    }

    /// Kills a process.
    pub fn kill(&mut self, name: &str) {
        if let Some((_, child)) = self.children.iter_mut().find(|(other, _)| other == name)
            && let Some(mut child) = child.take()
        {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(&format!("{name} is killed"));
        }
    }

    /// Sends `STOP` or `CONT` to a process.
    pub fn signal(&self, name: &str, signal: &str) {
        let found = self.children.iter().find(|(other, _)| other == name);
        if let Some((_, Some(child))) = found {
            let command = format!("kill -{signal} {}", child.id());
            let _ = Command::new("sh").args(["-c", &command]).status();
            self.record.line(&format!("{name} gets SIG{signal}"));
        }
    }

    /// Processes that have ended by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        let mut ended = Vec::new();
        for (name, child) in &mut self.children {
            if let Some(running) = child
                && running.try_wait().ok().flatten().is_some()
            {
                ended.push(name.clone());
                *child = None;
            }
        }
        ended
    }

    /// Sends a call to the cores, one after the other, until one answers with other than a 5xx. Gives up after `limit`.
    pub fn control_call(
        &self,
        method: &str,
        path: &str,
        body: &str,
        limit: Duration,
    ) -> Option<(u16, String)> {
        let until = std::time::Instant::now() + limit;
        let mut at = 0;
        while std::time::Instant::now() < until {
            let core = self.control[at % self.control.len()];
            at += 1;
            let answer = http::call(core, method, path, &[], body, Duration::from_millis(1_000));
            self.record.line(&format!(
                "operator: {method} {path} at core-{} -> {answer:?}",
                (at - 1) % self.control.len()
            ));
            match answer {
                Some((status, body)) if status < 500 => return Some((status, body)),
                _ => thread::sleep(Duration::from_millis(200)),
            }
        }
        None
    }

    /// Lines of the processes' logs that contain one of `words`.
    pub fn log_lines(&self, words: &[&str]) -> Vec<String> {
        let mut lines = Vec::new();
        for (name, _) in &self.children {
            let text =
                fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap_or_default();
            let about = text
                .lines()
                .filter(|line| words.iter().any(|word| line.contains(word)));
            lines.extend(about.map(|line| format!("{name}: {line}")));
        }
        lines
    }

    /// Ends all processes and removes the folder.
    pub fn stop(&mut self) {
        let names: Vec<String> = self.children.iter().map(|(name, _)| name.clone()).collect();
        for name in names {
            self.kill(&name);
        }
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.stop();
    }
}
