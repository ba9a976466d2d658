//! How far cases reach.

/// How often a case came to what it is for.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reached {
    /// Runs that workers began.
    pub begins: usize,
    /// Those that were not the first of their task.
    pub begun_again: usize,
    /// Leases that ran out.
    pub lapses: usize,
    /// Ends with success that were taken note of.
    pub noted_done: usize,
    /// Failures that were.
    pub noted_failed: usize,
    /// Proposals that were lost with their leader.
    pub lost_proposals: usize,
    /// Results of ends that reached another leader than the one that proposed them.
    pub older_results: usize,
    /// Answers that were read late on their own.
    pub late_reads: usize,
    /// Orders that busy workers denied.
    pub denied: usize,
    /// Stalls between decisions and their sending.
    pub stalls_in_turn: usize,
    /// Changes of the leader.
    pub changes: usize,
    /// Those while gangs were broken.
    pub changes_with_broken_gangs: usize,
    /// Orders that later incarnations took in place of those they were for.
    pub misdelivered: usize,
}
