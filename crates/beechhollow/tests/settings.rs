//! Settings under concurrent changes, network partitions, restarts and lost disks.
#![expect(
    clippy::unwrap_used,
    reason = "a test that meets the unexpected shall end"
)]

mod support;

use bh_testkit::Cluster;
use bh_testkit::cluster::ADMINISTRATOR_SHA256;
use bh_testkit::history::ObservedChange;
use bh_testkit::history::ObservedRead;
use bh_testkit::history::check_changes;
use bh_testkit::history::check_reads;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use support::BINARY;
use support::TIMEOUT;
use support::apply_first_settings;
use support::entries;
use support::settings;

/// Microseconds since `start`.
fn elapsed_us(start: Instant) -> u64 {
    u64::try_from(start.elapsed().as_micros()).unwrap()
}

/// One operator: reads the revision, sends each change twice, and records the answers.
fn run_operator(
    cluster: &Cluster,
    entry: &str,
    number: usize,
    start: Instant,
    stop: &AtomicBool,
    seen: &Mutex<Vec<ObservedChange>>,
) {
    let mut count = 0;
    while !stop.load(Ordering::SeqCst) {
        let Some(base_revision) = cluster.revision(entry) else {
            thread::sleep(Duration::from_millis(20));
            continue;
        };
        count += 1;
        let change_id = format!("op{number}-{count}");
        let yaml = settings(&format!("op{number}: {{weight: {}}}", count % 900 + 1));
        for _ in 0..2 {
            let sent = elapsed_us(start);
            let answer = cluster.apply(entry, &change_id, base_revision, &yaml);
            let result = match answer.code() {
                Some(0) => answer.json()["revision"].as_u64().map(Ok),
                Some(code) if answer.header("x-ran") == Some("no") => Some(Err(code)),
                _ => None,
            };
            let change = ObservedChange {
                change_id: change_id.clone(),
                base_revision,
                sent,
                answered: elapsed_us(start),
                answer: result,
            };
            seen.lock().unwrap().push(change);
        }
    }
}

/// Reads the revision of an entry again and again, and records what it saw.
fn read_revisions(
    cluster: &Cluster,
    entry: &str,
    start: Instant,
    stop: &AtomicBool,
    seen: &Mutex<Vec<ObservedRead>>,
) {
    while !stop.load(Ordering::SeqCst) {
        let at = elapsed_us(start);
        if let Some(revision) = cluster.revision(entry) {
            seen.lock().unwrap().push(ObservedRead {
                entry: entry.to_owned(),
                at,
                revision,
            });
        }
        thread::sleep(Duration::from_millis(5));
    }
}

/// Four operators change the same base revisions through four entries and resend every change, while entries are killed,
/// frozen, cut off and restarted. One change per base revision wins, a resend gets the first answer, no entry goes back
/// to an older revision, and in the end every entry has the newest revision in force.
#[test]
fn racing_operators_under_faults() {
    let mut cluster = Cluster::new(BINARY, entries())
        .with_links()
        .with_config_lines("snapshot_entries: 64\n");
    cluster.start_all();
    apply_first_settings(&cluster);
    let (start, stop) = (Instant::now(), AtomicBool::new(false));
    let (changes, reads) = (Mutex::new(Vec::new()), Mutex::new(Vec::new()));
    let names = cluster.names();
    // The operators share the cluster with the faults, which use signals and links and so need no exclusive access.
    thread::scope(|scope| {
        for (number, name) in names.iter().enumerate() {
            let (cluster, stop, changes, reads) = (&cluster, &stop, &changes, &reads);
            scope.spawn(move || run_operator(cluster, name, number, start, stop, changes));
            scope.spawn(move || read_revisions(cluster, name, start, stop, reads));
        }
        for round in 0..3 {
            let victim = format!("a{}", round % 3 + 1);
            thread::sleep(Duration::from_millis(500));
            cluster.signal(&victim, "STOP");
            thread::sleep(Duration::from_millis(1_500));
            cluster.signal(&victim, "CONT");
            thread::sleep(Duration::from_millis(500));
            let isolated = format!("a{}", (round + 1) % 3 + 1);
            cluster.isolate(&isolated, true);
            thread::sleep(Duration::from_millis(1_500));
            cluster.isolate(&isolated, false);
        }
        thread::sleep(Duration::from_millis(1_000));
        stop.store(true, Ordering::SeqCst);
    });
    let changes = changes.into_inner().unwrap();
    let newest = changes
        .iter()
        .filter_map(|change| change.answer?.ok())
        .max()
        .unwrap_or(0);
    assert!(newest > 10, "only {newest} revisions\n{}", cluster.logs());
    assert_eq!(check_changes(&changes), Vec::<String>::new());
    assert_eq!(
        check_reads(&reads.into_inner().unwrap()),
        Vec::<String>::new()
    );
    for name in &names {
        cluster.wait_until("the newest revision in force", TIMEOUT, || {
            cluster.revision(name) >= Some(newest)
        });
    }
    // After a crash and restart of all entries, accepted changes are still in force and a resend still gets the first answer.
    for name in &names {
        cluster.kill(name);
    }
    cluster.start_all();
    for name in &names {
        cluster.wait_until("the newest revision after a restart", TIMEOUT, || {
            cluster.revision(name) >= Some(newest)
        });
    }
    let first = changes
        .iter()
        .find(|change| change.answer.is_some_and(|answer| answer.is_ok()))
        .unwrap();
    let number: usize = first.change_id[2..]
        .split('-')
        .next()
        .unwrap()
        .parse()
        .unwrap();
    let count: usize = first.change_id.split('-').nth(1).unwrap().parse().unwrap();
    let yaml = settings(&format!("op{number}: {{weight: {}}}", count % 900 + 1));
    cluster.wait_until("a leader after the restart", TIMEOUT, || {
        let again = cluster.apply("a2", &first.change_id, first.base_revision, &yaml);
        again.code() == Some(0)
            && again.json()["revision"].as_u64() == first.answer.and_then(Result::ok)
    });
}

/// An entry that is cut off keeps its settings, reports that it is cut off, and refuses changes as not run. Soon after it is
/// connected again, it has the newest settings in force.
#[test]
fn an_isolated_entry_serves_on_and_refuses_changes() {
    let mut cluster = Cluster::new(BINARY, entries()).with_links();
    cluster.start_all();
    apply_first_settings(&cluster);
    cluster.isolate("a1", true);
    cluster.wait_until("a1 says it is cut off", TIMEOUT, || {
        bh_testkit::http_raw::get(cluster.http("a1"), "/v1/status").json()["in_force"]["cut_off"]
            == true
    });
    assert_eq!(cluster.revision("a1"), Some(1));
    cluster.wait_until("the others accept a change", TIMEOUT, || {
        cluster.apply("a2", "during", 1, &settings("x: {}")).code() == Some(0)
    });
    let refused = cluster.apply("a1", "refused", 1, &settings("y: {}"));
    assert_eq!(
        (refused.code(), refused.header("x-ran")),
        (Some(203), Some("no")),
        "{refused:?}"
    );
    assert_eq!(cluster.revision("a1"), Some(1));
    cluster.isolate("a1", false);
    cluster.wait_until("a1 has the newest", Duration::from_secs(5), || {
        cluster.revision("a1") == Some(2)
    });
}

/// A voter loses its disk, comes back empty under a new identity, catches up from a snapshot and becomes a voter again. Then
/// a second VM is lost for good. Accepted changes stay in force, and the two remaining voters accept new ones.
#[test]
fn a_second_vm_lost_right_after_a_repair() {
    let mut cluster = Cluster::new(BINARY, entries()).with_config_lines("snapshot_entries: 32\n");
    cluster.start_all();
    apply_first_settings(&cluster);
    for revision in 1..100 {
        let yaml = settings(&format!("x: {{weight: {revision}}}"));
        assert_eq!(
            cluster
                .apply("a2", &format!("c{revision}"), revision, &yaml)
                .code(),
            Some(0)
        );
    }
    cluster.kill("a1");
    std::fs::remove_dir_all(cluster.data_folder("a1")).unwrap();
    cluster.start("a1");
    cluster.wait_until("a1 has caught up", TIMEOUT, || {
        cluster.revision("a1") == Some(100)
    });
    let role = |name: &str| {
        let status = bh_testkit::http_raw::get(cluster.http(name), "/v1/status").json();
        status["groups"][0]["role"]
            .as_str()
            .unwrap_or("")
            .to_owned()
    };
    cluster.wait_until("a1 votes again", TIMEOUT, || {
        role("a1") == "voter" || role("a1") == "leader"
    });
    cluster.kill("a2");
    cluster.wait_until("a change after the second loss", TIMEOUT, || {
        cluster.apply("a3", "after", 100, &settings("z: {}")).code() == Some(0)
    });
    cluster.wait_until("in force on a1", TIMEOUT, || {
        cluster.revision("a1") == Some(101)
    });
}

/// A team's operator can change only the team's own subtree, and an unknown token can change nothing.
#[test]
fn operators_change_only_their_own_subtree() {
    let mut cluster = Cluster::new(BINARY, vec![bh_testkit::EntryOptions::new("a1", "a")]);
    cluster.start_all();
    cluster.wait_ready();
    let whole = format!(
        "system: {{administrator_tokens_sha256: [{ADMINISTRATOR_SHA256}]}}\nteams:\n  mill: {{operator_tokens_sha256: [{}]}}\n  other: {{}}\n",
        sha256("mill-token").unwrap()
    );
    assert_eq!(cluster.apply("a1", "one", 0, &whole).code(), Some(0));
    let team = serde_json::json!({ "team": "mill" });
    let own = format!(
        "teams: {{mill: {{quota_accelerators: 5, operator_tokens_sha256: [{}]}}}}",
        sha256("mill-token").unwrap()
    );
    assert_eq!(
        cluster
            .apply_scoped("a1", "two", 1, &team, &own, "mill-token")
            .code(),
        Some(0)
    );
    assert_eq!(
        cluster
            .apply_scoped("a1", "three", 2, &team, "teams: {other: {}}", "mill-token")
            .code(),
        Some(121)
    );
    let other = serde_json::json!({ "team": "other" });
    assert_eq!(
        cluster
            .apply_scoped("a1", "four", 2, &other, "teams: {other: {}}", "mill-token")
            .code(),
        Some(121)
    );
    assert_eq!(
        cluster
            .apply_scoped(
                "a1",
                "five",
                2,
                &serde_json::json!("all"),
                &whole,
                "mill-token"
            )
            .code(),
        Some(121)
    );
    assert_eq!(
        cluster
            .apply_scoped("a1", "six", 2, &team, "teams: {}", "wrong")
            .code(),
        Some(121)
    );
    assert_eq!(cluster.revision("a1"), Some(2));
}

/// SHA-256 of a token in hexadecimal digits.
fn sha256(token: &str) -> Option<String> {
    let output = std::process::Command::new("sh")
        .arg("-c")
        .arg(format!("printf %s {token} | sha256sum"))
        .output()
        .ok()?;
    Some(
        String::from_utf8(output.stdout)
            .ok()?
            .split(' ')
            .next()?
            .to_owned(),
    )
}

/// Two data centres are cut off from each other. Each keeps placing jobs and answering requests on its own targets. The one
/// with the majority of the settings' voters accepts changes. The other keeps its settings and refuses changes as not run,
/// as well as non-idempotent requests whose record is kept on the other side. After the partition ends, the newest settings
/// are in force everywhere.
#[test]
fn a_data_centre_that_is_cut_off_serves_on() {
    let names = [
        ("a1", "a"),
        ("a2", "a"),
        ("a3", "a"),
        ("b1", "b"),
        ("b2", "b"),
    ];
    let options = names
        .iter()
        .map(|(name, centre)| bh_testkit::EntryOptions::new(name, centre))
        .collect();
    let mut cluster = Cluster::new(BINARY, options)
        .with_links()
        .with_config_lines("target_lease_ms: 1500\n");
    cluster.start_all();
    apply_first_settings(&cluster);
    let start = |name: &str, centre: &str| {
        let options =
            bh_testkit::worker::WorkerOptions::new(name, centre, "r", cluster.entries_of(centre));
        bh_testkit::Worker::start(options)
    };
    let _workers = [start("wa", "a"), start("wb", "b")];
    let slots = |name: &str| {
        bh_testkit::http_raw::get(cluster.http(name), "/v1/status").json()["slots"].as_u64()
    };
    cluster.wait_until("owners on both sides", TIMEOUT, || {
        slots("a1").max(slots("a2")).max(slots("a3")) == Some(8)
            && slots("b1").max(slots("b2")) == Some(8)
    });
    let set_partition = |on: bool| {
        for (from, _) in names.iter().filter(|(_, centre)| *centre == "a") {
            for (to, _) in names.iter().filter(|(_, centre)| *centre == "b") {
                cluster.link(from, to).set_cut(on);
                cluster.link(to, from).set_cut(on);
            }
        }
    };
    set_partition(true);
    cluster.wait_until("b says it is cut off", TIMEOUT, || {
        bh_testkit::http_raw::get(cluster.http("b1"), "/v1/status").json()["in_force"]["cut_off"]
            == true
    });
    cluster.wait_until("a accepts a change", TIMEOUT, || {
        cluster.apply("a1", "during", 1, &settings("x: {}")).code() == Some(0)
    });
    let refused = cluster.apply("b2", "refused", 1, &settings("y: {}"));
    assert_eq!(
        (refused.code(), refused.header("x-ran")),
        (Some(203), Some("no")),
        "{refused:?}"
    );
    for entry in ["a2", "b1", "b2"] {
        cluster.wait_until("requests are served on both sides", TIMEOUT, || {
            support::request(&cluster, entry, "read", None, "x").code() == Some(0)
        });
    }
    let path = "/v1/customers/crumb/jobs?data_centre=b";
    let body = serde_json::json!({ "key": "cut", "shape": "one", "request_type": "train", "declared_ms": 10, "payload": "run_ms=100" });
    cluster.wait_until("a job is accepted in b", TIMEOUT, || {
        bh_testkit::http_raw::post(cluster.http("b1"), path, &[], body.to_string().as_bytes())
            .code()
            == Some(0)
    });
    cluster.wait_until("and runs to its end", TIMEOUT, || {
        bh_testkit::http_raw::get(
            cluster.http("b2"),
            "/v1/customers/crumb/jobs/1?data_centre=b",
        )
        .json()["phase"]
            == "done"
    });
    let booked: Vec<Option<u32>> = (0..8)
        .map(|n| support::request(&cluster, "b1", "book", Some(&format!("cut{n}")), "x").code())
        .collect();
    assert!(
        booked.iter().all(|code| matches!(code, Some(0 | 203))),
        "{booked:?}"
    );
    assert!(
        booked.contains(&Some(0)) && booked.contains(&Some(203)),
        "{booked:?}"
    );
    set_partition(false);
    for (name, _) in names {
        cluster.wait_until("the newest settings everywhere", TIMEOUT, || {
            cluster.revision(name) == Some(2)
        });
    }
}
