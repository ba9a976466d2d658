//! Description of settings keys, and the table of the keys that operators apply, with unit, default and limits.
//!
//! `docs/SETTINGS.md` is checked against these tables by a test.

/// Type of the value of a key, with its limits and default.
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

/// One key: its path, kind and meaning.
#[derive(Clone, Copy, Debug)]
pub struct Key {
    /// Path in the file; `*` stands for a name, `[]` for an item of a list.
    pub path: &'static str,
    /// Type of its value.
    pub kind: Kind,
    /// Unit of a number; empty if there is none.
    pub unit: &'static str,
    /// Meaning, as the documentation shows it.
    pub meaning: &'static str,
}

pub(crate) const fn number_key(
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

pub(crate) const fn other_key(path: &'static str, kind: Kind, meaning: &'static str) -> Key {
    Key {
        path,
        kind,
        unit: "",
        meaning,
    }
}

pub(crate) const REQUIRED_TEXT: Kind = Kind::Text { required: true };
pub(crate) const OPTIONAL_TEXT: Kind = Kind::Text { required: false };
/// Default and maximum of a quota. It exceeds the accelerators of the largest system, so it sets no limit.
pub const UNLIMITED_QUOTA: u64 = 1_000_000;

/// Keys of the settings that operators apply.
pub const SETTINGS_KEYS: &[Key] = &[
    other_key(
        "system",
        Kind::Section,
        "What holds for all teams; administrators only.",
    ),
    other_key(
        "system.administrator_tokens_sha256",
        Kind::Texts,
        "SHA-256 (hex) of the tokens that may change everything.",
    ),
    other_key("system.policy", Kind::Section, "How placements are chosen."),
    number_key(
        "system.policy.completion_weight",
        "",
        0,
        100,
        Some(1),
        "How much job completion time counts.",
    ),
    number_key(
        "system.policy.fragmentation_weight",
        "",
        0,
        100,
        Some(1),
        "How much accelerator fragmentation counts.",
    ),
    number_key(
        "system.policy.checkpoint_wait_ms",
        "ms",
        0,
        600_000,
        Some(2_000),
        "How long a borrower may checkpoint before it is stopped.",
    ),
    number_key(
        "system.policy.starvation_ms",
        "ms",
        100,
        86_400_000,
        Some(300_000),
        "Wait after which a gang makes smaller jobs move; scaled by the two weights.",
    ),
    number_key(
        "system.policy.max_attempts",
        "",
        1,
        100,
        Some(5),
        "Distinct workers a job may fail on before it is given up.",
    ),
    other_key(
        "teams",
        Kind::Named,
        "One subtree a team; its operators change no other.",
    ),
    number_key(
        "teams.*.quota_accelerators",
        "accelerators",
        0,
        UNLIMITED_QUOTA,
        Some(UNLIMITED_QUOTA),
        "Accelerators the team's jobs may hold at a time.",
    ),
    other_key(
        "teams.*.operator_tokens_sha256",
        Kind::Texts,
        "SHA-256 (hex) of the tokens that may change this subtree.",
    ),
    other_key(
        "teams.*.caller_tokens_sha256",
        Kind::Texts,
        "SHA-256 (hex) of the tokens that may send work; without any, work needs no token.",
    ),
    other_key("teams.*.shapes", Kind::Named, "Job shapes."),
    number_key(
        "teams.*.shapes.*.tasks",
        "tasks",
        1,
        1_024,
        None,
        "Tasks of the gang; all run or none does.",
    ),
    number_key(
        "teams.*.shapes.*.accelerators_per_task",
        "accelerators",
        1,
        64,
        None,
        "Accelerators of each task, on one worker.",
    ),
    other_key(
        "teams.*.shapes.*.adjacent",
        Kind::Choice {
            words: &["worker", "rack", "data_centre"],
            required: true,
        },
        "How near the accelerators must be.",
    ),
    other_key(
        "teams.*.request_types",
        Kind::Named,
        "Request types; they decide the priority, never the caller.",
    ),
    number_key(
        "teams.*.request_types.*.priority",
        "",
        0,
        9,
        Some(5),
        "Higher is served sooner.",
    ),
    number_key(
        "teams.*.request_types.*.deadline_ms",
        "ms",
        1,
        600_000,
        Some(5_000),
        "Longest time a caller waits for its answer.",
    ),
    other_key(
        "teams.*.request_types.*.idempotent",
        Kind::Flag { default: false },
        "Whether a request may be run again after an unclear outcome.",
    ),
    number_key(
        "teams.*.request_types.*.max_body_bytes",
        "bytes",
        0,
        8_388_608,
        Some(1_048_576),
        "Largest request body.",
    ),
    number_key(
        "teams.*.request_types.*.objective_ppm",
        "ppm",
        1,
        999_999,
        Some(999_000),
        "Share of requests that must succeed in time, the service-level objective.",
    ),
    number_key(
        "teams.*.request_types.*.objective_ms",
        "ms",
        1,
        600_000,
        Some(2_000),
        "Answer time within which a request counts as good.",
    ),
    other_key(
        "teams.*.customers",
        Kind::Named,
        "Customers; names are unique over all teams.",
    ),
    number_key(
        "teams.*.customers.*.weight",
        "",
        1,
        1_000,
        Some(1),
        "Share of the slots for short requests under load.",
    ),
    number_key(
        "teams.*.customers.*.quota_accelerators",
        "accelerators",
        0,
        UNLIMITED_QUOTA,
        Some(UNLIMITED_QUOTA),
        "Accelerators the customer's jobs may hold at a time.",
    ),
    other_key(
        "teams.*.customers.*.guarantees",
        Kind::List,
        "Shapes the customer can always have.",
    ),
    other_key(
        "teams.*.customers.*.guarantees[].shape",
        REQUIRED_TEXT,
        "Name of a shape of the team.",
    ),
    number_key(
        "teams.*.customers.*.guarantees[].count",
        "shapes",
        1,
        4_096,
        Some(1),
        "How many at a time.",
    ),
    other_key(
        "teams.*.customers.*.guarantees[].data_centre",
        REQUIRED_TEXT,
        "Data centre that holds them.",
    ),
];

/// Finds the key with `path` in `keys`.
pub fn find(keys: &'static [Key], path: &str) -> Option<&'static Key> {
    keys.iter().find(|key| key.path == path)
}
