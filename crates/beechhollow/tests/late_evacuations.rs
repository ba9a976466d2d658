//! Orders on evacuations that are read after what they would undo was acknowledged.

mod support;

use bh_testkit::http_raw;
use rstest::rstest;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use support::GroupCore;
use support::metric;
use support::start_group;

const PATH: &str = "/-/evacuations/dc-1";
/// Time after which an operator turns to another core.
const PATIENCE: Duration = Duration::from_secs(1);
/// Time within which the delayed order has taken effect if it does.
const SETTLED: Duration = Duration::from_millis(1_500);
const TIMEOUT: Duration = Duration::from_secs(20);

/// Sends an order until it is acknowledged.
fn order(core: SocketAddr, method: &str) {
    let until = Instant::now() + TIMEOUT;
    while http_raw::send(core, method, PATH, &[], &[], PATIENCE).status != 200 {
        assert!(Instant::now() < until, "{method} is not acknowledged");
        thread::sleep(Duration::from_millis(50));
    }
}

/// Number of evacuated data centres as `core` knows it.
fn evacuated(core: &GroupCore) -> Option<u64> {
    metric(core.metrics, "data_centres_evacuated")
}

/// Guards against an evacuation that ends although it was ordered again, and one that begins although it was ended: the order before was delayed in a
/// core that stood still, and the operator had turned to another core.
#[rstest]
#[case::withdrawal_at_a_follower("DELETE", 1)]
#[case::withdrawal_at_the_leader("DELETE", 0)]
#[case::evacuation_at_a_follower("POST", 1)]
#[case::evacuation_at_the_leader("POST", 0)]
fn an_order_that_waited_in_a_stopped_core_has_no_effect(
    #[case] delayed: &str,
    #[case] stopped: usize,
) {
    let cores = start_group(&format!("delayed-{delayed}-{stopped}"), 3);
    let undone = if delayed == "POST" { "DELETE" } else { "POST" };
    order(cores[2].control, undone);
    cores[stopped].process.signal("STOP");
    let answer = http_raw::send(cores[stopped].control, delayed, PATH, &[], &[], PATIENCE);
    assert_eq!(answer.status, 0, "{answer:?}");
    order(cores[2].control, delayed);
    order(cores[2].control, undone);
    cores[stopped].process.signal("CONT");
    thread::sleep(SETTLED);
    let expected = u64::from(undone == "POST");
    assert_eq!(evacuated(&cores[2]), Some(expected));
    let refused = metric(cores[stopped].metrics, "evacuation_orders_delayed_total");
    assert_eq!(refused, Some(1));
    // The core takes orders again.
    order(cores[stopped].control, delayed);
}
