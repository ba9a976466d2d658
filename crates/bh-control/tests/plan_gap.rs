//! Time between the leader's plans.

use bh_control::core::plan_gap_ms;

/// Longest time for which a task may stand still beside free room, in milliseconds.
const MAX_STALL_MS: u64 = 3_000;

/// The leader stands still while it plans, for less than it takes the others to elect another one. The pause counts as time that planning took, and no job
/// begins for four times as long afterwards.
#[test]
fn a_pause_of_the_leader_while_it_plans_holds_no_plan_up() {
    for paused_ms in [200, 700, 1_300] {
        let stalled_ms = paused_ms + plan_gap_ms(paused_ms);
        assert!(
            stalled_ms <= MAX_STALL_MS,
            "paused for {paused_ms} ms, no plan for {stalled_ms} ms"
        );
    }
}
