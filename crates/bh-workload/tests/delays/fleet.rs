//! The size of a site, and what is handed in there.

use super::faults::WORKERS;
use super::load::Load;
use bh_workload::dispatch::Timing;

/// The workers of a site and their load.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    pub workers: usize,
    pub per_rack: usize,
    pub jobs: u64,
    /// Time within which the jobs come, in milliseconds.
    pub submit_ms: u64,
    pub timing: Timing,
    pub load: Load,
}

impl Fleet {
    /// Few workers with few jobs.
    pub const SMALL: Fleet = Fleet {
        workers: WORKERS,
        per_rack: 2,
        jobs: 8,
        submit_ms: 12_000,
        timing: Timing::DEFAULT,
        load: Load::Plain,
    };

    /// Whether jobs are of all ranks and shapes.
    pub fn is_mixed(&self) -> bool {
        self.load != Load::Plain
    }

    /// Such a load on `workers` workers, twelve in a rack, with short leases.
    pub const fn with_load(load: Load, workers: usize, jobs: u64) -> Self {
        Self {
            workers,
            per_rack: 12,
            jobs,
            submit_ms: 50_000,
            timing: Timing {
                lease_ms: 3_000,
                stop_timeout_ms: 400,
                restore_ms: 600,
                ..Timing::DEFAULT
            },
            load,
        }
    }
}
