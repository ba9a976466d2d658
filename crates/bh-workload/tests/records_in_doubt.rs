//! Ends of runs whose record is not confirmed in time.
mod support;

use bh_workload::dispatch::Order;
use bh_workload::dispatch::OrderBody;
use bh_workload::dispatch::RecordOutcome;
use bh_workload::state::Command;
use rstest::rstest;
use support::Site;
use support::step;

/// Longer than any lease, in milliseconds.
const LEASE_EXPIRED_MS: u64 = 12_000;
/// Time after which a start without an answer is sent again, in milliseconds.
const RETRY_MS: u64 = 400;

fn is_probe(order: &Order) -> bool {
    matches!(order.body, OrderBody::Probe { .. })
}

/// Returns the number of start orders.
fn start_count(orders: &[Order]) -> usize {
    let is_start = |order: &&Order| matches!(order.body, OrderBody::Start { .. });
    orders.iter().filter(is_start).count()
}

/// Guards against running a task twice after the end of its run was recorded too slowly. The run is given up since its worker was silent beyond its
/// lease. The record of that end is not confirmed in time, and the worker answers again. The start is sent again only if recording is known to have
/// failed: a record that is committed later makes the task start elsewhere as well.
#[rstest]
#[case(RecordOutcome::Unknown, 0)]
#[case(RecordOutcome::NotRecorded, 1)]
fn a_run_whose_end_may_yet_be_recorded_is_not_started_again(
    #[case] outcome: RecordOutcome,
    #[case] expected: usize,
) {
    let mut site = Site::new(1, 1);
    site.submit(0, "other", vec![step(1, 1)]);
    site.plan_and_start();
    let worker = site.open_runs()[0].0.clone();
    site.fall_silent(&worker);
    site.advance(LEASE_EXPIRED_MS);
    let (orders, ends) = site.dispatcher.orders(site.now_ms, &site.workload, true);
    assert_eq!(ends.len(), 1, "the run is given up");
    let answer = site.probe_answer(&worker, &[site.open_runs()[0].1]);
    for order in orders.iter().filter(|order| is_probe(order)) {
        site.dispatcher
            .note_answer(site.now_ms, order, &answer, &site.workload);
    }
    site.dispatcher.note_recorded(&worker, None, outcome);
    site.advance(RETRY_MS);
    let sent = site.dispatcher.orders(site.now_ms, &site.workload, true).0;
    assert_eq!(start_count(&sent), expected);

    let now_ms = site.wall_ms();
    site.workload.apply(Command::ends(ends).at(now_ms));
    site.take_events();
    assert_eq!(site.open_runs(), Vec::new());
}
