//! How a core shares out its disk.

/// Size of the disk if the config does not give one, in megabytes.
const DEFAULT_DISK_MB: u64 = 128;
/// Smallest disk that a core runs on, in megabytes.
pub(super) const MIN_DISK_MB: u64 = 16;
const BYTES_PER_MB: u64 = 1_000_000;

/// Limits of what a core stores, in bytes. The journal, which is a snapshot and the log after it, and the file that is written in its place
/// stay under half of the disk together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StorageLimits {
    /// Log after a snapshot that leads to the next snapshot.
    pub log_bytes: u64,
    /// Snapshot from which on the leader refuses new jobs and rules.
    pub state_bytes: u64,
    /// Largest document of rules.
    pub rules_bytes: u64,
    /// Space set aside for a full disk.
    pub reserve_bytes: u64,
}

impl StorageLimits {
    /// Limits for a disk of `disk_mb` megabytes.
    pub fn new(disk_mb: Option<u64>) -> Self {
        let disk_bytes = disk_mb.unwrap_or(DEFAULT_DISK_MB) * BYTES_PER_MB;
        Self {
            log_bytes: disk_bytes / 16,
            state_bytes: disk_bytes * 3 / 32,
            rules_bytes: disk_bytes / 32,
            reserve_bytes: disk_bytes / 32,
        }
    }
}
