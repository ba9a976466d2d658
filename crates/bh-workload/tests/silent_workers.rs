//! Workers that fall silent.

mod support;

use bh_workload::dispatch::Answer;
use bh_workload::dispatch::OrderBody;
use bh_workload::job::StepSpec;
use rstest::rstest;
use std::sync::Arc;
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
        .find(|order| matches!(order.body, OrderBody::Look { .. }) && order.to.worker == silent);
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
        OrderBody::Look { wait_ms, .. } => Some(wait_ms),
        _ => None,
    });
    let per_s: Vec<u64> = waits.map(|wait_ms| 1_000_000 / wait_ms).collect();
    assert_eq!(per_s.len(), WORKERS);
    assert!(per_s.iter().sum::<u64>() / 1_000 <= MOST_PER_S);
}

/// Ten workers in racks of five, all heard a second ago. Some are cut off at one moment: `w00` to `w02` are found to be silent, `w03` is not, and
/// `w04` is there but was not heard since. The second rack was heard a moment ago.
fn cut_off_in_part(site: &mut Site) {
    site.now_ms += 1_000;
    for index in 5..10 {
        let worker: Arc<str> = Arc::from(format!("w{index:02}"));
        site.dispatcher
            .note_heartbeat(site.now_ms, &worker, Some(site.now_ms));
    }
    for index in 0..3 {
        site.look_in_vain(&Arc::from(format!("w{index:02}")));
    }
}

fn gang(count: u32, rack_local: bool) -> StepSpec {
    StepSpec {
        gang: true,
        rack_local,
        ..step(count, 8)
    }
}

/// An urgent gang comes within the second in which the leader has found only some of the silent workers. On one of the others it would wait for a lease of five
/// seconds before it could begin elsewhere: so it is placed on workers that were heard since the others fell silent.
#[rstest]
fn an_urgent_gang_goes_to_workers_heard_since(#[values(true, false)] rack_local: bool) {
    let mut site = Site::new(10, 5);
    site.advance(60_000);
    cut_off_in_part(&mut site);
    site.submit(0, "guaranteed", vec![gang(2, rack_local)]);
    let plan = site.plan();
    assert_eq!(plan.starts.len(), 2);
    assert!(plan.starts.iter().all(|start| *start.worker >= *"w05"));
}

/// The workers that were heard are full of work that gives way. Room is made on them, not on those that may be silent, where it would never become free.
#[test]
fn room_is_made_on_workers_heard_since() {
    let mut site = Site::new(10, 5);
    site.advance(60_000);
    site.submit(2, "other", vec![step(10, 8)]);
    site.plan_and_start();
    site.send_starts();
    cut_off_in_part(&mut site);
    site.submit(0, "guaranteed", vec![gang(2, false)]);
    let plan = site.plan();
    assert_eq!(plan.evictions.len(), 2);
    assert!(plan.evictions.iter().all(|(worker, _)| **worker >= *"w05"));
}

/// One worker crashes, as happens all the time. That says nothing of the others: work is placed as ever, on the first of the workers alike.
#[test]
fn one_silent_worker_casts_no_doubt_on_others() {
    let mut site = Site::new(10, 5);
    site.advance(60_000);
    site.now_ms += 1_000;
    let heard: Arc<str> = Arc::from("w09");
    site.dispatcher
        .note_heartbeat(site.now_ms, &heard, Some(site.now_ms));
    site.look_in_vain(&Arc::from("w00"));
    site.submit(0, "guaranteed", vec![gang(2, false)]);
    let plan = site.plan();
    assert!(plan.starts.iter().all(|start| *start.worker < *"w05"));
}
