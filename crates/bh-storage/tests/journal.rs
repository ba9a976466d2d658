//! Incomplete writes, damaged bytes and full disks against the journal; the identity of a data folder.
#![expect(
    clippy::unwrap_used,
    reason = "an unexpected result must fail the test"
)]

use bh_protocol::Code;
use bh_protocol::wire::LogEntry;
use bh_storage::Folder;
use bh_storage::Journal;
use bh_storage::Snapshot;
use bh_storage::Vote;
use bh_storage::decode_all;
use proptest::prelude::*;
use std::fs::File;
use std::io::Write as _;
use std::path::Path;

fn entry(index: u64) -> LogEntry {
    LogEntry {
        index,
        term: 1,
        command: vec![7; 20],
        voters: Vec::new(),
    }
}

fn write(path: &Path, count: u64) {
    let (mut journal, _) = Journal::open(path).unwrap();
    journal.append_vote(Vote {
        term: 3,
        voted_for: 9,
    });
    for index in 1..=count {
        journal.append_entries(vec![entry(index)]);
        journal.sync().unwrap();
    }
}

/// The process crashes in the middle of a write. The part of the last record that reached the disk is truncated, and all records synced before
/// it are recovered.
#[test]
fn a_torn_tail_is_cut() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("g.journal");
    write(&path, 5);
    let whole = std::fs::read(&path).unwrap();
    write(&path, 0);
    let record = whole.len() - 1;
    for cut in (record - 30)..record {
        std::fs::write(&path, &whole[..cut]).unwrap();
        let (_, recovered) = Journal::open(&path).unwrap();
        assert_eq!(recovered.entries.len(), 4, "cut at {cut}");
        assert_eq!(
            recovered.vote,
            Vote {
                term: 3,
                voted_for: 9
            }
        );
    }
    std::fs::write(&path, &whole).unwrap();
    assert_eq!(Journal::open(&path).unwrap().1.entries.len(), 5);
}

/// A byte in the middle of the journal is damaged. To go on would lose acknowledged entries silently, so the opening fails with a code and the
/// position.
#[test]
fn a_damaged_middle_stops_with_a_code() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("g.journal");
    write(&path, 5);
    let mut bytes = std::fs::read(&path).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 0x40;
    std::fs::write(&path, &bytes).unwrap();
    let failure = Journal::open(&path).unwrap_err();
    assert_eq!(failure.code, Code::DamagedLog);
    assert!(failure.label.contains("at byte"), "{failure}");
}

/// A crash while the temporary file of a snapshot is written leaves the old journal in use. After the rename the new one is in use.
#[test]
fn a_snapshot_replaces_the_journal_as_a_whole() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("g.journal");
    write(&path, 5);
    std::fs::write(path.with_extension("new"), b"half a snapsh").unwrap();
    let (mut journal, recovered) = Journal::open(&path).unwrap();
    assert_eq!(recovered.entries.len(), 5);
    let snapshot = Snapshot {
        index: 4,
        term: 1,
        voters: Vec::new(),
        state: b"state".to_vec(),
    };
    journal
        .replace(
            Vote {
                term: 4,
                voted_for: 0,
            },
            &snapshot,
            &[entry(5)],
        )
        .unwrap();
    journal.append_entries(vec![entry(6)]);
    journal.sync().unwrap();
    let (_, recovered) = Journal::open(&path).unwrap();
    assert_eq!(recovered.snapshot, Some(snapshot));
    assert_eq!(
        recovered
            .entries
            .iter()
            .map(|entry| entry.index)
            .collect::<Vec<_>>(),
        vec![5, 6]
    );
}

fn half_then_full(file: &mut File, bytes: &[u8]) -> std::io::Result<()> {
    file.write_all(&bytes[..bytes.len() / 2])?;
    Err(std::io::Error::from(std::io::ErrorKind::StorageFull))
}

/// The disk is full after half of a record. The journal returns an error, its file is as before, and a retry writes the record once there is
/// space. A replica that stopped instead would be restarted again and again on a disk that is still full.
#[test]
fn a_full_disk_is_waited_out() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("g.journal");
    write(&path, 2);
    let before = std::fs::read(&path).unwrap();
    let (journal, _) = Journal::open(&path).unwrap();
    let mut journal = journal.with_write(half_then_full);
    journal.append_entries(vec![entry(3)]);
    assert_eq!(journal.sync().unwrap_err().code, Code::DiskFull);
    assert_eq!(std::fs::read(&path).unwrap(), before);
    let snapshot = Snapshot {
        index: 2,
        term: 1,
        voters: Vec::new(),
        state: vec![1],
    };
    let replaced = journal.replace(Vote::default(), &snapshot, &[entry(3)]);
    assert_eq!(replaced.unwrap_err().code, Code::DiskFull);
    assert_eq!(std::fs::read(&path).unwrap(), before);
    let mut journal = journal.with_write(|file, bytes| file.write_all(bytes));
    journal.sync().unwrap();
    let (_, recovered) = Journal::open(&path).unwrap();
    assert_eq!(recovered.entries.len(), 3);
}

/// A folder that was emptied gets a new identity. A folder of another VM, or one in use, is refused.
#[test]
fn identity_goes_with_the_folder() {
    let parent = tempfile::tempdir().unwrap();
    let path = parent.path().join("data");
    let first = Folder::open(&path, "vm1").unwrap();
    assert_eq!(
        Folder::open(&path, "vm1").unwrap_err().code,
        Code::FolderInUse
    );
    let replica = first.replica_id();
    drop(first);
    assert_eq!(Folder::open(&path, "vm1").unwrap().replica_id(), replica);
    assert_eq!(
        Folder::open(&path, "vm2").unwrap_err().code,
        Code::FolderInUse
    );
    std::fs::remove_dir_all(&path).unwrap();
    assert_ne!(Folder::open(&path, "vm1").unwrap().replica_id(), replica);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_202), ..ProptestConfig::default() })]

    /// Decoding arbitrary bytes doesn't panic, and the headers of the decoded records fit in the bytes.
    #[test]
    fn fuzz_arbitrary_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let (records, _) = decode_all(&bytes);
        prop_assert!(records.len() * 8 <= bytes.len());
    }

    /// One flipped bit anywhere is detected, and only records that were written are decoded.
    #[test]
    fn fuzz_a_flipped_bit(bit in 0usize..2_000, count in 1u64..8) {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("g.journal");
        write(&path, count);
        let good = std::fs::read(&path).unwrap();
        let mut bytes = good.clone();
        let position = bit % (bytes.len() * 8);
        bytes[position / 8] ^= 1 << (position % 8);
        let (whole, _) = decode_all(&good);
        let (read, problem) = decode_all(&bytes);
        prop_assert!(problem.is_some());
        prop_assert!(read.len() < whole.len());
        prop_assert_eq!(&read[..], &whole[..read.len()]);
    }
}
