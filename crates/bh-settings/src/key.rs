//! Every key of the two kinds of YAML file, with unit, default and limits.
//!
//! `docs/SETTINGS.md` is checked against these tables by a test.

/// What a key holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A whole number from `min` to `max`; `default` is `None` when the key is required.
    Number {
        /// Smallest value allowed.
        min: u64,
        /// Largest value allowed.
        max: u64,
        /// Value when the key is left out.
        default: Option<u64>,
    },
    /// `true` or `false`.
    Flag {
        /// Value when the key is left out.
        default: bool,
    },
    /// One of a few words; the first is the default unless `required`.
    Choice {
        /// The words.
        words: &'static [&'static str],
        /// Whether the key must be given.
        required: bool,
    },
    /// A text.
    Text {
        /// Whether the key must be given.
        required: bool,
    },
    /// A list of texts.
    Texts,
    /// A mapping with fixed keys.
    Section,
    /// A mapping from names to sections.
    Named,
    /// A list of sections.
    List,
}

/// One key: its place, kind and meaning. `*` stands for a name, `[]` for an item of a list.
#[derive(Clone, Copy, Debug)]
pub struct Key {
    /// Place in the file.
    pub path: &'static str,
    /// What it holds.
    pub kind: Kind,
    /// Unit of a number; empty when it has none.
    pub unit: &'static str,
    /// What it means.
    pub meaning: &'static str,
}

const fn number(
    path: &'static str,
    unit: &'static str,
    min: u64,
    max: u64,
    default: Option<u64>,
    meaning: &'static str,
) -> Key {
    Key {
        path,
        kind: Kind::Number { min, max, default },
        unit,
        meaning,
    }
}

const fn other(path: &'static str, kind: Kind, meaning: &'static str) -> Key {
    Key {
        path,
        kind,
        unit: "",
        meaning,
    }
}

const REQUIRED_TEXT: Kind = Kind::Text { required: true };
const OPTIONAL_TEXT: Kind = Kind::Text { required: false };
/// Largest number of accelerators a quota can name; more than the largest system has.
pub const NO_QUOTA: u64 = 1_000_000;

/// Keys of the settings that operators apply.
pub const SETTINGS_KEYS: &[Key] = &[
    other(
        "system",
        Kind::Section,
        "What holds for all teams; administrators only.",
    ),
    other(
        "system.administrator_tokens_sha256",
        Kind::Texts,
        "SHA-256 (hex) of the tokens that may change everything.",
    ),
    other("system.policy", Kind::Section, "How placements are chosen."),
    number(
        "system.policy.completion_weight",
        "",
        0,
        100,
        Some(1),
        "How much job completion time counts.",
    ),
    number(
        "system.policy.fragmentation_weight",
        "",
        0,
        100,
        Some(1),
        "How much accelerator fragmentation counts.",
    ),
    number(
        "system.policy.checkpoint_wait_ms",
        "ms",
        0,
        600_000,
        Some(2_000),
        "How long a borrower may checkpoint before it is stopped.",
    ),
    number(
        "system.policy.starvation_ms",
        "ms",
        100,
        86_400_000,
        Some(300_000),
        "Wait after which a gang makes smaller jobs move; scaled by the two weights.",
    ),
    number(
        "system.policy.max_attempts",
        "",
        1,
        100,
        Some(5),
        "Distinct workers a job may fail on before it is given up.",
    ),
    other(
        "teams",
        Kind::Named,
        "One subtree a team; its operators change no other.",
    ),
    number(
        "teams.*.quota_accelerators",
        "accelerators",
        0,
        NO_QUOTA,
        Some(NO_QUOTA),
        "Accelerators the team's jobs may hold at a time.",
    ),
    other(
        "teams.*.operator_tokens_sha256",
        Kind::Texts,
        "SHA-256 (hex) of the tokens that may change this subtree.",
    ),
    other(
        "teams.*.caller_tokens_sha256",
        Kind::Texts,
        "SHA-256 (hex) of the tokens that may send work; without any, work needs no token.",
    ),
    other("teams.*.shapes", Kind::Named, "Job shapes."),
    number(
        "teams.*.shapes.*.tasks",
        "tasks",
        1,
        1_024,
        None,
        "Tasks of the gang; all run or none does.",
    ),
    number(
        "teams.*.shapes.*.accelerators_per_task",
        "accelerators",
        1,
        64,
        None,
        "Accelerators of each task, on one worker.",
    ),
    other(
        "teams.*.shapes.*.adjacent",
        Kind::Choice {
            words: &["worker", "rack", "data_centre"],
            required: true,
        },
        "How near the accelerators must be.",
    ),
    other(
        "teams.*.request_types",
        Kind::Named,
        "Request types; they decide the priority, never the caller.",
    ),
    number(
        "teams.*.request_types.*.priority",
        "",
        0,
        9,
        Some(5),
        "Higher is served sooner.",
    ),
    number(
        "teams.*.request_types.*.deadline_ms",
        "ms",
        1,
        600_000,
        Some(5_000),
        "Longest time a caller waits for its answer.",
    ),
    other(
        "teams.*.request_types.*.idempotent",
        Kind::Flag { default: false },
        "Whether a request may be run again after an unclear outcome.",
    ),
    number(
        "teams.*.request_types.*.max_body_bytes",
        "bytes",
        0,
        8_388_608,
        Some(1_048_576),
        "Largest request body.",
    ),
    number(
        "teams.*.request_types.*.objective_ppm",
        "ppm",
        1,
        999_999,
        Some(999_000),
        "Share of requests that must succeed in time, the service-level objective.",
    ),
    number(
        "teams.*.request_types.*.objective_ms",
        "ms",
        1,
        600_000,
        Some(2_000),
        "Answer time within which a request counts as good.",
    ),
    other(
        "teams.*.customers",
        Kind::Named,
        "Customers; names are unique over all teams.",
    ),
    number(
        "teams.*.customers.*.weight",
        "",
        1,
        1_000,
        Some(1),
        "Share of the slots for short requests under load.",
    ),
    number(
        "teams.*.customers.*.quota_accelerators",
        "accelerators",
        0,
        NO_QUOTA,
        Some(NO_QUOTA),
        "Accelerators the customer's jobs may hold at a time.",
    ),
    other(
        "teams.*.customers.*.guarantees",
        Kind::List,
        "Shapes the customer can always have.",
    ),
    other(
        "teams.*.customers.*.guarantees[].shape",
        REQUIRED_TEXT,
        "Name of a shape of the team.",
    ),
    number(
        "teams.*.customers.*.guarantees[].count",
        "shapes",
        1,
        4_096,
        Some(1),
        "How many at a time.",
    ),
    other(
        "teams.*.customers.*.guarantees[].data_centre",
        REQUIRED_TEXT,
        "Data centre that holds them.",
    ),
];

/// Keys of an entry's own file.
pub const ENTRY_KEYS: &[Key] = &[
    other(
        "name",
        REQUIRED_TEXT,
        "Name of this entry VM, one of `entries`.",
    ),
    other(
        "entries",
        Kind::List,
        "All entry VMs; the same list in every file.",
    ),
    other("entries[].name", REQUIRED_TEXT, "Name of the VM."),
    other(
        "entries[].data_centre",
        REQUIRED_TEXT,
        "Data centre the VM stands in.",
    ),
    other(
        "entries[].http_address",
        REQUIRED_TEXT,
        "`IP:port` for callers, targets and operators.",
    ),
    other(
        "entries[].peer_address",
        REQUIRED_TEXT,
        "`IP:port` for the other entries.",
    ),
    other(
        "entries[].disk",
        Kind::Flag { default: false },
        "Whether the VM has a disk and may keep the replicated state.",
    ),
    other(
        "data_folder",
        OPTIONAL_TEXT,
        "Folder on the VM's disk; required when this VM has `disk: true`.",
    ),
    other(
        "peer_key_file",
        OPTIONAL_TEXT,
        "File with the key shared by all entries; required when there is more than one.",
    ),
    other(
        "statsd_address",
        OPTIONAL_TEXT,
        "`IP:port` that metrics are sent to over UDP; none when left out.",
    ),
    other(
        "bootstrap_token_sha256",
        OPTIONAL_TEXT,
        "SHA-256 (hex) of the token for the first change; it ends when the settings name an administrator.",
    ),
    other(
        "log_format",
        Kind::Choice {
            words: &["text", "json"],
            required: false,
        },
        "Form of the log on standard error.",
    ),
    other(
        "log_level",
        Kind::Choice {
            words: &["info", "debug", "warn", "error"],
            required: false,
        },
        "Least level that is logged.",
    ),
    number(
        "heartbeat_ms",
        "ms",
        10,
        10_000,
        Some(150),
        "Time between heartbeats of leaders and peer links.",
    ),
    number(
        "election_ms",
        "ms",
        50,
        60_000,
        Some(600),
        "Silence after which a new leader is elected; at least four heartbeats.",
    ),
    number(
        "target_lease_ms",
        "ms",
        200,
        60_000,
        Some(3_000),
        "Silence after which a target gets no new work and its tasks stop.",
    ),
    number(
        "drain_delay_ms",
        "ms",
        0,
        60_000,
        Some(500),
        "Time between not ready and closing the listener at shutdown, for the balancer.",
    ),
    number(
        "drain_limit_ms",
        "ms",
        0,
        3_600_000,
        Some(30_000),
        "Longest wait for requests in progress at shutdown.",
    ),
    number(
        "max_connections",
        "connections",
        1,
        65_536,
        Some(4_096),
        "Connections of callers and targets open at a time.",
    ),
    number(
        "idle_connection_ms",
        "ms",
        100,
        3_600_000,
        Some(30_000),
        "Idle or slow head on a caller's connection before it is closed.",
    ),
    number(
        "snapshot_entries",
        "entries",
        16,
        1_000_000,
        Some(4_096),
        "Log entries after which a snapshot is taken.",
    ),
    other(
        "group_sync",
        Kind::Flag { default: true },
        "Whether one disk sync serves all records that wait; only a measurement turns it off.",
    ),
    number(
        "target_connect_ms",
        "ms",
        10,
        60_000,
        Some(500),
        "Time to open a connection to a target.",
    ),
];

/// The key at `path` of `keys`.
pub fn find(keys: &'static [Key], path: &str) -> Option<&'static Key> {
    keys.iter().find(|key| key.path == path)
}
