//! Ends whose record takes longer than anybody waits for it.
mod support;

use bh_workload::dispatch::Order;
use bh_workload::dispatch::OrderBody;
use bh_workload::dispatch::RecordOutcome;
use bh_workload::state::Command;
use rstest::rstest;
use support::Site;
use support::step;

/// Longer than any lease, in milliseconds.
const LAPSED_MS: u64 = 12_000;
/// Time after which a start without an answer is sent again, in milliseconds.
const RETRY_MS: u64 = 400;

fn is_look(order: &Order) -> bool {
    matches!(order.body, OrderBody::Probe { .. })
}

fn starts(orders: &[Order]) -> usize {
    let is_start = |order: &&Order| matches!(order.body, OrderBody::Start { .. });
    orders.iter().filter(is_start).count()
}

/// A run is given up since its worker was silent past its lease. The record of that is not committed in the time that anybody waits for it, and
/// the worker answers again. The start goes out again only if the record surely failed: committed later, it has the task begin elsewhere beside
/// the run.
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
    site.advance(LAPSED_MS);
    let (looks, ends) = site.dispatcher.orders(site.now_ms, &site.workload, true);
    assert_eq!(ends.len(), 1, "the run is given up");
    let back = site.probe_answer(&worker, &[site.open_runs()[0].1]);
    for order in looks.iter().filter(|order| is_look(order)) {
        site.dispatcher
            .note_answer(site.now_ms, order, &back, &site.workload);
    }
    site.dispatcher.note_recorded(&worker, None, outcome);
    site.advance(RETRY_MS);
    let sent = site.dispatcher.orders(site.now_ms, &site.workload, true).0;
    assert_eq!(starts(&sent), expected);

    let now_ms = site.wall_ms();
    site.workload.apply(Command::ends(ends).at(now_ms));
    site.take_events();
    assert_eq!(site.open_runs(), Vec::new());
}
