//! Time between the leader's plans.

use bh_control::core::plan_gap_ms;

/// Maximum time for which a task may be stalled despite free capacity, in milliseconds.
const MAX_STALL_MS: u64 = 3_000;

/// The leader is paused while it plans, for less time than the other cores need to elect another one. The pause counts as planning time,
/// and without an upper bound no job would start for four times as long afterwards.
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
