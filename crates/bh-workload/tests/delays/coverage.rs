//! Counts of what the cases cover.

/// How often the conditions that a case is meant to test occurred.
#[derive(Clone, Copy, Debug, Default)]
pub struct Coverage {
    /// Runs that workers started.
    pub starts: usize,
    /// Runs that were not the first of their task.
    pub restarts: usize,
    /// Leases that ran out.
    pub lapses: usize,
    /// Ends with success that were acknowledged.
    pub acknowledged_done: usize,
    /// Failures that were acknowledged.
    pub acknowledged_failed: usize,
    /// Proposals that were lost with their leader.
    pub lost_proposals: usize,
    /// Outcomes of recorded ends that reached a later leader than the one that proposed them.
    pub results_of_earlier_terms: usize,
    /// Answers that arrived in time and were read late.
    pub late_reads: usize,
    /// Orders that busy workers denied.
    pub denied_orders: usize,
    /// Stalls between the decision on orders and their sending.
    pub stalls_in_turn: usize,
    /// Changes of leader.
    pub leader_changes: usize,
    /// Changes of leader while gangs were broken.
    pub leader_changes_with_broken_gangs: usize,
    /// Orders that a later incarnation executed in place of the one they were for.
    pub misdelivered_orders: usize,
}
