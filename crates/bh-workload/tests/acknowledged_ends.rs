//! Tests of which ends a probe acknowledges as recorded, so that the worker may forget them.
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

/// Number of the end that the worker lists.
const END_NUMBER: u64 = 1;

fn is_probe(order: &Order) -> bool {
    matches!(order.body, OrderBody::Probe { .. })
}

fn take_order(orders: &mut Vec<Order>, is_wanted: impl Fn(&Order) -> bool) -> Order {
    let index = orders.iter().position(is_wanted).expect("it is ordered");
    orders.remove(index)
}

/// Returns the number of the last end that a probe acknowledges now, if a probe is sent.
fn acknowledged_to(site: &mut Site) -> Option<u64> {
    site.orders().iter().find_map(|order| match order.body {
        OrderBody::Probe { recorded_to, .. } => Some(recorded_to),
        _ => None,
    })
}

/// Guards against acknowledging an end before its own record is committed. A worker lists an end while another record about the worker, of
/// a start that it refused, is in transit. If the commit of the first record acknowledged the end, the worker would forget it, and the loss
/// of the leader before the second commit would lose the end: a failure would not count, or a finished task would start again.
#[test]
fn an_end_is_not_acknowledged_before_its_own_record_is_committed() {
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
    let probe = take_order(&mut orders, is_probe);
    let start = take_order(&mut orders, |order| !is_probe(order));

    let refused = Answer::Denied {
        clock_ms: Some(site.now_ms),
        denial: Denial::Unhealthy,
    };
    let refusal_record = site
        .dispatcher
        .note_answer(site.now_ms, &start, &refused, &site.workload);
    let failed = Answer::Done {
        clock_ms: Some(site.now_ms),
        report: Some(Report {
            ended: vec![Ended {
                number: END_NUMBER,
                run,
                kind: EndKind::Failed,
                checkpoint: None,
            }],
            ..Report::default()
        }),
    };
    let end_record = site
        .dispatcher
        .note_answer(site.now_ms, &probe, &failed, &site.workload);
    let listed_to = site.dispatcher.recording_to(&worker);
    let (refusal_record, end_record) = (
        refusal_record.expect("a record"),
        end_record.expect("a record"),
    );

    site.workload.apply(refusal_record);
    site.dispatcher
        .note_recorded(&worker, None, RecordOutcome::Recorded);
    site.take_events();
    site.advance(100);
    assert_eq!(
        acknowledged_to(&mut site),
        None,
        "its end is not recorded yet"
    );

    site.workload.apply(end_record);
    site.dispatcher
        .note_recorded(&worker, listed_to, RecordOutcome::Recorded);
    site.take_events();
    site.advance(100);
    assert_eq!(acknowledged_to(&mut site), Some(END_NUMBER));
}
