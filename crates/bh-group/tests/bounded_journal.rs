//! The size of a journal under large commands.
#![expect(
    clippy::unwrap_used,
    reason = "an unexpected result must fail the test"
)]

use bh_consensus::Config;
use bh_consensus::VoterPolicy;
use bh_group::Codec;
use bh_group::Driver;
use bh_group::Group;
use bh_group::Hooks;
use bh_group::Machine;
use bh_net::Clock;
use bh_net::runtime;
use bh_net::runtime::sleep_ms;
use bh_protocol::wire::Member;
use bh_storage::Folder;
use std::cell::Cell;
use std::collections::BTreeSet;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;

const NAME: &str = "vm";
const GROUP: &str = "group";
/// Size of a command, in bytes. The state is the last command.
const COMMAND_BYTES: usize = 100 << 10;
const COMMANDS: u8 = 200;
/// Bytes of applied commands after which a snapshot is taken.
const MAX_LOG_BYTES: u64 = 1 << 20;
/// Limit of all files in the folder: two snapshots, the log with the command that is being written, and small records.
const MAX_FOLDER_BYTES: u64 = MAX_LOG_BYTES + 5 * (100 << 10);
const TIMEOUT_MS: u64 = 5_000;

const CODEC: Codec<Vec<u8>> = Codec {
    apply: |state, command| {
        *state = command.to_vec();
        Ok(Vec::new())
    },
    snapshot: |state| Ok(state.clone()),
    restore: |state, bytes| {
        *state = bytes.to_vec();
        Ok(())
    },
};

/// Starts the only replica of a group on the folder at `path`. Returns the group once the replica leads.
async fn start(path: &Path) -> Group<Vec<u8>> {
    let folder = Folder::open(path, NAME).unwrap();
    let config = Config {
        group: Arc::from(GROUP),
        id: folder.replica_id(),
        name: Arc::from(NAME),
        durable: true,
        voter_policy: VoterPolicy::Names(BTreeSet::from([Arc::from(NAME)])),
        heartbeat_ms: 20,
        election_timeout_ms: 50,
        first_election_timeout_ms: 50,
        election_delay_ms: 0,
        seed: 1,
    };
    let members = vec![Member {
        id: folder.replica_id(),
        name: NAME.to_owned(),
    }];
    let machine = Machine::new(Vec::new(), CODEC);
    let hooks = Hooks {
        send: Box::new(|_| {}),
        applied: Box::new(|_, _| {}),
        changed: Box::new(|| {}),
    };
    let storage = Some(folder.journal(GROUP).unwrap());
    let (driver, group) = Driver::new(config, machine, storage, Clock::new(), hooks).unwrap();
    let driver = driver.with_max_log_bytes(MAX_LOG_BYTES);
    group.form(members);
    monoio::spawn(async move {
        driver.run().await.unwrap();
        drop(folder);
    });
    while !group.is_leader() {
        sleep_ms(5).await;
    }
    group
}

/// Size of all files in a folder, in bytes.
fn folder_bytes(path: &Path) -> u64 {
    let files = std::fs::read_dir(path).unwrap().map(Result::unwrap);
    // A temporary file may be renamed meanwhile.
    let sizes = files.filter_map(|file| Some(file.metadata().ok()?.len()));
    sizes.sum()
}

fn command(number: u8) -> Vec<u8> {
    vec![number; COMMAND_BYTES]
}

/// Guards against large commands that fill the disk long before the number of entries after which a snapshot is taken.
#[test]
fn the_journal_is_bounded_by_its_size() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().to_owned();
    let peak = Rc::new(Cell::new(0));
    let seen = peak.clone();
    runtime::run(1, async move {
        let group = start(&path).await;
        for number in 1..=COMMANDS {
            group.propose(command(number), TIMEOUT_MS).await.unwrap();
            seen.set(seen.get().max(folder_bytes(&path)));
        }
        let status = group.status();
        assert!(status.snapshot_index > 0, "{status:?}");
    })
    .unwrap();
    assert!(peak.get() <= MAX_FOLDER_BYTES, "{} bytes", peak.get());
}

/// Guards against a restart that forgets how long the journal is already, or what it holds.
#[test]
fn a_restarted_replica_bounds_the_journal_that_it_finds() {
    let folder = tempfile::tempdir().unwrap();
    let mut number = 0;
    for _ in 0..10 {
        let path = folder.path().to_owned();
        number = runtime::run(1, async move {
            let group = start(&path).await;
            let restored = group.machine.read().clone();
            assert_eq!(
                restored,
                if number == 0 {
                    Vec::new()
                } else {
                    command(number)
                }
            );
            // Fewer than fill the log after one start.
            for _ in 0..4 {
                number += 1;
                group.propose(command(number), TIMEOUT_MS).await.unwrap();
            }
            number
        })
        .unwrap();
        let bytes = folder_bytes(folder.path());
        assert!(bytes <= MAX_FOLDER_BYTES, "{bytes} bytes");
    }
}
