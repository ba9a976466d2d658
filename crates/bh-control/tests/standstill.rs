//! For how long a call may have waited in a process that stood still.

use bh_control::standstill::Standstill;
use bh_net::Clock;
use std::cell::Cell;
use std::rc::Rc;

/// A detector and the clock that it looks at.
fn detector() -> (Standstill, Rc<Cell<u64>>) {
    let now_ms = Rc::new(Cell::new(1));
    let standstill = Standstill::new(Clock::with_manual(now_ms.clone()));
    (standstill, now_ms)
}

fn advance(now_ms: &Cell<u64>, by_ms: u64) {
    now_ms.set(now_ms.get() + by_ms);
}

/// Guards against calls that are refused while the process is only busy.
#[test]
fn short_pauses_are_no_standstill() {
    let (standstill, now_ms) = detector();
    for _ in 0..20 {
        advance(&now_ms, 499);
        assert_eq!(standstill.waited_ms(), 0);
    }
}

/// Guards against delayed calls that are taken for new ones, because others were read before them or the process paused again in between.
#[test]
fn all_calls_that_are_read_soon_after_a_standstill_may_have_waited() {
    let (standstill, now_ms) = detector();
    advance(&now_ms, 2_000);
    for pause_ms in [0, 200, 200, 99] {
        advance(&now_ms, pause_ms);
        assert_eq!(standstill.waited_ms(), 2_000);
    }
    advance(&now_ms, 1);
    assert_eq!(standstill.waited_ms(), 0);
}

/// Guards against a short standstill that hides a long one before it, and the reverse.
#[test]
fn the_longer_of_two_standstills_counts() {
    let (standstill, now_ms) = detector();
    advance(&now_ms, 700);
    assert_eq!(standstill.waited_ms(), 700);
    advance(&now_ms, 3_000);
    assert_eq!(standstill.waited_ms(), 3_000);
    advance(&now_ms, 600);
    assert_eq!(standstill.waited_ms(), 600);
}
