//! Table of the keys of an entry's configuration file.

use crate::key::Key;
use crate::key::Kind;
use crate::key::OPTIONAL_TEXT;
use crate::key::REQUIRED_TEXT;
use crate::key::number_key;
use crate::key::other_key;

/// Keys of an entry's configuration file.
pub const ENTRY_KEYS: &[Key] = &[
    other_key(
        "name",
        REQUIRED_TEXT,
        "Name of this entry VM, one of `entries`.",
    ),
    other_key(
        "entries",
        Kind::List,
        "All entry VMs; the same list in every file.",
    ),
    other_key("entries[].name", REQUIRED_TEXT, "Name of the VM."),
    other_key(
        "entries[].data_centre",
        REQUIRED_TEXT,
        "Data centre the VM stands in.",
    ),
    other_key(
        "entries[].http_address",
        REQUIRED_TEXT,
        "`IP:port` for callers, targets and operators.",
    ),
    other_key(
        "entries[].peer_address",
        REQUIRED_TEXT,
        "`IP:port` for the other entries.",
    ),
    other_key(
        "entries[].disk",
        Kind::Flag { default: false },
        "Whether the VM has a disk and may keep the replicated state.",
    ),
    other_key(
        "data_folder",
        OPTIONAL_TEXT,
        "Folder on the VM's disk; required when this VM has `disk: true`.",
    ),
    other_key(
        "peer_key_file",
        OPTIONAL_TEXT,
        "File with the key shared by all entries; required when there is more than one.",
    ),
    other_key(
        "statsd_address",
        OPTIONAL_TEXT,
        "`IP:port` that metrics are sent to over UDP; none when left out.",
    ),
    other_key(
        "bootstrap_token_sha256",
        OPTIONAL_TEXT,
        "SHA-256 (hex) of the token for the first change; it ends when the settings name an administrator.",
    ),
    other_key(
        "log_format",
        Kind::Choice {
            words: &["text", "json"],
            required: false,
        },
        "Form of the log on standard error.",
    ),
    other_key(
        "log_level",
        Kind::Choice {
            words: &["info", "debug", "warn", "error"],
            required: false,
        },
        "Least level that is logged.",
    ),
    number_key(
        "heartbeat_ms",
        "ms",
        10,
        10_000,
        Some(150),
        "Time between heartbeats of leaders and peer links.",
    ),
    number_key(
        "election_ms",
        "ms",
        50,
        60_000,
        Some(600),
        "Silence after which a new leader is elected; at least four heartbeats.",
    ),
    number_key(
        "target_lease_ms",
        "ms",
        200,
        60_000,
        Some(3_000),
        "Silence after which a target gets no new work and its tasks stop.",
    ),
    number_key(
        "drain_delay_ms",
        "ms",
        0,
        60_000,
        Some(500),
        "Time between not ready and closing the listener at shutdown, for the balancer.",
    ),
    number_key(
        "drain_limit_ms",
        "ms",
        0,
        3_600_000,
        Some(30_000),
        "Longest wait for requests in progress at shutdown.",
    ),
    number_key(
        "max_connections",
        "connections",
        1,
        65_536,
        Some(4_096),
        "Connections of callers and targets open at a time.",
    ),
    number_key(
        "memory_mb",
        "MB",
        32,
        1_048_576,
        Some(256),
        "Memory that the process may use; requests and answers of callers and targets get 40 in 100 of it.",
    ),
    number_key(
        "idle_connection_ms",
        "ms",
        100,
        3_600_000,
        Some(30_000),
        "Idle or slow head on a caller's connection before it is closed.",
    ),
    number_key(
        "snapshot_entries",
        "entries",
        16,
        1_000_000,
        Some(4_096),
        "Log entries after which a snapshot is taken.",
    ),
    other_key(
        "group_sync",
        Kind::Flag { default: true },
        "Whether one disk sync serves all records that wait; only a measurement turns it off.",
    ),
    number_key(
        "target_connect_ms",
        "ms",
        10,
        60_000,
        Some(500),
        "Time to open a connection to a target.",
    ),
];
