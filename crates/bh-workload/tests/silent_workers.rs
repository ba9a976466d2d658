//! Workers that fall silent.

mod support;

use bh_workload::dispatch::Answer;
use bh_workload::dispatch::OrderBody;
use support::Site;
use support::step;

/// Time within which a silent worker must be known as such, in milliseconds: urgent work has one to two seconds to spare.
const KNOWN_WITHIN_MS: u64 = 1_300;

/// A worker with work on it is cut off just after its last answer. Urgent jobs come, and must not be placed on it, nor wait for room there: its
/// heartbeats are missed only after four seconds, but the look at it stays without an answer.
#[test]
fn a_silent_worker_soon_gets_no_more_work() {
    let mut site = Site::new(2, 2);
    site.submit(0, "guaranteed", vec![step(1, 4)]);
    site.plan_and_start();
    site.send_starts();
    let (silent, _) = site.open_runs()[0].clone();
    let (orders, _) = site.dispatcher.orders(site.now_ms, &site.workload, true);
    let look = orders
        .iter()
        .find(|order| matches!(order.body, OrderBody::Probe { .. }) && order.to.worker == silent);
    let look = look.expect("a worker with runs is looked at");
    let within_ms = look.answer_within_ms();
    assert!(within_ms <= KNOWN_WITHIN_MS, "known after {within_ms} ms");

    site.now_ms += within_ms;
    site.dispatcher
        .note_answer(site.now_ms, look, &Answer::Lost, &site.workload);
    site.submit(0, "guaranteed", vec![step(1, 4)]);
    let plan = site.plan();
    assert_eq!(plan.starts.len(), 1);
    assert_ne!(plan.starts[0].worker, silent);
}

/// Hundreds of workers have work. Looked at as often as a few, they would take most of the leader's share of a processor, and everything else would
/// wait: the leader looks at each less often, and no more than some hundred times a second in all.
#[test]
fn many_workers_are_looked_at_less_often() {
    const WORKERS: usize = 350;
    const MOST_PER_S: u64 = 270;
    let mut site = Site::new(WORKERS, 10);
    site.advance(60_000);
    let count = u32::try_from(WORKERS).unwrap_or(u32::MAX);
    site.submit(2, "other", vec![step(count, 8)]);
    site.plan_and_start();
    site.send_starts();
    let (orders, _) = site.dispatcher.orders(site.now_ms, &site.workload, true);
    let waits = orders.iter().filter_map(|order| match order.body {
        OrderBody::Probe { wait_ms, .. } => Some(wait_ms),
        _ => None,
    });
    let per_s: Vec<u64> = waits.map(|wait_ms| 1_000_000 / wait_ms).collect();
    assert_eq!(per_s.len(), WORKERS);
    assert!(per_s.iter().sum::<u64>() / 1_000 <= MOST_PER_S);
}
