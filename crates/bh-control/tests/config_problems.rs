//! Validation of a process's config file.

use bh_control::config::LocalConfig;
use bh_control::config::is_deployment_config;
use bh_control::config::problems;
use bh_workload::admission::AdmissionPolicy;
use bh_workload::plan::Policy;
use std::num::NonZeroU32;

const CORE: &str = "name: core\nrole: core\ndata_centre: dc\nip: 10.0.0.1\npeer_port: 7000\nseeds: '10.0.0.1:1'\n\
                    control_address: '10.0.0.1:2'\ndata_folder: /data\nbounds:\n  stop_timeout_ms: 900\n";

#[test]
fn a_valid_file_has_no_problem() {
    assert_eq!(problems(CORE.as_bytes()), Vec::<String>::new());
    assert!(is_deployment_config(CORE.as_bytes()));
    assert!(LocalConfig::parse(CORE.as_bytes()).is_ok());
}

/// A file has five mistakes. If they were reported one at a time, an operator would have to start the process five times to find them all.
#[test]
fn every_mistake_is_told_at_once() {
    let file = CORE
        .replace("data_folder: /data\n", "")
        .replace("10.0.0.1:2", "here")
        .replace("peer_port: 7000", "peer_port: 700000")
        .replace("stop_timeout_ms: 900", "stop_timeout_ms: soon")
        + "colour: red\n";
    let found = problems(file.as_bytes());
    for key in [
        "control_address",
        "peer_port",
        "bounds",
        "colour",
        "data_folder",
    ] {
        let told = found
            .iter()
            .filter(|problem| problem.starts_with(&format!("`{key}`")));
        assert_eq!(told.count(), 1, "{key} in {found:#?}");
    }
    assert_eq!(found.len(), 5, "{found:#?}");
}

/// A deployment may give any of its bounds with a fraction, or without a value. A process must not refuse to start because of that.
#[test]
fn bounds_may_have_a_fraction_or_no_value() {
    let file = CORE.replace(
        "stop_timeout_ms: 900",
        "stop_timeout_ms: 900.5\n  longest_lease_ms: 10000.0\n  restore_ms:\n  upkeep_s: 1.5",
    );
    let timing = LocalConfig::parse(file.as_bytes()).map(|config| config.timing());
    let timing = timing.unwrap();
    assert_eq!(timing.stop_timeout_ms, 901);
    assert_eq!(timing.lease_ms, 9_500);
    assert_eq!(timing.restore_ms, 250);
    assert_eq!(timing.upkeep_ms, 1_500);
}

#[test]
fn what_is_no_mapping_is_one_problem() {
    assert_eq!(problems(b"- a\n- b\n").len(), 1);
    assert!(!is_deployment_config(b"- a\n"));
}

/// A core's file lists the data centres of the deployment in one comma-separated text. Without the list a core knows them only from its
/// workers.
#[test]
fn data_centres_are_listed_in_one_text() {
    let file = CORE.to_owned() + "data_centres: 'ulemiste, mustamae,kadaka'\n";
    let config = LocalConfig::parse(file.as_bytes()).expect("it is valid");
    let names: Vec<&str> = config.data_centres.iter().map(|name| &**name).collect();
    assert_eq!(names, ["ulemiste", "mustamae", "kadaka"]);
    let config = LocalConfig::parse(CORE.as_bytes()).expect("it is valid");
    assert!(config.data_centres.is_empty());
}

/// A ratio below 1 would be met by any customers, and a misspelt key would leave a decision off without notice. Each is reported by itself.
#[test]
fn mistakes_in_the_policy_section_are_told_one_by_one() {
    let file = format!(
        "{CORE}policy:\n  sharing_min_ratio: 0.5\n  max_displacments: 3\n  ranks_workers: true\n"
    );
    let found = problems(file.as_bytes());
    assert_eq!(found.len(), 2, "{found:#?}");
    assert!(found.iter().any(|problem| problem.contains("at least 1")));
    assert!(
        found
            .iter()
            .any(|problem| problem.contains("max_displacments"))
    );
}

/// Decisions that a file does not mention are off, so that a deployment is served as before it knew of them.
#[test]
fn a_file_without_policy_switches_nothing_on() {
    let config = LocalConfig::parse(CORE.as_bytes()).unwrap();
    assert_eq!(config.planner_policy(), Policy::new());
    let file = format!(
        "{CORE}policy:\n  sharing_min_ratio: 4\n  max_displacements: 3\n  backfills: true\n  min_workers: 100\n"
    );
    let config = LocalConfig::parse(file.as_bytes()).unwrap();
    let expected = Policy::new()
        .with_fair_sharing(4.0)
        .with_max_displacements(3)
        .with_backfill()
        .with_min_workers(100);
    assert_eq!(config.planner_policy(), expected);
}

/// Guards against a limit of 0, which would refuse all jobs of all customers, and against misspelt keys, which would leave admission as it is without notice.
#[test]
fn mistakes_in_the_keys_of_admission_are_told() {
    for key in [
        "max_waiting_jobs: 0",
        "max_waiting_jobs: -1",
        "max_waiting_jobs: many",
        "sheds_load: often",
        "refuses_hopeless: 1",
        "refuse_hopeless: true",
    ] {
        let file = format!("{CORE}policy:\n  {key}\n");
        let found = problems(file.as_bytes());
        assert_eq!(found.len(), 1, "{key}: {found:#?}");
        assert!(LocalConfig::parse(file.as_bytes()).is_err(), "{key}");
    }
}

/// Guards against refusals in a deployment whose file does not ask for them, and against keys that switch on something else.
#[test]
fn each_key_of_admission_switches_on_one_decision() {
    let read = |keys: &str| {
        let file = format!("{CORE}policy:\n{keys}");
        let config = LocalConfig::parse(file.as_bytes()).unwrap();
        assert_eq!(config.planner_policy(), Policy::new());
        config.policy.admission()
    };
    let off = AdmissionPolicy::new();
    assert!(!off.may_refuse());
    assert_eq!(read("  backfills: false\n"), off);
    assert_eq!(read("  max_waiting_jobs:\n"), off);
    let limit = NonZeroU32::new(500).unwrap();
    assert_eq!(
        read("  max_waiting_jobs: 500\n"),
        off.with_max_waiting_jobs(limit)
    );
    assert_eq!(read("  sheds_load: true\n"), off.with_load_shedding());
    assert_eq!(
        read("  refuses_hopeless: true\n"),
        off.with_hopeless_refused()
    );
}

/// Guards against a core that starts on a disk too small for its journal and fills it.
#[test]
fn a_disk_that_is_too_small_is_refused() {
    let core = CORE.replace("bounds:\n  stop_timeout_ms: 900\n", "");
    for (disk_mb, is_enough) in [("16", true), ("15.9", false), ("0", false), ("", true)] {
        let file = format!("{core}disk_mb: {disk_mb}\n");
        let found = problems(file.as_bytes());
        assert_eq!(found.is_empty(), is_enough, "{disk_mb}: {found:?}");
    }
}

/// Guards against a process that starts with too little memory for a single request, and against limits of clients that do not follow from the
/// memory and the descriptors.
#[test]
fn limits_of_clients_follow_from_the_memory() {
    let with = |lines: &str| LocalConfig::parse(format!("{CORE}{lines}").as_bytes());
    assert!(with("memory_mb: 31\n").is_err());
    let limits = with("memory_mb: 256.0\ndescriptors: 4096\n");
    let limits = limits.unwrap().connection_limits();
    assert_eq!(limits.max_open, 1_843);
    assert_eq!(limits.max_bytes, 64_000_000);
    assert!(limits.max_large_bytes < limits.max_bytes);
    let small = with("memory_mb: 32\ndescriptors: 4096\n").unwrap();
    assert!(small.connection_limits().max_open < 600);
    let unset = with("descriptors: 4096\n").unwrap();
    assert_eq!(unset.connection_limits(), limits);
}
