//! The size of a journal under large commands.
mod support;

use bh_net::runtime;
use std::cell::Cell;
use std::rc::Rc;
use support::Disk;
use support::MAX_LOG_BYTES;
use support::TIMEOUT_MS;
use support::folder_bytes;
use support::start;
use support::wait_for_leader;

/// Size of a command, in bytes. The state is the last command.
const COMMAND_BYTES: usize = 100 << 10;
const COMMANDS: u8 = 200;
/// Limit of all files in the folder: two snapshots, the log with the command that is being written, and small records.
const MAX_FOLDER_BYTES: u64 = MAX_LOG_BYTES + 5 * (100 << 10);

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
        let groups = start(&[Disk::new(&path)]);
        let group = &groups[wait_for_leader(&groups).await];
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
            let groups = start(&[Disk::new(&path)]);
            let group = &groups[wait_for_leader(&groups).await];
            let restored = group.machine.read().clone();
            let expected = if number == 0 {
                Vec::new()
            } else {
                command(number)
            };
            assert_eq!(restored, expected);
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
