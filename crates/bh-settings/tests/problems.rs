//! Problems in YAML files: each is reported with its line and a suggested fix, and none crashes the process.

use bh_protocol::Code;
use bh_settings::EntryConfig;
use bh_settings::Settings;
use proptest::prelude::*;
use rstest::rstest;

const TEAM: &str = "teams:
  mill:
    shapes:
      gang: {tasks: 2, accelerators_per_task: 4, adjacent: rack}
    request_types:
      read: {priority: 3}
    customers:
      lumen: {guarantees: [{shape: gang, data_centre: a}]}
";

#[rstest]
#[case::unknown_key(&TEAM.replace("priority", "prioritty"), 6, "not known", "did you mean `priority`")]
#[case::out_of_range(&TEAM.replace("priority: 3", "priority: 12"), 6, "from 0 to 9", "")]
#[case::wrong_unit(&TEAM.replace("priority: 3", "deadline_ms: 5s"), 6, "whole number", "")]
#[case::negative(&TEAM.replace("priority: 3", "deadline_ms: -5"), 6, "whole number", "")]
#[case::missing(&TEAM.replace("tasks: 2, ", ""), 4, "`tasks` is missing", "")]
#[case::bad_choice(&TEAM.replace("adjacent: rack", "adjacent: room"), 4, "one of worker, rack, data_centre", "")]
#[case::dangling(&TEAM.replace("shape: gang", "shape: gong"), 3, "does not have", "gang")]
#[case::bad_name(&TEAM.replace("lumen", "Lumen_1"), 8, "not a valid name", "")]
#[case::duplicate(&TEAM.replace("request_types", "shapes"), 5, "given twice", "")]
#[case::duplicate_customer(&format!("{TEAM}  bakery: {{customers: {{lumen: {{}}}}}}\n"), 1, "stands under both", "")]
#[case::alias("teams: &a {}\nsystem: *a\n", 1, "anchors", "")]
#[case::tag("teams: !!map {}\n", 1, "tags", "")]
#[case::no_mapping("- a\n", 1, "must be a mapping", "")]
#[case::broken("teams: {a: [\n", 2, "cannot be read", "")]
#[case::raw_token(
    "system: {administrator_tokens_sha256: [secret]}\n",
    1,
    "not a SHA-256",
    "never the token"
)]
fn settings_mistakes(
    #[case] text: &str,
    #[case] line: usize,
    #[case] label: &str,
    #[case] help: &str,
) {
    let problems = Settings::parse("s.yaml", text.as_bytes()).unwrap_err();
    let problem = &problems[0];
    assert_eq!(problem.code, Code::InvalidSettings);
    assert_eq!(problem.line, line, "{problem}");
    assert!(problem.label.contains(label), "{problem}");
    assert!(problem.help.contains(help), "{problem}: {}", problem.help);
}

/// Parsing does not stop at the first problem: all are reported, ordered by line.
#[test]
fn every_mistake_is_reported_at_once() {
    let text = TEAM
        .replace("tasks: 2", "tasks: 0")
        .replace("priority: 3", "prio: 3")
        .replace("shape: gang", "shape: gong");
    let lines: Vec<usize> = Settings::parse("s.yaml", text.as_bytes())
        .unwrap_err()
        .iter()
        .map(|problem| problem.line)
        .collect();
    assert_eq!(lines, vec![3, 4, 6]);
}

/// Files that would exhaust memory or overflow the stack, or that are not UTF-8, are refused with an error.
#[test]
fn hostile_files_are_refused() {
    let bomb = "a: &a [x,x,x,x]\nb: &b [*a,*a,*a,*a]\nc: &c [*b,*b,*b,*b]\n".to_owned();
    let deep_flow = format!("teams: {}", "[".repeat(100_000));
    let deep_block = (0..2_000)
        .map(|depth| format!("{}k:\n", " ".repeat(depth)))
        .collect::<String>();
    let dashes = format!("teams: {}x", "- ".repeat(50_000));
    let nested_dashes = format!("{}x", "- ".repeat(50_000));
    let huge = "#".repeat(2 << 20);
    for text in [bomb, deep_flow, deep_block, dashes, nested_dashes, huge] {
        assert!(Settings::parse("s.yaml", text.as_bytes()).is_err());
    }
    assert!(Settings::parse("s.yaml", b"teams: {\xff: 1}").is_err());
}

/// Serialized settings parse to the same tree.
#[test]
fn settings_round_trip() {
    let settings = Settings::parse("s.yaml", TEAM.as_bytes()).unwrap();
    let yaml = settings.to_yaml().unwrap();
    assert_eq!(
        Settings::parse("again", yaml.as_bytes()).unwrap(),
        settings,
        "{yaml}"
    );
}

const ENTRY: &str = "name: a1
data_folder: /data
entries:
  - {name: a1, data_centre: a, http_address: '10.0.0.1:80', peer_address: '10.0.0.1:81', disk: true}
";

#[rstest]
#[case::host_name(&ENTRY.replace("10.0.0.1:80'", "vm1:80'"), 4, "IP number")]
#[case::unknown_self(&ENTRY.replace("name: a1\ndata", "name: a2\ndata"), 1, "not among `entries`")]
#[case::no_folder(&ENTRY.replace("data_folder: /data\n", ""), 1, "no `data_folder`")]
#[case::same_address(&ENTRY.replace(":81", ":80"), 4, "used twice")]
#[case::short_election(&format!("{ENTRY}election_ms: 100\nheartbeat_ms: 90\n"), 1, "less than 4 heartbeats")]
#[case::no_key(&format!("{ENTRY}  - {{name: a2, data_centre: a, http_address: '10.0.0.2:80', peer_address: '10.0.0.2:81'}}\n"), 1, "peer_key_file")]
fn entry_file_mistakes(#[case] text: &str, #[case] line: usize, #[case] label: &str) {
    let problems = EntryConfig::parse("e.yaml", text.as_bytes()).unwrap_err();
    let found = problems.iter().any(|problem| {
        problem.line == line && problem.label.contains(label) && problem.code == Code::BadConfigFile
    });
    assert!(found, "{problems:?}");
}

#[test]
fn a_proper_entry_file_has_defaults() {
    let config = EntryConfig::parse("e.yaml", ENTRY.as_bytes()).unwrap();
    assert_eq!(
        (
            config.heartbeat_ms,
            config.election_ms,
            config.drain_delay_ms
        ),
        (150, 600, 500)
    );
    assert_eq!(config.settings_voters().len(), 1);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_202), ..ProptestConfig::default() })]

    /// Arbitrary bytes never crash the parsers.
    #[test]
    fn fuzz_arbitrary_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = Settings::parse("s", &bytes);
        let _ = EntryConfig::parse("e", &bytes);
    }

    /// Arbitrary sequences of YAML tokens never crash the parser.
    #[test]
    fn fuzz_yaml_pieces(pieces in proptest::collection::vec(prop::sample::select(vec![
        "teams", "system", ":", " ", "\n", "  ", "- ", "{", "}", "[", "]", "&a", "*a", "!t", "'", "\"", "|", ">", "#", "? ", ",", "x", "1", "~", "---\n", "...\n", "%", "@", "\t",
    ]), 0..60)) {
        let text: String = pieces.concat();
        let _ = Settings::parse("s", text.as_bytes());
    }
}
