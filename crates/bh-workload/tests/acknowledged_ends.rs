//! Which ends a worker is told to be recorded, and may forget.
mod support;

use bh_workload::dispatch::Answer;
use bh_workload::dispatch::Denial;
use bh_workload::dispatch::Ended;
use bh_workload::dispatch::Order;
use bh_workload::dispatch::OrderBody;
use bh_workload::dispatch::RecordOutcome;
use bh_workload::dispatch::Report;
use bh_workload::job::RunId;
use bh_workload::state::EndKind;
use support::Site;
use support::step;

/// Number of the listed end.
const NUMBER: u64 = 1;

fn is_look(order: &Order) -> bool {
    matches!(order.body, OrderBody::Probe { .. })
}

fn take(orders: &mut Vec<Order>, wanted: impl Fn(&Order) -> bool) -> Order {
    let index = orders.iter().position(wanted).expect("it is ordered");
    orders.remove(index)
}

/// Up to which end the worker is told that all are recorded, if it is told now.
fn told(site: &mut Site) -> Option<u64> {
    site.orders().iter().find_map(|order| match order.body {
        OrderBody::Probe { recorded_to, .. } => Some(recorded_to),
        _ => None,
    })
}

/// A worker lists an end while another record about it is on its way, of a start that it refused. The first record's commit says nothing of
/// the second: told that its end is recorded, the worker forgets it, and if the leader is lost before the second record is committed, the
/// end is lost with it: a failure that nobody counts, a task that is done and begins again.
#[test]
fn a_worker_forgets_no_end_whose_own_record_is_on_its_way() {
    let mut site = Site::new(1, 1);
    site.submit(0, "other", vec![step(1, 1)]);
    site.plan_and_start();
    site.send_starts();
    let worker = site.open_runs()[0].0.clone();
    let run: RunId = site.open_runs()[0].1;
    site.submit(0, "other", vec![step(1, 1)]);
    site.advance(100);
    site.plan_and_start();
    let mut orders = site.orders();
    let look = take(&mut orders, is_look);
    let start = take(&mut orders, |order| !is_look(order));

    let refused = Answer::Denied {
        clock_ms: Some(site.now_ms),
        denial: Denial::Unhealthy,
    };
    let first = site
        .dispatcher
        .note_answer(site.now_ms, &start, &refused, &site.workload);
    let failed = Answer::Done {
        clock_ms: Some(site.now_ms),
        report: Some(Report {
            ended: vec![Ended {
                number: NUMBER,
                run,
                kind: EndKind::Failed,
                checkpoint: None,
            }],
            ..Report::default()
        }),
    };
    let second = site
        .dispatcher
        .note_answer(site.now_ms, &look, &failed, &site.workload);
    let listed_to = site.dispatcher.recording_to(&worker);
    let (first, second) = (first.expect("a record"), second.expect("a record"));

    site.workload.apply(first);
    site.dispatcher
        .note_recorded(&worker, None, RecordOutcome::Recorded);
    site.take_events();
    site.advance(100);
    assert_eq!(told(&mut site), None, "its end is not recorded yet");

    site.workload.apply(second);
    site.dispatcher
        .note_recorded(&worker, listed_to, RecordOutcome::Recorded);
    site.take_events();
    site.advance(100);
    assert_eq!(told(&mut site), Some(NUMBER));
}
