//! Cost and recovery time of replication, with eight entries as processes.
//!
//! `cargo bench -p beechhollow --bench control [-- PART]`, where PART is one of failover, in-force, sync, restart and idle.

use bh_testkit::Cluster;
use bh_testkit::EntryOptions;
use bh_testkit::Worker;
use bh_testkit::cluster::ADMINISTRATOR_SHA256;
use bh_testkit::http_raw;
use bh_testkit::process::cpu_ms;
use bh_testkit::process::resident_mib;
use bh_testkit::worker::WorkerOptions;
use std::fmt::Write;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

const BINARY: &str = env!("CARGO_BIN_EXE_beechhollow");
/// Limit for waiting on a condition that should hold soon.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Number of concurrent operators, each with a team of its own.
const OPERATORS: usize = 32;

/// Settings with one team per operator, and customers of this weight.
fn settings(weight: u64) -> String {
    let mut yaml =
        format!("system: {{administrator_tokens_sha256: [{ADMINISTRATOR_SHA256}]}}\nteams:\n");
    for team in 0..OPERATORS {
        let _ = writeln!(
            yaml,
            "  team{team}: {{request_types: {{read: {{idempotent: true}}}}, customers: {{c{team}: {{weight: {weight}}}}}}}"
        );
    }
    yaml
}

/// Starts eight entries in three data centres, five of them with a disk, and puts settings into force.
fn start_eight_entries(links: bool, extra: &str) -> Cluster {
    let entries = [
        ("k1", "kadaka"),
        ("k2", "kadaka"),
        ("k3", "kadaka"),
        ("m1", "mustamae"),
        ("m2", "mustamae"),
        ("u1", "ulemiste"),
        ("u2", "ulemiste"),
        ("u3", "ulemiste"),
    ];
    let options = entries.iter().map(|(name, centre)| {
        let options = EntryOptions::new(name, centre);
        if matches!(*name, "k3" | "m2" | "u3") {
            options.with_no_disk()
        } else {
            options
        }
    });
    let mut cluster = Cluster::new(BINARY, options.collect()).with_config_lines(extra);
    if links {
        cluster = cluster.with_links();
    }
    cluster.start_all();
    cluster.wait_ready();
    cluster.wait_until("the first settings", TIMEOUT, || {
        cluster.apply("k1", "first", 0, &settings(1)).code() == Some(0)
    });
    for name in cluster.names() {
        cluster.wait_until("in force", TIMEOUT, || cluster.revision(&name) == Some(1));
    }
    cluster
}

/// Sorts the values and returns the one at `share`, from 0 to 1.
fn percentile(values: &mut [f64], share: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    values[((values.len() - 1) as f64 * share).round() as usize]
}

/// Time from the loss of the settings leader to the next accepted change, through another entry.
fn failover() {
    for signal in ["KILL", "STOP"] {
        let mut times = Vec::new();
        let mut cluster = start_eight_entries(false, "");
        let mut revision = 1;
        let mut lost_changes = 0;
        for round in 0..8 {
            let Some(leader) = cluster.leader_seen_by("m2", "settings") else {
                continue;
            };
            cluster.signal(&leader, signal);
            let start = Instant::now();
            let mut attempt = 0;
            loop {
                attempt += 1;
                let answer = cluster.apply(
                    "m2",
                    &format!("{signal}{round}"),
                    revision,
                    &settings(round + 2),
                );
                if answer.code() == Some(0) {
                    revision = answer.json()["revision"].as_u64().unwrap_or(revision + 1);
                    break;
                }
                assert!(attempt < 200, "{}", cluster.logs());
            }
            times.push(start.elapsed().as_secs_f64() * 1e3);
            if signal == "KILL" {
                cluster.kill(&leader);
                cluster.start(&leader);
            } else {
                cluster.signal(&leader, "CONT");
            }
            cluster.wait_until("the lost entry is back", TIMEOUT, || {
                cluster.revision(&leader) == Some(revision)
            });
            lost_changes += u64::from(cluster.revision("m2") < Some(revision));
        }
        println!(
            "SIG{signal} of the settings leader, {} times: next accepted change after p50 {:.0} ms, longest {:.0} ms; acknowledged changes lost: {lost_changes}",
            times.len(),
            percentile(&mut times, 0.5),
            percentile(&mut times, 1.0)
        );
    }
}

/// Time from sending a change until it is in force on all eight entries.
fn in_force() {
    for delay_us in [0u64, 1_500] {
        let cluster = start_eight_entries(delay_us > 0, "");
        for link in cluster.links() {
            link.set_delay(Duration::from_micros(delay_us));
        }
        let names = cluster.names();
        let (mut accepted, mut everywhere) = (Vec::new(), Vec::new());
        for change in 0..100u64 {
            let revision = change + 1;
            let start = Instant::now();
            let answer = cluster.apply(
                "m2",
                &format!("c{change}"),
                revision,
                &settings(change % 900 + 2),
            );
            assert_eq!(answer.code(), Some(0), "{}", answer.text());
            accepted.push(start.elapsed().as_secs_f64() * 1e3);
            let slowest_ms = thread::scope(|scope| {
                let waits: Vec<_> = names
                    .iter()
                    .map(|name| {
                        let cluster = &cluster;
                        scope.spawn(move || {
                            while cluster.revision(name) < Some(revision + 1) {}
                            start.elapsed().as_secs_f64() * 1e3
                        })
                    })
                    .collect();
                waits
                    .into_iter()
                    .map(|wait| wait.join().unwrap_or(f64::NAN))
                    .fold(0.0, f64::max)
            });
            everywhere.push(slowest_ms);
        }
        println!(
            "{:.1} ms one way between entries, 100 changes: accepted p50 {:.1} p99 {:.1} ms; in force on all eight p50 {:.1} p99 {:.1} ms",
            delay_us as f64 / 1e3,
            percentile(&mut accepted, 0.5),
            percentile(&mut accepted, 0.99),
            percentile(&mut everywhere, 0.5),
            percentile(&mut everywhere, 0.99)
        );
    }
}

/// Accepted changes per second by operators of different teams, each of which sends its next change after the last one's answer.
fn changes_per_second(cluster: &Cluster, length: Duration) -> f64 {
    let (stop, count) = (AtomicBool::new(false), AtomicU64::new(0));
    let base = cluster.revision("k1").unwrap_or(1);
    thread::scope(|scope| {
        for team in 0..OPERATORS {
            let (stop, count) = (&stop, &count);
            scope.spawn(move || {
                let scope = serde_json::json!({ "team": format!("team{team}") });
                let mut revision = base;
                let mut number = 0u64;
                while !stop.load(Ordering::Relaxed) {
                    number += 1;
                    let yaml = format!(
                        "teams: {{team{team}: {{customers: {{c{team}: {{weight: {}}}}}}}}}",
                        number % 900 + 1
                    );
                    let id = format!("t{team}-{base}-{number}");
                    let entry = ["k1", "k2", "u1", "u2", "m1"][team % 5];
                    let answer = cluster.apply_scoped(
                        entry,
                        &id,
                        revision,
                        &scope,
                        &yaml,
                        bh_testkit::cluster::ADMINISTRATOR,
                    );
                    if let Some(accepted) = answer.json()["revision"].as_u64() {
                        revision = accepted;
                        count.fetch_add(1, Ordering::Relaxed);
                    }
                }
            });
        }
        thread::sleep(length);
        stop.store(true, Ordering::Relaxed);
    });
    count.load(Ordering::Relaxed) as f64 / length.as_secs_f64()
}

/// Rate of accepted changes with and without group sync.
fn sync() {
    for group_sync in [true, false] {
        let cluster = start_eight_entries(
            false,
            &format!("group_sync: {group_sync}\nsnapshot_entries: 100000\n"),
        );
        let rate = changes_per_second(&cluster, Duration::from_secs(5));
        println!(
            "group sync {group_sync}, {OPERATORS} operators: {rate:.0} accepted changes a second"
        );
    }
}

/// Time from the restart of an entry until it has the newest settings in force.
fn restart() {
    for (wanted, snapshot) in [(1_000u64, 4_096u64), (10_000, 4_096), (10_000, 100_000)] {
        let mut cluster = start_eight_entries(false, &format!("snapshot_entries: {snapshot}\n"));
        while cluster.revision("k1") < Some(wanted) {
            changes_per_second(&cluster, Duration::from_millis(500));
        }
        thread::sleep(Duration::from_millis(500));
        let newest = cluster.revision("k1");
        for (name, kind) in [("u1", "with its disk"), ("u3", "without a disk")] {
            cluster.kill(name);
            let start = Instant::now();
            cluster.start(name);
            cluster.wait_until("in force again", TIMEOUT, || {
                cluster.revision(name) >= newest
            });
            println!(
                "restart after {} changes, snapshot every {snapshot}, {kind}: in force after {:.0} ms",
                newest.unwrap_or(0),
                start.elapsed().as_secs_f64() * 1e3
            );
        }
    }
}

/// Network traffic, processor time and memory of idle entries, with different numbers of workers.
fn idle() {
    for count in [0usize, 25, 50, 100] {
        let cluster = start_eight_entries(false, "");
        let _workers: Vec<Worker> = (0..count)
            .map(|n| {
                let centre = ["kadaka", "mustamae", "ulemiste"][n % 3];
                Worker::start(WorkerOptions::new(
                    &format!("w{n}"),
                    centre,
                    &format!("r{}", n / 24),
                    cluster.entries_of(centre),
                ))
            })
            .collect();
        thread::sleep(Duration::from_secs(5));
        let names = cluster.names();
        let bytes = |name: &str| {
            http_raw::get(cluster.http(name), "/v1/status").json()["link_bytes"]
                .as_f64()
                .unwrap_or(0.0)
        };
        let before: Vec<(f64, f64)> = names
            .iter()
            .map(|name| (bytes(name), cpu_ms(cluster.pid(name).unwrap_or(0))))
            .collect();
        let length = Duration::from_secs(10);
        thread::sleep(length);
        let rows: Vec<(f64, f64, f64)> = names
            .iter()
            .zip(&before)
            .map(|(name, (bytes_before, cpu_before))| {
                let pid = cluster.pid(name).unwrap_or(0);
                let sent = (bytes(name) - bytes_before) / length.as_secs_f64();
                let cpu = (cpu_ms(pid) - cpu_before) / length.as_secs_f64() / 10.0;
                (sent, cpu, resident_mib(pid))
            })
            .collect();
        let mean = |pick: fn(&(f64, f64, f64)) -> f64| {
            rows.iter().map(pick).sum::<f64>() / rows.len() as f64
        };
        let max = |pick: fn(&(f64, f64, f64)) -> f64| rows.iter().map(pick).fold(0.0, f64::max);
        println!(
            "idle, {count} workers: an entry sends {:.0} bytes a second to its peers (most {:.0}), uses {:.2} % of a core (most {:.2}) and {:.1} MiB (most {:.1})",
            mean(|row| row.0),
            max(|row| row.0),
            mean(|row| row.1),
            max(|row| row.1),
            mean(|row| row.2),
            max(|row| row.2)
        );
    }
}

fn main() {
    let asked: Vec<String> = std::env::args()
        .skip(1)
        .filter(|text| !text.starts_with('-'))
        .collect();
    let parts: [(&str, fn()); 5] = [
        ("failover", failover),
        ("in-force", in_force),
        ("sync", sync),
        ("restart", restart),
        ("idle", idle),
    ];
    for (name, part) in parts {
        if asked.is_empty() || asked.iter().any(|text| text == name) {
            part();
        }
    }
}
