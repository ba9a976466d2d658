//! Workers that stop answering, and the cost of probing many workers.

mod support;

use bh_workload::dispatch::Answer;
use bh_workload::dispatch::OrderBody;
use support::Site;
use support::step;

/// Maximum time until a worker that does not answer counts as silent, in milliseconds. Urgent work has one to two seconds to spare.
const DETECTED_WITHIN_MS: u64 = 1_300;

/// Guards against placing urgent work on a worker that has become unreachable just after its last answer, or waiting for its capacity. Its
/// heartbeats are missed only after four seconds, so the unanswered probe must show the silence earlier.
#[test]
fn a_silent_worker_soon_gets_no_more_work() {
    let mut site = Site::new(2, 2);
    site.submit(0, "guaranteed", vec![step(1, 4)]);
    site.plan_and_start();
    site.send_starts();
    let (silent, _) = site.open_runs()[0].clone();
    let (orders, _) = site.dispatcher.orders(site.now_ms, &site.workload, true);
    let probe = orders
        .iter()
        .find(|order| matches!(order.body, OrderBody::Probe { .. }) && order.to.worker == silent);
    let probe = probe.expect("a worker with runs is probed");
    let within_ms = probe.answer_within_ms();
    assert!(
        within_ms <= DETECTED_WITHIN_MS,
        "detected after {within_ms} ms"
    );

    site.now_ms += within_ms;
    site.dispatcher
        .note_answer(site.now_ms, probe, &Answer::Lost, &site.workload);
    site.submit(0, "guaranteed", vec![step(1, 4)]);
    let plan = site.plan();
    assert_eq!(plan.starts.len(), 1);
    assert_ne!(plan.starts[0].worker, silent);
}

/// Guards against a leader that spends most of its processor time on probes when hundreds of workers have work, so that everything else
/// waits. It probes each worker less often, and sends no more than a few hundred probes per second in all.
#[test]
fn many_workers_are_probed_less_often() {
    const WORKERS: usize = 350;
    const MAX_PROBES_PER_S: u64 = 270;
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
    assert!(per_s.iter().sum::<u64>() / 1_000 <= MAX_PROBES_PER_S);
}
