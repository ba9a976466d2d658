//! Disks that fail at any operation of a journal, and the reserve for full ones.
#![expect(
    clippy::unwrap_used,
    reason = "an unexpected result must fail the test"
)]

use bh_protocol::Code;
use bh_protocol::Failure;
use bh_protocol::wire::LogEntry;
use bh_storage::BeforeOperation;
use bh_storage::Journal;
use bh_storage::Operation;
use bh_storage::RecoveredState;
use bh_storage::Snapshot;
use bh_storage::Vote;
use std::io::Error;
use std::io::ErrorKind;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

const RESERVE_BYTES: usize = 64 << 10;

fn entry(index: u64) -> LogEntry {
    LogEntry {
        index,
        term: 1,
        command: vec![7; 1_000],
        voters: Vec::new(),
    }
}

fn snapshot(index: u64) -> Snapshot {
    Snapshot {
        index,
        term: 1,
        voters: Vec::new(),
        state: index.to_le_bytes().to_vec(),
    }
}

const VOTE: Vote = Vote {
    term: 1,
    voted_for: 2,
};

type Step = fn(&mut Journal) -> Result<(), Failure>;

/// What a replica stores, in order. The state after each is acknowledged to others.
const STEPS: [Step; 4] = [
    |journal| {
        journal.append_vote(VOTE);
        journal.append_entries(vec![entry(1), entry(2)]);
        journal.sync()
    },
    |journal| {
        journal.append_entries(vec![entry(3)]);
        journal.sync()
    },
    |journal| journal.replace(VOTE, &snapshot(2), &[entry(3)]),
    |journal| {
        journal.append_entries(vec![entry(4)]);
        journal.sync()
    },
];

/// The last index, and that of the snapshot, after each number of steps.
const EXPECTED: [(u64, u64); 5] = [(0, 0), (2, 0), (3, 0), (3, 2), (4, 2)];

fn stored(recovered: &RecoveredState) -> (u64, u64) {
    let snapshot = recovered.snapshot.as_ref().map_or(0, |s| s.index);
    let last = recovered.entries.last().map_or(snapshot, |e| e.index);
    (last, snapshot)
}

fn open(path: &Path) -> (Journal, RecoveredState) {
    Journal::open(path).unwrap()
}

/// Fails the operation with this number, from 0, with an error of this kind.
fn fail_at(number: usize, kind: ErrorKind) -> (BeforeOperation, Arc<AtomicUsize>) {
    let count = Arc::new(AtomicUsize::new(0));
    let counted = count.clone();
    let before = move |_| {
        if counted.fetch_add(1, Ordering::Relaxed) == number {
            Err(Error::from(kind))
        } else {
            Ok(())
        }
    };
    (Arc::new(before), count)
}

/// Guards against a journal that a failing operation leaves in a state that was never stored, for a restart or for the next attempt.
#[test]
fn an_operation_that_fails_leaves_the_state_before_or_after() {
    let mut failures = 0;
    for kind in [ErrorKind::StorageFull, ErrorKind::Other] {
        for number in 0.. {
            let folder = tempfile::tempdir().unwrap();
            let path = folder.path().join("g.journal");
            let (before, count) = fail_at(number, kind);
            let mut journal = open(&path).0.with_before(before);
            let result = STEPS.iter().enumerate().find_map(|(done, step)| {
                let failure = step(&mut journal).err()?;
                Some((done, failure))
            });
            let Some((done, failure)) = result else {
                assert!(count.load(Ordering::Relaxed) <= number);
                break;
            };
            failures += 1;
            let (_, recovered) = open(&path);
            let restarted = stored(&recovered);
            let may_be = [EXPECTED[done], EXPECTED[done + 1]];
            assert!(
                may_be.contains(&restarted),
                "{restarted:?} after operation {number}"
            );
            if failure.code == Code::DiskFull {
                assert_eq!(restarted, EXPECTED[done]);
                // The entries of the failed step are in the buffer still.
                if done == 2 {
                    STEPS[done](&mut journal).unwrap();
                } else {
                    journal.sync().unwrap();
                }
                for step in &STEPS[done + 1..] {
                    step(&mut journal).unwrap();
                }
                assert_eq!(stored(&open(&path).1), EXPECTED[4]);
            }
        }
    }
    assert!(failures >= 20, "{failures}");
}

/// A disk on which only the reserve has room left.
fn full_beside_reserve(path: &Path) -> BeforeOperation {
    let reserve = path.with_extension("reserve");
    Arc::new(move |operation| {
        let is_full = match operation {
            Operation::Create | Operation::Write => reserve.exists(),
            Operation::Reserve => true,
            Operation::Sync | Operation::SetLength | Operation::Rename => false,
        };
        if is_full {
            Err(Error::from(ErrorKind::StorageFull))
        } else {
            Ok(())
        }
    })
}

/// Guards against a replica that stores no vote and no end of a run, because another writer has filled the disk.
#[test]
fn a_full_disk_takes_small_records_at_the_cost_of_the_reserve() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("g.journal");
    let journal = open(&path).0.with_reserve(RESERVE_BYTES);
    let mut journal = journal.with_before(full_beside_reserve(&path));
    assert!(!journal.is_low_on_space());
    STEPS[0](&mut journal).unwrap();
    assert!(journal.is_low_on_space());
    assert_eq!(stored(&open(&path).1), EXPECTED[1]);
    for step in &STEPS[1..] {
        journal.restore_reserve();
        assert!(journal.is_low_on_space());
        step(&mut journal).unwrap();
    }
    assert_eq!(stored(&open(&path).1), EXPECTED[4]);
    let mut journal = journal.with_before(Arc::new(|_| Ok(())));
    journal.restore_reserve();
    assert!(!journal.is_low_on_space());
}

/// Guards against a reserve that is written again at each start, or that a restart forgets.
#[test]
fn the_reserve_outlasts_a_restart() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("g.journal");
    let reserve = path.with_extension("reserve");
    drop(open(&path).0.with_reserve(RESERVE_BYTES));
    let written = std::fs::metadata(&reserve).unwrap();
    assert_eq!(written.len(), RESERVE_BYTES as u64);
    drop(open(&path).0.with_reserve(RESERVE_BYTES));
    let kept = std::fs::metadata(&reserve).unwrap();
    assert_eq!(kept.modified().unwrap(), written.modified().unwrap());
}
