//! Size of a site, and the load on it.

use super::faults::WORKERS;
use super::load::Load;
use bh_workload::dispatch::Timing;

/// Workers of a site and their load.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    pub workers: usize,
    pub workers_per_rack: usize,
    pub job_count: u64,
    /// Time within which the jobs are submitted, in milliseconds.
    pub submit_ms: u64,
    pub timing: Timing,
    pub load: Load,
}

impl Fleet {
    /// A small fleet with few jobs.
    pub const SMALL: Fleet = Fleet {
        workers: WORKERS,
        workers_per_rack: 2,
        job_count: 8,
        submit_ms: 12_000,
        timing: Timing::DEFAULT,
        load: Load::Uniform,
    };

    /// Returns whether jobs have several priorities and shapes, and workers are smaller.
    pub fn is_mixed(&self) -> bool {
        self.load != Load::Uniform
    }

    /// A fleet of `workers` workers, twelve in a rack, with this load and short leases.
    pub const fn with_load(load: Load, workers: usize, job_count: u64) -> Self {
        Self {
            workers,
            workers_per_rack: 12,
            job_count,
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
