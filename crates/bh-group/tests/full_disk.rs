//! Groups whose members have full disks.
mod support;

use bh_net::runtime;
use bh_net::runtime::sleep_ms;
use bh_storage::BeforeOperation;
use bh_storage::Operation;
use std::io::Error;
use std::io::ErrorKind;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use support::Disk;
use support::MAX_LOG_BYTES;
use support::TIMEOUT_MS;
use support::record;
use support::start;
use support::wait_for;
use support::wait_for_leader;

const MEMBERS: usize = 3;
const RESERVE_BYTES: usize = 64 << 10;
/// Size of a command that fills a log with ten others.
const LARGE_BYTES: usize = 100 << 10;

/// Another writer on the disk, which takes all room but the reserve while it is set.
type OtherWriter = Arc<AtomicBool>;

/// A disk on which another writer leaves no room beside the reserve. What the reserve gives up, it leaves.
fn shared_disk<'a>(path: &'a Path, other_writer: &OtherWriter) -> Disk<'a> {
    let reserve = path.join("group.reserve");
    let full = other_writer.clone();
    let before: BeforeOperation = Arc::new(move |operation| {
        let lacks_room = match operation {
            Operation::Create | Operation::Write => reserve.exists(),
            Operation::Reserve => true,
            Operation::Sync | Operation::SetLength | Operation::Rename => false,
        };
        if lacks_room && full.load(Ordering::Relaxed) {
            return Err(Error::from(ErrorKind::StorageFull));
        }
        Ok(())
    });
    Disk {
        path,
        reserve_bytes: RESERVE_BYTES,
        before,
    }
}

/// Guards against a group that stands still because the disk of its leader is full, although the others have room.
#[test]
fn a_leader_with_a_full_disk_hands_the_lead_over() {
    let folders: Vec<_> = (0..MEMBERS).map(|_| tempfile::tempdir().unwrap()).collect();
    runtime::run(MEMBERS, async move {
        let writers: Vec<OtherWriter> = (0..MEMBERS).map(|_| OtherWriter::default()).collect();
        let disks = folders.iter().zip(&writers);
        let disks: Vec<Disk> = disks.map(|(f, full)| shared_disk(f.path(), full)).collect();
        let groups = start(&disks);
        let first = wait_for_leader(&groups).await;
        record(&groups, b"before").await;
        writers[first].store(true, Ordering::Relaxed);
        record(&groups, b"that finds the disk full").await;
        let is_other = |group: &bh_group::Group<Vec<u8>>| {
            let status = group.status();
            status.is_leader && !status.low_on_space
        };
        wait_for("another leader", || groups.iter().position(is_other)).await;
        let second = wait_for_leader(&groups).await;
        assert_ne!(second, first);
        assert!(groups[second].status().has_space);
        record(&groups, b"after").await;
        let holds = |index: usize| *groups[index].machine.read() == b"after";
        wait_for("all hold it", || (0..MEMBERS).all(holds).then_some(())).await;
    })
    .unwrap();
}

/// Guards against a group that serves nothing, neither reads nor small changes, because all its disks are full, or that does not recover.
#[test]
fn a_group_with_full_disks_goes_on_with_small_changes_and_recovers() {
    let folders: Vec<_> = (0..MEMBERS).map(|_| tempfile::tempdir().unwrap()).collect();
    runtime::run(MEMBERS, async move {
        let full = OtherWriter::default();
        let disks: Vec<Disk> = folders
            .iter()
            .map(|folder| shared_disk(folder.path(), &full))
            .collect();
        let groups = start(&disks);
        record(&groups, b"before").await;
        full.store(true, Ordering::Relaxed);
        for number in 0..100u8 {
            record(&groups, &[number; 20]).await;
        }
        let lacks_space = |group: &bh_group::Group<Vec<u8>>| {
            let status = group.status();
            status.is_leader && !status.has_space
        };
        wait_for("a leader that knows", || {
            groups.iter().position(lacks_space)
        })
        .await;
        let leader = wait_for_leader(&groups).await;
        groups[leader].read(TIMEOUT_MS).await.unwrap();
        full.store(false, Ordering::Relaxed);
        wait_for("space again", || {
            let has_space = |group: &bh_group::Group<Vec<u8>>| {
                let status = group.status();
                status.has_space && !status.low_on_space
            };
            groups.iter().all(has_space).then_some(())
        })
        .await;
        record(&groups, &vec![1; LARGE_BYTES]).await;
    })
    .unwrap();
}

/// Guards against a replica that waits for room for its next snapshot while the journal could take more.
#[test]
fn a_snapshot_without_room_is_put_off() {
    let folder = tempfile::tempdir().unwrap();
    runtime::run(1, async move {
        let no_new_file = OtherWriter::default();
        let full = no_new_file.clone();
        let before: BeforeOperation = Arc::new(move |operation| {
            if operation == Operation::Create && full.load(Ordering::Relaxed) {
                return Err(Error::from(ErrorKind::StorageFull));
            }
            Ok(())
        });
        let disk = Disk {
            before,
            ..Disk::new(folder.path())
        };
        let groups = start(&[disk]);
        no_new_file.store(true, Ordering::Relaxed);
        for number in 0..30 {
            record(&groups, &[number; LARGE_BYTES]).await;
        }
        assert!(groups[0].status().journal_bytes > 2 * MAX_LOG_BYTES);
        no_new_file.store(false, Ordering::Relaxed);
        sleep_ms(1_100).await;
        record(&groups, b"last").await;
        wait_for("a snapshot", || {
            (groups[0].status().journal_bytes < MAX_LOG_BYTES).then_some(())
        })
        .await;
    })
    .unwrap();
}
