//! What a leader refuses while there is no room to record it.

use bh_control::config::StorageLimits;
use bh_control::core::Shortage;
use bh_group::GroupStatus;
use rstest::rstest;

const LIMITS_MB: u64 = 16;

/// Guards against a leader that takes large changes which a majority of the disks cannot store, or refuses any while there is room.
#[rstest]
#[case(true, 0, None)]
#[case(true, 1_500_000, None)]
#[case(true, 1_500_001, Some(Shortage::RecordSize))]
#[case(false, 0, Some(Shortage::DiskSpace))]
fn new_jobs_and_rules_need_room(
    #[case] has_space: bool,
    #[case] snapshot_bytes: u64,
    #[case] expected: Option<Shortage>,
) {
    let status = GroupStatus {
        has_space,
        snapshot_bytes,
        ..GroupStatus::default()
    };
    let limits = StorageLimits::new(Some(LIMITS_MB));
    assert_eq!(Shortage::new(&status, &limits), expected);
}

/// Guards against a journal, its snapshot and the file that replaces it that take more than half of the disk together.
#[test]
fn the_limits_leave_half_of_the_disk() {
    const BYTES_PER_MB: u64 = 1_000_000;
    for disk_mb in [16, 128, 10_000] {
        let limits = StorageLimits::new(Some(disk_mb));
        // Until the next snapshot the record grows by the log at most. A command with rules takes up to twice their document, and one may be
        // written when the log is full.
        let snapshot = limits.state_bytes + limits.log_bytes;
        let journal = snapshot + limits.log_bytes + 2 * limits.rules_bytes;
        let all = journal + snapshot + limits.reserve_bytes;
        assert!(all <= disk_mb * BYTES_PER_MB / 2, "{all} of {disk_mb} MB");
    }
}
